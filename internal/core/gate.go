package core

import (
	"time"

	"shalesail"
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

var verbs = map[shalesail.ActionKind]verb{
	shalesail.ActionStart: doStart, shalesail.ActionRefuse: doRefuse, shalesail.ActionFail: doFail,
	shalesail.ActionCall: doCall, shalesail.ActionKeep: doKeep,
	shalesail.ActionForget: doForget, shalesail.ActionReuse: doReuse, shalesail.ActionHealth: doHealth,
	shalesail.ActionAdvertise: doAdvertise, shalesail.ActionTrim: doTrim, shalesail.ActionTimer: doTick,
	shalesail.ActionLog: doLog,
}

// decision is one thing that the module wants done.
type decision struct {
	verb         verb
	id           uint64
	span         int64 // microseconds
	last         bool
	stored, good bool
	value        float64
	text         string
	cause        shalesail.Cause
	limit        float64
}

// gate stands before the module: it is told what happened and hands out what to do, one decision at a time.
type gate struct {
	module *shalesail.Controller
	now    func() int64
	events []shalesail.Event
	ready  []shalesail.Action
	next   int
}

func span(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// report tells the module one thing that happened. The module hears it at the next pick.
func (g *gate) report(e shalesail.Event) { g.events = append(g.events, e) }

// tick tells the module that the time it asked for has come.
func (g *gate) tick(v Gauges) {
	g.report(shalesail.Event{Kind: shalesail.EventTimer, Gauges: shalesail.Gauges(v)})
}

// pick is the next thing to do; there is none when all that happened has been dealt with.
func (g *gate) pick() (decision, bool) {
	if g.next == len(g.ready) {
		if len(g.events) == 0 {
			return decision{}, false
		}
		g.ready, g.next = g.module.Handle(span(g.now()), g.events, g.ready[:0]), 0
		g.events = g.events[:0]
		if len(g.ready) == 0 {
			return decision{}, false
		}
	}
	a := &g.ready[g.next]
	g.next++
	return decision{verb: verbs[a.Kind], id: a.Request, span: a.For.Microseconds(), last: a.Last, stored: a.Stored,
		good: a.Good, value: a.Value, text: a.Text, cause: a.Cause, limit: a.Limit}, true
}
