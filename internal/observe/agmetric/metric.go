// Package agmetric serves the counters, gauges and latency histograms of a
// process of packet services in Prometheus' text format.
//
// The number of label values is bounded: reasons and outcomes are constants of the
// code, services and data centres are those of the desired state. Gauges are read
// from the process at each scrape, so that nothing is computed between scrapes.
//
// # Usage
//
//	metrics := agmetric.NewMetrics("packet-balancer", "dk1")
//	metrics.Decisions.WithLabelValues("alerts", "Forward", "Held").Inc()
//	metrics.Gauge("desired_age_seconds", "Age of the desired state.", age)
//	mux.Handle(agmetric.Path, metrics.Handler())
package agmetric

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/anvilglade/anvilglade"
)

// Path is the HTTP path of the metrics, Port the TCP port on which every process
// of packet services serves them.
const (
	Path = "/metrics"
	Port = 9464
)

const namespace = "anvilglade"

// latencyBuckets lists the upper bounds of the latency histogram in seconds. They
// range from a lookup within one data centre to the time limit of callers.
var latencyBuckets = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5}

// queueBuckets lists the upper bounds of the histogram of the time in the queue in
// seconds, up to the longest time that a request is queued.
var queueBuckets = []float64{0.001, 0.0025, 0.005, 0.01, 0.02, 0.035, 0.05, 0.075, 0.1}

// Metrics contains the metrics of one process.
type Metrics struct {
	registry *prometheus.Registry
	// labels is set on every metric: the role and the data centre.
	labels prometheus.Labels
	// Decisions counts decisions on packets by service, action and reason.
	Decisions *prometheus.CounterVec
	// Malformed counts datagrams that could not be decoded, by kind.
	Malformed *prometheus.CounterVec
	// StoreCalls counts calls to the platform's store by operation and outcome.
	StoreCalls *prometheus.CounterVec
	// ControlMessages and ControlBytes count the messages between the processes other than
	// packets of callers, and their bytes without headers, by direction and kind.
	ControlMessages *prometheus.CounterVec
	ControlBytes    *prometheus.CounterVec
	// Latency is, at an agent, the time from a request to the first byte of its
	// response and, at a balancer, the time from the packet that opens a flow to
	// the host's response.
	Latency *prometheus.HistogramVec
	// Queue counts the requests that an agent queues, by class and outcome.
	Queue *prometheus.CounterVec
	// QueueTime is the time of requests in the queue of an agent in seconds, by class.
	QueueTime *prometheus.HistogramVec
	// Admissions counts decisions of an agent on new flows by class and result.
	Admissions *prometheus.CounterVec
	// Requests counts requests at an agent by class and result.
	Requests *prometheus.CounterVec
	// ExpectedWait is the wait in seconds at the host that an agent expects for each new
	// flow, by class.
	ExpectedWait *prometheus.HistogramVec
	// Expected is, at a balancer, the expected completion time in seconds at the host on
	// which a flow is placed, by service. RemotePlacements counts the flows that are placed in another
	// data centre, by service and reason, and Ejections the hosts that the balancer has
	// ejected, by service and cause.
	Expected         *prometheus.HistogramVec
	RemotePlacements *prometheus.CounterVec
	Ejections        *prometheus.CounterVec
}

// NewMetrics returns the metrics of a process with the given role in a data centre.
func NewMetrics(role string, dataCentre anvilglade.DataCentreID) *Metrics {
	labels := prometheus.Labels{"role": role, "data_centre": string(dataCentre)}
	counter := func(name, help string, names ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help, ConstLabels: labels}, names)
	}
	m := &Metrics{
		registry:        prometheus.NewRegistry(),
		labels:          labels,
		Decisions:       counter("decisions_total", "Decisions on packets.", "service", "action", "reason"),
		Malformed:       counter("malformed_total", "Datagrams that could not be decoded.", "kind"),
		StoreCalls:      counter("store_calls_total", "Calls to the platform's store by outcome.", "what", "outcome"),
		ControlMessages: counter("control_messages_total", "Messages between processes other than packets of callers.", "direction", "kind"),
		ControlBytes:    counter("control_bytes_total", "Bytes of messages between processes other than packets of callers, without headers.", "direction", "kind"),
		Latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "latency_seconds", Help: "Latency of flows and answers.", ConstLabels: labels, Buckets: latencyBuckets,
		}, []string{"service"}),
		Queue: counter("queue_requests_total", "Requests that the agent has queued and their outcomes.", "class", "outcome"),
		QueueTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "queue_seconds", Help: "Time of requests in the queue of the agent.", ConstLabels: labels, Buckets: queueBuckets,
		}, []string{"class"}),
		Admissions: counter("admissions_total", "Decisions on new flows by class.", "class", "result"),
		Requests:   counter("requests_total", "Requests by class.", "class", "result"),
		ExpectedWait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "expected_wait_seconds", Help: "Expected wait of new flows at the host.", ConstLabels: labels, Buckets: latencyBuckets,
		}, []string{"class"}),
		Expected: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "expected_completion_seconds", Help: "Expected completion time at the host of a placed flow.", ConstLabels: labels, Buckets: latencyBuckets,
		}, []string{"service"}),
		RemotePlacements: counter("remote_placements_total", "Flows that are placed in another data centre.", "service", "reason"),
		Ejections:        counter("ejections_total", "Hosts that get no new flows because they stopped taking them.", "service", "cause"),
	}
	m.registry.MustRegister(m.Decisions, m.Malformed, m.StoreCalls, m.ControlMessages, m.ControlBytes, m.Latency, m.Queue, m.QueueTime, m.Admissions,
		m.Requests, m.ExpectedWait, m.Expected, m.RemotePlacements, m.Ejections)
	return m
}

// Gauge adds a gauge whose value is returned by read at each scrape.
func (m *Metrics) Gauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: name, Help: help, ConstLabels: m.labels,
	}, read))
}

// Counter adds a counter whose value is returned by read at each scrape.
func (m *Metrics) Counter(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: namespace, Name: name, Help: help, ConstLabels: m.labels,
	}, read))
}

// Ages adds a gauge in seconds for each subject that read returns, such as a peer. The
// label has the subject; their number must be bounded by the size of the fleet.
func (m *Metrics) Ages(name, label, help string, read func() map[string]time.Duration) {
	m.registry.MustRegister(&ageCollector{
		description: prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, []string{label}, m.labels),
		read:        read,
	})
}

// ageCollector reads the ages of all subjects at each scrape.
type ageCollector struct {
	description *prometheus.Desc
	read        func() map[string]time.Duration
}

// Describe implements prometheus.Collector.
func (c *ageCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- c.description
}

// Collect implements prometheus.Collector.
func (c *ageCollector) Collect(metrics chan<- prometheus.Metric) {
	for subject, age := range c.read() {
		metrics <- prometheus.MustNewConstMetric(c.description, prometheus.GaugeValue, age.Seconds(), subject)
	}
}

// Shifts adds a gauge for each service of a split route that read returns. Read returns
// each service of a route at most once, and only those from which flows are shifted.
func (m *Metrics) Shifts(name, help string, read func() []anvilglade.RouteShift) {
	m.registry.MustRegister(&shiftCollector{
		description: prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, []string{"route", "service"}, m.labels),
		read:        read,
	})
}

// shiftCollector reads the steps of all split routes at each scrape.
type shiftCollector struct {
	description *prometheus.Desc
	read        func() []anvilglade.RouteShift
}

// Describe implements prometheus.Collector.
func (c *shiftCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- c.description
}

// Collect implements prometheus.Collector.
func (c *shiftCollector) Collect(metrics chan<- prometheus.Metric) {
	for _, shift := range c.read() {
		metrics <- prometheus.MustNewConstMetric(c.description, prometheus.GaugeValue, float64(shift.Step), shift.Route, string(shift.Service))
	}
}

// Handler returns the HTTP handler of the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
