package agapi

import (
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/anvilglade/anvilglade"
)

// Faults are the misbehaviours in force at a time. The zero value has none.
type Faults struct {
	// Outage answers every call with 503 and applies nothing.
	Outage bool
	// WriteOutage does so for writes only.
	WriteOutage bool
	// Delay holds each call before it takes effect. A caller that gives up in
	// the meantime does not stop its write.
	Delay anvilglade.Duration
	// LostAnswers is the share of writes whose connection is closed after the
	// write took effect, 0 to 1.
	LostAnswers float64
	// StaleBy is the age of stale answers.
	StaleBy anvilglade.Duration
	// StaleShare is the share of reads that get a stale answer, 0 to 1.
	StaleShare float64
	// StaleTokens are the bearer tokens whose reads are all stale.
	StaleTokens []string
}

// Step puts faults in force some time after the script was given.
type Step struct {
	After  anvilglade.Duration
	Faults Faults
}

// Script is the body of POST /control. It replaces the former script. Steps are
// in the order of After.
type Script struct {
	Seed  uint64
	Steps []Step
}

// check returns every fault of the script.
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
		if time.Duration(step.Faults.StaleBy) > keepOld {
			faults = append(faults, errors.New("StaleBy is above 2m"))
		}
	}
	return errors.Join(faults...)
}

// player tells the faults in force and draws the random ones from one seed.
type player struct {
	clock anvilglade.Clock

	mu     sync.Mutex
	script Script
	start  time.Time
	random *rand.Rand
}

func newPlayer(clock anvilglade.Clock) *player {
	p := &player{clock: clock}
	p.play(Script{})
	return p
}

func (p *player) play(script Script) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.script = script
	p.start = p.clock.Now()
	p.random = rand.New(rand.NewPCG(script.Seed, script.Seed^0x9e3779b97f4a7c15))
}

func (p *player) now() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current()
}

func (p *player) current() Faults {
	elapsed := p.clock.Now().Sub(p.start)
	for _, step := range slices.Backward(p.script.Steps) {
		if time.Duration(step.After) <= elapsed {
			return step.Faults
		}
	}
	return Faults{}
}

// loseAnswer draws whether the answer of a write is lost.
func (p *player) loseAnswer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	share := p.current().LostAnswers
	return share > 0 && p.random.Float64() < share
}

// age draws how old the answer of a read is.
func (p *player) age(token string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	faults := p.current()
	if slices.Contains(faults.StaleTokens, token) || faults.StaleShare > 0 && p.random.Float64() < faults.StaleShare {
		return time.Duration(faults.StaleBy)
	}
	return 0
}
