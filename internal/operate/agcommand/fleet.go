package agcommand

// Queries the processes of the fleet at their admin addresses. The given
// addresses are queried first. The answers of balancers to /members contain the
// records of all balancers and hosts with their admin addresses, which are
// queried next.

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
)

const (
	// maxConcurrentFetches is the number of processes that are queried at once.
	maxConcurrentFetches = 64
	fetchTimeout         = 3 * time.Second
	maxAnswer            = 64 << 20
	pollInterval         = 200 * time.Millisecond
)

// processStatus is the part of the answer to /status that the operators' commands
// use.
type processStatus struct {
	Balancer    anvilglade.BalancerID
	Host        anvilglade.HostID
	DataCentre  anvilglade.DataCentreID
	Revision    anvilglade.Revision
	KeysVersion anvilglade.Version
	// ConnectionKeys is the number of open connections of an agent per key.
	ConnectionKeys map[anvilglade.KeyID]int
}

// processAnswer is the result of querying one process. Err is set if the process
// did not answer.
type processAnswer struct {
	Address netip.AddrPort
	// Name is set for processes that were found by their record.
	Name    string
	Status  processStatus
	Members anvilglade.Members
	Ready   string
	Err     error
}

func (a *processAnswer) name() string {
	switch {
	case a.Status.Balancer != "":
		return "balancer/" + string(a.Status.Balancer)
	case a.Status.Host != "":
		return "agent/" + string(a.Status.Host)
	case a.Name != "":
		return a.Name
	default:
		return a.Address.String()
	}
}

// fetch sends a GET request to an admin address and returns the body and the
// status code of the answer.
func fetch(ctx context.Context, address netip.AddrPort, path string) ([]byte, int, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+path, nil)
	if err != nil {
		return nil, 0, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return nil, 0, err
	}
	return body, response.StatusCode, nil
}

// fetchAll calls work for each index below count, with at most
// maxConcurrentFetches concurrent calls. The end of ctx is not an error of fetchAll:
// work is called for the remaining indexes too and records it for each of them.
func fetchAll(ctx context.Context, count int, work func(ctx context.Context, index int)) error {
	group, stop, err := agtask.NewGroup(ctx)
	if err != nil {
		return err
	}
	defer stop()
	var mu sync.Mutex
	next := 0
	for range min(count, maxConcurrentFetches) {
		if err := group.Start("fetch", func(ctx context.Context) error {
			for {
				mu.Lock()
				index := next
				next++
				mu.Unlock()
				if index >= count {
					return nil
				}
				work(ctx, index)
			}
		}); err != nil {
			return err
		}
	}
	if err := group.Wait(); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}

func fetchStatus(ctx context.Context, answer *processAnswer) {
	body, code, err := fetch(ctx, answer.Address, "/status")
	if err == nil && code != http.StatusOK {
		err = fmt.Errorf("answered %d", code)
	}
	if err == nil {
		err = json.Unmarshal(body, &answer.Status)
	}
	if err != nil {
		answer.Err = err
		return
	}
	// Agents do not serve /members, so a missing answer is not a failure.
	if body, code, err := fetch(ctx, answer.Address, "/members"); err == nil && code == http.StatusOK {
		answer.Err = json.Unmarshal(body, &answer.Members)
	}
	ready, code, err := fetch(ctx, answer.Address, "/ready")
	switch {
	case err != nil:
		answer.Ready = "no"
	case code == http.StatusOK:
		answer.Ready = "yes"
	default:
		answer.Ready = "no: " + strings.TrimSpace(string(ready))
	}
}

// queryProcesses queries the processes at the given addresses and the balancers
// in their member lists, and the agents too if hosts is set. The result is sorted
// by name and omits unreachable processes that have been replaced.
func (c *operatorCommand) queryProcesses(ctx context.Context, hosts bool) []processAnswer {
	var answers []processAnswer
	seen := map[netip.AddrPort]bool{}
	add := func(address netip.AddrPort, name string) {
		if address.IsValid() && !seen[address] {
			seen[address] = true
			answers = append(answers, processAnswer{Address: address, Name: name})
		}
	}
	for _, address := range c.admin {
		add(address, "")
	}
	query := func(from int) {
		if err := fetchAll(ctx, len(answers)-from, func(ctx context.Context, i int) { fetchStatus(ctx, &answers[from+i]) }); err != nil {
			_ = c.fail(err)
		}
	}
	query(0)
	givenCount := len(answers)
	for i := range givenCount {
		members := answers[i].Members
		for _, balancer := range members.Balancers {
			if balancer.Living {
				add(balancer.AdminAddress, "balancer/"+string(balancer.Balancer))
			}
		}
		for _, host := range members.Hosts {
			if hosts && host.State != anvilglade.HostDead && host.State != anvilglade.HostLeft {
				add(host.AdminAddress, "agent/"+string(host.Host))
			}
		}
	}
	query(givenCount)
	answers = slices.DeleteFunc(answers, func(a processAnswer) bool { return a.Err != nil && isReplaced(&a, answers) })
	slices.SortStableFunc(answers, func(a, b processAnswer) int { return strings.Compare(a.name(), b.name()) })
	return answers
}

// isReplaced reports whether a process that does not answer no longer exists: at
// least one list of balancers was received, and none of the member lists has a
// living balancer or host with the address of the process. Without this check
// --wait would fail if --admin contains the address of a replaced balancer.
func isReplaced(unreachable *processAnswer, answers []processAnswer) bool {
	membersFound := false
	for i := range answers {
		members := &answers[i].Members
		for _, balancer := range members.Balancers {
			membersFound = true
			if balancer.Living && balancer.AdminAddress == unreachable.Address {
				return false
			}
		}
		for _, host := range members.Hosts {
			if host.State != anvilglade.HostDead && host.State != anvilglade.HostLeft && host.AdminAddress == unreachable.Address {
				return false
			}
		}
	}
	return membersFound
}

// fetchHosts returns the host records of the first given address that has any, or
// nil if there is none.
func (c *operatorCommand) fetchHosts(ctx context.Context) []anvilglade.HostRecord {
	for _, address := range c.admin {
		answer := processAnswer{Address: address}
		fetchStatus(ctx, &answer)
		if answer.Err == nil && len(answer.Members.Hosts) > 0 {
			return answer.Members.Hosts
		}
	}
	return nil
}

// waitForRevision polls until the revision is in effect on every living balancer,
// and returns the exit code. After --wait-timeout it prints the balancers that
// still have an earlier revision or do not answer.
func (c *operatorCommand) waitForRevision(ctx context.Context, revision anvilglade.Revision) int {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.waitTimeout)
	defer cancel()
	start := time.Now()
	var report []string
	for {
		var lagging []string
		balancers := 0
		for _, answer := range c.queryProcesses(ctx, false) {
			if answer.Status.Host != "" {
				continue
			}
			balancers++
			if answer.Err != nil {
				lagging = append(lagging, answer.name()+" does not answer")
			} else if answer.Status.Revision < revision {
				lagging = append(lagging, fmt.Sprintf("%s has revision %d", answer.name(), answer.Status.Revision))
			}
		}
		if len(lagging) == 0 && balancers > 0 {
			fmt.Fprintf(os.Stderr, "Revision %d is in effect on %d balancers after %s.\n", revision, balancers, time.Since(start).Round(time.Millisecond))
			return ExitDone
		}
		// A round that was interrupted by the time limit is not reported: its
		// errors do not show the state of the processes.
		if ctx.Err() == nil || report == nil {
			report = lagging
		}
		select {
		case <-ctx.Done():
			fmt.Fprintf(os.Stderr, "Revision %d is accepted but not in effect everywhere:\n  %s\n", revision, strings.Join(report, "\n  "))
			return ExitFailed
		case <-time.After(pollInterval):
		}
	}
}

func newStatusVerb() Verb {
	return newOperatorVerb(action{run: showStatus})
}

// statusLine is one process in the output of 'status'.
type statusLine struct {
	Process  string
	Revision anvilglade.Revision
	Keys     anvilglade.Version
	Ready    string
	Lagging  bool
}

// showStatus prints the newest revision and the revision and keys that each process
// has in effect. The exit code is 1 if a process does not answer or has an earlier
// revision, or if the platform does not answer.
func showStatus(ctx context.Context, c *operatorCommand) int {
	snapshot, platformErr := c.read(ctx)
	code := ExitDone
	lines := []statusLine{}
	var rows [][]string
	for _, answer := range c.queryProcesses(ctx, true) {
		line := statusLine{Process: answer.name(), Revision: answer.Status.Revision, Keys: answer.Status.KeysVersion, Ready: answer.Ready}
		if answer.Err != nil {
			line.Ready = "no answer"
		}
		line.Lagging = answer.Err != nil || platformErr == nil && line.Revision < snapshot.Revision
		if line.Lagging {
			code = ExitFailed
		}
		lines = append(lines, line)
		rows = append(rows, []string{line.Process, strconv.FormatUint(uint64(line.Revision), 10), strconv.FormatUint(uint64(line.Keys), 10), line.Ready})
	}
	if platformErr != nil {
		code = ExitFailed
	}
	if c.json {
		problem := ""
		if platformErr != nil {
			problem = platformErr.Error()
		}
		c.printJSON(map[string]any{"Revision": snapshot.Revision, "Platform": problem, "Processes": lines})
		return code
	}
	if platformErr != nil {
		fmt.Printf("Platform: %v. The balancers keep their last revision.\n", platformErr)
	} else {
		fmt.Printf("Platform: revision %d\n", snapshot.Revision)
	}
	if len(rows) > 0 {
		printTable([]string{"PROCESS", "REVISION", "KEYS", "READY"}, rows)
	}
	return code
}
