package cluster

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ryepaddle/internal/simulator/virtualclock"
)

// resultWindow is the length of the windows of Result.Worst and Result.Middle.
const resultWindow = 10 * time.Second

// maxLatency is the upper bound of the latency histogram. All deadlines are below it.
const maxLatency = time.Minute

// Result is the result of a day.
type Result struct {
	Seed  uint64  `json:"seed"`
	Asked int     `json:"asked"` // requests
	Worth float64 `json:"worth"` // share of the weight of all requests that was earned
	Worst float64 `json:"worst"` // Worth of the worst window
	// Middle is Worth of the window that contains the middle of the day, when replacedMode replaces the picker.
	Middle     float64 `json:"middle"`
	P50Ms      float64 `json:"p50_ms"` // latency of served requests, from the first submission to the answer
	P99Ms      float64 `json:"p99_ms"`
	Tries      float64 `json:"tries"`    // attempts at servers per request
	Refusals   float64 `json:"refusals"` // rejections per request
	Failed     float64 `json:"failed"`   // share of the requests that were not served in the end
	Twice      int     `json:"twice"`    // idempotency keys that ran more than once, which is a violation
	Unanswered int     `json:"unasked"`  // requests without an answer, which is a violation
	Cheap      float64 `json:"cheap"`    // share of the requests of reserveClass that were served within the objective
	HandIns    float64 `json:"hand_ins"` // share of the weight of keyed requests that was earned
	Changes    int     `json:"changes"`  // changes of the health states of servers
}

// stats counts the requests of a day and their outcomes.
type stats struct {
	seconds       float64 // length of the day
	requests      int
	answered      int
	failed        int
	rejections    int
	attempts      int // at servers
	runsByKey     map[string]int
	latencies     *hdrhistogram.Histogram // of served requests, in microseconds
	offeredWeight []float64               // weight of all requests, by window
	earnedWeight  []float64               // weight earned by served requests, by window
	keyedOffered  float64                 // weight of keyed requests
	keyedEarned   float64                 // weight earned by keyed requests
	cheapEnded    int                     // ended requests of reserveClass
	cheapInTime   int                     // requests of reserveClass that were served within their objective
}

func newStats(spec *Spec) *stats {
	windows := int(math.Ceil(spec.Seconds/resultWindow.Seconds())) + 1
	return &stats{
		seconds:       spec.Seconds,
		runsByKey:     map[string]int{},
		latencies:     hdrhistogram.New(1, maxLatency.Microseconds(), 3),
		offeredWeight: make([]float64, windows),
		earnedWeight:  make([]float64, windows),
	}
}

// countRun counts the start of a run with an idempotency key. Runs without a key ("") are not counted.
func (s *stats) countRun(key string) {
	if key != "" {
		s.runsByKey[key]++
	}
}

// windowOf returns the index of the window in which a request was first submitted.
func windowOf(r *clientRequest) int { return int((r.firstSentAt - virtualclock.Origin) / resultWindow) }

// countRequest counts a new request.
func (s *stats) countRequest(r *clientRequest) {
	c := &classes[r.class]
	s.requests++
	s.offeredWeight[windowOf(r)] += c.PriorityWeight
	if c.Keyed {
		s.keyedOffered += c.PriorityWeight
	}
}

// countServed counts a served request with its latency and the weight that it earns.
func (s *stats) countServed(r *clientRequest, latency time.Duration) {
	c := &classes[r.class]
	weight := c.PriorityWeight
	inTime := virtualclock.Micros(latency) <= c.LatencyObjective*1000
	if !inTime {
		weight *= c.LateWeightFraction
	}
	s.earnedWeight[windowOf(r)] += weight
	if c.Keyed {
		s.keyedEarned += weight
	}
	_ = s.latencies.RecordValue(max(latency.Microseconds(), 1)) // no error: latencies are below maxLatency
	if r.class == reserveClass && inTime {
		s.cheapInTime++
	}
}

// countEnd counts the end of a request.
func (s *stats) countEnd(r *clientRequest) {
	s.answered++
	if r.class == reserveClass {
		s.cheapEnded++
	}
}

// result returns the result of the day.
func (s *stats) result(seed uint64, picker Picker) *Result {
	requests := float64(max(s.requests, 1))
	r := &Result{
		Seed:       seed,
		Asked:      s.requests,
		Unanswered: s.requests - s.answered,
		P50Ms:      float64(s.latencies.ValueAtQuantile(50)) / 1000,
		P99Ms:      float64(s.latencies.ValueAtQuantile(99)) / 1000,
		Tries:      float64(s.attempts) / requests,
		Refusals:   float64(s.rejections) / requests,
		Failed:     float64(s.failed) / requests,
		Cheap:      float64(s.cheapInTime) / float64(max(s.cheapEnded, 1)),
		HandIns:    s.keyedEarned / max(s.keyedOffered, 1),
		Changes:    picker.StateChanges(),
		Worst:      1,
	}
	offered := 0.0
	earned := 0.0
	for i, weight := range s.offeredWeight {
		offered += weight
		earned += s.earnedWeight[i]
		if weight > 0 {
			r.Worst = min(r.Worst, s.earnedWeight[i]/weight)
		}
	}
	r.Worth = earned / max(offered, 1)
	middle := int(s.seconds / 2 / resultWindow.Seconds())
	if s.offeredWeight[middle] > 0 {
		r.Middle = s.earnedWeight[middle] / s.offeredWeight[middle]
	}
	for _, runs := range s.runsByKey {
		if runs > 1 {
			r.Twice++
		}
	}
	return r
}
