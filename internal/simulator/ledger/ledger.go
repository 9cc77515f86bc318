// Package ledger keeps the account of a simulated day: which requests were made, how each of them ended
// and which rules were violated. Each request is added once and ends once, whatever the number of its
// attempts. The score is a weighted sum of the served shares of all requests, of the worst window, of
// the worst class and of the worst tenant within its quota, less penalties for wasted work and late
// failures. Package fleet fills the account.
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
	LateWeightFraction         float64 // share of its weight that a late request earns
}

// Goal holds the factors of the score and of the weights of requests.
type Goal struct {
	Whole, WorstWindow, WorstClass, WorstTenant float64       // factors of the served shares
	OverWorth                                   float64       // weight factor of a request beyond its tenant's quota
	Waste, LateFail                             float64       // penalty factors of wasted work and of late failures
	Window                                      time.Duration // length of the windows of WorstWindow
}

// Request is a request of a client.
type Request struct {
	At      time.Duration // from the start of the day
	Class   int
	Tenant  int
	InShare bool    // within its tenant's quota
	Work    float64 // in microseconds of a core of speed 1
}

// entry is a request of the account and how it ended.
type entry struct {
	Request
	weight        float64
	cause         Cause
	pastObjective bool // the request ended after its latency objective
}

// Ledger is the account of a day.
type Ledger struct {
	classes      []Class
	tenants      []string
	goal         Goal
	length       time.Duration
	entries      map[uint64]*entry
	order        []uint64                  // IDs of the entries, in the order of AddRequest
	latencies    []*hdrhistogram.Histogram // of served requests, by class, in microseconds
	violations   [ruleCount]int
	notes        []string
	attempts     int
	rejections   int
	usefulWork   float64 // work of the requests that were served
	repeatedEnds int     // ends of requests that had ended or were never added
}

const (
	// The range and the significant digits of the latency histograms.
	minLatency, maxLatency = 100 * time.Microsecond, time.Hour
	significantDigits      = 3
	maxNotes               = 20
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatency.Microseconds(), maxLatency.Microseconds(), significantDigits)
}

// New returns an empty account of a day of the given length.
func New(classes []Class, tenants []string, goal Goal, length time.Duration) *Ledger {
	l := &Ledger{classes: classes, tenants: tenants, goal: goal, length: length, entries: map[uint64]*entry{}}
	for range classes {
		l.latencies = append(l.latencies, newHistogram())
	}
	return l
}

// AddRequest adds a request.
func (l *Ledger) AddRequest(id uint64, r Request) {
	weight := l.classes[r.Class].PriorityWeight
	if !r.InShare {
		weight *= l.goal.OverWorth
	}
	l.entries[id] = &entry{Request: r, weight: weight}
	l.order = append(l.order, id)
}

// EndRequest records how a request ended and how long it took. WithinObjective becomes Late if the
// request took longer than its latency objective.
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
		_ = l.latencies[e.Class].RecordValue(latency.Microseconds()) // cannot fail: latency is within the range
	}
}

// CountAttempt counts an attempt that was sent.
func (l *Ledger) CountAttempt() { l.attempts++ }

// CountRejection counts an attempt that a runner rejected.
func (l *Ledger) CountRejection() { l.rejections++ }

// AddUsefulWork adds the work of a request that was served, in microseconds of a core of speed 1.
func (l *Ledger) AddUsefulWork(work float64) { l.usefulWork += work }

// AddViolation records the violation of a rule at a time of the day. The first maxNotes violations are
// described in Result.Notes.
func (l *Ledger) AddViolation(r Rule, at time.Duration, format string, v ...any) {
	l.violations[r]++
	if len(l.notes) < maxNotes {
		seconds := float64(at.Microseconds()) / 1e6
		l.notes = append(l.notes, fmt.Sprintf("%.3f s: %v: %s", seconds, r, fmt.Sprintf(format, v...)))
	}
}
