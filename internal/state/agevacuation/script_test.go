package agevacuation_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/stand/agscript"
	"github.com/anvilglade/anvilglade/internal/state/agevacuation"
)

// player has the sets of a script by the name of their process. They differ only in the
// updates that they have received.
type player struct {
	sets map[string]*agevacuation.Set
}

// TestScripts runs each script in testdata. A position is ERA.REVISION.
func TestScripts(t *testing.T) {
	agscript.Run(t, func() agscript.Player {
		p := &player{sets: make(map[string]*agevacuation.Set)}
		return p.step
	})
}

func (p *player) step(t *testing.T, step *agscript.Step, now time.Time) string {
	t.Helper()
	set := p.set(step.Args[0])
	switch args := step.Args[1:]; step.Verb {
	case "List":
		set.Update(&anvilglade.EvacuationUpdate{Position: position(t, args[0]), Listed: true, Decisions: decisions(t, args[0], args[1:], true)}, now)
	case "Evacuate":
		set.Update(&anvilglade.EvacuationUpdate{Position: position(t, args[0]), Decisions: decisions(t, args[0], args[1:], true)}, now)
	case "End":
		set.Update(&anvilglade.EvacuationUpdate{Position: position(t, args[0]), Decisions: decisions(t, args[0], args[1:], false)}, now)
	case "From":
		set.Merge(p.set(args[0]).Evacuations(), now)
	case "OldBuild":
		old := anvilglade.Evacuations{Revision: position(t, args[0]).Revision}
		for _, name := range args[1:] {
			old.DataCentres = append(old.DataCentres, anvilglade.DataCentreID(name))
		}
		set.Merge(&old, now)
	case "Restart":
		p.sets[step.Args[0]] = agevacuation.NewSet()
		return ""
	default:
		t.Fatalf("unknown verb: %s", step.Source)
	}
	return describe(set)
}

func (p *player) set(name string) *agevacuation.Set {
	if p.sets[name] == nil {
		p.sets[name] = agevacuation.NewSet()
	}
	return p.sets[name]
}

// describe returns the evacuated data centres; a "?" follows those that the store lacks.
func describe(set *agevacuation.Set) string {
	missing := fmt.Sprint(set.Missing())
	var names []string
	for _, name := range set.Evacuations().DataCentres {
		text := string(name)
		if strings.Contains(missing, text) {
			text += "?"
		}
		names = append(names, text)
	}
	return strings.Join(names, " ")
}

func position(t *testing.T, text string) anvilglade.StorePosition {
	t.Helper()
	era, revision, _ := strings.Cut(text, ".")
	return anvilglade.StorePosition{Era: anvilglade.StoreEra(number(t, era)), Revision: anvilglade.StoreRevision(number(t, revision))}
}

func number(t *testing.T, text string) uint64 {
	t.Helper()
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

func decisions(t *testing.T, at string, names []string, evacuated bool) []anvilglade.EvacuationDecision {
	t.Helper()
	var list []anvilglade.EvacuationDecision
	for _, name := range names {
		list = append(list, anvilglade.EvacuationDecision{DataCentre: anvilglade.DataCentreID(name), Evacuated: evacuated, Position: position(t, at)})
	}
	return list
}
