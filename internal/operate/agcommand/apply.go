package agcommand

import (
	"context"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/config/agconfig"
	"github.com/anvilglade/anvilglade/internal/config/agedit"
)

func newApplyVerb() Verb {
	return newOperatorVerb(action{
		edits: true,
		bind: func(c *operatorCommand) {
			c.positionalValue(&c.file, "FILE", "JSON or YAML with any of Routes, Pools, DataCentres, Hosts; '-' for standard input", true)
			c.subcommand.Bool(&c.noWrite, "", "dry-run", "print what would change and write nothing")
		},
		run: apply,
	})
}

// apply replaces the tables that the file contains. If the file has a Revision,
// later edits are kept or reported as conflicts. Otherwise the file replaces the
// current tables.
func apply(ctx context.Context, c *operatorCommand) int {
	file, err := readTables(c.file)
	if err != nil {
		return c.fail(err)
	}
	build := func(snapshot agedit.Snapshot) ([]agconfig.Change, error) {
		wanted := file
		if wanted.Revision == 0 {
			wanted.Revision = snapshot.Revision
		}
		return changesFrom(snapshot, wanted, func(tables anvilglade.Tables) anvilglade.Tables { return tables })
	}
	if !c.noWrite {
		return c.submit(ctx, file.Revision == 0, build)
	}
	snapshot, err := c.read(ctx)
	if err != nil {
		return c.fail(err)
	}
	changes, err := build(snapshot)
	if err != nil {
		return c.fail(err)
	}
	return c.dryRun(snapshot, changes)
}
