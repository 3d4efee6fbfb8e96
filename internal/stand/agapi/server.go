// Package agapi is a test double of the platform's object API.
//
// It stores versioned objects, supports conditional updates and long-poll watches,
// and limits the rates of reads and writes. POST /control sets a script of faults:
// outages, delays, writes that are applied but whose answer is lost, and stale
// answers. All random draws come from the seed of the script.
//
// # Usage
//
//	server := agapi.NewServer(agapi.Options{})
//	http.Serve(listener, server)
//
//	curl -X POST localhost:7000/control -d '{"Seed":1,"Steps":[{"After":"2s","Faults":{"Outage":true}},{"After":"62s"}]}'
package agapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/anvilglade/anvilglade"
	agplatform "github.com/anvilglade/anvilglade/platform"
)

// Default rate limits, in calls per second. They are the limits of the platform.
const (
	DefaultReadsPerSecond  = 2000
	DefaultWritesPerSecond = 300
)

const (
	maxValue = 1 << 20
	// stalePoll is the interval at which watches check for changes without a write,
	// because a stale view also changes over time.
	stalePoll = 50 * time.Millisecond
)

// Options are the settings of a server. Zero values select the defaults.
type Options struct {
	Clock           anvilglade.Clock
	ReadsPerSecond  float64
	WritesPerSecond float64
}

// Counts are the numbers of calls received, by kind and outcome. GET /control
// returns them.
type Counts struct {
	Reads, Writes, Watches, Refused, Conflicts, Lost, Unavailable uint64
}

// Server is the test double as an HTTP handler. It is safe for concurrent use.
type Server struct {
	objects *Objects
	faults  *faultPlayer
	reads   *rate.Limiter
	writes  *rate.Limiter
	mux     *http.ServeMux

	// dropped is closed when the watches that wait are dropped.
	droppedMu sync.Mutex
	dropped   chan struct{}

	readCount, writeCount, watchCount, refused, conflicts, lost, unavailable atomic.Uint64
}

// NewServer returns a server without objects.
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
		faults:  newFaultPlayer(options.Clock),
		reads:   rate.NewLimiter(rate.Limit(options.ReadsPerSecond), int(options.ReadsPerSecond)),
		writes:  rate.NewLimiter(rate.Limit(options.WritesPerSecond), int(options.WritesPerSecond)),
		mux:     http.NewServeMux(),
		dropped: make(chan struct{}),
	}
	s.mux.Handle("/objects/", s.withFaults(agplatform.NewStoreHandler(&backend{server: s})))
	s.mux.HandleFunc("POST /control", s.serveControl)
	s.mux.HandleFunc("GET /control", s.serveCounts)
	return s
}

// Objects returns the state of the server. Access through it bypasses the faults.
func (s *Server) Objects() *Objects {
	return s.objects
}

// Play replaces the script of faults and starts the new one. It returns an error
// that lists all invalid values of the script.
func (s *Server) Play(script Script) error {
	if err := script.check(); err != nil {
		return err
	}
	s.faults.play(script)
	return nil
}

// DropWatches leaves all watches that wait now without an answer for good, as a store does
// that has lost them. Their connections stay open, and later calls are answered.
func (s *Server) DropWatches() {
	s.droppedMu.Lock()
	defer s.droppedMu.Unlock()
	close(s.dropped)
	s.dropped = make(chan struct{})
}

// whenDropped returns a channel that is closed by the next DropWatches.
func (s *Server) whenDropped() <-chan struct{} {
	s.droppedMu.Lock()
	defer s.droppedMu.Unlock()
	return s.dropped
}

// Counts returns the numbers of calls received so far.
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

// withFaults wraps the handler of the store's protocol with rate limits, delays,
// outages, lost answers and stale answers.
func (s *Server) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		write := r.Method != http.MethodGet
		if write {
			s.writeCount.Add(1)
		} else {
			s.readCount.Add(1)
		}
		// The body is read before the delay, so that a client that gives up during
		// the delay does not truncate its write.
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 2*maxValue))
		if err != nil {
			http.Error(w, "value above 1 MB or cut short", http.StatusRequestEntityTooLarge)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		agplatform.SetEra(w.Header(), s.objects.Position().Era)
		if !s.admit(w, write) {
			return
		}
		ctx := context.WithValue(r.Context(), ageKey{}, s.faults.drawAge(bearer(r)))
		recorder := &statusRecorder{ResponseWriter: w}
		if write && s.faults.loseAnswer() {
			// The write takes effect even if the client has disconnected.
			next.ServeHTTP(&statusRecorder{ResponseWriter: discardWriter{}}, r.WithContext(ctx))
			s.lost.Add(1)
			// On this panic value net/http closes the connection without an answer.
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(recorder, r.WithContext(ctx))
		if recorder.status == http.StatusConflict {
			s.conflicts.Add(1)
		}
	})
}

// ageKey is the context key for the age of the answer to a request.
type ageKey struct{}

func ageOf(ctx context.Context) time.Duration {
	age, _ := ctx.Value(ageKey{}).(time.Duration)
	return age
}

// statusRecorder records the status of an answer.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader records the status and writes it to the underlying writer.
func (r *statusRecorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// discardWriter is the response writer of a lost answer. It discards everything.
type discardWriter struct{}

// Header returns a new header, which is discarded.
func (discardWriter) Header() http.Header { return http.Header{} }

// Write discards the data.
func (discardWriter) Write(data []byte) (int, error) { return len(data), nil }

// WriteHeader discards the status.
func (discardWriter) WriteHeader(int) {}

// admit applies the rate limit, the delay and outages. It returns false if it has
// answered the call with an error.
func (s *Server) admit(w http.ResponseWriter, write bool) bool {
	limiter := s.reads
	if write {
		limiter = s.writes
	}
	if !limiter.Allow() {
		s.refused.Add(1)
		w.Header().Set("Retry-After", "1")
		http.Error(w, "rate limit", http.StatusTooManyRequests)
		return false
	}
	// The delay ignores the request's context, so that a write can take effect
	// after its client has timed out.
	time.Sleep(time.Duration(s.faults.active().Delay))
	if faults := s.faults.active(); faults.Outage || write && faults.WriteOutage {
		s.unavailable.Add(1)
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return false
	}
	return true
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

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
