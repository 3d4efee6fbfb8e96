package agconfig

// The life of a data centre, interpreted from datacentre.yaml.

import (
	_ "embed" // for datacentre.yaml
	"fmt"
	"slices"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/state/agchart"
)

//go:embed datacentre.yaml
var dataCentreChart []byte

// CheckDataCentreChange returns an error if operators may not change a data
// centre from one state to the other. To set the state that it has is allowed.
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
