package agmetric

// The label of a class of requests. Labels are prepared, so that a packet allocates
// none.

import (
	"math"
	"strconv"

	"github.com/anvilglade/anvilglade"
)

// noClass is the label of flows whose route specifies no latency target.
const noClass = "none"

var classLabels = newClassLabels()

func newClassLabels() (labels [math.MaxUint8 + 1]string) {
	for priority := range labels {
		labels[priority] = "p" + strconv.Itoa(priority)
	}
	return labels
}

// ClassLabel returns the value of the label class: "p" and the priority, or "none" for
// a class without a latency target.
func ClassLabel(class anvilglade.RequestClass) string {
	if !class.HasTarget() {
		return noClass
	}
	return classLabels[class.Priority]
}
