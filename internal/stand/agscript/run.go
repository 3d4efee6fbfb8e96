package agscript

import (
	"os"
	"testing"
	"time"
)

// Directory is the directory of the scripts of a package.
const Directory = "testdata"

// Player runs one step at the given time and returns its result.
type Player func(t *testing.T, step *Step, now time.Time) string

// Run runs each script of Directory as a subtest, with a Player of its own, and compares
// the results of the steps with the expected ones.
func Run(t *testing.T, newPlayer func() Player) {
	t.Helper()
	scripts, err := Load(os.DirFS(Directory))
	if err != nil {
		t.Fatal(err)
	}
	start := time.Unix(1_000_000, 0)
	for _, script := range scripts {
		t.Run(script.Name, func(t *testing.T) {
			player := newPlayer()
			for i := range script.Steps {
				step := &script.Steps[i]
				if got := player(t, step, start.Add(step.At)); !step.Matches(got) {
					t.Errorf("%s\n got %s", step.Source, got)
				}
			}
		})
	}
}
