package agstand

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/integrii/flaggy"

	"github.com/anvilglade/anvilglade/internal/operate/agsettings"
	"github.com/anvilglade/anvilglade/internal/stand/agemulator"
)

const (
	maxSeed = 1 << 30
	maxRuns = 10_000
	// soakTroubles is the number of troubles in each run of a soak test.
	soakTroubles = 8
)

// emulateVerb runs a scenario of packet services on an emulated platform, once or
// as a soak test whose troubles are generated from seeds.
type emulateVerb struct {
	set        *agsettings.Set
	anvilglade string
	scenario   string
	seed       int
	soak       int
	plot       string
	dir        string
	minServed  int
}

func newEmulateVerb() Verb {
	return &emulateVerb{}
}

// Bind adds the settings of a run.
func (v *emulateVerb) Bind(subcommand *flaggy.Subcommand) {
	v.set = agsettings.NewSet(subcommand)
	v.set.Text(&v.anvilglade, "anvilglade", "path of the anvilglade binary", agsettings.Required)
	v.set.Text(&v.scenario, "scenario", "scenario file", agsettings.Required)
	v.set.Int(&v.seed, "seed", "seed of all draws", "1", 0, maxSeed)
	v.set.Int(&v.soak, "soak", "runs with troubles drawn from seeds that follow each other; 0 plays the troubles of the file", "0", 0, maxRuns)
	v.set.Int(&v.minServed, "min-served", "percentage of the requests that must be served", "0", 0, 100)
	v.set.Text(&v.plot, "plot", "file for a picture of the result, .svg or .png", "")
	v.set.Text(&v.dir, "dir", "folder for settings and logs; empty stands for a temporary one", "")
}

// Run runs the scenario and prints its table. It returns ExitFailed if a run breaks
// a promise or serves too few requests.
func (v *emulateVerb) Run(ctx context.Context) int {
	if err := v.set.Check(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage
	}
	scenario, err := agemulator.ReadScenario(v.scenario)
	if err != nil {
		fmt.Fprintln(os.Stderr, "emulate:", err)
		return ExitUsage
	}
	passed, failed := 0, 0
	for i := range max(v.soak, 1) {
		seed := uint64(v.seed + i)
		if v.soak > 0 {
			random := rand.New(rand.NewPCG(seed, 2))
			scenario.Troubles = agemulator.DrawTroubles(random, time.Duration(scenario.Duration), soakTroubles)
		}
		good, err := v.play(ctx, scenario, seed)
		if err != nil {
			fmt.Fprintln(os.Stderr, "emulate:", err)
			return ExitFailed
		}
		if good {
			passed++
		} else {
			failed++
		}
	}
	fmt.Printf("%d passed, %d failed\n", passed, failed)
	if failed > 0 {
		return ExitFailed
	}
	return ExitDone
}

// play runs the scenario once and reports whether the run passed. The logs of a
// failed run are kept.
func (v *emulateVerb) play(ctx context.Context, scenario agemulator.Scenario, seed uint64) (bool, error) {
	dir, err := os.MkdirTemp(v.dir, fmt.Sprintf("emulate-%d-", seed))
	if err != nil {
		return false, err
	}
	report, err := agemulator.Run(ctx, agemulator.Options{Anvilglade: v.anvilglade, Scenario: scenario, Seed: seed, Dir: dir})
	if err != nil {
		return false, err
	}
	if err := report.WriteTable(os.Stdout); err != nil {
		return false, err
	}
	if v.plot != "" {
		if err := report.WritePlot(v.plot); err != nil {
			return false, err
		}
	}
	good := report.BrokenPromises() == 0 && report.Served()*100 >= float64(v.minServed)
	if !good {
		fmt.Println("logs are in", filepath.Clean(dir))
		return false, nil
	}
	return true, os.RemoveAll(dir)
}
