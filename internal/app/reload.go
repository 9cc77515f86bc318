package app

import (
	"slices"

	"ryepaddle/internal/config"
)

// configFiles holds the paths of the configuration files. operator is empty without an operator's file.
type configFiles struct{ platform, operator string }

// read reads and checks the files. The operator returned is nil without an operator's file.
func (f configFiles) read() (platform *config.Platform, operator *config.Operator, err error) {
	if platform, err = config.ReadPlatform(f.platform); err != nil {
		return nil, nil, err
	}
	if f.operator != "" {
		if operator, err = config.ReadOperator(f.operator, platform); err != nil {
			return nil, nil, err
		}
	}
	return platform, operator, config.CheckComplete(platform, operator)
}

// reload reads the configuration files again, and applies them if all of them are valid. The files
// are read in a goroutine, so that the loop is not blocked.
func (p *Program) reload() {
	if p.state.reloading {
		p.state.reloadAgain = true
		return
	}
	p.state.reloading = true
	go func() {
		platform, operator, err := p.files.read()
		p.loop.Deliver(func() { p.reloaded(platform, operator, err) })
	}()
}

// reloaded applies the files that were read. It reads them again if a HUP arrived in the meantime,
// since they may have changed after they were read.
func (p *Program) reloaded(platform *config.Platform, operator *config.Operator, err error) {
	p.state.reloading = false
	if err == nil {
		err = p.apply(platform, operator)
	}
	if err == nil {
		p.state.reloadsAccepted++
	} else {
		p.state.reloadsRejected++
		eventReloadRejected.Log(err)
	}
	if p.state.reloadAgain {
		p.state.reloadAgain = false
		p.reload()
	}
}

// apply switches to a new configuration. Open requests keep their idempotency keys, the engine's notices
// keep their numbering, and the listeners keep their addresses.
func (p *Program) apply(next *config.Platform, operator *config.Operator) error {
	if err := p.checkUnchanged(next); err != nil {
		return err
	}
	if err := next.CheckSameKeys(p.config); err != nil {
		return err
	}
	if err := p.applySettings(next); err != nil {
		return err
	}
	p.platform.moveRegistry(next, p.config)
	p.keepUntilRestart(next)
	p.platform.engine.SetAddress(next.Engine)
	p.platform.backend.SetAddress(next.Backend)
	p.config = next
	p.applyMemoryLimits()
	servers := p.applyOperator(operator)
	p.applyDescriptorLimits()
	eventReloaded.Log(next.Engine, next.Backend, next.Registry, servers)
	return nil
}

// checkUnchanged returns an error for a field that cannot change while the program runs.
func (p *Program) checkUnchanged(next *config.Platform) error {
	switch {
	case next.Name != p.config.Name:
		return fixedKind.New("config: field name: %q, but the running program is %s", next.Name, p.config.Name)
	case !sameLinks(next, p.config):
		return fixedKind.New(
			"config: engine, backend and roster can get another address, but not be added or removed, " +
				"while the program runs",
		)
	case !slices.Equal(next.Gauges, p.config.Gauges):
		return fixedKind.New("config: field settings: the gauges cannot change while the program runs")
	}
	return nil
}

// sameLinks reports whether two configurations have links to the same parts of the platform, at whatever
// addresses.
func sameLinks(a, b *config.Platform) bool {
	return a.Engine.IsValid() == b.Engine.IsValid() &&
		a.Backend.IsValid() == b.Backend.IsValid() &&
		a.Registry.IsValid() == b.Registry.IsValid()
}

// applySettings applies the settings to the request lifecycle. Classes that are removed keep their
// index, since open requests refer to it.
func (p *Program) applySettings(next *config.Platform) error {
	settings, err := next.Settings.MergeClasses(p.config.Settings)
	if err == nil {
		_, err = p.requests.Configure(p.processShare(settings))
	}
	if err != nil {
		return fixedKind.New("config: field settings: %w", err)
	}
	next.Settings = settings
	p.setClassNames(settings)
	return nil
}

// keepUntilRestart replaces the fields of next that only a restart can change by those in force.
func (p *Program) keepUntilRestart(next *config.Platform) {
	if next.Admin != p.config.Admin {
		eventRestartNeeded.Log("ops of the platform's file")
		next.Admin = p.config.Admin
	}
	if next.Listen != p.config.Listen {
		eventRestartNeeded.Log("listen of the platform's file")
		next.Listen = p.config.Listen
	}
	next.Seed = p.config.Seed
}

// applyOperator applies a new operator's file, and returns how many servers it has.
func (p *Program) applyOperator(next *config.Operator) (servers int) {
	if next == nil {
		p.applyRoutes(nil)
		return 0
	}
	p.logRestartNeeded(next)
	p.applyRoutes(next)
	p.platform.frontend.SetMaxResponse(next.Limits.Flow().MaxCached)
	p.applyPeers(&next.Peers)
	if p.uwsgi.frontend != nil && next.HasUWSGIFrontend() {
		p.uwsgi.frontend.SetOptions(p.uwsgiOptions(next))
	}
	if next.Log != p.operator.Log && p.log != nil {
		configureLog(p.log, &next.Log)
	}
	p.watchInventory(next)
	p.operator = next
	return len(next.Servers)
}

// logRestartNeeded logs the sections of the operator's file that have changed but need a restart to be
// applied.
func (p *Program) logRestartNeeded(next *config.Operator) {
	previous := p.operator
	listenChanged := next.ListenAddr != previous.ListenAddr ||
		next.HasUWSGIFrontend() != previous.HasUWSGIFrontend()
	for _, section := range []struct {
		name    string
		changed bool
	}{
		{"listen", listenChanged},
		{"control", next.Control != previous.Control},
		{"store", next.Store != previous.Store},
		{"traces", next.Traces != previous.Traces},
		{"usage", next.Usage != previous.Usage},
		{"record", next.TrafficRecording != previous.TrafficRecording},
	} {
		if section.changed {
			eventRestartNeeded.Log(section.name)
		}
	}
}
