// Package ledger keeps the account of a simulated day: which requests were made, how each ended, and
// which rules were violated. Each request is added once and ends once; its retries belong to it.
// The score is a weighted sum of the shares served of all requests, of the worst window, of the worst
// class and of the worst tenant within its quota. Package fleet fills the account.
package ledger

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Class is a class of requests.
type Class struct {
	Name                       string
	LatencyObjective, Deadline time.Duration
	PriorityWeight             float64
	LateWeightFraction         float64 // of the weight that a late answer earns
}

// Goal holds the factors of the score.
type Goal struct {
	Whole, WorstWindow, WorstClass, WorstTenant float64
	OverWorth                                   float64       // of the weight of a request over its tenant's quota
	Waste, LateFail                             float64       // subtracted: factors of wasted work, of late failures
	Window                                      time.Duration // of WorstWindow
}

// Request is a request of a client.
type Request struct {
	At      time.Duration // from the start of the day
	Class   int
	Tenant  int
	InShare bool    // within its tenant's quota
	Work    float64 // in microseconds of a core of speed 1
}

// entry is a request of the account.
type entry struct {
	Request
	weight        float64
	cause         Cause
	pastObjective bool // it ended after its latency objective
}

// Ledger is the account of a day.
type Ledger struct {
	classes      []Class
	tenants      []string
	goal         Goal
	length       time.Duration
	entries      map[uint64]*entry
	order        []uint64                  // of the entries
	latencies    []*hdrhistogram.Histogram // of served requests, by class, in microseconds
	violations   [ruleCount]int
	notes        []string
	attempts     int
	rejections   int
	usefulWork   float64 // of requests that were served
	repeatedEnds int     // ends of requests that had ended
}

const (
	// the range and the significant digits of the histograms
	minLatency, maxLatency = 100 * time.Microsecond, time.Hour
	significantDigits      = 3
	maxNotes               = 20
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatency.Microseconds(), maxLatency.Microseconds(), significantDigits)
}

// New returns an empty account of a day.
func New(classes []Class, tenants []string, goal Goal, length time.Duration) *Ledger {
	l := &Ledger{classes: classes, tenants: tenants, goal: goal, length: length, entries: map[uint64]*entry{}}
	for range classes {
		l.latencies = append(l.latencies, newHistogram())
	}
	return l
}

// AddRequest enters a request.
func (l *Ledger) AddRequest(id uint64, r Request) {
	weight := l.classes[r.Class].PriorityWeight
	if !r.InShare {
		weight *= l.goal.OverWorth
	}
	l.entries[id] = &entry{Request: r, weight: weight}
	l.order = append(l.order, id)
}

// EndRequest enters the end of a request, and how long it took. WithinObjective becomes Late if it
// took longer than the latency objective.
func (l *Ledger) EndRequest(id uint64, cause Cause, took time.Duration) {
	e := l.entries[id]
	if e == nil || e.cause != Open {
		l.repeatedEnds++
		return
	}
	e.pastObjective = took > l.classes[e.Class].LatencyObjective
	if cause == WithinObjective && e.pastObjective {
		cause = Late
	}
	e.cause = cause
	if cause == WithinObjective || cause == Late {
		latency := min(max(took, minLatency), maxLatency)
		_ = l.latencies[e.Class].RecordValue(latency.Microseconds()) // within the range
	}
}

// CountAttempt counts an attempt that was sent.
func (l *Ledger) CountAttempt() { l.attempts++ }

// CountRejection counts an attempt that a runner rejected.
func (l *Ledger) CountRejection() { l.rejections++ }

// AddUsefulWork adds the work of a request that was served.
func (l *Ledger) AddUsefulWork(work float64) { l.usefulWork += work }

// AddViolation enters the violation of a rule at a time of the day. The first ones are described in
// Result.Notes.
func (l *Ledger) AddViolation(r Rule, at time.Duration, format string, v ...any) {
	l.violations[r]++
	if len(l.notes) < maxNotes {
		seconds := float64(at.Microseconds()) / 1e6
		l.notes = append(l.notes, fmt.Sprintf("%.3f s: %v: %s", seconds, r, fmt.Sprintf(format, v...)))
	}
}
