package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// restartDelay is the platform's short delay before it starts a process again.
const restartDelay = 500 * time.Millisecond

type ports struct {
	datagram, ready, control, inner, app, outbound, store int
}

// machine is a VM with one process of the system.
type machine struct {
	w       *world
	name    string
	role    string
	zone    string
	ip      string
	service string
	path    string

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	// misses counts failed readiness checks in succession, for balancers.
	misses     int
	inRotation bool
}

// world is a small deployment with stand-ins for the platform, hosts and clients.
type world struct {
	root, dir string
	prefix    string
	ports     ports
	beat      time.Duration
	zones     []string
	store     *store
	fronts    []*machine
	sides     []*machine
	// OnTaken is called for each opening packet that a host takes.
	onTaken func(*host, flowKey, *hostFlow)

	// startMu guards stopped and the start of processes.
	startMu sync.Mutex
	stopped bool

	started    time.Time
	mu         sync.Mutex
	record     *os.File
	violations int
	runs       map[string]int
}

func newWorld(recordPath string, zones []string) (*world, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{
		root: root, dir: dir, zones: zones, beat: 770 * time.Millisecond, store: newStore(), started: time.Now(), record: record, runs: make(map[string]int),
		prefix: fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(250)),
	}
	current = w
	base, err := w.freePorts()
	if err != nil {
		return nil, err
	}
	w.ports = ports{datagram: base + 12, ready: base + 7, control: base + 6, inner: base + 20, app: base + 5, outbound: base + 2, store: base + 9}
	server := &http.Server{Addr: fmt.Sprintf("%s:%d", w.ip(250), w.ports.store), Handler: w.store}
	listener, err := net.Listen("tcp4", server.Addr)
	if err != nil {
		return nil, err
	}
	go func() { _ = server.Serve(listener) }()
	return w, nil
}

// freePorts returns the first of 40 ports that nothing uses.
func (w *world) freePorts() (int, error) {
	for range 50 {
		base := 20000 + rand.IntN(9000)
		free := true
		for port := base; port < base+40 && free; port++ {
			tcp, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", w.ip(1), port))
			if err == nil {
				_ = tcp.Close()
			}
			udp, err2 := net.ListenPacket("udp4", fmt.Sprintf("%s:%d", w.ip(1), port))
			if err2 == nil {
				_ = udp.Close()
			}
			free = err == nil && err2 == nil
		}
		if free {
			return base, nil
		}
	}
	return 0, errors.New("no free ports")
}

func (w *world) ip(last int) string {
	return fmt.Sprintf("%s.%d", w.prefix, last)
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// violation records that a rule was broken.
func (w *world) violation(format string, args ...any) {
	w.note("BROKEN "+format, args...)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations++
}

// ran records that a host has begun to work on a request.
func (w *world) ran(h *host, key flowKey, id string) {
	w.note("host %s runs request %s", h.id, id)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id]++
}

func (w *world) taken(h *host, key flowKey, flow *hostFlow) {
	w.note("host %s takes flow %s:%d, copy %d of the opening packet", h.id, netip.AddrFrom4(key.client.ip), key.client.port, flow.copyNumber)
	if w.onTaken != nil {
		w.onTaken(h, key, flow)
	}
}

func (w *world) addFront(name, zone, ip string) *machine {
	m := &machine{w: w, name: name, role: "packet-balancer", zone: zone, ip: ip}
	w.fronts = append(w.fronts, m)
	return m
}

func (w *world) addSide(name, zone, ip, service string) *machine {
	m := &machine{w: w, name: name, role: "packet-agent", zone: zone, ip: ip, service: service}
	w.sides = append(w.sides, m)
	return m
}

// writeSettings writes the settings file of a machine, as the page on running shows it.
func (m *machine) writeSettings() error {
	w := m.w
	var seeds []string
	for _, front := range w.fronts[:min(3, len(w.fronts))] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", front.ip, w.ports.control)))
	}
	var b strings.Builder
	class, share, memory := "front", "0.4", "284"
	if m.role == "packet-agent" {
		class, share, memory = "side", "0.24", "152"
	}
	fmt.Fprintf(&b, "node_name = %q\nrole = %q\nmachine_class = %q\nip = %q\nzone = %q\nregion = \"r\"\n", m.name, m.role, class, m.ip, m.zone)
	fmt.Fprintf(&b, "internal_ports = [%d,%d]\nseeds = [%s]\nbootstrap = true\nheartbeat_ms = %d\nflow_hash = \"steady\"\nforwarding_mode = \"agent\"\n", w.ports.inner, w.ports.inner+15, strings.Join(seeds, ","), w.beat.Milliseconds())
	fmt.Fprintf(&b, "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"flows\",\"places\",\"platform\"]\n")
	if class == "side" {
		fmt.Fprintf(&b, "serves = [\"side\"]\napp = \"%s:%d\"\nservice = %q\n", m.ip, w.ports.app, m.service)
	} else {
		fmt.Fprintf(&b, "serves = [\"front\",\"control\"]\n")
	}
	fmt.Fprintf(&b, "[zones]\n")
	for _, zone := range w.zones {
		fmt.Fprintf(&b, "%s = \"r\"\n", zone)
	}
	fmt.Fprintf(&b, "[listen]\ndatagram_addr = \"%s:%d\"\nready = \"%s:%d\"\ncontrol = \"%s:%d\"\n", m.ip, w.ports.datagram, m.ip, w.ports.ready, m.ip, w.ports.control)
	if class == "side" {
		fmt.Fprintf(&b, "outbound = \"%s:%d\"\n", m.ip, w.ports.outbound)
	}
	fmt.Fprintf(&b, "[limits]\ncpu_share = %s\ncores = 1\nmemory_mb = %s\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n", share, memory)
	fmt.Fprintf(&b, "[fault_tolerance]\nmachines = 2\nzones = 1\nregions = 0\n")
	fmt.Fprintf(&b, "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\nstable_window_ms = 4000\nack_ms = 5000\nsync_s = 4\ndrain_ms = 3000\ngrace_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = 3000\ndowngrade_ms = 250\nmax_skew_ms = 12000\ncold_factor = 1.5\ncold_slack = 5\nevacuate_ms = 5000\nrecovery_s = 12\nreorder_ms = 2000\nmax_flow_s = 60\n")
	fmt.Fprintf(&b, "[platform]\naddress = \"%s:%d\"\nforwarding_mode = \"objects\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\nmax_value_bytes = 1048576\nmin_ttl_ms = 1000\n", w.ip(250), w.ports.store)
	m.path = filepath.Join(w.dir, m.name+".toml")
	return os.WriteFile(m.path, []byte(b.String()), 0o600)
}

// start starts the process of a machine with the command of the deploy file.
func (m *machine) start() error {
	if err := m.writeSettings(); err != nil {
		return err
	}
	m.w.startMu.Lock()
	defer m.w.startMu.Unlock()
	if m.w.stopped {
		return errors.New("the case has ended")
	}
	log, err := os.OpenFile(filepath.Join(m.w.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	words, err := deployCommand(m.w.root, m.role)
	if err != nil {
		return err
	}
	command := exec.Command(filepath.Join(m.w.root, words[0]), words[1:]...)
	command.Dir = m.w.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "ANVILGLADE_CONFIG=" + m.path}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.mu.Lock()
	m.command, m.done = command, done
	m.mu.Unlock()
	m.w.note("%s %s started", m.role, m.name)
	go func() {
		_ = command.Wait()
		_ = log.Close()
		m.w.note("%s %s has ended: %s", m.role, m.name, command.ProcessState)
		close(done)
	}()
	return nil
}

// signal sends a signal to the process of the machine.
func (m *machine) signal(signal syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.w.note("%s to %s %s", signal, m.role, m.name)
	_ = m.command.Process.Signal(signal)
}

// restart sends a signal that ends the process and starts it again after the platform's
// short delay.
func (m *machine) restart(signal syscall.Signal) error {
	m.signal(signal)
	m.mu.Lock()
	done := m.done
	m.mu.Unlock()
	select {
	case <-done:
	case <-time.After(6 * time.Second):
		m.signal(syscall.SIGKILL)
		<-done
	}
	time.Sleep(restartDelay)
	return m.start()
}

// stopAll ends all processes and removes the temporary folder. No process is started
// afterwards.
func (w *world) stopAll() {
	w.startMu.Lock()
	defer w.startMu.Unlock()
	if w.stopped {
		return
	}
	w.stopped = true
	for _, m := range append(append([]*machine(nil), w.fronts...), w.sides...) {
		m.mu.Lock()
		command, done := m.command, m.done
		m.mu.Unlock()
		if command == nil {
			continue
		}
		_ = command.Process.Kill()
		<-done
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
	_ = w.record.Close()
}

// startAll starts all processes and the platform's readiness checks.
func (w *world) startAll(ctx context.Context) error {
	for _, m := range append(append([]*machine(nil), w.fronts...), w.sides...) {
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, m := range w.fronts {
		go m.checkReadiness(ctx)
	}
	return nil
}

// checkReadiness checks a balancer twice per second. After two misses it is out of
// rotation until it answers with 200 again.
func (m *machine) checkReadiness(ctx context.Context) {
	client := http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		response, err := client.Get(fmt.Sprintf("http://%s:%d/readiness", m.ip, m.w.ports.ready))
		ready := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		m.mu.Lock()
		before := m.inRotation
		switch {
		case ready:
			m.misses, m.inRotation = 0, true
		default:
			m.misses++
			m.inRotation = m.inRotation && m.misses < 2
		}
		changed, now := before != m.inRotation, m.inRotation
		m.mu.Unlock()
		if changed {
			m.w.note("balancer %s in rotation: %v", m.name, now)
		}
		select {
		case <-ctx.Done():
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// route returns the address of the balancer that the routers of a zone select for a flow.
func (w *world) route(zone string, key flowKey) (netip.AddrPort, bool) {
	local, rotating := w.balancers(func(m *machine) bool { return m.zone == zone })
	if len(rotating) == 0 {
		// The nearest zones; all are equally near here.
		_, rotating = w.balancers(func(*machine) bool { return true })
	} else if 2*len(rotating) < len(local) {
		rotating = local
	}
	var best *machine
	for _, m := range rotating {
		if best == nil || weight(key, m.ip) > weight(key, best.ip) {
			best = m
		}
	}
	if best == nil {
		return netip.AddrPort{}, false
	}
	return netip.MustParseAddrPort(fmt.Sprintf("%s:%d", best.ip, w.ports.datagram)), true
}

func (w *world) balancers(of func(*machine) bool) (all, rotating []*machine) {
	for _, m := range w.fronts {
		if !of(m) {
			continue
		}
		all = append(all, m)
		m.mu.Lock()
		if m.inRotation {
			rotating = append(rotating, m)
		}
		m.mu.Unlock()
	}
	return all, rotating
}

// awaitReady waits until all balancers are in rotation.
func (w *world) awaitReady(limit time.Duration) error {
	for start := time.Now(); time.Since(start) < limit; time.Sleep(50 * time.Millisecond) {
		if all, rotating := w.balancers(func(*machine) bool { return true }); len(all) == len(rotating) {
			return nil
		}
	}
	return errors.New("balancers did not become ready")
}

// serviceEnd is the address of a route: a loopback address that nothing binds.
func serviceEnd(number int) end {
	return end{ip: ip4(fmt.Sprintf("127.200.0.%d", number)), port: 8443}
}

func routeSpec(name string, number int, service string, kind string) map[string]any {
	return map[string]any{
		"name": name, "hostname": fmt.Sprintf("127.200.0.%d", number), "path_prefix": "/8443/", "type": kind, "timeout_ms": 4000, "slo_ms": 250, "priority": 1,
		"service": service, "max_attempts": 2,
	}
}

func serviceSpec(name string, coldPerS float64) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_conns": 2000, "protocol": "h1", "tls": false, "cold_s": 2.0, "cold_per_s": coldPerS}
}

func configSpec(version int, routes, services []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

func jsonText(v any) string {
	raw, _ := json.Marshal(v)
	return string(raw)
}

// deployCommand returns the words of the command of a role in the deploy file.
func deployCommand(root, role string) ([]string, error) {
	data, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	inRole := false
	for _, line := range strings.Split(string(data), "\n") {
		if strings.HasPrefix(line, "[") {
			inRole = line == "[roles."+role+"]"
		}
		if value, ok := strings.CutPrefix(line, "run = "); ok && inRole {
			return strings.Fields(strings.Trim(value, "\"")), nil
		}
	}
	return nil, fmt.Errorf("deploy file has no role %s", role)
}
