package agcommand

// The teams subcommand edits the teams that may use the administration API.

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/config/agadminapi"
	agplatform "github.com/anvilglade/anvilglade/platform"
)

// teamFlags are the fields of a team.
type teamFlags struct {
	role, pools, routes string
	perMinute           int
}

func newTeamsVerb() Verb {
	name := func(c *operatorCommand) { c.positionalValue(&c.first, "NAME", "name of the team", true) }
	return newOperatorVerb(
		action{name: "list", summary: "print the teams without their tokens", example: "anvilglade teams list", run: listTeams},
		action{
			name: "add", summary: "add a team and print its token, once", example: "anvilglade teams add alerts --role Editor --pools alerts --routes '127.100.0.*:7001'",
			bind: func(c *operatorCommand) {
				name(c)
				c.settings.Text(&c.team.role, "role", "Viewer, Editor or Operator", string(agadminapi.RoleViewer))
				c.settings.Text(&c.team.pools, "pools", "patterns of services with commas", "")
				c.settings.Text(&c.team.routes, "routes", "patterns of IP:PORT with commas", "")
				c.settings.Int(&c.team.perMinute, "requests-per-minute", "rate at each balancer", "120", 1, maxTeamRate)
			},
			run: addTeam,
		},
		action{name: "remove", summary: "remove a team", example: "anvilglade teams remove alerts", bind: name, run: removeTeam},
	)
}

const maxTeamRate = 60_000

// updateTeams changes the stored teams and returns the exit code. The text done is
// printed if the change is accepted.
func (c *operatorCommand) updateTeams(ctx context.Context, done string, change func(*agadminapi.Teams) error) int {
	store, stop, err := agplatform.NewStore(agplatform.StoreOptions{URL: c.platform, Token: c.token})
	if err != nil {
		return c.fail(fmt.Errorf("%w: %w", errUsage, err))
	}
	defer stop()
	err = agadminapi.UpdateTeams(ctx, store, change)
	switch {
	case errors.Is(err, anvilglade.ErrUnknownOutcome):
		_ = c.fail(err)
		return ExitUnknown
	case errors.Is(err, anvilglade.ErrConflict):
		_ = c.fail(err)
		return ExitRejected
	case err != nil:
		return c.fail(err)
	}
	fmt.Println(done)
	return ExitDone
}

func addTeam(ctx context.Context, c *operatorCommand) int {
	token, hash := agadminapi.NewToken()
	team := agadminapi.Team{
		Name: c.first, TokenHashes: []string{hash}, Role: agadminapi.Role(c.team.role), RequestsPerMinute: c.team.perMinute,
		Pools: splitList(c.team.pools), Routes: splitList(c.team.routes),
	}
	return c.updateTeams(ctx, "Token of team "+c.first+", shown only now: "+token, func(teams *agadminapi.Teams) error {
		teams.Teams = append(teams.Teams, team)
		return nil
	})
}

func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

func removeTeam(ctx context.Context, c *operatorCommand) int {
	return c.updateTeams(ctx, "Removed team "+c.first+"; balancers forget its tokens within 10 s.", func(teams *agadminapi.Teams) error {
		remaining := slices.DeleteFunc(slices.Clone(teams.Teams), func(team agadminapi.Team) bool { return team.Name == c.first })
		if len(remaining) == len(teams.Teams) {
			return fmt.Errorf("no team %q", c.first)
		}
		teams.Teams = remaining
		return nil
	})
}

func listTeams(ctx context.Context, c *operatorCommand) int {
	store, stop, err := agplatform.NewStore(agplatform.StoreOptions{URL: c.platform, Token: c.token})
	if err != nil {
		return c.fail(fmt.Errorf("%w: %w", errUsage, err))
	}
	defer stop()
	var teams agadminapi.Teams
	object, err := store.Get(ctx, agadminapi.ObjectKind, agadminapi.ObjectName)
	if err == nil {
		teams, err = agadminapi.DecodeTeams(object.Data)
	}
	if err != nil && !errors.Is(err, anvilglade.ErrNotFound) {
		return c.fail(err)
	}
	var rows [][]string
	for i := range teams.Teams {
		team := &teams.Teams[i]
		team.TokenHashes = nil
		rows = append(rows, []string{team.Name, string(team.Role), strings.Join(team.Pools, ","), strings.Join(team.Routes, ",")})
	}
	if c.json {
		return c.printJSON(teams.Teams)
	}
	printTable([]string{"TEAM", "ROLE", "POOLS", "ROUTES"}, rows)
	return ExitDone
}
