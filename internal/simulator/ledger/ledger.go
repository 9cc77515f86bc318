// Package ledger keeps the account of a day: what was asked for, what was served in its time, what
// became of the rest, and which rules were broken. Each first try is entered once and ends once;
// retries belong to it. Worth is weighed as the operators do: the whole, the worst stretch, the
// worst class and the worst tenant within its share.
package ledger

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Cause is how a first try ended.
type Cause uint8

// The causes.
const (
	Open            Cause = iota // it has not ended
	WithinObjective              // served within its aim
	Late                         // served before its client gave up
	Rejected                     // turned away
	Failed                       // an error, or a broken connection
	TimedOut                     // its client gave up
	Unsent                       // no server was willing
	causeCount
)

var causeNames = [causeCount]string{"open", "in_aim", "late", "refused", "failed", "timed_out", "unsent"}

func (c Cause) String() string { return causeNames[c] }

// Rule is one of the rules that hold whatever the day.
type Rule uint8

// The rules.
const (
	Lost      Rule = iota // what was read got no final answer in its time
	Duplicate             // a request with an effect ran twice, or an answer went out twice
	// something ran that came too late after the notice, or was left unanswered
	Drain
	RunnerCrash  // a runner died of its crowd or memory
	BackendCrash // the back end died of its calls
	ruleCount
)

var ruleNames = [ruleCount]string{"lost", "duplicate", "drain", "fall-over", "backend"}

func (r Rule) String() string { return ruleNames[r] }

// Rules are the names of all rules.
func Rules() []string { return ruleNames[:] }

// Class is what the ledger needs to know of one.
type Class struct {
	Name                       string
	LatencyObjective, Deadline time.Duration
	PriorityWeight             float64
	LateWeightFraction         float64
}

// Goal is how worth is weighed, and the prices that come off.
type Goal struct {
	Whole, WorstWindow, WorstClass, WorstTenant float64
	OverWorth                                   float64 // of a request beyond its tenant's share
	Waste, LateFail                             float64
	Window                                      time.Duration
}

// Request is a first try.
type Request struct {
	At      time.Duration // from the start of the day
	Class   int
	Tenant  int
	InShare bool
	Work    float64 // that it asks of the cores
}

type entry struct {
	Request
	weight        float64
	cause         Cause
	pastObjective bool // it ended after that
}

// Ledger is the account of one day.
type Ledger struct {
	classes      []Class
	tenants      []string
	goal         Goal
	length       time.Duration
	entries      map[uint64]*entry
	order        []uint64
	latencies    []*hdrhistogram.Histogram // of answers in time to use them, by class
	violations   [ruleCount]int
	notes        []string
	attempts     int
	rejections   int
	usefulWork   float64 // work that served somebody
	repeatedEnds int     // ends of what had ended
}

const (
	minLatency, maxLatency = 100 * time.Microsecond, time.Hour // of the histograms
	digits                 = 3                                 // significant, of the histograms
	maxNotes               = 20
	seriesStep             = time.Second // of the series
	// a stretch asked for less than so much of the mean is no worst one
	minWindowLoad = 0.2
)

// newHistogram is one of latencies in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatency.Microseconds(), maxLatency.Microseconds(), digits)
}

// New opens an account.
func New(classes []Class, tenants []string, goal Goal, length time.Duration) *Ledger {
	l := &Ledger{classes: classes, tenants: tenants, goal: goal, length: length, entries: map[uint64]*entry{}}
	for range classes {
		l.latencies = append(l.latencies, newHistogram())
	}
	return l
}

// AddRequest enters a first try.
func (l *Ledger) AddRequest(id uint64, a Request) {
	worth := l.classes[a.Class].PriorityWeight
	if !a.InShare {
		worth *= l.goal.OverWorth
	}
	l.entries[id] = &entry{Request: a, weight: worth}
	l.order = append(l.order, id)
}

// EndRequest enters how a first try ended, so long after it was asked. Served is Late past the aim.
func (l *Ledger) EndRequest(id uint64, c Cause, took time.Duration) {
	f := l.entries[id]
	if f == nil || f.cause != Open {
		l.repeatedEnds++
		return
	}
	if c == WithinObjective && took > l.classes[f.Class].LatencyObjective {
		c = Late
	}
	f.pastObjective = took > l.classes[f.Class].LatencyObjective
	if f.cause = c; c == WithinObjective || c == Late {
		l.latencies[f.Class].RecordValue(min(max(took, minLatency), maxLatency).Microseconds())
	}
}

// CountAttempt counts a try that went out, Refuse one that was turned away, and Useful the work of one that
// served.
func (l *Ledger) CountAttempt()              { l.attempts++ }
func (l *Ledger) CountRejection()            { l.rejections++ }
func (l *Ledger) AddUsefulWork(work float64) { l.usefulWork += work }

// AddViolation enters a broken rule.
func (l *Ledger) AddViolation(r Rule, at time.Duration, format string, v ...any) {
	l.violations[r]++
	if len(l.notes) < maxNotes {
		l.notes = append(
			l.notes,
			fmt.Sprintf("%.3f s: %v: %s", float64(at.Microseconds())/1e6, r, fmt.Sprintf(format, v...)),
		)
	}
}

// Share is the account of a class, a tenant or the whole.
type Share struct {
	Name   string  `json:"name"`
	First  int     `json:"first"`
	Asked  float64 `json:"asked"` // worth
	Got    float64 `json:"got"`
	Served float64 `json:"served"` // got of asked; 1 where nothing was asked
	P50Ms  float64 `json:"p50_ms,omitempty"`
	P99Ms  float64 `json:"p99_ms,omitempty"`
}

// Loss is what one cause came to.
type Loss struct {
	Count int     `json:"count"`
	Worth float64 `json:"worth"` // asked for by those
	Got   float64 `json:"got"`
}

// Second is one step of the series of a day.
type Second struct {
	Asked float64 `json:"asked"`
	Got   float64 `json:"got"`
}

// Result is what a day came to.
type Result struct {
	Score       float64         `json:"score"` // worth, or 0 where a rule was broken
	Worth       float64         `json:"worth"` // as weighed, prices taken off
	Whole       float64         `json:"whole"`
	WorstWindow float64         `json:"worst_window"`
	WorstClass  float64         `json:"worst_class"`
	WorstTenant float64         `json:"worst_tenant"`
	Waste       float64         `json:"waste"`
	LateFail    float64         `json:"late_fail"`
	All         Share           `json:"all"`
	Classes     []Share         `json:"classes"`
	Tenants     []Share         `json:"tenants"`
	Causes      map[string]Loss `json:"causes"`
	Tries       int             `json:"tries"`
	Refusals    float64         `json:"refusals"` // for each first try
	Retries     float64         `json:"retries"`  // for each first try
	Broken      int             `json:"broken"`
	Rules       map[string]int  `json:"rules"`
	Notes       []string        `json:"notes,omitempty"`
	Series      []Second        `json:"series"`
}

func (f *entry) earned(classes []Class) float64 {
	switch f.cause {
	case WithinObjective:
		return f.weight
	case Late:
		return f.weight * classes[f.Class].LateWeightFraction
	}
	return 0
}

func (p *Share) add(f *entry, got float64) {
	p.First++
	p.Asked += f.weight
	p.Got += got
}

func (p *Share) close(times *hdrhistogram.Histogram) {
	p.Served = servedShare(p.Got, p.Asked)
	if times != nil && times.TotalCount() > 0 {
		p.P50Ms, p.P99Ms = float64(times.ValueAtQuantile(50))/1000, float64(times.ValueAtQuantile(99))/1000
	}
}

func servedShare(got, asked float64) float64 {
	if asked <= 0 {
		return 1
	}
	return got / asked
}

// Close sums the account up, with the work that the cores did in all. What is still open ends as
// given up. It reports an account that does not add up, which is a fault of the model and not of
// what it plays.
func (l *Ledger) Close(worked float64) (*Result, error) {
	r := &Result{
		All:    Share{Name: "all"},
		Causes: map[string]Loss{},
		Rules:  map[string]int{},
		Notes:  l.notes,
		Tries:  l.attempts,
	}
	r.Series = make([]Second, int(l.length/seriesStep)+1)
	for _, c := range l.classes {
		r.Classes = append(r.Classes, Share{Name: c.Name})
	}
	for _, t := range l.tenants {
		r.Tenants = append(r.Tenants, Share{Name: t})
	}
	inShare := make([]Share, len(l.tenants))
	work, lateFail, ended := 0.0, 0.0, 0
	for _, id := range l.order {
		f := l.entries[id]
		if f.cause == Open {
			return nil, fmt.Errorf("ledger: first try %d has no end", id)
		}
		got := f.earned(l.classes)
		r.All.add(f, got)
		r.Classes[f.Class].add(f, got)
		r.Tenants[f.Tenant].add(f, got)
		if f.InShare {
			inShare[f.Tenant].add(f, got)
		}
		c := r.Causes[f.cause.String()]
		r.Causes[f.cause.String()] = Loss{c.Count + 1, c.Worth + f.weight, c.Got + got}
		if s := f.At / seriesStep; s >= 0 && int(s) < len(r.Series) {
			r.Series[s].Asked += f.weight
			r.Series[s].Got += got
		}
		if f.pastObjective && f.cause != Late {
			lateFail += f.weight
		}
		work += f.Work
		ended++
	}
	if l.repeatedEnds > 0 || ended != len(l.entries) {
		return nil, fmt.Errorf(
			"ledger: %d ends of what had ended, %d first tries of %d",
			l.repeatedEnds,
			ended,
			len(l.entries),
		)
	}
	sum := 0.0
	for _, c := range r.Causes {
		sum += c.Worth
	}
	if math.Abs(sum-r.All.Asked) > 1e-6*max(sum, 1) {
		return nil, fmt.Errorf("ledger: causes come to %v of %v asked", sum, r.All.Asked)
	}
	all := newHistogram()
	for i := range r.Classes {
		all.Merge(l.latencies[i])
		r.Classes[i].close(l.latencies[i])
	}
	r.All.close(all)
	r.WorstClass, r.WorstTenant = r.All.Served, r.All.Served
	for i := range r.Classes {
		if r.Classes[i].Asked > 0 {
			r.WorstClass = min(r.WorstClass, r.Classes[i].Served)
		}
	}
	for i := range r.Tenants {
		r.Tenants[i].close(nil)
		if p := &inShare[i]; p.Asked > 0 {
			r.WorstTenant = min(r.WorstTenant, p.Got/p.Asked)
		}
	}
	r.Whole, r.WorstWindow = r.All.Served, r.worstWindow(l.goal.Window)
	r.Waste = min(max(worked-l.usefulWork, 0)/max(work, 1), 1)
	r.LateFail = servedShare(lateFail, r.All.Asked)
	if r.All.Asked == 0 {
		r.LateFail = 0
	}
	g := &l.goal
	r.Worth = g.Whole*r.Whole + g.WorstWindow*r.WorstWindow + g.WorstClass*r.WorstClass + g.WorstTenant*r.WorstTenant -
		g.Waste*r.Waste - g.LateFail*r.LateFail
	if n := float64(r.All.First); n > 0 {
		r.Refusals, r.Retries = float64(l.rejections)/n, max(float64(l.attempts)/n-1, 0)
	}
	for i, n := range l.violations {
		r.Rules[ruleNames[i]] = n
		r.Broken += n
	}
	if r.Score = r.Worth; r.Broken > 0 {
		r.Score = 0
	}
	return r, nil
}

// worstWindow is the least share served in any stretch of the window's length, from the first second on.
// Stretches in which hardly anything was asked for do not count.
func (r *Result) worstWindow(window time.Duration) float64 {
	n := int(window / seriesStep)
	if len(r.Series) < n+1 || n < 1 {
		return r.All.Served
	}
	usual := r.All.Asked / float64(len(r.Series)) * float64(n)
	least := math.Inf(1)
	for i := 1; i+n <= len(r.Series); i++ {
		asked, got := 0.0, 0.0
		for _, s := range r.Series[i : i+n] {
			asked, got = asked+s.Asked, got+s.Got
		}
		if asked > minWindowLoad*usual {
			least = min(least, got/asked)
		}
	}
	if math.IsInf(least, 1) {
		return r.All.Served
	}
	return least
}

// Cause tells how a first try ended.
func (l *Ledger) Cause(id uint64) Cause { return l.entries[id].cause }

// CauseNames are the names of the causes that an ended first try can have.
func CauseNames() []string { return slices.Clone(causeNames[WithinObjective:]) }
