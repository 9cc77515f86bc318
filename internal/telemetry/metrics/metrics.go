// Package metrics counts what becomes of requests, and how the program and its servers stand, in
// the form of Prometheus.
package metrics

import (
	"bytes"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"

	"ryepaddle/internal/lifecycle"
)

// Sample is a figure of the moment.
type Sample struct {
	Name, Help string
	Labels     map[string]string
	Value      float64
	Monotonic  bool // it only grows
}

// Metrics are the figures of one program. They are used on the loop.
type Metrics struct {
	registry *prometheus.Registry
	took     *prometheus.HistogramVec
	waited   *prometheus.HistogramVec
	causes   *prometheus.CounterVec
	tries    *prometheus.CounterVec
	class    func(int) string
	ends     map[lifecycle.Status]string
	now      func() []Sample
}

// seconds are the bounds of latencies: a few milliseconds to the longest deadlines.
var seconds = []float64{.005, .01, .025, .05, .1, .25, .5, 1, 2, 4, 8, 16}

// New makes the figures of a program. class names the class at a place. now gives those of the
// moment.
func New(class func(int) string, ends map[lifecycle.Status]string, now func() []Sample) *Metrics {
	m := &Metrics{registry: prometheus.NewRegistry(), class: class, ends: ends, now: now}
	m.took = prometheus.NewHistogramVec(
		prometheus.HistogramOpts{Name: "ryepaddle_request_seconds", Buckets: seconds,
			Help: "Time from a request's arrival to its answer."},
		[]string{"class", "end"},
	)
	m.waited = prometheus.NewHistogramVec(
		prometheus.HistogramOpts{Name: "ryepaddle_wait_seconds", Buckets: seconds,
			Help: "Time from a request's arrival to the beginning of its run."},
		[]string{"class"},
	)
	m.causes = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "ryepaddle_causes_total",
		Help: "Requests by the cause of their answer."}, []string{"class", "end", "cause"})
	m.tries = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "ryepaddle_tries_total",
		Help: "Tries on servers or the engine."}, []string{"class"})
	m.registry.MustRegister(m.took, m.waited, m.causes, m.tries, moment{m})
	return m
}

// Observe counts a request that was answered. Its id goes with the latency as an exemplar, by which it
// can be explained.
func (m *Metrics) Observe(t *lifecycle.Trace) {
	class, end := m.class(t.Class), m.ends[t.Status]
	observe(m.took.WithLabelValues(class, end), int64(t.AnsweredAt)-int64(t.ArrivedAt), t.ID)
	if int64(t.StartedAt) > 0 {
		observe(m.waited.WithLabelValues(class), int64(t.StartedAt)-int64(t.ArrivedAt), t.ID)
	}
	if t.Cause != lifecycle.CauseNone {
		m.causes.WithLabelValues(class, end, t.Cause.String()).Inc()
	}
	m.tries.WithLabelValues(class).Add(float64(t.AttemptCount))
}

// exemplarMost is the longest id that an exemplar may hold, by the OpenMetrics format, beside the
// name of its label.
const exemplarMost = 120

func observe(o prometheus.Observer, us int64, id string) {
	v := float64(max(us, 0)) / 1e6 // the clock may step
	if e, ok := o.(prometheus.ExemplarObserver); ok && id != "" && len(id) <= exemplarMost {
		e.ObserveWithExemplar(v, prometheus.Labels{"id": id})
		return
	}
	o.Observe(v)
}

// moment collects the gauges when they are asked for.
type moment struct{ m *Metrics }

// Describe implements prometheus.Collector: what there is differs from time to time.
func (moment) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (c moment) Collect(ch chan<- prometheus.Metric) {
	for _, g := range c.m.now() {
		kind := prometheus.GaugeValue
		if g.Monotonic {
			kind = prometheus.CounterValue
		}
		var names, values []string
		for name, value := range g.Labels {
			names, values = append(names, name), append(values, value)
		}
		ch <- prometheus.MustNewConstMetric(prometheus.NewDesc(g.Name, g.Help, names, nil), kind, g.Value, values...)
	}
}

// Text gives all of them in the OpenMetrics format.
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
