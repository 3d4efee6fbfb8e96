package agadminapi

// This file defines teams, their tokens and their rights. The object Teams/current
// contains only hashes of tokens. Tokens are 32 random bytes, so that one round of
// SHA-256 protects them as well as a slow hash would.

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"path"
	"slices"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/config/agconfig"
)

// Kind and name of the object that contains the teams.
const (
	ObjectKind = "Teams"
	ObjectName = "current"
)

// Role determines the rights of a team.
type Role string

// Roles of teams. A Viewer may read. An Editor may also change its own routes and
// pools, including by rollbacks. An Operator may change every table.
const (
	RoleViewer   Role = "Viewer"
	RoleEditor   Role = "Editor"
	RoleOperator Role = "Operator"
)

// DefaultRequestsPerMinute is the rate of a team whose RequestsPerMinute is not set.
const DefaultRequestsPerMinute = 120

// Team is a set of users of the administration API that share tokens, a role and a
// rate.
type Team struct {
	Name string
	// TokenHashes contains SHA-256 hashes in hexadecimal. During a rotation a team
	// has two, so that the old and the new token are both accepted.
	TokenHashes []string
	Role        Role
	// Pools contains patterns of service names, Routes patterns of IP:PORT, both in
	// the syntax of path.Match. An Editor may change the pool rows whose service Pools
	// matches, and the routes whose service Pools and whose address Routes matches.
	Pools             []string
	Routes            []string
	RequestsPerMinute int
}

// Teams is the content of the object Teams/current.
type Teams struct {
	Teams []Team
}

// DecodeTeams decodes and validates the content of the object. The error joins all
// its faults.
func DecodeTeams(data []byte) (Teams, error) {
	var teams Teams
	if err := json.Unmarshal(data, &teams); err != nil {
		return Teams{}, fmt.Errorf("decode teams: %w", err)
	}
	var faults []error
	names, hashes := map[string]bool{}, map[string]bool{}
	for _, team := range teams.Teams {
		faults = append(faults, team.check()...)
		if names[team.Name] {
			faults = append(faults, fmt.Errorf("team %q appears twice", team.Name))
		}
		names[team.Name] = true
		for _, hash := range team.TokenHashes {
			if hashes[hash] {
				faults = append(faults, fmt.Errorf("team %q: a token is used twice", team.Name))
			}
			hashes[hash] = true
		}
	}
	if err := errors.Join(faults...); err != nil {
		return Teams{}, err
	}
	return teams, nil
}

func (t *Team) check() []error {
	var faults []error
	if err := anvilglade.CheckName(t.Name); err != nil {
		faults = append(faults, fmt.Errorf("team %q: %w", t.Name, err))
	}
	if !slices.Contains([]Role{RoleViewer, RoleEditor, RoleOperator}, t.Role) {
		faults = append(faults, fmt.Errorf("team %q: role %q is not Viewer, Editor or Operator", t.Name, t.Role))
	}
	for _, pattern := range slices.Concat(t.Pools, t.Routes) {
		if _, err := path.Match(pattern, ""); err != nil {
			faults = append(faults, fmt.Errorf("team %q: %q is not a pattern", t.Name, pattern))
		}
	}
	for _, hash := range t.TokenHashes {
		if raw, err := hex.DecodeString(hash); err != nil || len(raw) != sha256.Size {
			faults = append(faults, fmt.Errorf("team %q: a token hash is not %d hexadecimal digits", t.Name, 2*sha256.Size))
		}
	}
	return faults
}

// NewToken generates a random token and returns it with its hash.
func NewToken() (token, hash string) {
	var raw [32]byte
	_, _ = rand.Read(raw[:])
	token = hex.EncodeToString(raw[:])
	return token, hashToken(token)
}

func hashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func (t *Teams) findByToken(token string) (*Team, bool) {
	hash := hashToken(token)
	for i := range t.Teams {
		if slices.Contains(t.Teams[i].TokenHashes, hash) {
			return &t.Teams[i], true
		}
	}
	return nil, false
}

// checkChange returns an error with the reason if the team may not make the change.
func (t *Team) checkChange(change agconfig.Change) error {
	switch t.Role {
	case RoleOperator:
		return nil
	case RoleEditor:
	default:
		return fmt.Errorf("role %s may not change rows", t.Role)
	}
	// The row must belong to the team before and after the change. Otherwise a team
	// could take over rows of another team or assign its rows to another team.
	for _, row := range []json.RawMessage{change.Before, change.After} {
		if len(row) == 0 {
			continue
		}
		if err := t.checkOwner(change.Table, row); err != nil {
			return err
		}
	}
	return nil
}

func (t *Team) checkOwner(table string, raw json.RawMessage) error {
	var row struct {
		Address string
		Service string
	}
	if err := json.Unmarshal(raw, &row); err != nil {
		return fmt.Errorf("row of table %s: %w", table, err)
	}
	switch table {
	case agconfig.TableRoutes:
		if !matchesAny(t.Routes, row.Address) {
			return fmt.Errorf("address %s is not one of the team's routes", row.Address)
		}
	case agconfig.TablePools:
	default:
		return fmt.Errorf("table %s is for role Operator", table)
	}
	if !matchesAny(t.Pools, row.Service) {
		return fmt.Errorf("service %q is not one of the team's pools", row.Service)
	}
	return nil
}

func matchesAny(patterns []string, text string) bool {
	return slices.ContainsFunc(patterns, func(pattern string) bool {
		ok, err := path.Match(pattern, text)
		return ok && err == nil
	})
}

// UpdateTeams reads the object, applies the change and writes the object on the
// condition that it still has the version that was read. An object that does not
// exist is treated as empty. ErrConflict and ErrUnknownOutcome of the store are
// returned unchanged.
func UpdateTeams(ctx context.Context, store anvilglade.Store, change func(*Teams) error) error {
	object, err := store.Get(ctx, ObjectKind, ObjectName)
	if err != nil && !errors.Is(err, anvilglade.ErrNotFound) {
		return err
	}
	var teams Teams
	if err == nil {
		if teams, err = DecodeTeams(object.Data); err != nil {
			return err
		}
	}
	if err := change(&teams); err != nil {
		return err
	}
	data, err := json.Marshal(teams)
	if err != nil {
		return err
	}
	if _, err := DecodeTeams(data); err != nil {
		return err
	}
	_, err = store.Put(ctx, anvilglade.Object{Kind: ObjectKind, Name: ObjectName, Data: data}, object.Version)
	return err
}
