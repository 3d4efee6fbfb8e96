// Package agapi stands in for the platform's object API in tests.
//
// It keeps objects with versions, answers conditional updates and long-poll
// watches, and enforces rates of reads and writes. Its faults are scripted with
// POST /control: outage, slowness, writes whose answer is lost after they took
// effect, and stale answers. All draws come from the seed of the script.
//
// # Usage
//
//	server := agapi.NewServer(agapi.Options{})
//	http.Serve(listener, server)
//
//	curl -X POST localhost:7000/control -d '{"Seed":1,"Steps":[{"After":"2s","Faults":{"Outage":true}},{"After":"62s"}]}'
package agapi

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/anvilglade/anvilglade"
)

// Rates that the platform allows, in calls a second.
const (
	DefaultReadsPerSecond  = 2000
	DefaultWritesPerSecond = 300
)

const (
	maxValue     = 1 << 20
	maxWatchWait = time.Minute
	// stalePoll is how often a watch with stale answers looks again: a stale
	// view changes with time and not only with a write.
	stalePoll = 50 * time.Millisecond
)

// Options are the settings of the stand-in. Zero values take the defaults.
type Options struct {
	Clock           anvilglade.Clock
	ReadsPerSecond  float64
	WritesPerSecond float64
}

// Counts are the calls that the stand-in has seen. GET /control returns them.
type Counts struct {
	Reads, Writes, Watches, Refused, Conflicts, Lost, Unavailable uint64
}

// Server is the stand-in as an HTTP handler. It is safe for concurrent use.
type Server struct {
	objects *Objects
	faults  *player
	reads   *rate.Limiter
	writes  *rate.Limiter
	mux     *http.ServeMux

	readCount, writeCount, watchCount, refused, conflicts, lost, unavailable atomic.Uint64
}

// NewServer returns a stand-in without objects.
func NewServer(options Options) *Server {
	if options.Clock == nil {
		options.Clock = anvilglade.SystemClock{}
	}
	if options.ReadsPerSecond == 0 {
		options.ReadsPerSecond = DefaultReadsPerSecond
	}
	if options.WritesPerSecond == 0 {
		options.WritesPerSecond = DefaultWritesPerSecond
	}
	s := &Server{
		objects: NewObjects(options.Clock),
		faults:  newPlayer(options.Clock),
		reads:   rate.NewLimiter(rate.Limit(options.ReadsPerSecond), int(options.ReadsPerSecond)),
		writes:  rate.NewLimiter(rate.Limit(options.WritesPerSecond), int(options.WritesPerSecond)),
		mux:     http.NewServeMux(),
	}
	s.mux.HandleFunc("GET /v1/objects/{kind}", s.serveList)
	s.mux.HandleFunc("GET /v1/objects/{kind}/{name}", s.serveGet)
	s.mux.HandleFunc("PUT /v1/objects/{kind}/{name}", s.servePut)
	s.mux.HandleFunc("POST /control", s.serveControl)
	s.mux.HandleFunc("GET /control", s.serveCounts)
	return s
}

// Objects returns the state, for checks that pass by the faults.
func (s *Server) Objects() *Objects {
	return s.objects
}

// Play replaces the script of faults.
func (s *Server) Play(script Script) error {
	if err := script.check(); err != nil {
		return err
	}
	s.faults.play(script)
	return nil
}

// Counts returns the calls seen so far.
func (s *Server) Counts() Counts {
	return Counts{
		Reads: s.readCount.Load(), Writes: s.writeCount.Load(), Watches: s.watchCount.Load(),
		Refused: s.refused.Load(), Conflicts: s.conflicts.Load(), Lost: s.lost.Load(), Unavailable: s.unavailable.Load(),
	}
}

// ServeHTTP serves the object API and /control.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// enter applies rate, delay and outage. It returns false after it has answered.
func (s *Server) enter(w http.ResponseWriter, limiter *rate.Limiter) bool {
	write := limiter == s.writes
	if !limiter.Allow() {
		s.refused.Add(1)
		w.Header().Set("Retry-After", "1")
		http.Error(w, "rate limit", http.StatusTooManyRequests)
		return false
	}
	// The delay goes on when the caller gives up: a write can take effect
	// after its caller's timeout.
	time.Sleep(time.Duration(s.faults.now().Delay))
	if faults := s.faults.now(); faults.Outage || write && faults.WriteOutage {
		s.unavailable.Add(1)
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (s *Server) serveGet(w http.ResponseWriter, r *http.Request) {
	s.readCount.Add(1)
	if !s.enter(w, s.reads) {
		return
	}
	kind, name := r.PathValue("kind"), r.PathValue("name")
	if r.URL.Query().Has("watch") {
		s.serveWatch(w, r, kind, name)
		return
	}
	object, ok := s.objects.Get(kind, name, s.faults.age(bearer(r)))
	if !ok {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	writeObject(w, object)
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.watchCount.Add(1)
	after, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	if err != nil {
		http.Error(w, "watch is not a version", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("timeout"))
	if err != nil || wait < 0 || wait > maxWatchWait {
		http.Error(w, fmt.Sprintf("timeout is not a duration up to %s", maxWatchWait), http.StatusBadRequest)
		return
	}
	age := s.faults.age(bearer(r))
	end := time.NewTimer(wait)
	defer end.Stop()
	poll := time.NewTicker(stalePoll)
	defer poll.Stop()
	for {
		changed := s.objects.Changed()
		if s.faults.now().Outage {
			s.unavailable.Add(1)
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if object, ok := s.objects.Get(kind, name, age); ok && object.Version > anvilglade.Version(after) {
			writeObject(w, object)
			return
		}
		select {
		case <-changed:
		case <-poll.C:
		case <-end.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) serveList(w http.ResponseWriter, r *http.Request) {
	s.readCount.Add(1)
	if !s.enter(w, s.reads) {
		return
	}
	writeJSON(w, s.objects.List(r.PathValue("kind"), s.faults.age(bearer(r))))
}

func (s *Server) servePut(w http.ResponseWriter, r *http.Request) {
	s.writeCount.Add(1)
	// The body is read before the delay, so that a caller that gives up does
	// not cut its own write short.
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValue))
	if err != nil {
		http.Error(w, "value above 1 MB or cut short", http.StatusRequestEntityTooLarge)
		return
	}
	ifVersion, err := condition(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.enter(w, s.writes) {
		return
	}
	object := anvilglade.Object{Kind: r.PathValue("kind"), Name: r.PathValue("name"), Data: data}
	version, ok := s.objects.Put(object, ifVersion)
	if !ok {
		s.conflicts.Add(1)
		http.Error(w, "another version", http.StatusPreconditionFailed)
		return
	}
	if s.faults.loseAnswer() {
		s.lost.Add(1)
		// net/http closes the connection without an answer on this value.
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("ETag", etag(version))
	if ifVersion == 0 {
		w.WriteHeader(http.StatusCreated)
	}
}

// condition returns the version that a write requires.
func condition(r *http.Request) (anvilglade.Version, error) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, nil
	}
	version, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil || version == 0 {
		return 0, fmt.Errorf(`a write needs If-Match: "VERSION" or If-None-Match: *`)
	}
	return anvilglade.Version(version), nil
}

func (s *Server) serveControl(w http.ResponseWriter, r *http.Request) {
	var script Script
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxValue))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&script); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.Play(script); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Counts())
}

func bearer(r *http.Request) string {
	return strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
}

func etag(version anvilglade.Version) string {
	return `"` + strconv.FormatUint(uint64(version), 10) + `"`
}

func writeObject(w http.ResponseWriter, object anvilglade.Object) {
	w.Header().Set("ETag", etag(object.Version))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(object.Data)))
	_, _ = w.Write(object.Data)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
