package backend

import "ryepaddle/internal/lifecycle"

// A call whose reply is lost would hold its share of the back end until its timeout, while later calls
// wait. It is given up when enough later calls have been replied to and it takes far longer than usual.
// If the back end itself is slow, later calls are as slow, and none is overtaken.
const (
	overtakenLimit      = 8 // replies to later calls
	latencyFactor       = 8 // mean durations of a call
	nonIdempotentFactor = 2 // on both limits, for a call that may not be made again
	meanGain            = 0.05
)

// giveUpOvertaken records that a call was replied to, and ends the earlier calls whose replies must have
// been lost. They may have run.
func (p *Pool) giveUpOvertaken(by *call) {
	now := p.loop.Now()
	took := float64((now - by.startedAt).Microseconds())
	if p.meanLatency == 0 {
		p.meanLatency = took
	} else {
		p.meanLatency += meanGain * (took - p.meanLatency)
	}
	var lost []*call
	for _, c := range p.calls {
		if c.number > by.number {
			continue
		}
		factor := 1
		if !c.attempt.Idempotent {
			factor = nonIdempotentFactor
		}
		c.overtaken++
		overdue := float64((now - c.startedAt).Microseconds()) > p.meanLatency*float64(latencyFactor*factor)
		if c.overtaken >= overtakenLimit*factor && overdue {
			lost = append(lost, c)
		}
	}
	for _, c := range lost {
		p.end(c, lifecycle.Interrupted, nil)
	}
}
