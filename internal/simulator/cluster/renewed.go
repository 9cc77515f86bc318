package cluster

import (
	"slices"
	"time"

	"ryepaddle/internal/balancer/endpointhealth"
	"ryepaddle/internal/balancer/picker"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/simulator/virtualclock"
)

// blind is the way in which the routing is replaced in the middle of the day by one that knows
// nothing, as when an instance is.
const blind = "new-blind"

// renewed is that. What it does worse than routing that stays is what knowledge from before is
// worth.
type renewed struct {
	*routed
	cfg    picker.Config
	seed   uint64
	at     time.Duration // when it is replaced
	done   bool
	listed []endpointhealth.EndpointSpec
	old    map[string]int // requests of the one before that are open
}

func newRenewed(cfg picker.Config, spec *Spec, seed uint64) *renewed {
	return &renewed{
		routed: newRouted(cfg, seed),
		cfg:    cfg,
		seed:   seed,
		at:     virtualclock.FromMicros(spec.Seconds * 1e6 / 2),
		old:    map[string]int{},
	}
}

func (p *renewed) List(list []endpointhealth.EndpointSpec, now time.Duration) {
	p.listed = slices.Clone(list)
	p.routed.List(list, now)
}

// Done keeps the ends of what the one before had sent from the new one. Of one server they are
// taken to end first.
func (p *renewed) Done(name string, class int, o lifecycle.Outcome, took, now time.Duration) {
	if p.old[name] > 0 {
		p.old[name]--
		return
	}
	p.routed.Done(name, class, o, took, now)
}

func (p *renewed) Tick(now time.Duration) {
	if p.done || now < p.at {
		p.routed.Tick(now)
		return
	}
	p.done = true
	for _, s := range p.r.Servers() {
		p.old[s.Name] = s.ActiveRequests
	}
	changes := p.changes
	p.routed = newRouted(p.cfg, p.seed+1)
	p.routed.List(p.listed, now)
	p.changes += changes
}
