package agapi

import (
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/anvilglade/anvilglade"
)

// Faults are the faults that are active at a time. The zero value has none.
type Faults struct {
	// Outage answers every call with status 503. Writes are not applied.
	Outage bool
	// WriteOutage answers every write with status 503 and does not apply it.
	WriteOutage bool
	// Delay is the delay of each call before it takes effect. A client that gives
	// up in the meantime does not cancel its write.
	Delay anvilglade.Duration
	// LostAnswers is the share of writes that are applied, but whose connection is
	// closed without an answer, 0 to 1.
	LostAnswers float64
	// StaleBy is the age of stale answers, at most 2 minutes.
	StaleBy anvilglade.Duration
	// StaleShare is the share of reads that get a stale answer, 0 to 1.
	StaleShare float64
	// StaleTokens are the bearer tokens of clients that get only stale answers.
	StaleTokens []string
}

// Step activates faults at the time After since the start of the script. They
// replace the faults of the step before.
type Step struct {
	After  anvilglade.Duration
	Faults Faults
}

// Script is the body of POST /control. It replaces the previous script. Steps must
// be in the order of After; Seed determines the random draws.
type Script struct {
	Seed  uint64
	Steps []Step
}

// check returns an error that lists all invalid values of the script.
func (s *Script) check() error {
	var faults []error
	for i, step := range s.Steps {
		if i > 0 && step.After < s.Steps[i-1].After {
			faults = append(faults, errors.New("steps are not in the order of After"))
		}
		if share := step.Faults.LostAnswers; share < 0 || share > 1 {
			faults = append(faults, errors.New("LostAnswers is not within 0 to 1"))
		}
		if share := step.Faults.StaleShare; share < 0 || share > 1 {
			faults = append(faults, errors.New("StaleShare is not within 0 to 1"))
		}
		if time.Duration(step.Faults.StaleBy) > versionRetention {
			faults = append(faults, errors.New("StaleBy is above 2m"))
		}
	}
	return errors.Join(faults...)
}

// faultPlayer plays a script: it returns the active faults and makes the random
// draws from the seed of the script.
type faultPlayer struct {
	clock anvilglade.Clock

	mu     sync.Mutex
	script Script
	start  time.Time
	random *rand.Rand
}

func newFaultPlayer(clock anvilglade.Clock) *faultPlayer {
	p := &faultPlayer{clock: clock}
	p.play(Script{})
	return p
}

func (p *faultPlayer) play(script Script) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.script = script
	p.start = p.clock.Now()
	p.random = rand.New(rand.NewPCG(script.Seed, script.Seed^0x9e3779b97f4a7c15))
}

func (p *faultPlayer) active() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.activeLocked()
}

func (p *faultPlayer) activeLocked() Faults {
	elapsed := p.clock.Now().Sub(p.start)
	for _, step := range slices.Backward(p.script.Steps) {
		if time.Duration(step.After) <= elapsed {
			return step.Faults
		}
	}
	return Faults{}
}

// loseAnswer randomly decides whether the answer to a write is lost.
func (p *faultPlayer) loseAnswer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	share := p.activeLocked().LostAnswers
	return share > 0 && p.random.Float64() < share
}

// drawAge randomly decides the age of the answer to a read; 0 is the current state.
func (p *faultPlayer) drawAge(token string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	faults := p.activeLocked()
	if slices.Contains(faults.StaleTokens, token) || faults.StaleShare > 0 && p.random.Float64() < faults.StaleShare {
		return time.Duration(faults.StaleBy)
	}
	return 0
}
