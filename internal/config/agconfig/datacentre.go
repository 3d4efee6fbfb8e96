package agconfig

// This file checks state changes of data centres against the state chart in
// datacentre.yaml.

import (
	_ "embed" // for datacentre.yaml
	"fmt"
	"slices"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/state/agchart"
)

//go:embed datacentre.yaml
var dataCentreChart []byte

// CheckDataCentreChange returns an error if operators may not change the state of
// a data centre to the given one. Setting the present state again is allowed.
func CheckDataCentreChange(row *anvilglade.DataCentre, state anvilglade.DataCentreState) error {
	if row.State == "" || row.State == state {
		return nil
	}
	chart, err := agchart.Load(dataCentreChart)
	if err != nil {
		return err
	}
	if slices.ContainsFunc(chart.Transitions, func(t agchart.Transition) bool {
		return t.To == string(state) && slices.Contains(t.From, string(row.State))
	}) {
		return nil
	}
	return fmt.Errorf("data centre %s is %s and cannot become %s; bring it in first", row.Name, row.State, state)
}
