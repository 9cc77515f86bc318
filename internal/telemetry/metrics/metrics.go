// Package metrics counts answered requests by class, status and cause, and collects the state of the
// program and its servers at each scrape, in the OpenMetrics format of Prometheus. Package app fills
// and serves them.
package metrics

import (
	"bytes"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"

	"ryepaddle/internal/lifecycle"
)

// Sample is a value at the time of a scrape.
type Sample struct {
	Name, Help string
	Labels     map[string]string
	Value      float64
	Monotonic  bool // true: a counter; false: a gauge
}

// Metrics holds the metrics of one program. It is used only on the event loop.
type Metrics struct {
	registry *prometheus.Registry
	latency  *prometheus.HistogramVec
	wait     *prometheus.HistogramVec
	causes   *prometheus.CounterVec
	attempts *prometheus.CounterVec

	className   func(class int) string
	statusNames map[lifecycle.Status]string
	samples     func() []Sample
}

// latencyBuckets are upper bounds in seconds, from a few milliseconds to the longest deadlines.
var latencyBuckets = []float64{.005, .01, .025, .05, .1, .25, .5, 1, 2, 4, 8, 16}

// New returns the metrics of a program. className names a class by its index, and samples returns the
// values at the time of a scrape.
func New(
	className func(class int) string,
	statusNames map[lifecycle.Status]string,
	samples func() []Sample,
) *Metrics {
	m := &Metrics{
		registry:    prometheus.NewRegistry(),
		className:   className,
		statusNames: statusNames,
		samples:     samples,
	}
	m.latency = prometheus.NewHistogramVec(
		prometheus.HistogramOpts{
			Name:    "ryepaddle_request_seconds",
			Help:    "Time from a request's arrival to its answer.",
			Buckets: latencyBuckets,
		},
		[]string{"class", "end"},
	)
	m.wait = prometheus.NewHistogramVec(
		prometheus.HistogramOpts{
			Name:    "ryepaddle_wait_seconds",
			Help:    "Time from a request's arrival to the beginning of its run.",
			Buckets: latencyBuckets,
		},
		[]string{"class"},
	)
	m.causes = prometheus.NewCounterVec(
		prometheus.CounterOpts{Name: "ryepaddle_causes_total", Help: "Requests by the cause of their answer."},
		[]string{"class", "end", "cause"},
	)
	m.attempts = prometheus.NewCounterVec(
		prometheus.CounterOpts{Name: "ryepaddle_tries_total", Help: "Tries on servers or the engine."},
		[]string{"class"},
	)
	m.registry.MustRegister(m.latency, m.wait, m.causes, m.attempts, sampleCollector{m})
	return m
}

// Observe counts a request that was answered, with its ID as the exemplar of its latencies.
func (m *Metrics) Observe(t *lifecycle.Trace) {
	class := m.className(t.Class)
	status := m.statusNames[t.Status]
	observe(m.latency.WithLabelValues(class, status), t.AnsweredAt.Sub(t.ArrivedAt), t.ID)
	if t.StartedAt > 0 {
		observe(m.wait.WithLabelValues(class), t.StartedAt.Sub(t.ArrivedAt), t.ID)
	}
	if t.Cause != lifecycle.CauseNone {
		m.causes.WithLabelValues(class, status, t.Cause.String()).Inc()
	}
	m.attempts.WithLabelValues(class).Add(float64(t.AttemptCount))
}

// maxExemplarID is the length in bytes up to which the ID of a request is used as an exemplar. OpenMetrics
// limits the label names and values of an exemplar to 128 characters in all.
const maxExemplarID = 120

// observe adds a latency to a histogram. A negative latency counts as 0: the clock was set back.
func observe(o prometheus.Observer, latency time.Duration, id string) {
	seconds := float64(max(latency, 0).Microseconds()) / 1e6
	if e, ok := o.(prometheus.ExemplarObserver); ok && id != "" && len(id) <= maxExemplarID {
		e.ObserveWithExemplar(seconds, prometheus.Labels{"id": id})
		return
	}
	o.Observe(seconds)
}

// sampleCollector collects the samples at each scrape.
type sampleCollector struct{ metrics *Metrics }

// Describe implements prometheus.Collector. It sends no descriptors, because samples differ between
// scrapes.
func (sampleCollector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (c sampleCollector) Collect(out chan<- prometheus.Metric) {
	for _, s := range c.metrics.samples() {
		kind := prometheus.GaugeValue
		if s.Monotonic {
			kind = prometheus.CounterValue
		}
		var names, values []string
		for name, value := range s.Labels {
			names, values = append(names, name), append(values, value)
		}
		desc := prometheus.NewDesc(s.Name, s.Help, names, nil)
		out <- prometheus.MustNewConstMetric(desc, kind, s.Value, values...)
	}
}

// Text returns all metrics in the OpenMetrics format. It fails if a sample is inconsistent with the
// others, such as one with the same name and labels.
func (m *Metrics) Text() (string, error) {
	families, err := m.registry.Gather()
	if err != nil {
		return "", err
	}
	var b bytes.Buffer
	e := expfmt.NewEncoder(&b, expfmt.NewFormat(expfmt.TypeOpenMetrics))
	for _, f := range families {
		if err := e.Encode(f); err != nil {
			return "", err
		}
	}
	if c, ok := e.(expfmt.Closer); ok {
		if err := c.Close(); err != nil {
			return "", err
		}
	}
	return b.String(), nil
}
