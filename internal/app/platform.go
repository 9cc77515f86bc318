package app

import (
	"ryepaddle/internal/config"
	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/frontend/platform"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/platform/backend"
	"ryepaddle/internal/platform/engine"
	"ryepaddle/internal/platform/registry"
	"ryepaddle/internal/simwire"
)

// platformLinks holds the connections to the platform: those that the frontend accepts, and the links to
// the engine, the back end and the registry.
type platformLinks struct {
	frontend *platform.Frontend
	engine   *engine.Link
	backend  *backend.Pool
	registry *registry.Reporter // nil without a registry
}

func newPlatformLinks(loop *eventloop.Loop, c *config.Platform, operator *config.Operator) platformLinks {
	decodeGauges := func(values []float64) lifecycle.Gauges {
		return lifecycle.Gauges(simwire.ArrangeGauges(values, c.Gauges))
	}
	links := platformLinks{
		engine:  engine.New(loop, c.Engine, decodeGauges),
		backend: backend.New(loop, c.Backend),
	}
	maxResponse := 0
	if operator != nil {
		maxResponse = operator.Limits.Flow().MaxCached
	}
	links.frontend = platform.New(loop, links.engine, maxResponse)
	return links
}

// start starts the links to the back end, the engine and the registry. Links without a configured
// address stay closed.
func (l *platformLinks) start(p *Program) {
	l.backend.SetMaxConnections(shareDescriptors(p.config, p.operator).backend)
	l.backend.Start(p.requests)
	l.engine.Start(p.requests)
	if !p.config.Registry.IsValid() {
		return
	}
	var err error
	if l.registry, err = registry.Start(p.loop, p.config.Registry, p.config.Name); err != nil {
		eventRegistryFailed.Log(err)
	}
}

// moveRegistry sends reports to the registry's new address, if a new configuration changes it.
func (l *platformLinks) moveRegistry(next, previous *config.Platform) {
	if !next.Registry.IsValid() || next.Registry == previous.Registry {
		return
	}
	if err := l.registry.SetAddress(next.Registry); err != nil {
		eventRegistryFailed.Log(err)
	}
}
