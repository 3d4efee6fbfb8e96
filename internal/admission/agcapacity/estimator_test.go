package agcapacity_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/admission/agcapacity"
	"github.com/anvilglade/anvilglade/internal/stand/agscript"
)

const slots = 2

// errorTime is the time after which a host answers a request that it fails.
const errorTime = time.Millisecond

// TestScripts runs each script in testdata against an Estimator of a host with two
// slots. The comment at the top of a script names the failure that it guards against.
func TestScripts(t *testing.T) {
	agscript.Run(t, func() agscript.Player {
		runner := &scriptRunner{random: rand.New(rand.NewPCG(1, 2)), estimator: agcapacity.NewEstimator(slots)}
		runner.estimator.OnResult = func(_ anvilglade.RequestClass, result agcapacity.Result, _ time.Time) { runner.result = result }
		return func(t *testing.T, step *agscript.Step, now time.Time) string {
			t.Helper()
			runner.t = t
			return runner.step(step, now)
		}
	})
}

type scriptRunner struct {
	t         *testing.T
	random    *rand.Rand
	estimator *agcapacity.Estimator
	result    agcapacity.Result
	flows     int
}

func (r *scriptRunner) step(step *agscript.Step, now time.Time) (got string) {
	switch step.Verb {
	case "Arrive":
		r.estimator.Arrive(flowOf(step.Args[0]), anvilglade.RequestClass{Timeout: 800 * time.Millisecond}, now)
	case "Answer":
		r.estimator.Answer(flowOf(step.Args[0]), now)
		got = string(r.result)
	case "Abandon":
		r.estimator.Abandon(flowOf(step.Args[0]), now)
	case "Reset":
		r.estimator.Reset(now)
	case "Load":
		r.load(step, now)
	case "State":
		got = fmt.Sprint(r.estimator.Outstanding(), r.estimator.QueueLimit(), r.estimator.Wait(0, now).Round(time.Millisecond))
	case "Rate":
		got = fmt.Sprintf("%.0f", r.estimator.RequestRate(now))
	case "ServiceTime":
		serviceTime := r.estimator.ServiceTime(now)
		got = serviceTime.String()
		if serviceTime >= r.duration(step, "Above") && serviceTime <= r.duration(step, "Below") {
			got = "Within"
		}
	default:
		r.t.Fatalf("unknown verb %s", step.Verb)
	}
	return got
}

// load runs requests for a time on a host whose slots are always busy. Service times
// are log-normal with a mean and a shape. A host that fails a share of the requests
// answers these after errorTime.
func (r *scriptRunner) load(step *agscript.Step, now time.Time) {
	sigma, failing := r.number(step, "Sigma"), r.number(step, "Failing")
	mean, end := r.duration(step, "Mean"), now.Add(r.duration(step, "For"))
	var flows [slots]anvilglade.Flow
	ends := [slots]time.Time{now, now}
	for ends[0].Before(end) || ends[1].Before(end) {
		next := 0
		if ends[1].Before(ends[0]) {
			next = 1
		}
		r.estimator.Answer(flows[next], ends[next])
		r.flows++
		flows[next] = flowOf("x" + strconv.Itoa(r.flows))
		r.estimator.Arrive(flows[next], anvilglade.RequestClass{}, ends[next])
		work := time.Duration(float64(mean) * math.Exp(sigma*r.random.NormFloat64()-sigma*sigma/2))
		if failing > 0 && r.random.Float64() < failing {
			work = errorTime
		}
		ends[next] = ends[next].Add(work)
	}
	for i := range flows {
		r.estimator.Answer(flows[i], ends[i])
	}
}

func (r *scriptRunner) number(step *agscript.Step, name string) float64 {
	number, err := strconv.ParseFloat(agscript.Option(step.Args, name, "0"), 64)
	if err != nil {
		r.t.Fatal(err)
	}
	return number
}

func (r *scriptRunner) duration(step *agscript.Step, name string) time.Duration {
	duration, err := time.ParseDuration(agscript.Option(step.Args, name, "0s"))
	if err != nil {
		r.t.Fatal(err)
	}
	return duration
}

func flowOf(name string) anvilglade.Flow {
	port, err := strconv.Atoi(name[1:])
	if err != nil {
		panic(err)
	}
	return anvilglade.Flow{Caller: anvilglade.Endpoint{IP: anvilglade.IPv4{100, 64, 0, name[0]}, Port: uint16(port)}}
}
