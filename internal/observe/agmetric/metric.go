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
		ControlBytes:    counter("control_bytes_total", "Bytes of these messages, without headers.", "direction", "kind"),
		Latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "latency_seconds", Help: "Latency of flows and answers.", ConstLabels: labels, Buckets: latencyBuckets,
		}, []string{"service"}),
	}
	m.registry.MustRegister(m.Decisions, m.Malformed, m.StoreCalls, m.ControlMessages, m.ControlBytes, m.Latency)
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

// Ages adds a gauge in seconds for each peer that read returns. The number of
// peers is bounded by the size of the fleet.
func (m *Metrics) Ages(name, help string, read func() map[string]time.Duration) {
	m.registry.MustRegister(&ageCollector{
		description: prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, []string{"peer"}, m.labels),
		read:        read,
	})
}

// ageCollector reads the ages of all peers at each scrape.
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
	for peer, age := range c.read() {
		metrics <- prometheus.MustNewConstMetric(c.description, prometheus.GaugeValue, age.Seconds(), peer)
	}
}

// Handler returns the HTTP handler of the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
