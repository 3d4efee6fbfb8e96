package agcommand

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/config/agconfig"
	"github.com/anvilglade/anvilglade/internal/config/agedit"
)

const (
	snapshotFormat = 1
	snapshotMode   = 0o600
)

var errChecksum = errors.New("the checksum does not match; the file is damaged or was changed")

// snapshotFile is the format of a saved configuration. It contains no keys.
type snapshotFile struct {
	Format   int
	Revision anvilglade.Revision
	Time     time.Time
	// Checksum is the SHA-256 of the JSON of Tables, in hexadecimal.
	Checksum string
	Tables   anvilglade.Tables
}

func newSnapshotVerb() Verb {
	file := func(c *operatorCommand) { c.positionalValue(&c.file, "FILE", "file of the snapshot", true) }
	return newOperatorVerb(
		action{name: "save", summary: "write the tables to a file", example: "anvilglade snapshot save before.json", bind: file, run: saveSnapshot},
		action{name: "verify", summary: "check checksum and tables of a file", example: "anvilglade snapshot verify before.json", bind: file, run: verifySnapshot},
		action{
			name: "restore", summary: "print what a restore changes; with --yes restore as a new revision", edits: true,
			example: "anvilglade snapshot restore before.json --yes",
			bind: func(c *operatorCommand) {
				file(c)
				c.subcommand.Bool(&c.yes, "", "yes", "write the new revision")
			},
			run: restoreSnapshot,
		},
	)
}

func checksum(tables anvilglade.Tables) (string, error) {
	raw, err := json.Marshal(tables)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:]), nil
}

func saveSnapshot(ctx context.Context, c *operatorCommand) int {
	snapshot, err := c.read(ctx)
	if err != nil {
		return c.fail(err)
	}
	if snapshot.Revision == 0 {
		return c.fail(errors.New("there is no configuration to save"))
	}
	file := snapshotFile{Format: snapshotFormat, Revision: snapshot.Revision, Time: time.Now().UTC(), Tables: snapshot.Document.Tables}
	if file.Checksum, err = checksum(file.Tables); err != nil {
		return c.fail(err)
	}
	raw, err := json.MarshalIndent(file, "", "  ")
	if err != nil {
		return c.fail(err)
	}
	// The rename ensures that a file with this name is always complete.
	partial := c.file + ".partial"
	if err := os.WriteFile(partial, raw, snapshotMode); err != nil {
		return c.fail(err)
	}
	if err := os.Rename(partial, c.file); err != nil {
		return c.fail(err)
	}
	fmt.Printf("Saved revision %d, SHA-256 %s.\n", file.Revision, file.Checksum)
	return ExitDone
}

func loadSnapshot(path string) (snapshotFile, error) {
	var file snapshotFile
	raw, err := readFile(path)
	if err != nil {
		return file, err
	}
	if err := json.Unmarshal(raw, &file); err != nil {
		return file, fmt.Errorf("%s: %w", path, err)
	}
	if file.Format != snapshotFormat {
		return file, fmt.Errorf("%s: format %d is unknown, expected %d", path, file.Format, snapshotFormat)
	}
	sum, err := checksum(file.Tables)
	if err != nil {
		return file, err
	}
	if sum != file.Checksum {
		return file, fmt.Errorf("%s: %w", path, errChecksum)
	}
	return file, nil
}

func verifySnapshot(_ context.Context, c *operatorCommand) int {
	file, err := loadSnapshot(c.file)
	if err != nil {
		return c.fail(err)
	}
	if faults := agconfig.Validate(file.Tables, agconfig.Options{Force: true}); len(faults) > 0 {
		return c.fail(faults)
	}
	fmt.Printf("Sound: revision %d, SHA-256 %s, %d routes, %d pools, %d data centres, %d host overrides.\n",
		file.Revision, file.Checksum, len(file.Tables.Routes), len(file.Tables.Pools), len(file.Tables.DataCentres), len(file.Tables.Hosts))
	return ExitDone
}

func restoreSnapshot(ctx context.Context, c *operatorCommand) int {
	file, err := loadSnapshot(c.file)
	if err != nil {
		return c.fail(err)
	}
	build := func(snapshot agedit.Snapshot) ([]agconfig.Change, error) {
		return agconfig.Diff(snapshot.Document.Tables, file.Tables)
	}
	if c.yes {
		return c.submit(ctx, true, build)
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
