package agbackend

// The HTTP and UDP handlers of the server.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Headers of requests and responses between agents and backend servers.
const (
	HeaderRequestID = "Anvilglade-Request-Id"
	HeaderTimeout   = "Anvilglade-Timeout"
	HeaderNotRun    = "Anvilglade-Not-Run"
	HeaderKey       = "Idempotency-Key"
	// HeaderHost is a response header with the name of the host that answered. Only
	// tests read it.
	HeaderHost = "Agstand-Host"
)

const (
	maxBody       = 1 << 20
	alertInterval = time.Second
)

// Datagram is the answer to a UDP datagram.
type Datagram struct {
	Service     string
	Host        string
	Incarnation int64
	Echo        string
}

// Alert is one line of the answer to GET /alerts.
type Alert struct {
	Service     string
	Host        string
	Incarnation int64
	Number      int
}

func (s *Server) handler(service string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /echo", func(w http.ResponseWriter, r *http.Request) { s.serveWork(w, r, service, s.writeEcho) })
	mux.HandleFunc("POST /reports", func(w http.ResponseWriter, r *http.Request) { s.serveWork(w, r, service, s.writeReport) })
	mux.HandleFunc("GET /alerts", func(w http.ResponseWriter, r *http.Request) { s.serveAlerts(w, r, service) })
	mux.HandleFunc("GET /health", s.serveHealth)
	mux.HandleFunc("GET /load", s.serveLoad)
	mux.HandleFunc("GET /journal", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.journalSnapshot()) })
	mux.HandleFunc("POST /control", s.serveControl)
	return mux
}

// workItem is one request that the server processes.
type workItem struct {
	entry   Entry
	index   int
	body    []byte
	started time.Time
}

// answerWriter writes the response to a completed request.
type answerWriter func(w http.ResponseWriter, r *http.Request, item *workItem)

func (s *Server) serveWork(w http.ResponseWriter, r *http.Request, service string, write answerWriter) {
	item, err := s.read(r, service)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	decision := s.load.begin(time.Now(), false)
	if decision.verdict == verdictOverload {
		// If the load still exceeds the limit after the grace period, the server
		// becomes unresponsive.
		time.Sleep(overloadGrace)
		decision = s.load.begin(time.Now(), true)
	}
	item.entry.Load, item.entry.Limit, item.entry.Noticed = decision.load, decision.limit, decision.coldDetectable
	item.entry.Over = decision.load > decision.limit
	item.entry.Start, item.entry.Outcome = time.Now(), OutcomeRunning
	item.entry.Ran = decision.verdict == verdictRun
	item.started = item.entry.Start
	item.index = s.journal.add(item.entry)
	switch decision.verdict {
	case verdictShed:
		s.journal.finish(item.index, OutcomeShed)
		w.Header().Set(HeaderNotRun, "true")
		http.Error(w, "no free slot", http.StatusServiceUnavailable)
	case verdictHang:
		s.hang(r)
		s.journal.finish(item.index, OutcomeHung)
		panic(http.ErrAbortHandler)
	default:
		s.run(w, r, item, decision.slowdown, write)
	}
}

func (s *Server) read(r *http.Request, service string) (*workItem, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	query := r.URL.Query()
	entry := Entry{
		ID:      r.Header.Get(HeaderRequestID),
		Key:     r.Header.Get(HeaderKey),
		Seed:    query.Get("seed"),
		Path:    r.URL.Path,
		Service: service,
	}
	if r.Method == http.MethodPost {
		entry.Report, _, _ = strings.Cut(string(body), " ")
	}
	entry.TimeoutMillis, _ = strconv.ParseInt(r.Header.Get(HeaderTimeout), 10, 64)
	entry.DeadlineMillis, _ = strconv.ParseInt(query.Get("deadline"), 10, 64)
	return &workItem{entry: entry, body: body}, nil
}

// hang blocks until the server has recovered or the client has disconnected.
func (s *Server) hang(r *http.Request) {
	s.load.mu.Lock()
	until := s.load.unresponsiveUntil
	s.load.mu.Unlock()
	select {
	case <-r.Context().Done():
	case <-time.After(time.Until(until)):
	}
}

func (s *Server) run(w http.ResponseWriter, r *http.Request, item *workItem, slowdown float64, write answerWriter) {
	control := s.control()
	ctx, cancel := r.Context(), context.CancelFunc(func() {})
	if item.entry.TimeoutMillis > 0 {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(item.entry.TimeoutMillis)*time.Millisecond)
	}
	defer cancel()
	timer := time.NewTimer(s.workTime(r, control, slowdown))
	defer timer.Stop()
	outcome := OutcomeAnswered
	select {
	case <-timer.C:
	case <-ctx.Done():
		outcome = OutcomeCanceled
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			outcome = OutcomeTimedOut
		}
	}
	switch {
	case outcome != OutcomeAnswered:
	case s.randomSource.chance(control.FailShare):
		outcome = OutcomeFailed
	case s.randomSource.chance(control.TruncatedShare):
		outcome = OutcomeTruncated
	case s.randomSource.chance(control.ResetShare):
		outcome = OutcomeReset
	}
	// The slot is released before the answer is sent, because the agent may send
	// the next request as soon as it has the answer.
	now := time.Now()
	s.journal.finish(item.index, outcome)
	s.load.end(item.started, now, outcome == OutcomeAnswered)
	s.respond(w, r, item, outcome, write)
}

func (s *Server) respond(w http.ResponseWriter, r *http.Request, item *workItem, outcome string, write answerWriter) {
	w.Header().Set(HeaderHost, s.options.Host)
	switch outcome {
	case OutcomeAnswered:
		write(w, r, item)
	case OutcomeFailed:
		http.Error(w, "the request failed", http.StatusInternalServerError)
	case OutcomeTimedOut:
		http.Error(w, "the deadline passed", http.StatusGatewayTimeout)
	case OutcomeTruncated:
		write(&truncatingWriter{ResponseWriter: w}, r, item)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	default:
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) workTime(r *http.Request, control Control, slowdown float64) time.Duration {
	base := s.options.ServiceTime
	if text := r.URL.Query().Get("work"); text != "" {
		if parsed, err := time.ParseDuration(text); err == nil {
			base = parsed
		}
	}
	if control.Speed > 0 {
		base = time.Duration(float64(base) / control.Speed)
	}
	return time.Duration(float64(base) * slowdown)
}

func (s *Server) writeEcho(w http.ResponseWriter, r *http.Request, item *workItem) {
	size, err := strconv.Atoi(r.URL.Query().Get("size"))
	if err != nil || size < 0 {
		http.Error(w, "size is not a number of bytes", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(size))
	_, _ = io.Copy(w, NewBody(item.entry.Seed, size))
}

func (s *Server) writeReport(w http.ResponseWriter, _ *http.Request, item *workItem) {
	w.Header().Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintf(w, "run %d\n%s", item.index, item.body) //nolint:gosec // the answer is plain text for test callers
}

// truncatingWriter writes only the first half of the declared content length.
type truncatingWriter struct {
	http.ResponseWriter

	written int
}

// Write discards the data beyond half of the declared content length.
func (t *truncatingWriter) Write(data []byte) (int, error) {
	declared, err := strconv.Atoi(t.Header().Get("Content-Length"))
	if err != nil {
		declared = len(data)
	}
	keep := min(len(data), max(declared/2-t.written, 0))
	t.written += keep
	if _, err := t.ResponseWriter.Write(data[:keep]); err != nil {
		return 0, err
	}
	return len(data), nil
}

func (s *Server) serveAlerts(w http.ResponseWriter, r *http.Request, service string) {
	if s.control().Draining || !s.load.openConnection() {
		w.Header().Set(HeaderNotRun, "true")
		http.Error(w, "no free connection", http.StatusServiceUnavailable)
		return
	}
	defer s.load.closeConnection()
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.Header().Set(HeaderHost, s.options.Host)
	ticker := time.NewTicker(alertInterval)
	defer ticker.Stop()
	encoder := json.NewEncoder(w)
	for number := 0; ; number++ {
		if err := encoder.Encode(Alert{Service: service, Host: s.options.Host, Incarnation: s.incarnation, Number: number}); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	up := s.load.reported(time.Now()).up
	switch s.control().Health {
	case "up":
		up = true
	case "down":
		up = false
	}
	if !up {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(w, "up")
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	state := s.load.reported(time.Now())
	if s.control().Health == "up" {
		// See Control.Health.
		state.inUse = 0
	}
	s.load.mu.Lock()
	slots, connections := s.load.slots(), s.load.connections
	s.load.mu.Unlock()
	writeJSON(w, map[string]int{"Slots": slots, "InUse": state.inUse, "Connections": connections})
}

func (s *Server) serveDatagrams(ctx context.Context, packets *net.UDPConn, service string) error {
	buf := make([]byte, datagramSize)
	for {
		n, from, err := packets.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return fmt.Errorf("read datagram: %w", err)
		}
		reply, err := json.Marshal(Datagram{Service: service, Host: s.options.Host, Incarnation: s.incarnation, Echo: string(buf[:n])})
		if err != nil {
			return fmt.Errorf("encode datagram: %w", err)
		}
		// A write can fail because an earlier reply did not reach its receiver.
		_, _ = packets.WriteToUDPAddrPort(reply, from)
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
