package agrank

// The capacity of a balancer, from the limits of its VM.

import (
	"math"

	"github.com/anvilglade/anvilglade"
)

// Units of capacity per unit of a limit. A balancer is as large as its scarcest
// resource: one core corresponds to a link of 100 Mbit/s and to 20 MB, the memory of a
// balancer in a small fleet.
const (
	unitsPerCore     = 1000
	unitsPerMegabit  = 10
	unitsPerMegabyte = 50
)

// CapacityOf returns the capacity that follows from the limits of a balancer. Unknown
// limits are left out; without any limit the capacity is unknown.
func CapacityOf(limits anvilglade.Limits) anvilglade.Capacity {
	units := math.Inf(1)
	if cores := CoresOf(limits); cores > 0 {
		units = unitsPerCore * float64(cores)
	}
	if limits.Link > 0 {
		units = min(units, unitsPerMegabit*float64(limits.Link))
	}
	if limits.Memory > 0 {
		units = min(units, unitsPerMegabyte*float64(limits.Memory))
	}
	if math.IsInf(units, 1) {
		return 0
	}
	return anvilglade.Capacity(min(max(math.Round(units), 1), math.MaxUint16))
}

// CoresOf returns the processor share in standard cores, 0 if it is unknown. An unknown
// speed counts as that of a standard core.
func CoresOf(limits anvilglade.Limits) anvilglade.Cores {
	if limits.Speed > 0 {
		return limits.Processor * anvilglade.Cores(limits.Speed)
	}
	return limits.Processor
}
