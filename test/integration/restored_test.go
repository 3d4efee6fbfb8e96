package integration

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/anvilglade/anvilglade/internal/stand/agemulator"
)

// Guards against changes of operators that are not in force after the store has been
// restored from an older copy.
func TestChangesAreInForceAfterTheStoreIsRestored(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "anvilglade")
	build := exec.CommandContext(context.Background(), "go", "build", "-o", program, "github.com/anvilglade/anvilglade/cmd/anvilglade")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	scenario, err := agemulator.ReadScenario(filepath.Join("..", "packets", "RestoredStore.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	for seed := range uint64(2) {
		report, err := agemulator.Run(context.Background(), agemulator.Options{Anvilglade: program, Scenario: scenario, Seed: seed + 1, Dir: dir})
		if err != nil {
			t.Fatal(err)
		}
		for _, note := range report.Notes {
			t.Errorf("seed %d: %s", seed+1, note)
		}
	}
}
