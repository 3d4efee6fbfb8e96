// The baseline policy for comparative measurements: no limits, only the health that
// the server reports.

package agadmit

import (
	"sync/atomic"

	"github.com/anvilglade/anvilglade"
)

// Baseline admits all work while the backend server reports that it is healthy. It
// is safe for concurrent use.
type Baseline struct {
	unhealthy   atomic.Bool
	utilisation atomic.Uint32
	flows       atomic.Int64
}

var _ anvilglade.Admitter = (*Baseline)(nil)

// NewBaseline returns a policy for a server that counts as healthy and idle until
// the first report.
func NewBaseline() *Baseline {
	return &Baseline{}
}

// Report records the health and the utilisation that the server reports.
func (b *Baseline) Report(healthy bool, utilisation anvilglade.Utilisation) {
	b.unhealthy.Store(!healthy)
	b.utilisation.Store(uint32(utilisation))
}

// OpenFlow implements anvilglade.Admitter.
func (b *Baseline) OpenFlow(anvilglade.ServiceID) (anvilglade.Refusal, func()) {
	if b.unhealthy.Load() {
		return anvilglade.RefusalLimit, nil
	}
	b.flows.Add(1)
	return anvilglade.RefusalNone, func() { b.flows.Add(-1) }
}

// StartRequest implements anvilglade.Admitter.
func (b *Baseline) StartRequest(anvilglade.ServiceID) (anvilglade.Refusal, func(anvilglade.Outcome)) {
	if b.unhealthy.Load() {
		return anvilglade.RefusalLimit, nil
	}
	return anvilglade.RefusalNone, func(anvilglade.Outcome) {}
}

// Utilisation implements anvilglade.Admitter. It returns the reported value.
func (b *Baseline) Utilisation() anvilglade.Utilisation {
	return anvilglade.Utilisation(b.utilisation.Load())
}
