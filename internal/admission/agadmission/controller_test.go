package agadmission_test

import (
	"testing"
	"time"

	"github.com/anvilglade/anvilglade/internal/admission/agadmission"
)

// opening returns a flow of a class at a host with a service time of 20 ms and a queue
// limit of 10. Ten milliseconds of wait stand for one expected request.
func opening(class int, wait time.Duration, hasNext bool) agadmission.Opening {
	return agadmission.Opening{
		Class: classes[class], Wait: wait, ServiceTime: 20 * time.Millisecond, Expected: int(wait/(10*time.Millisecond)) + 1, QueueLimit: 10, HasNext: hasNext,
	}
}

// TestDecide guards against a lower class that takes the place of a higher one or
// leaves idle what that does not use, and against a slow host that is never measured.
func TestDecide(t *testing.T) {
	controller := agadmission.NewController()
	slow := opening(0, 0, true)
	slow.ServiceTime, slow.Expected = 300*time.Millisecond, 0
	for _, step := range []struct {
		at      time.Duration
		opening agadmission.Opening
		want    agadmission.Result
	}{
		{0, opening(0, 0, true), agadmission.ResultAdmitted},
		{0, opening(0, 21*time.Millisecond, true), agadmission.ResultForwarded},
		{0, opening(0, 85*time.Millisecond, false), agadmission.ResultAdmitted},
		{0, opening(0, 95*time.Millisecond, false), agadmission.ResultRefused},
		{0, opening(1, 55*time.Millisecond, false), agadmission.ResultAdmitted},
		{0, opening(1, 65*time.Millisecond, false), agadmission.ResultRefused},
		{0, opening(0, 41*time.Millisecond, true), agadmission.ResultAdmitted},
		{0, opening(0, 45*time.Millisecond, true), agadmission.ResultForwarded},
		{2100 * time.Millisecond, opening(1, 65*time.Millisecond, false), agadmission.ResultBorrowed},
		{2200 * time.Millisecond, slow, agadmission.ResultTrial},
		{2300 * time.Millisecond, slow, agadmission.ResultForwarded},
		{2800 * time.Millisecond, slow, agadmission.ResultTrial},
	} {
		if got := controller.Decide(&step.opening, start.Add(step.at)); got.Result != step.want {
			t.Errorf("%s: %+v: got %s, want %s", step.at, step.opening, got.Result, step.want)
		}
	}
	flow := opening(1, 65*time.Millisecond, false)
	if allocated := testing.AllocsPerRun(100, func() { controller.Decide(&flow, start.Add(3*time.Second)) }); allocated > 0 {
		t.Errorf("%v allocations per decision", allocated)
	}
}
