package agconfig

import (
	"cmp"
	"fmt"
	"net/netip"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/anvilglade/anvilglade"
)

// Maximum values of the fields of a pool.
const (
	MaxSlots       = 10_000
	MaxConnections = 1_000_000
	MaxAttempts    = 10
	MaxDrainLimit  = 7 * 24 * time.Hour
)

// Defaults for fields of a pool that are zero.
const (
	DefaultMaxAttempts        = 2
	DefaultDrainLimit         = 12 * time.Hour
	DefaultInitialConcurrency = 1
	DefaultCompletionsPerStep = 4
)

// Fault is one violation of a validation rule.
type Fault struct {
	Table   string
	Row     string
	Field   string `json:",omitempty"`
	Problem string
}

// String returns the problem with its table, row and field.
func (f Fault) String() string {
	if f.Field == "" {
		return fmt.Sprintf("table %s, row %q: %s", f.Table, f.Row, f.Problem)
	}
	return fmt.Sprintf("table %s, row %q, field %s: %s", f.Table, f.Row, f.Field, f.Problem)
}

// FaultsError contains all faults of an edit.
type FaultsError []Fault

// Error returns the faults, one per line.
func (f FaultsError) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Options contains the inputs of a validation besides the tables.
type Options struct {
	// Before contains the tables that the edit replaces.
	Before anvilglade.Tables
	// Force allows an edit that leaves no data centre In or a service without
	// any host.
	Force bool
	// Known lists the hosts of the fleet. If it is nil because the editor could
	// not get them, only the tables are checked.
	Known []anvilglade.HostRecord
}

// WithDefaults returns the tables with empty fields set to their defaults. It does
// not modify its argument.
func WithDefaults(tables anvilglade.Tables) anvilglade.Tables {
	tables.Pools = slices.Clone(tables.Pools)
	for i := range tables.Pools {
		pool := &tables.Pools[i]
		pool.MaxAttempts = cmp.Or(pool.MaxAttempts, DefaultMaxAttempts)
		pool.DrainLimit = cmp.Or(pool.DrainLimit, anvilglade.Duration(DefaultDrainLimit))
		pool.ColdStart.InitialConcurrency = cmp.Or(pool.ColdStart.InitialConcurrency, DefaultInitialConcurrency)
		pool.ColdStart.CompletionsPerStep = cmp.Or(pool.ColdStart.CompletionsPerStep, DefaultCompletionsPerStep)
	}
	tables.DataCentres = slices.Clone(tables.DataCentres)
	for i := range tables.DataCentres {
		tables.DataCentres[i].State = cmp.Or(tables.DataCentres[i].State, anvilglade.DataCentreIn)
	}
	return tables
}

// Validate returns all faults of the tables, or nil if there are none.
func Validate(tables anvilglade.Tables, options Options) FaultsError {
	v := &validation{}
	v.checkRoutes(tables)
	v.checkPools(tables)
	v.checkDataCentres(tables)
	v.checkOverrides(tables)
	if !options.Force {
		v.checkLastDataCentre(options.Before, tables)
		v.checkServicesKeepHosts(options, tables)
	}
	return v.faults
}

// ValidateEdit returns the faults that an edit adds to those of options.Before.
// Existing faults, for example of a rule that a newer version of anvilglade has
// added, must not prevent operators from taking a data centre out of service.
func ValidateEdit(tables anvilglade.Tables, options Options) FaultsError {
	faults := Validate(tables, options)
	if len(faults) == 0 {
		return nil
	}
	existing := Validate(options.Before, Options{Force: true})
	return slices.DeleteFunc(faults, func(fault Fault) bool { return slices.Contains(existing, fault) })
}

// validation collects the faults of one validation.
type validation struct {
	faults FaultsError
}

func (v *validation) add(table, row, field, format string, args ...any) {
	v.faults = append(v.faults, Fault{Table: table, Row: row, Field: field, Problem: fmt.Sprintf(format, args...)})
}

// checkName adds a fault if a name is invalid or appears twice in its table.
func (v *validation) checkName(seen map[string]bool, table, field, name string) {
	if err := anvilglade.CheckName(name); err != nil {
		v.add(table, name, field, "%v", err)
	}
	if seen[name] {
		v.add(table, name, field, "row appears twice")
	}
	seen[name] = true
}

func (v *validation) checkRoutes(tables anvilglade.Tables) {
	pools := map[anvilglade.ServiceID]bool{}
	for _, pool := range tables.Pools {
		pools[pool.Service] = true
	}
	rowByAddress := map[netip.AddrPort]string{}
	wildcards := map[uint16]string{}
	for _, route := range tables.Routes {
		row := RouteKey(route)
		if !route.Address.IsValid() || route.Address.Port() == 0 {
			v.add(TableRoutes, row, "Address", "not IP:PORT with a port from 1 to 65535")
			continue
		}
		if route.Protocol != anvilglade.ProtocolUDP && route.Protocol != anvilglade.ProtocolQUIC {
			v.add(TableRoutes, row, "Protocol", "%q is not UDP or QUIC", route.Protocol)
		}
		if !pools[route.Service] {
			v.add(TableRoutes, row, "Service", "no pool for service %q", route.Service)
		}
		// QUIC packets are UDP datagrams, so an address can belong to one route
		// only, whatever the protocol.
		address := netip.AddrPortFrom(route.Address.Addr().Unmap(), route.Address.Port())
		if other, ok := rowByAddress[address]; ok {
			v.add(TableRoutes, row, "Address", "same address as row %q", other)
		}
		rowByAddress[address] = row
		if address.Addr().IsUnspecified() {
			wildcards[address.Port()] = row
		}
	}
	for _, route := range tables.Routes {
		row := RouteKey(route)
		if other, ok := wildcards[route.Address.Port()]; ok && other != row && !route.Address.Addr().IsUnspecified() {
			v.add(TableRoutes, row, "Address", "overlaps with row %q, which takes all addresses of the port", other)
		}
	}
}

func (v *validation) checkPools(tables anvilglade.Tables) {
	seen := map[string]bool{}
	numbers := map[anvilglade.ServiceNumber]anvilglade.ServiceID{}
	index := &patternIndex{byPrefix: map[string][]indexedPattern{}}
	for _, pool := range tables.Pools {
		row := string(pool.Service)
		v.checkName(seen, TablePools, "Service", row)
		if other, ok := numbers[pool.Service.Number()]; ok && other != pool.Service {
			v.add(TablePools, row, "Service", "has the same service number as %q; choose another name", other)
		}
		numbers[pool.Service.Number()] = pool.Service
		v.checkLimits(pool, row)
		for _, pattern := range pool.Hosts {
			v.checkPattern(index, pool.Service, pattern)
		}
	}
	v.checkOverlaps(index)
}

func (v *validation) checkLimits(pool anvilglade.Pool, row string) {
	v.checkRange(row, "Slots", int(pool.Slots), MaxSlots)
	v.checkRange(row, "Connections", int(pool.Connections), MaxConnections)
	v.checkRange(row, "MaxAttempts", pool.MaxAttempts, MaxAttempts)
	v.checkRange(row, "ColdStart.InitialConcurrency", int(pool.ColdStart.InitialConcurrency), MaxSlots)
	v.checkRange(row, "ColdStart.CompletionsPerStep", pool.ColdStart.CompletionsPerStep, MaxConnections)
	if limit := time.Duration(pool.DrainLimit); limit < time.Second || limit > MaxDrainLimit {
		v.add(TablePools, row, "DrainLimit", "%s is not within 1s to %s", limit, MaxDrainLimit)
	}
}

func (v *validation) checkRange(row, field string, value, high int) {
	if value < 1 || value > high {
		v.add(TablePools, row, field, "%d is not within 1 to %d", value, high)
	}
}

func (v *validation) checkPattern(index *patternIndex, service anvilglade.ServiceID, pattern string) {
	row := string(service)
	if _, err := path.Match(pattern, ""); err != nil || pattern == "" || len(pattern) > 4*anvilglade.MaxNameLength {
		v.add(TablePools, row, "Hosts", "%q is not a pattern of 1 to %d bytes", pattern, 4*anvilglade.MaxNameLength)
		return
	}
	parsed := indexedPattern{service: service, pattern: pattern, tokens: parsePattern(pattern)}
	for _, token := range parsed.tokens {
		if !token.star && token.set == 0 {
			v.add(TablePools, row, "Hosts", "%q matches no name: allowed are a-z, 0-9, '-', '.', '_'", pattern)
			return
		}
	}
	index.add(parsed)
}

func (v *validation) checkOverlaps(index *patternIndex) {
	for _, pattern := range index.all {
		for _, other := range index.findOverlaps(pattern) {
			v.add(TablePools, string(pattern.service), "Hosts",
				"pattern %q and pattern %q of pool %q match the same names", pattern.pattern, other.pattern, other.service)
		}
	}
}

func (v *validation) checkDataCentres(tables anvilglade.Tables) {
	seen := map[string]bool{}
	for _, centre := range tables.DataCentres {
		row := string(centre.Name)
		v.checkName(seen, TableDataCentres, "Name", row)
		if err := anvilglade.CheckName(string(centre.Region)); err != nil {
			v.add(TableDataCentres, row, "Region", "%v", err)
		}
		switch centre.State {
		case anvilglade.DataCentreIn, anvilglade.DataCentreDraining, anvilglade.DataCentreOut:
		default:
			v.add(TableDataCentres, row, "State", "%q is not In, Draining or Out", centre.State)
		}
	}
}

func (v *validation) checkOverrides(tables anvilglade.Tables) {
	seen := map[string]bool{}
	for _, host := range tables.Hosts {
		v.checkName(seen, TableHosts, "Name", string(host.Name))
	}
}

// checkLastDataCentre adds a fault if an edit leaves no data centre that accepts
// new flows.
func (v *validation) checkLastDataCentre(before, after anvilglade.Tables) {
	isIn := func(centre anvilglade.DataCentre) bool { return centre.State == anvilglade.DataCentreIn }
	if !slices.ContainsFunc(before.DataCentres, isIn) || slices.ContainsFunc(after.DataCentres, isIn) {
		return
	}
	for _, centre := range before.DataCentres {
		if isIn(centre) {
			v.add(TableDataCentres, string(centre.Name), "State", "no data centre stays In; use --force to allow it")
		}
	}
}
