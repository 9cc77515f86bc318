package lifecycle

import (
	"time"

	"ryepaddle/internal/admission"
)

// verb is what a decision asks for.
type verb uint8

const (
	doNothing verb = iota
	doStart
	doRefuse
	doFail
	doCall
	doKeep
	doForget
	doReuse
	doHealth
	doAdvertise
	doTrim
	doTick
	doLog
)

var verbs = map[admission.ActionKind]verb{
	admission.ActionStart: doStart, admission.ActionReject: doRefuse, admission.ActionFail: doFail,
	admission.ActionPlaceCall: doCall, admission.ActionRememberKey: doKeep,
	admission.ActionForgetKey: doForget, admission.ActionReuseResult: doReuse, admission.ActionSetHealth: doHealth,
	admission.ActionAdvertise: doAdvertise, admission.ActionCloseIdle: doTrim, admission.ActionTimer: doTick,
	admission.ActionLog: doLog,
}

// decision is one thing that the module wants done.
type decision struct {
	verb         verb
	id           uint64
	span         time.Duration
	last         bool
	stored, good bool
	value        float64
	text         string
	cause        admission.Cause
	limit        float64
}

// admission stands before the module: it is told what happened and hands out what to do, one decision at
// a time.
type admissionQueue struct {
	module *admission.Controller
	now    func() time.Duration
	events []admission.Event
	ready  []admission.Action
	next   int
}

// report tells the module one thing that happened. The module hears it at the next pick.
func (q *admissionQueue) report(e admission.Event) { q.events = append(q.events, e) }

// tick tells the module that the time it asked for has come.
func (q *admissionQueue) tick(v Gauges) {
	q.report(admission.Event{Kind: admission.EventTimer, Gauges: admission.Gauges(v)})
}

// pick is the next thing to do; there is none when all that happened has been dealt with.
func (q *admissionQueue) pick() (decision, bool) {
	if q.next == len(q.ready) {
		if len(q.events) == 0 {
			return decision{}, false
		}
		q.ready, q.next = q.module.Handle(q.now(), q.events, q.ready[:0]), 0
		q.events = q.events[:0]
		if len(q.ready) == 0 {
			return decision{}, false
		}
	}
	a := &q.ready[q.next]
	q.next++
	return decision{
		verb:   verbs[a.Kind],
		id:     a.Request,
		span:   a.Duration.Truncate(time.Microsecond),
		last:   a.NoRetry,
		stored: a.Static,
		good:   a.Healthy,
		value:  a.Value,
		text:   a.Text,
		cause:  a.Cause,
		limit:  a.Limit,
	}, true
}
