package cluster

import (
	"slices"
	"time"

	"ryepaddle/internal/balancer/endpointhealth"
	"ryepaddle/internal/balancer/picker"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/simulator/virtualclock"
)

// replacedMode is the routing mode in which the picker is replaced in the middle of the day by a new one
// that knows nothing about the servers, as happens when an instance of the program is replaced.
const replacedMode = "new-blind"

// replacedPicker is the picker of replacedMode.
type replacedPicker struct {
	*productionPicker
	config    picker.Config
	seed      uint64
	replaceAt time.Duration
	replaced  bool
	listed    []endpointhealth.EndpointSpec
	oldActive map[string]int // requests of the replaced picker that are in flight, by server
}

func newReplacedPicker(config picker.Config, spec *Spec, seed uint64) *replacedPicker {
	return &replacedPicker{
		productionPicker: newProductionPicker(config, seed),
		config:           config,
		seed:             seed,
		replaceAt:        virtualclock.FromSeconds(spec.Seconds / 2),
		oldActive:        map[string]int{},
	}
}

// SetEndpoints implements Picker.
func (p *replacedPicker) SetEndpoints(list []endpointhealth.EndpointSpec, now time.Duration) {
	p.listed = slices.Clone(list)
	p.productionPicker.SetEndpoints(list, now)
}

// Done implements Picker. The new picker does not learn of the ends of requests that the replaced picker sent.
// As requests are not told apart, those of the replaced picker are assumed to end first at each server.
func (p *replacedPicker) Done(name string, class int, o lifecycle.Outcome, latency, now time.Duration) {
	if p.oldActive[name] > 0 {
		p.oldActive[name]--
		return
	}
	p.productionPicker.Done(name, class, o, latency, now)
}

// Tick implements Picker. It replaces the picker at replaceAt.
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
	p.productionPicker = newProductionPicker(p.config, p.seed+1)
	p.productionPicker.SetEndpoints(p.listed, now)
	p.changes += changes
}
