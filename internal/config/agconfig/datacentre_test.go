package agconfig_test

import (
	"testing"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/config/agconfig"
)

// TestDataCentreChanges guards against draining a data centre that is out of
// service: it would receive packets again although operators have not returned it
// to service.
func TestDataCentreChanges(t *testing.T) {
	for _, c := range []struct {
		from, to anvilglade.DataCentreState
		allowed  bool
	}{
		{from: "", to: anvilglade.DataCentreOut, allowed: true},
		{from: anvilglade.DataCentreIn, to: anvilglade.DataCentreDraining, allowed: true},
		{from: anvilglade.DataCentreIn, to: anvilglade.DataCentreOut, allowed: true},
		{from: anvilglade.DataCentreDraining, to: anvilglade.DataCentreOut, allowed: true},
		{from: anvilglade.DataCentreDraining, to: anvilglade.DataCentreIn, allowed: true},
		{from: anvilglade.DataCentreOut, to: anvilglade.DataCentreIn, allowed: true},
		{from: anvilglade.DataCentreOut, to: anvilglade.DataCentreOut, allowed: true},
		{from: anvilglade.DataCentreOut, to: anvilglade.DataCentreDraining, allowed: false},
	} {
		row := anvilglade.DataCentre{Name: "dk1", State: c.from}
		if err := agconfig.CheckDataCentreChange(&row, c.to); (err == nil) != c.allowed {
			t.Errorf("from %q to %q: got error %v, want allowed = %t", c.from, c.to, err, c.allowed)
		}
	}
}
