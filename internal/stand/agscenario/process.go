package agscenario

// Processes of a fleet: started with a log file each, ended by their id.

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
)

const (
	readyLimit    = 20 * time.Second
	readyInterval = 25 * time.Millisecond
)

type process struct {
	name    string
	command *exec.Cmd
	log     string
	done    chan struct{}
	// failure is set before done is closed.
	failure error
}

// startProcess starts a program. It ends only through stop or kill, or with
// this process.
func startProcess(group *agtask.Group, dir, name, program string, args ...string) (*process, error) {
	path := filepath.Join(dir, name+".log")
	log, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600) //nolint:gosec // the folder is the run's own
	if err != nil {
		return nil, fmt.Errorf("open log of %s: %w", name, err)
	}
	defer func() { _ = log.Close() }()
	command := exec.CommandContext(context.Background(), program, args...) //nolint:gosec // the program is the caller's own setting
	command.Stdout, command.Stderr = log, log
	// The group of its own keeps an interrupt at the terminal away from the
	// process; the death signal ends it when this process is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &process{name: name, command: command, log: path, done: make(chan struct{})}
	if err := group.Start("wait/"+name, func(context.Context) error {
		p.failure = command.Wait()
		close(p.done)
		return nil
	}); err != nil {
		return nil, errors.Join(err, command.Process.Kill())
	}
	return p, nil
}

func (p *process) signal(signal os.Signal) error {
	if p.ended() {
		return fmt.Errorf("process %s has ended", p.name)
	}
	return p.command.Process.Signal(signal)
}

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

func (p *process) kill() {
	if p == nil || p.ended() {
		return
	}
	_ = p.command.Process.Kill()
	<-p.done
}

// stop asks the process to end and kills it after the limit.
func (p *process) stop(limit time.Duration) error {
	if p == nil || p.ended() {
		return nil
	}
	// A stopped process ends only after it goes on.
	_ = p.command.Process.Signal(syscall.SIGCONT)
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("stop %s: %w", p.name, err)
	}
	select {
	case <-p.done:
		return p.failure
	case <-time.After(limit):
		p.kill()
		return fmt.Errorf("%s did not end within %s", p.name, limit)
	}
}

// waitReady polls a URL until it answers 200.
func (p *process) waitReady(ctx context.Context, url string) error {
	deadline := time.Now().Add(readyLimit)
	var last error
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if p.ended() {
			return fmt.Errorf("%s ended before it was ready: %w; log in %s", p.name, p.failure, p.log)
		}
		if last = probe(ctx, url); last == nil {
			return nil
		}
		time.Sleep(readyInterval)
	}
	return fmt.Errorf("%s is not ready after %s: %w; log in %s", p.name, readyLimit, errors.Join(last, ctx.Err()), p.log)
}

func probe(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}
