package agcommand

import (
	"context"
	"fmt"
	"slices"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/config/agconfig"
)

// centreFlags are the fields that 'datacentres set' changes. An empty string
// leaves the field unchanged.
type centreFlags struct {
	region, state string
}

var dataCentresView = &tableView{
	command: "datacentres", table: agconfig.TableDataCentres, header: []string{"NAME", "REGION", "STATE"},
	subset: func(tables anvilglade.Tables) anvilglade.Tables {
		return anvilglade.Tables{DataCentres: tables.DataCentres}
	},
	rows: func(tables anvilglade.Tables) [][]string {
		var rows [][]string
		for _, centre := range tables.DataCentres {
			rows = append(rows, []string{string(centre.Name), string(centre.Name), string(centre.Region), string(centre.State)})
		}
		return rows
	},
}

func newDataCentresVerb() Verb {
	actions := append(dataCentresView.actions(), action{
		name: "set", summary: "add a data centre or change fields of one", edits: true,
		example: "anvilglade datacentres set dk1 --region denmark",
		bind: func(c *operatorCommand) {
			c.positionalValue(&c.first, "NAME", "name of the data centre", true)
			c.settings.Text(&c.centre.region, "region", "region of the data centre", "")
			c.settings.Text(&c.centre.state, "state", "In, Draining or Out", "")
		},
		run: func(ctx context.Context, c *operatorCommand) int { return setDataCentre(ctx, c, true) },
	})
	for _, target := range []struct {
		name, summary string
		state         anvilglade.DataCentreState
	}{
		{"out", "take a data centre out of service; flows that end there are lost", anvilglade.DataCentreOut},
		{"drain", "let a data centre take no new flows", anvilglade.DataCentreDraining},
		{"in", "bring a data centre back", anvilglade.DataCentreIn},
	} {
		actions = append(actions, action{
			name: target.name, summary: target.summary, edits: true,
			example: fmt.Sprintf("anvilglade datacentres %s dk1 --wait --admin 10.0.0.1:7900", target.name),
			bind:    func(c *operatorCommand) { c.positionalValue(&c.first, "NAME", "name of the data centre", true) },
			run: func(ctx context.Context, c *operatorCommand) int {
				c.centre.state = string(target.state)
				return setDataCentre(ctx, c, false)
			},
		})
	}
	return newOperatorVerb(actions...)
}

// setDataCentre changes the row of a data centre. If there is none, it adds the
// row if create is set and fails otherwise.
func setDataCentre(ctx context.Context, c *operatorCommand, create bool) int {
	name := anvilglade.DataCentreID(c.first)
	return c.submitRow(ctx, agconfig.TableDataCentres, c.first, func(tables *tablesCopy) error {
		index := slices.IndexFunc(tables.DataCentres, func(centre anvilglade.DataCentre) bool { return centre.Name == name })
		if index < 0 && !create {
			return fmt.Errorf("table %s has no row %q; add it with 'anvilglade datacentres set'", agconfig.TableDataCentres, name)
		}
		if index < 0 {
			index = len(tables.DataCentres)
			tables.DataCentres = append(tables.DataCentres, anvilglade.DataCentre{Name: name})
		}
		row := &tables.DataCentres[index]
		if c.centre.region != "" {
			row.Region = anvilglade.RegionID(c.centre.region)
		}
		if c.centre.state != "" {
			if err := agconfig.CheckDataCentreChange(row, anvilglade.DataCentreState(c.centre.state)); err != nil {
				return err
			}
			row.State = anvilglade.DataCentreState(c.centre.state)
		}
		return nil
	})
}
