// Package agprocess starts the programs of a test as separate processes with one
// log file each, and stops them by their process IDs.
//
// # Usage
//
//	process, err := agprocess.Start(group, agprocess.Options{Dir: dir, Name: "b1", Program: "bin/anvilglade", Args: args})
//	if err != nil {
//		return err
//	}
//	defer process.Kill()
package agprocess

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

// ErrStopTimeout means that a process did not exit in time and was killed.
var ErrStopTimeout = errors.New("process did not end within")

// Options describe the program to start.
type Options struct {
	// Dir is the directory of the log file. Name is the name of the process and,
	// with the extension .log, of its log file.
	Dir, Name string
	Program   string
	Args      []string
	// Env is appended to the environment of the current process.
	Env []string
}

// Process is a started program.
type Process struct {
	Name    string
	command *exec.Cmd
	log     string
	done    chan struct{}
	// exitErr is the error of the exit, nil for status 0. It is set before done is
	// closed.
	exitErr error
}

// Start starts a program. The process is independent of the group's context: it
// runs until it exits, Stop or Kill is called, or the current process ends.
func Start(group *agtask.Group, options Options) (*Process, error) {
	name := options.Name
	path := filepath.Join(options.Dir, name+".log")
	log, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600) //nolint:gosec // the folder is the run's own
	if err != nil {
		return nil, fmt.Errorf("open log of %s: %w", name, err)
	}
	defer func() { _ = log.Close() }()
	command := exec.CommandContext(context.Background(), options.Program, options.Args...) //nolint:gosec // the program is the caller's own setting
	command.Stdout, command.Stderr = log, log
	command.Env = append(os.Environ(), options.Env...)
	// A process group of its own protects the process from an interrupt at the
	// terminal. The death signal kills it if the current process is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &Process{Name: name, command: command, log: path, done: make(chan struct{})}
	if err := group.Start("wait/"+name, func(context.Context) error {
		p.exitErr = command.Wait()
		close(p.done)
		return nil
	}); err != nil {
		return nil, errors.Join(err, command.Process.Kill())
	}
	return p, nil
}

// Signal sends a signal to the process. It returns an error if the process has
// ended.
func (p *Process) Signal(signal os.Signal) error {
	if p.Ended() {
		return fmt.Errorf("process %s has ended", p.Name)
	}
	return p.command.Process.Signal(signal)
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Kill kills the process and waits until it has ended.
func (p *Process) Kill() {
	if p == nil || p.Ended() {
		return
	}
	_ = p.command.Process.Kill()
	<-p.done
}

// Stop sends SIGTERM to the process and waits until it has ended. It returns the
// error of the exit. After the limit it kills the process and returns an error that
// wraps ErrStopTimeout.
func (p *Process) Stop(limit time.Duration) error {
	if p == nil || p.Ended() {
		return nil
	}
	// A process suspended by SIGSTOP handles SIGTERM only after it is resumed.
	_ = p.command.Process.Signal(syscall.SIGCONT)
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("stop %s: %w", p.Name, err)
	}
	select {
	case <-p.done:
		return p.exitErr
	case <-time.After(limit):
		p.Kill()
		return fmt.Errorf("%s: %w %s", p.Name, ErrStopTimeout, limit)
	}
}

// WaitReady polls a URL until it answers with status 200. It returns an error if
// the process or ctx ends first, or readyLimit passes.
func (p *Process) WaitReady(ctx context.Context, url string) error {
	deadline := time.Now().Add(readyLimit)
	var last error
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if p.Ended() {
			return fmt.Errorf("%s ended before it was ready: %w; log in %s", p.Name, p.exitErr, p.log)
		}
		if last = Probe(ctx, url); last == nil {
			return nil
		}
		time.Sleep(readyInterval)
	}
	return fmt.Errorf("%s is not ready after %s: %w; log in %s", p.Name, readyLimit, errors.Join(last, ctx.Err()), p.log)
}

// Probe returns an error unless a URL answers with status 200 within a second.
func Probe(ctx context.Context, url string) error {
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
