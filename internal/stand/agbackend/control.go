package agbackend

// Fault injection: POST /control replaces the fields that its JSON body contains.

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/anvilglade/anvilglade"
)

// Control is the behaviour that a test requests. Shares are between 0 and 1.
type Control struct {
	// Health is the state that /health reports: "" for the actual state, "up" or
	// "down" for a fixed state. With "up", /load reports no slots in use.
	Health string
	// Lag is the age of the state that /health and /load report.
	Lag anvilglade.Duration
	// Draining makes the server refuse all new requests.
	Draining       bool
	FailShare      float64
	TruncatedShare float64
	ResetShare     float64
	// Slots replaces the configured slots if it is above 0.
	Slots int
	// Speed divides the service time; 0 means 1.
	Speed float64
	// TurnCold makes the server cold at once. It is not stored.
	TurnCold bool `json:",omitempty"`
	// Known means, with TurnCold, that the server was out of service, so that
	// agents have to expect a cold server. It is not stored.
	Known bool `json:",omitempty"`
}

func (s *Server) serveControl(w http.ResponseWriter, r *http.Request) {
	s.load.mu.Lock()
	control := s.load.control
	s.load.mu.Unlock()
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&control); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	turn, expected := control.TurnCold, control.Known
	control.TurnCold, control.Known = false, false
	s.load.mu.Lock()
	s.load.control = control
	s.load.mu.Unlock()
	if turn {
		s.load.turnCold(time.Now(), expected)
	}
	writeJSON(w, control)
}

func (s *Server) control() Control {
	s.load.mu.Lock()
	defer s.load.mu.Unlock()
	return s.load.control
}
