package agbackend

// Faults on request: POST /control replaces the fields that its JSON names.

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/anvilglade/anvilglade"
)

// Control is the behaviour that a scenario asks for. Shares are between 0 and 1.
type Control struct {
	// Health is "" for the truth, "up" or "down" for a fixed claim.
	Health string
	// Lag is the age of what /health and /load claim.
	Lag anvilglade.Duration
	// Draining sheds all new requests.
	Draining       bool
	FailShare      float64
	TruncatedShare float64
	ResetShare     float64
	// Slots replaces the configured slots if it is above 0.
	Slots int
	// Speed divides the service time; 0 is 1.
	Speed float64
	// TurnCold makes the server cold now; it is not kept.
	TurnCold bool `json:",omitempty"`
	// Known says with TurnCold that the server was out of service.
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
	turn, known := control.TurnCold, control.Known
	control.TurnCold, control.Known = false, false
	s.load.mu.Lock()
	s.load.control = control
	s.load.mu.Unlock()
	if turn {
		s.load.turnCold(time.Now(), known)
	}
	writeJSON(w, control)
}

func (s *Server) control() Control {
	s.load.mu.Lock()
	defer s.load.mu.Unlock()
	return s.load.control
}
