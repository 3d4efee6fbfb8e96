package agscenario

// Calls of the control ports of the test doubles, and runs of the real operator
// commands.

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/anvilglade/anvilglade/internal/stand/agapi"
	"github.com/anvilglade/anvilglade/internal/stand/agbackend"
	"github.com/anvilglade/anvilglade/internal/stand/agfabric"
)

const controlTimeout = 10 * time.Second

func post(ctx context.Context, url string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode call of %s: %w", url, err)
	}
	_, err = call(ctx, http.MethodPost, url, data)
	return err
}

func fetch(ctx context.Context, url string, value any) error {
	data, err := call(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, value); err != nil {
		return fmt.Errorf("parse answer of %s: %w", url, err)
	}
	return nil
}

func call(ctx context.Context, method, url string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, fmt.Errorf("read answer of %s: %w", url, err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, fmt.Errorf("%s %s: status %d: %s", method, url, response.StatusCode, bytes.TrimSpace(data))
	}
	return data, nil
}

func (f *Fleet) fault(ctx context.Context, fault agfabric.Fault) error {
	return post(ctx, f.fabricURL("/faults"), fault)
}

func (f *Fleet) clearFault(ctx context.Context, name string) error {
	_, err := call(ctx, http.MethodDelete, f.fabricURL("/faults?name="+name), nil)
	return err
}

func (f *Fleet) apiFaults(ctx context.Context, faults agapi.Faults) error {
	script := agapi.Script{Seed: f.options.Seed, Steps: []agapi.Step{{Faults: faults}}}
	return post(ctx, "http://"+f.plan.api().String()+"/control", script)
}

// counts returns the data packets that the fabric sent to each party since a
// time.
func (f *Fleet) counts(ctx context.Context, since time.Time) ([]agfabric.Count, error) {
	var counts []agfabric.Count
	err := fetch(ctx, f.fabricURL(fmt.Sprintf("/counts?since=%d", since.UnixMilli())), &counts)
	return counts, err
}

// journals returns the journals of all backend servers, including stopped ones.
func (f *Fleet) journals(ctx context.Context) ([]agbackend.Journal, error) {
	f.mu.Lock()
	found := append([]agbackend.Journal(nil), f.endedJournals...)
	var running []*host
	for _, item := range f.hosts {
		if item.backend != nil && !item.backend.Ended() {
			running = append(running, item)
		}
	}
	f.mu.Unlock()
	for _, item := range running {
		var journal agbackend.Journal
		if err := fetch(ctx, f.backendURL(item, "/journal"), &journal); err != nil {
			return nil, err
		}
		found = append(found, journal)
	}
	return found, nil
}

// saveJournal saves the journal of a backend server that is about to be stopped.
func (f *Fleet) saveJournal(ctx context.Context, item *host) error {
	if item.backend == nil || item.backend.Ended() {
		return nil
	}
	var journal agbackend.Journal
	if err := fetch(ctx, f.backendURL(item, "/journal"), &journal); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endedJournals = append(f.endedJournals, journal)
	return nil
}

// commandResult is the exit code and the output of an operator command.
type commandResult struct {
	code   int
	output []byte
	errors []byte
}

// edits appends the flags with the addresses that configuration commands need.
func (f *Fleet) edits(args ...string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	args = append(args, "--platform", "http://"+f.plan.relay(0).String())
	var admins []string
	for _, name := range f.runningBalancers() {
		admins = append(admins, addrPort(f.plan.balancer(f.balancers[name].number), portAdmin).String())
	}
	if len(admins) > 0 {
		args = append(args, "--admin", strings.Join(admins, ","))
	}
	return args
}

// runOperator runs an operator command. It returns an error only if the command
// could not be run; an exit code other than 0 is part of the result.
func (f *Fleet) runOperator(ctx context.Context, args ...string) (commandResult, error) {
	command := exec.CommandContext(ctx, f.options.Anvilglade, args...) //nolint:gosec // the path of the program is a setting
	var output, failures bytes.Buffer
	command.Stdout, command.Stderr = &output, &failures
	command.Env = append(os.Environ(), "ANVILGLADE_JOIN_SECRET="+f.secret, "ANVILGLADE_ADMIN="+f.balancerAdmins())
	err := command.Run()
	result := commandResult{output: output.Bytes(), errors: failures.Bytes()}
	if exit, ok := errors.AsType[*exec.ExitError](err); ok {
		result.code = exit.ExitCode()
		return result, nil
	}
	return result, err
}

// balancerAdmins returns the admin addresses of the balancers in the format of
// the operator commands' setting.
func (f *Fleet) balancerAdmins() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addresses []string
	for _, item := range f.balancers {
		if item.process != nil {
			addresses = append(addresses, addrPort(f.plan.balancer(item.number), portAdmin).String())
		}
	}
	return strings.Join(addresses, ",")
}

// mustRunOperator runs an operator command and returns an error if its exit code
// is not 0.
func (f *Fleet) mustRunOperator(ctx context.Context, args ...string) error {
	result, err := f.runOperator(ctx, args...)
	if err != nil {
		return fmt.Errorf("anvilglade %v: %w", args, err)
	}
	if result.code != 0 {
		return fmt.Errorf("anvilglade %v: exit code %d: %s%s", args, result.code, result.output, result.errors)
	}
	return nil
}

// initialise creates tables and keys through the operator commands.
func (f *Fleet) initialise(ctx context.Context) error {
	path, err := f.writeTables("tables.json", f.tables())
	if err != nil {
		return err
	}
	if err := f.mustRunOperator(ctx, f.edits("apply", path, "--force")...); err != nil {
		return err
	}
	return f.mustRunOperator(ctx, f.edits("keys", "init")...)
}

func (f *Fleet) writeTables(name string, tables any) (string, error) {
	data, err := json.MarshalIndent(tables, "", "  ")
	if err != nil {
		return "", fmt.Errorf("encode tables: %w", err)
	}
	path := filepath.Join(f.options.Dir, name)
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return "", fmt.Errorf("write tables: %w", err)
	}
	return path, nil
}
