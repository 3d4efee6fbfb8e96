package agcommand

// The common part of the operators' subcommands: nested actions, shared settings
// and edits of the configuration.

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"github.com/anvilglade/anvilglade/internal/config/agconfig"
	"github.com/anvilglade/anvilglade/internal/config/agedit"
	"github.com/anvilglade/anvilglade/internal/operate/agsettings"
	agplatform "github.com/anvilglade/anvilglade/platform"
)

const (
	minTimeout = 100 * time.Millisecond
	maxTimeout = 10 * time.Minute
)

// errUsage is wrapped by errors that lead to ExitUsage.
var errUsage = errors.New("wrong usage")

// action is one operation of an operator subcommand.
type action struct {
	name    string
	summary string
	example string
	// edits is set for actions that have the flags of an edit.
	edits bool
	// bind declares positional values and flags of the action; it may be nil.
	bind func(c *operatorCommand)
	run  func(ctx context.Context, c *operatorCommand) int
}

// operatorCommand holds the flags and positional values of one action.
type operatorCommand struct {
	subcommand *flaggy.Subcommand
	settings   *agsettings.Set

	platform, token, author, comment string
	timeout, waitTimeout             time.Duration
	admin                            []netip.AddrPort
	json, wait, force                bool

	// Positional values.
	first, second, third string
	// Values of flags that belong to several actions.
	editID, base, revision, file string
	yaml, yes, noWrite           bool

	pool       poolFlags
	centre     centreFlags
	timeline   timelineFlags
	keys       keyFlags
	team       teamFlags
	positional int
}

// operatorVerb is a subcommand with actions. A subcommand without nested
// subcommands has a single action without a name.
type operatorVerb struct {
	actions  []action
	commands []*operatorCommand
}

func newOperatorVerb(actions ...action) Verb {
	return &operatorVerb{actions: actions}
}

// Bind adds a nested subcommand for each action that has a name.
func (v *operatorVerb) Bind(subcommand *flaggy.Subcommand) {
	for i := range v.actions {
		item := &v.actions[i]
		c := &operatorCommand{subcommand: subcommand}
		if item.name != "" {
			c.subcommand = flaggy.NewSubcommand(item.name)
			c.subcommand.Description = item.summary
			c.subcommand.AdditionalHelpAppend = "\nExample:\n  " + item.example
			subcommand.AttachSubcommand(c.subcommand, 1)
		}
		c.bind(item)
		v.commands = append(v.commands, c)
	}
}

func (c *operatorCommand) bind(item *action) {
	c.settings = agsettings.NewSet(c.subcommand)
	c.settings.Text(&c.platform, "platform", "URL of the object API", "http://127.0.0.1:7000")
	c.settings.Text(&c.token, "platform-token", "bearer token for the object API", "")
	c.settings.Duration(&c.timeout, "timeout", "limit for the whole operation", "30s", minTimeout, maxTimeout)
	c.settings.AddrList(&c.admin, "admin", "admin addresses of balancers, agents or both", "")
	c.subcommand.Bool(&c.json, "", "json", "print JSON for scripts")
	if item.edits {
		c.settings.Text(&c.author, "author", "name in the history", os.Getenv("USER"))
		c.settings.Text(&c.comment, "comment", "text in the history", "")
		c.settings.Duration(&c.waitTimeout, "wait-timeout", "limit for --wait", "30s", minTimeout, maxTimeout)
		c.subcommand.Bool(&c.wait, "", "wait", "wait until the revision is in effect on every living balancer (needs --admin)")
		c.subcommand.Bool(&c.force, "", "force", "allow an edit that leaves a service or the fleet without hosts")
	}
	if item.bind != nil {
		item.bind(c)
	}
}

// positionalValue declares the next positional value.
func (c *operatorCommand) positionalValue(target *string, name, usage string, required bool) {
	c.positional++
	c.subcommand.AddPositionalValue(target, name, c.positional, required, usage)
}

// Run checks the settings, runs the chosen action within --timeout and returns
// the exit code.
func (v *operatorVerb) Run(ctx context.Context) int {
	for i, c := range v.commands {
		if !c.subcommand.Used {
			continue
		}
		if err := c.settings.Check(); err != nil {
			return c.fail(fmt.Errorf("%w: %w", errUsage, err))
		}
		if c.wait && len(c.admin) == 0 {
			return c.fail(fmt.Errorf("%w: --wait needs --admin", errUsage))
		}
		limited, cancel := context.WithTimeout(ctx, c.timeout)
		defer cancel()
		return v.actions[i].run(limited, c)
	}
	fmt.Fprintln(os.Stderr, "Choose one of these actions:")
	for _, item := range v.actions {
		fmt.Fprintf(os.Stderr, "  %-10s %s\n", item.name, item.summary)
	}
	return ExitUsage
}

// editor returns an editor of the configuration in the object API. The returned
// function closes its connections.
func (c *operatorCommand) editor() (*agedit.Editor, func(), error) {
	store, stop, err := agplatform.NewStore(agplatform.StoreOptions{URL: c.platform, Token: c.token})
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	author := c.author
	if author == "" {
		author = "operator"
	}
	return agedit.NewEditor(agedit.Options{Store: store, Author: author}), stop, nil
}

// read returns the present configuration with its revision.
func (c *operatorCommand) read(ctx context.Context) (agedit.Snapshot, error) {
	editor, stop, err := c.editor()
	if err != nil {
		return agedit.Snapshot{}, err
	}
	defer stop()
	return editor.Read(ctx)
}

// changeBuilder returns the changes of an edit, given the present configuration.
type changeBuilder func(snapshot agedit.Snapshot) ([]agconfig.Change, error)

// submit reads the configuration, builds the changes, submits them and returns
// the exit code. The parameter exact is set for edits that replace whole tables;
// see agedit.Request.
func (c *operatorCommand) submit(ctx context.Context, exact bool, build changeBuilder) int {
	editor, stop, err := c.editor()
	if err != nil {
		return c.fail(err)
	}
	defer stop()
	snapshot, err := editor.Read(ctx)
	if err != nil {
		return c.fail(err)
	}
	changes, err := build(snapshot)
	if err != nil {
		return c.fail(err)
	}
	verdict := editor.Submit(ctx, agedit.Request{
		Base: snapshot.Revision, Comment: c.comment, Changes: changes, Exact: exact, Force: c.force, Known: c.fetchHosts(ctx),
	})
	code := c.printVerdict(verdict)
	if code != ExitDone || !c.wait {
		return code
	}
	return c.waitForRevision(ctx, verdict.Revision)
}

// submitRow submits an edit of one row. The function edit changes the row in a
// copy of the tables.
func (c *operatorCommand) submitRow(ctx context.Context, table, key string, edit func(tables *tablesCopy) error) int {
	return c.submit(ctx, false, func(snapshot agedit.Snapshot) ([]agconfig.Change, error) {
		wanted := copyTables(snapshot.Document.Tables)
		if err := edit(wanted); err != nil {
			return nil, err
		}
		changes, err := agconfig.Diff(snapshot.Document.Tables, agconfig.WithDefaults(wanted.Tables))
		if err != nil {
			return nil, err
		}
		return agconfig.AddPrecondition(changes, snapshot.Document.Tables, table, key)
	})
}

// fail prints an error and returns its exit code.
func (c *operatorCommand) fail(err error) int {
	fmt.Fprintln(os.Stderr, "anvilglade:", err)
	var faults agconfig.FaultsError
	switch {
	case errors.Is(err, errUsage):
		return ExitUsage
	case errors.As(err, &faults):
		return ExitRejected
	default:
		return ExitFailed
	}
}
