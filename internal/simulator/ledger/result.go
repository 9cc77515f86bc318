package ledger

import (
	"fmt"
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	seriesStep = time.Second // of Result.Series
	// minWindowLoad bounds the load of the windows among which the worst one is found: the weight of such a
	// window is more than this share of the mean weight of a window.
	minWindowLoad = 0.2
	// weightTolerance is the relative rounding error that sums of weights may have.
	weightTolerance = 1e-6
)

// Share sums up a class, a tenant or all requests.
type Share struct {
	Name   string  `json:"name"`
	First  int     `json:"first"`            // number of requests
	Asked  float64 `json:"asked"`            // weight of the requests
	Got    float64 `json:"got"`              // weight earned
	Served float64 `json:"served"`           // Got divided by Asked; 1 without requests
	P50Ms  float64 `json:"p50_ms,omitempty"` // latency of the served requests; not measured for tenants
	P99Ms  float64 `json:"p99_ms,omitempty"`
}

// Loss sums up the requests with one cause.
type Loss struct {
	Count int     `json:"count"`
	Worth float64 `json:"worth"` // weight of the requests
	Got   float64 `json:"got"`   // weight earned
}

// Second sums up the requests that were made in one second of the day: their weight and the weight earned.
type Second struct {
	Asked float64 `json:"asked"`
	Got   float64 `json:"got"`
}

// Result is the result of a day. Whole and the fields from WorstWindow to WorstTenant are served shares, of
// all requests and of the worst window, class and tenant.
type Result struct {
	Score       float64         `json:"score"` // Worth, or 0 after a violation
	Worth       float64         `json:"worth"` // sum of the served shares weighted by Goal, less the penalties
	Whole       float64         `json:"whole"`
	WorstWindow float64         `json:"worst_window"`
	WorstClass  float64         `json:"worst_class"`
	WorstTenant float64         `json:"worst_tenant"`
	Waste       float64         `json:"waste"`     // useless work divided by all requests' work; at most 1
	LateFail    float64         `json:"late_fail"` // share of the weight that ended unserved after the objective
	All         Share           `json:"all"`
	Classes     []Share         `json:"classes"`
	Tenants     []Share         `json:"tenants"`
	Causes      map[string]Loss `json:"causes"`
	Tries       int             `json:"tries"`    // attempts
	Refusals    float64         `json:"refusals"` // rejected attempts per request
	Retries     float64         `json:"retries"`  // attempts beyond the first, per request
	Broken      int             `json:"broken"`   // number of violations
	Rules       map[string]int  `json:"rules"`    // violations by rule
	Notes       []string        `json:"notes,omitempty"`
	Series      []Second        `json:"series"`
}

// InconsistencyError reports an account that does not add up. The fault is in the simulator, not in the
// program that it simulates.
type InconsistencyError struct{ Reason string }

// Error implements error.
func (e *InconsistencyError) Error() string { return "ledger: " + e.Reason }

// earned returns the weight that the request earned.
func (e *entry) earned(classes []Class) float64 {
	switch e.cause {
	case WithinObjective:
		return e.weight
	case Late:
		return e.weight * classes[e.Class].LateWeightFraction
	}
	return 0
}

func (s *Share) add(e *entry, earned float64) {
	s.First++
	s.Asked += e.weight
	s.Got += earned
}

// close computes the served share and the latency quantiles. latencies may be nil.
func (s *Share) close(latencies *hdrhistogram.Histogram) {
	s.Served = servedShare(s.Got, s.Asked)
	if latencies != nil && latencies.TotalCount() > 0 {
		s.P50Ms = float64(latencies.ValueAtQuantile(50)) / 1000
		s.P99Ms = float64(latencies.ValueAtQuantile(99)) / 1000
	}
}

func servedShare(earned, asked float64) float64 {
	if asked <= 0 {
		return 1
	}
	return earned / asked
}

// sums holds the totals over all entries that Close needs beside those in Result.
type sums struct {
	inQuota  []Share // of the requests within the quota, by tenant
	work     float64
	lateFail float64 // weight of the requests that ended unserved after their objective
}

// Close computes the result of the day. workDone is the work that all cores did, in microseconds of a
// core of speed 1. It returns an InconsistencyError if the account does not add up.
func (l *Ledger) Close(workDone float64) (*Result, error) {
	r := l.newResult()
	s := sums{inQuota: make([]Share, len(l.tenants))}
	for _, id := range l.order {
		e := l.entries[id]
		if e.cause == Open {
			return nil, &InconsistencyError{fmt.Sprintf("request %d has not ended", id)}
		}
		l.addEntry(r, &s, e)
	}
	if err := l.checkConsistency(r); err != nil {
		return nil, err
	}
	l.closeShares(r, &s)
	r.Whole = r.All.Served
	r.WorstWindow = r.worstWindow(l.goal.Window)
	r.Waste = min(max(workDone-l.usefulWork, 0)/max(s.work, 1), 1)
	if r.All.Asked > 0 {
		r.LateFail = s.lateFail / r.All.Asked
	}
	l.score(r)
	return r, nil
}

func (l *Ledger) newResult() *Result {
	r := &Result{
		All:    Share{Name: "all"},
		Causes: map[string]Loss{},
		Rules:  map[string]int{},
		Notes:  l.notes,
		Tries:  l.attempts,
		Series: make([]Second, int(l.length/seriesStep)+1),
	}
	for _, c := range l.classes {
		r.Classes = append(r.Classes, Share{Name: c.Name})
	}
	for _, name := range l.tenants {
		r.Tenants = append(r.Tenants, Share{Name: name})
	}
	return r
}

func (l *Ledger) addEntry(r *Result, s *sums, e *entry) {
	earned := e.earned(l.classes)
	r.All.add(e, earned)
	r.Classes[e.Class].add(e, earned)
	r.Tenants[e.Tenant].add(e, earned)
	if e.InShare {
		s.inQuota[e.Tenant].add(e, earned)
	}
	loss := r.Causes[e.cause.String()]
	r.Causes[e.cause.String()] = Loss{loss.Count + 1, loss.Worth + e.weight, loss.Got + earned}
	if second := int(e.At / seriesStep); second >= 0 && second < len(r.Series) {
		r.Series[second].Asked += e.weight
		r.Series[second].Got += earned
	}
	if e.pastObjective && e.cause != Late {
		s.lateFail += e.weight
	}
	s.work += e.Work
}

func (l *Ledger) checkConsistency(r *Result) error {
	if l.repeatedEnds > 0 || len(l.order) != len(l.entries) {
		return &InconsistencyError{fmt.Sprintf(
			"%d ends of requests that had ended or are unknown, %d requests with %d ids",
			l.repeatedEnds, len(l.order), len(l.entries))}
	}
	sum := 0.0
	for _, loss := range r.Causes {
		sum += loss.Worth
	}
	if math.Abs(sum-r.All.Asked) > weightTolerance*max(sum, 1) {
		return &InconsistencyError{fmt.Sprintf(
			"the weights by cause sum up to %v, the weight of all requests is %v", sum, r.All.Asked)}
	}
	return nil
}

// closeShares closes all shares and finds the worst class and the worst tenant.
func (l *Ledger) closeShares(r *Result, s *sums) {
	all := newHistogram()
	for i := range r.Classes {
		all.Merge(l.latencies[i])
		r.Classes[i].close(l.latencies[i])
	}
	r.All.close(all)
	r.WorstClass = r.All.Served
	r.WorstTenant = r.All.Served
	for i := range r.Classes {
		if r.Classes[i].Asked > 0 {
			r.WorstClass = min(r.WorstClass, r.Classes[i].Served)
		}
	}
	for i := range r.Tenants {
		r.Tenants[i].close(nil)
		if quota := &s.inQuota[i]; quota.Asked > 0 {
			r.WorstTenant = min(r.WorstTenant, quota.Got/quota.Asked)
		}
	}
}

// score computes the worth and the score of the day, the rates of rejections and retries, and the number
// of violations.
func (l *Ledger) score(r *Result) {
	g := &l.goal
	r.Worth = g.Whole*r.Whole + g.WorstWindow*r.WorstWindow + g.WorstClass*r.WorstClass +
		g.WorstTenant*r.WorstTenant - g.Waste*r.Waste - g.LateFail*r.LateFail
	if requests := float64(r.All.First); requests > 0 {
		r.Refusals = float64(l.rejections) / requests
		r.Retries = max(float64(l.attempts)/requests-1, 0)
	}
	for rule, count := range l.violations {
		r.Rules[Rule(rule).String()] = count
		r.Broken += count
	}
	if r.Broken == 0 {
		r.Score = r.Worth
	}
}

// worstWindow returns the smallest served share of all windows that begin at a whole second, from 1 s
// on. Windows with little load do not count; see minWindowLoad. If no window counts, it returns the served
// share of the whole day.
func (r *Result) worstWindow(window time.Duration) float64 {
	n := int(window / seriesStep)
	if len(r.Series) < n+1 || n < 1 {
		return r.All.Served
	}
	mean := r.All.Asked / float64(len(r.Series)) * float64(n)
	worst := math.Inf(1)
	for i := 1; i+n <= len(r.Series); i++ {
		asked := 0.0
		earned := 0.0
		for _, s := range r.Series[i : i+n] {
			asked += s.Asked
			earned += s.Got
		}
		if asked > minWindowLoad*mean {
			worst = min(worst, earned/asked)
		}
	}
	if math.IsInf(worst, 1) {
		return r.All.Served
	}
	return worst
}
