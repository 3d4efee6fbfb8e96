package main

// The deployment of a case: the processes of the system with the commands of the deploy
// file, the stand-ins around them, the record and the check of the rules.

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports, as offsets from the first port of the run.
const (
	portData = iota
	portReady
	portControl
	portOutbound
	portApp
	portStore
	portInternal = 10
	portCount    = 27
)

const (
	heartbeatInterval = 770 * time.Millisecond
	// grace is the time from SIGTERM to SIGKILL, restartDelay the platform's delay before it
	// starts a process again that has ended.
	grace        = 6 * time.Second
	restartDelay = 500 * time.Millisecond
	maxFlowAge   = 60 * time.Second
)

type world struct {
	base    int
	subnet  int
	dir     string
	record  io.Writer
	start   time.Time
	store   *store
	router  *router
	seeds   []string
	mu      sync.Mutex
	holders map[string]*host
	runs    map[string]int
	results map[string]string
	breaks  []string
	procs   []*process
}

func newWorld(record io.Writer, balancers int) (*world, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	w := &world{
		dir: dir, record: record, start: time.Now(), subnet: 2 + rand.IntN(250),
		holders: make(map[string]*host), runs: make(map[string]int), results: make(map[string]string),
	}
	if err := w.choosePorts(); err != nil {
		return nil, err
	}
	for i := range min(balancers, 3) {
		w.seeds = append(w.seeds, w.address(w.balancerIP(i), portControl))
	}
	if w.store, err = newStore(w.address(w.ip(1), portStore)); err != nil {
		return nil, err
	}
	return w, nil
}

// choosePorts chooses ports that are free on the loopback addresses of the run.
func (w *world) choosePorts() error {
	for range 100 {
		w.base = 20_000 + 32*rand.IntN(350)
		free := true
		for offset := range portCount {
			listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", w.ip(1), w.base+offset))
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		if free {
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

func (w *world) ip(last int) string              { return fmt.Sprintf("127.%d.0.%d", w.subnet, last) }
func (w *world) balancerIP(i int) string         { return w.ip(10 + i) }
func (w *world) agentIP(i int) string            { return w.ip(30 + i) }
func (w *world) clientIP(i int) string           { return w.ip(100 + i) }
func (w *world) port(offset int) int             { return w.base + offset }
func (w *world) address(ip string, o int) string { return fmt.Sprintf("%s:%d", ip, w.port(o)) }

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.line(format, args...)
}

func (w *world) line(format string, args ...any) {
	_, _ = fmt.Fprintf(w.record, "%8.3f "+format+"\n", append([]any{time.Since(w.start).Seconds()}, args...)...)
}

func (w *world) broken(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.breaks = append(w.breaks, fmt.Sprintf(format, args...))
	w.line("BROKEN "+format, args...)
}

// opened records that a host has the end of the handshake of a flow.
func (w *world) opened(key string, h *host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.holders[key] = h
	w.line("host %s: flow %s is open", h.ip, key)
}

func (w *world) sent(id string, f *flow) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.line("client %s: sends %s on %s", f.c.ip, id, f.key)
}

// ran records that a host begins to work on a request.
func (w *world) ran(id string, h *host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id]++
	w.line("host %s: runs %s", h.ip, id)
	if w.runs[id] > 1 {
		w.breaks = append(w.breaks, "request "+id+" ran twice")
		w.line("BROKEN request %s has run %d times", id, w.runs[id])
	}
}

func (w *world) ended(id, result string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.results[id] = result
	w.line("client: %s ends: %s", id, result)
}

// gotReset checks a reset of the system's own against FLOW (a).
func (w *world) gotReset(f *flow, open bool, from string) {
	w.mu.Lock()
	holder := w.holders[f.key]
	w.mu.Unlock()
	if !open || holder == nil || !holder.holdsOpen(f.key) || time.Since(f.openedAt) > maxFlowAge {
		w.note("client %s: reset of %s from %s; the flow is not open at a living host", f.c.ip, f.key, from)
		return
	}
	w.broken("FLOW (a): client %s gets a reset of the open flow %s from %s, its host %s lives", f.c.ip, f.key, from, holder.ip)
}

// holdsOpen reports whether the host lives and holds a flow that neither end has closed.
func (h *host) holdsOpen(key string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[key]
	return h.alive && f != nil && f.open && !f.closed && !f.clientFin && !f.hostFin
}

// holds returns the number of open flows of a host.
func (h *host) holds() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for _, f := range h.flows {
		if f.open && !f.closed {
			count++
		}
	}
	return count
}

// process is a process of the system.
type process struct {
	w       *world
	name    string
	role    string
	command *exec.Cmd
	done    chan struct{}
	env     []string
	// output is the pipe to the collector of the process's log lines.
	output    *os.File
	collector *exec.Cmd
}

// settings returns the settings file of a process, with the fields of the users' pages.
func (w *world) settings(name, role, class, ip, zone, service string) string {
	host, outbound := "", ""
	if class == "side" {
		host = fmt.Sprintf("app = %q\nservice = %q\n", w.address(ip, portApp), service)
		outbound = fmt.Sprintf("outbound = %q\n", w.address(ip, portOutbound))
	}
	return fmt.Sprintf(`node_name = %q
role = %q
machine_class = %q
ip = %q
zone = %q
region = "r"
internal_ports = [%d,%d]
seeds = ["%s"]
bootstrap = true
counts_as_loss = false
discovery = "local"
entry_kind = "announcement"
heartbeat_ms = %d
contracts = ["base","drain","config","cost","recover","flows","places","platform"]
flow_hash = "steady"
forwarding_mode = "agent"
%s[zones]
a = "r"
b = "r"
[listen]
datagram_addr = %q
ready = %q
control = %q
%s[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stable_window_ms = 4000
ack_ms = 5000
sync_s = 4
drain_ms = 3000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
downgrade_ms = 250
max_skew_ms = 12000
cold_factor = 1.5
cold_slack = 5
evacuate_ms = 5000
recovery_s = 12
reorder_ms = 2000
max_flow_s = 60
[platform]
address = %q
forwarding_mode = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
max_value_bytes = 1048576
min_ttl_ms = 1000
`, name, role, class, ip, zone, w.port(portInternal), w.port(portInternal+15), strings.Join(w.seeds, `","`), heartbeatInterval.Milliseconds(),
		host, w.address(ip, portData), w.address(ip, portReady), w.address(ip, portControl), outbound, w.address(w.ip(1), portStore))
}

// launch starts a process with the command of the deploy file.
func (w *world) launch(role, class, ip, zone, service string) (*process, error) {
	p := &process{w: w, role: role, name: class + "-" + ip}
	path := filepath.Join(w.dir, p.name+".toml")
	if err := os.WriteFile(path, []byte(w.settings(p.name, role, class, ip, zone, service)), 0o600); err != nil {
		return nil, err
	}
	p.env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "LANG=C", "ANVILGLADE_CONFIG=" + path}
	if err := p.collect(filepath.Join(w.dir, p.name+".log")); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.procs = append(w.procs, p)
	w.mu.Unlock()
	return p, p.run()
}

// collect starts a process that reads the log lines of p and writes them to a file, as the
// platform's log collector does.
func (p *process) collect(path string) error {
	reader, writer, err := os.Pipe()
	if err != nil {
		return err
	}
	defer func() { _ = reader.Close() }()
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	p.output = writer
	p.collector = exec.Command(os.Args[0], "collect")
	p.collector.Stdin, p.collector.Stdout = reader, file
	return p.collector.Start()
}

func (p *process) run() error {
	p.command = exec.Command("target/anvilglade", p.role)
	p.command.Env, p.command.Stdout, p.command.Stderr = p.env, p.output, p.output
	if err := p.command.Start(); err != nil {
		return err
	}
	p.w.note("platform: starts %s", p.name)
	command, done := p.command, make(chan struct{})
	p.done = done
	go func() {
		_ = command.Wait()
		p.w.note("platform: %s has ended: %s", p.name, command.ProcessState)
		close(done)
	}()
	return nil
}

// terminate stops a process as the platform does: SIGTERM, and SIGKILL after the grace.
func (p *process) terminate() {
	p.w.note("platform: SIGTERM to %s", p.name)
	_ = p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(grace):
		p.w.note("platform: SIGKILL to %s, which has not ended within %s", p.name, grace)
		_ = p.command.Process.Kill()
		<-p.done
	}
}

// longest is the time after which a run that has not ended is stopped.
const longest = 115 * time.Second

// endEarly ends the run with all its processes on a signal or after longest. The returned
// function stops waiting for these.
func (w *world) endEarly() func() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	ended := make(chan struct{})
	go func() {
		select {
		case <-signals:
		case <-time.After(longest):
			w.note("the run takes too long")
		case <-ended:
			return
		}
		w.end()
		os.Exit(exitFailed)
	}()
	return func() { close(ended) }
}

// end ends all processes that the run has started.
func (w *world) end() {
	for _, p := range w.procs {
		if p.done != nil {
			_ = p.command.Process.Kill()
		}
	}
	for _, p := range w.procs {
		if p.done != nil {
			<-p.done
		}
		_ = p.output.Close()
		_ = p.collector.Process.Kill()
		_ = p.collector.Wait()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}
