package app

import (
	"time"

	"ryepaddle/internal/frontend/admin"
)

// enginePollInterval is the time between two checks of whether the engine is connected.
const enginePollInterval = 10 * time.Millisecond

// startListening opens the listeners. The platform's frontend comes last: once it listens, the program
// serves.
func (p *Program) startListening() error {
	if p.uwsgi.frontend != nil {
		if err := p.uwsgi.frontend.Listen(p.requests); err != nil {
			return err
		}
	}
	if err := p.listenControl(); err != nil {
		return err
	}
	if err := p.listenAdmin(); err != nil {
		return err
	}
	return addressKind.Wrap(p.listenPlatform())
}

func (p *Program) listenAdmin() error {
	if !p.config.Admin.IsValid() {
		return nil
	}
	var err error
	if p.admin, err = admin.Listen(p.loop, p.config.Admin, p); err != nil {
		return addressKind.New("ops: %w", err)
	}
	return nil
}

// listenPlatform accepts connections of balancers. While other processes of this runner exist it waits
// until the engine is connected, so that this process can serve what it accepts.
func (p *Program) listenPlatform() error {
	if p.keys.processes > 1 && p.config.Engine.IsValid() && !p.platform.engine.IsConnected() {
		p.loop.After(enginePollInterval, p.listenWhenReady)
		return nil
	}
	if p.state.draining {
		return nil
	}
	connections := shareDescriptors(p.config, p.operator).balancers / p.keys.processes
	if err := p.platform.frontend.Listen(p.config.Listen, connections, p.requests); err != nil {
		return err
	}
	p.state.listening = true
	eventListening.Log(p.config.Name, p.platform.frontend.Addr())
	p.markServing()
	return nil
}

// listenWhenReady calls listenPlatform again. An error, such as an address in use, ends the program.
func (p *Program) listenWhenReady() {
	if err := p.listenPlatform(); err != nil {
		p.state.err = err
		p.loop.Stop()
	}
}

// logListeners logs the addresses of the listeners, except that of the platform's frontend, which
// listenPlatform logs.
func (p *Program) logListeners() {
	if p.admin != nil {
		eventListening.Log("ops", p.admin.Addr())
	}
	if p.peers != nil {
		eventListening.Log("peers", p.peers.Transport().Addr())
	}
	if p.uwsgi.frontend != nil {
		eventListening.Log("uwsgi", p.uwsgi.frontend.Addr())
	}
}

// connections returns how many connections of callers are open.
func (p *Program) connections() int {
	if p.uwsgi.frontend != nil {
		return p.platform.frontend.Connections() + p.uwsgi.frontend.Connections()
	}
	return p.platform.frontend.Connections()
}

// setHealth sets how the frontends answer health checks. If stored is set, the platform's deep checks
// get the same answer without a check.
func (p *Program) setHealth(stored, healthy bool) {
	p.platform.frontend.SetHealth(stored, healthy)
	if p.uwsgi.frontend != nil {
		p.uwsgi.frontend.SetHealth(healthy)
	}
}
