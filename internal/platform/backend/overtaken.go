package backend

import "ryepaddle/internal/lifecycle"

// Limits for overtaken calls. A call whose reply is lost would occupy the back end's capacity until
// its timeout, while later calls wait. It is abandoned when enough later calls have been replied to
// and it has taken far longer than the mean. If the back end itself is slow, later calls are slow as
// well, and no call is overtaken.
const (
	// overtakenLimit is how many later calls must have been replied to before a call is abandoned.
	overtakenLimit = 8
	// latencyFactor is how many times the mean latency a call must have taken before it is abandoned.
	latencyFactor = 8
	// nonIdempotentFactor multiplies both limits for a call that is not idempotent.
	nonIdempotentFactor = 2
	// meanGain is the weight of a new latency in the exponential moving mean.
	meanGain = 0.05
)

// abandonOvertaken records the latency of a call that was replied to, and ends the earlier calls whose
// replies must have been lost. These may have run, so they end as interrupted.
func (p *Pool) abandonOvertaken(by *call) {
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
		elapsed := float64((now - c.startedAt).Microseconds())
		isOverdue := elapsed > p.meanLatency*float64(latencyFactor*factor)
		if c.overtaken >= overtakenLimit*factor && isOverdue {
			lost = append(lost, c)
		}
	}
	for _, c := range lost {
		p.end(c, lifecycle.Interrupted, nil)
	}
}
