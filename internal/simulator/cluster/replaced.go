package cluster

import (
	"slices"
	"time"

	"ryepaddle/internal/balancer/endpointhealth"
	"ryepaddle/internal/balancer/picker"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/simulator/virtualclock"
)

// replacedMode is the way in which the routing is replaced in the middle of the day by one that knows
// nothing, as when an instance is.
const replacedMode = "new-blind"

// replacedPicker is that. What it does worse than routing that stays is what knowledge from before is
// worth.
type replacedPicker struct {
	*productionPicker
	cfg       picker.Config
	seed      uint64
	replaceAt time.Duration // when it is replaced
	replaced  bool
	listed    []endpointhealth.EndpointSpec
	oldActive map[string]int // requests of the one before that are open
}

func newReplacedPicker(cfg picker.Config, spec *Spec, seed uint64) *replacedPicker {
	return &replacedPicker{
		productionPicker: newProductionPicker(cfg, seed),
		cfg:              cfg,
		seed:             seed,
		replaceAt:        virtualclock.FromMicros(spec.Seconds * 1e6 / 2),
		oldActive:        map[string]int{},
	}
}

func (p *replacedPicker) SetEndpoints(list []endpointhealth.EndpointSpec, now time.Duration) {
	p.listed = slices.Clone(list)
	p.productionPicker.SetEndpoints(list, now)
}

// Done keeps the ends of what the one before had sent from the new one. Of one server they are
// taken to end first.
func (p *replacedPicker) Done(name string, class int, o lifecycle.Outcome, took, now time.Duration) {
	if p.oldActive[name] > 0 {
		p.oldActive[name]--
		return
	}
	p.productionPicker.Done(name, class, o, took, now)
}

func (p *replacedPicker) Tick(now time.Duration) {
	if p.replaced || now < p.replaceAt {
		p.productionPicker.Tick(now)
		return
	}
	p.replaced = true
	for _, s := range p.picker.Servers() {
		p.oldActive[s.Name] = s.ActiveRequests
	}
	changes := p.changes
	p.productionPicker = newProductionPicker(p.cfg, p.seed+1)
	p.productionPicker.SetEndpoints(p.listed, now)
	p.changes += changes
}
