package agmetric_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/observe/agmetric"
)

func TestMetrics(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "agmetric")
}

var _ = Describe("Metrics", func() {
	// Guards against counters without the labels that alerts select by: the
	// service, the data centre and the reason.
	It("serves counters, ages and latencies with their labels", func() {
		metrics := agmetric.NewMetrics("packet-balancer", "dk1")
		metrics.Decisions.WithLabelValues("alerts", "Reset", "NoHost").Inc()
		metrics.Latency.WithLabelValues("alerts").Observe(0.02)
		metrics.Gauge("ready", "1 while ready.", func() float64 { return 1 })
		metrics.Counter("unreadable_objects_total", "Objects.", func() float64 { return 3 })
		metrics.Ages("peer_age_seconds", "peer", "Ages.", func() map[string]time.Duration {
			return map[string]time.Duration{"10.0.0.1": 250 * time.Millisecond, "10.0.0.2": 2 * time.Second}
		})
		metrics.Shifts("split_step", "Steps.", func() []anvilglade.RouteShift {
			return []anvilglade.RouteShift{{Route: "live", Service: "alerts", Step: 3}}
		})
		recorder := httptest.NewRecorder()
		metrics.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, agmetric.Path, nil))
		Expect(recorder.Code).To(Equal(http.StatusOK))
		for _, line := range []string{
			`anvilglade_decisions_total{action="Reset",data_centre="dk1",reason="NoHost",role="packet-balancer",service="alerts"} 1`,
			`anvilglade_latency_seconds_bucket{data_centre="dk1",role="packet-balancer",service="alerts",le="0.025"} 1`,
			`anvilglade_ready{data_centre="dk1",role="packet-balancer"} 1`,
			`anvilglade_unreadable_objects_total{data_centre="dk1",role="packet-balancer"} 3`,
			`anvilglade_peer_age_seconds{data_centre="dk1",peer="10.0.0.1",role="packet-balancer"} 0.25`,
			`anvilglade_peer_age_seconds{data_centre="dk1",peer="10.0.0.2",role="packet-balancer"} 2`,
			`anvilglade_split_step{data_centre="dk1",role="packet-balancer",route="live",service="alerts"} 3`,
		} {
			Expect(recorder.Body.String()).To(ContainSubstring(line))
		}
	})
})
