package agcommand

// Runs the cases under testdata/cases. The file cmd of a case contains one command
// per line, the file expected the commands with their output and exit codes. With
// UPDATE=1 in the environment the test overwrites the file expected; review the
// difference before you commit it.
//
// Lines that start with '@' change the environment of the commands: "@faults
// JSON" sets the faults of the object API, "@admin N" the revision that the
// balancer of the case reports, "@keys N" its version of the keys, "@host NAME
// DATA-CENTRE" adds a host to its member list, "@stall N" lets it answer N status
// requests and leave the next ones unanswered. $DIR is the folder of the case,
// $TMP a temporary folder, $ADMIN the admin address of the balancer, $GONE an
// address without a listener, $EDIT1 the first edit id in the output.

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/observe/agevent"
	"github.com/anvilglade/anvilglade/internal/stand/agapi"
)

type caseRun struct {
	t       *testing.T
	stand   *agapi.Server
	status  processStatus
	members anvilglade.Members
	names   map[string]string
	edits   []string
	// stalls is set if the balancer answers only remaining further status requests.
	stalls    bool
	remaining atomic.Int64
}

var (
	editPattern     = regexp.MustCompile(`\b[A-Z2-7]{26}\b`)
	timePattern     = regexp.MustCompile(`\d{4}-\d\d-\d\dT[0-9:.]+Z`)
	datePattern     = regexp.MustCompile(`valid until \d{4}-\d\d-\d\d`)
	hexPattern      = regexp.MustCompile(`\b[0-9a-f]{64}\b`)
	durationPattern = regexp.MustCompile(`after \d+m?s`)
	wordPattern     = regexp.MustCompile(`'[^']*'|\S+`)
)

// Guards against unintended changes of the output, exit codes and effects of the
// commands, on which scripts and operators rely.
func TestCases(t *testing.T) {
	folders, err := filepath.Glob("testdata/cases/*")
	if err != nil || len(folders) == 0 {
		t.Fatalf("no cases: %v", err)
	}
	for _, folder := range folders {
		t.Run(filepath.Base(folder), func(t *testing.T) { runCase(t, folder) })
	}
}

func runCase(t *testing.T, folder string) {
	run := &caseRun{t: t, stand: agapi.NewServer(agapi.Options{}), names: map[string]string{}}
	platform := httptest.NewServer(run.stand)
	t.Cleanup(platform.Close)
	admin := httptest.NewServer(http.HandlerFunc(run.serveAdmin))
	t.Cleanup(admin.Close)
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	run.status = processStatus{Balancer: "b1"}
	t.Setenv("ANVILGLADE_PLATFORM", platform.URL)
	t.Setenv("ANVILGLADE_AUTHOR", "ada")
	run.names = map[string]string{
		"$DIR": folder, "$TMP": t.TempDir(), "$PLATFORM": platform.URL,
		"$ADMIN": strings.TrimPrefix(admin.URL, "http://"), "$GONE": strings.TrimPrefix(gone.URL, "http://"),
	}
	script, err := os.ReadFile(filepath.Join(folder, "cmd"))
	if err != nil {
		t.Fatal(err)
	}
	var output strings.Builder
	for line := range strings.SplitSeq(strings.TrimSpace(string(script)), "\n") {
		fmt.Fprintf(&output, "$ %s\n%s", line, run.line(line))
	}
	path := filepath.Join(folder, "expected")
	if os.Getenv("UPDATE") != "" {
		if err := os.WriteFile(path, []byte(output.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	expected, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if output.String() != string(expected) {
		t.Errorf("output differs from %s:\n%s", path, output.String())
	}
}

// serveAdmin serves the admin paths of a balancer with the status and members of
// the case.
func (r *caseRun) serveAdmin(w http.ResponseWriter, request *http.Request) {
	switch request.URL.Path {
	case "/status":
		if r.stalls && r.remaining.Add(-1) < 0 {
			<-request.Context().Done()
			return
		}
		_ = json.NewEncoder(w).Encode(r.status)
	case "/members":
		_ = json.NewEncoder(w).Encode(r.members)
	case "/events":
		clock := anvilglade.Timestamp(1_800_000_000_000 << 16)
		_ = json.NewEncoder(w).Encode([]anvilglade.Event{
			{Time: clock, Process: "balancer/b1", Type: agevent.RevisionAdopted, Revision: 3},
			{Time: clock + 1<<16, Process: "agent/dk1-a1", Type: agevent.HostJoined, Host: "dk1-a1", Detail: "<b>"},
		})
	default:
		_, _ = io.WriteString(w, "ready")
	}
}

// line runs one line of a case and returns its normalised output.
func (r *caseRun) line(line string) string {
	words := wordPattern.FindAllString(line, -1)
	for i, word := range words {
		word = strings.Trim(word, "'")
		for name, value := range r.names {
			word = strings.ReplaceAll(word, name, value)
		}
		words[i] = word
	}
	switch words[0] {
	case "@faults":
		var faults agapi.Faults
		if err := json.Unmarshal([]byte(words[1]), &faults); err != nil {
			r.t.Fatal(err)
		}
		if err := r.stand.Play(agapi.Script{Seed: 1, Steps: []agapi.Step{{Faults: faults}}}); err != nil {
			r.t.Fatal(err)
		}
		return ""
	case "@admin", "@keys", "@stall":
		number, err := strconv.ParseUint(words[1], 10, 64)
		if err != nil {
			r.t.Fatal(err)
		}
		switch words[0] {
		case "@keys":
			r.status.KeysVersion = anvilglade.Version(number)
		case "@admin":
			r.status.Revision = anvilglade.Revision(number)
		case "@stall":
			r.stalls = true
			r.remaining.Store(int64(number))
		}
		return ""
	case "@host":
		r.members.Hosts = append(r.members.Hosts, anvilglade.HostRecord{
			Host: anvilglade.HostID(words[1]), DataCentre: anvilglade.DataCentreID(words[2]), State: anvilglade.HostActive,
		})
		return ""
	}
	text, code := r.capture(words[1:])
	return fmt.Sprintf("%sexit %d\n", r.normalise(text), code)
}

// capture runs a command and returns its output and exit code.
func (r *caseRun) capture(args []string) (string, int) {
	file, err := os.CreateTemp(r.t.TempDir(), "output")
	if err != nil {
		r.t.Fatal(err)
	}
	defer file.Close()
	stdout, stderr := os.Stdout, os.Stderr
	os.Stdout, os.Stderr = file, file
	code := Run(args)
	os.Stdout, os.Stderr = stdout, stderr
	text, err := os.ReadFile(file.Name())
	if err != nil {
		r.t.Fatal(err)
	}
	return string(text), code
}

// normalise replaces the parts of an output that differ from run to run, such as
// edit ids and times, by placeholders.
func (r *caseRun) normalise(text string) string {
	for _, id := range editPattern.FindAllString(text, -1) {
		seen := false
		for _, edit := range r.edits {
			seen = seen || edit == id
		}
		if !seen {
			r.edits = append(r.edits, id)
			r.names["$EDIT"+strconv.Itoa(len(r.edits))] = id
		}
	}
	for name, value := range r.names {
		text = strings.ReplaceAll(text, value, name)
	}
	text = timePattern.ReplaceAllString(text, "TIME")
	text = datePattern.ReplaceAllString(text, "valid until DATE")
	text = hexPattern.ReplaceAllString(text, "HEX")
	return durationPattern.ReplaceAllString(text, "after TIME")
}
