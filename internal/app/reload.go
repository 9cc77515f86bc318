package app

import (
	"runtime/debug"
	"slices"

	"ryepaddle/internal/config"
)

// files are where the program is told what it is told.
type files struct{ platform, operator string }

// read reads and checks all of it. Without an operator's file that part is nil.
func (f files) read() (cfg *config.Platform, op *config.Operator, err error) {
	if cfg, err = config.ReadPlatform(f.platform); err != nil {
		return nil, nil, err
	}
	if f.operator != "" {
		if op, err = config.ReadOperator(f.operator, cfg); err != nil {
			return nil, nil, err
		}
	}
	return cfg, op, config.CheckComplete(cfg, op)
}

// limitMemory leaves half the limit for stacks, the runtime's own and what the system books for
// sockets.
func limitMemory(cfg *config.Platform, parts int) {
	debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 / 2 / int64(parts))
}

// reload reads again all that the program is told, and takes it if the whole of it holds. A restart
// would forget the keys, and fail what is open. The files are read beside the loop, which goes on
// meanwhile.
func (r *Program) reload() {
	if r.reading {
		r.more = true
		return
	}
	r.reading = true
	go func() {
		cfg, op, err := r.files.read()
		r.loop.Deliver(func() {
			r.reading = false
			if err == nil {
				err = r.take(cfg, op)
			}
			if r.accepted++; err != nil {
				r.accepted--
				r.invalid++
				evNotTaken.Log(err)
			}
			if r.more { // what was read may be older than the last HUP
				r.more = false
				r.reload()
			}
		})
	}()
}

// checkUnchanged tells what a new configuration may not change: what runs, the keys and what the
// module has learned go by class and tenant, and links once begun stay.
func (r *Program) checkUnchanged(cfg *config.Platform) error {
	switch {
	case cfg.Name != r.cfg.Name:
		return changed.New("config: field name: %q, this is %s", cfg.Name, r.cfg.Name)
	case cfg.Engine.IsValid() != r.cfg.Engine.IsValid() || cfg.Backend.IsValid() != r.cfg.Backend.IsValid() ||
		cfg.Registry.IsValid() != r.cfg.Registry.IsValid():
		return changed.New(
			"config: engine, backend and roster can be moved, not added or taken away, while the " +
				"program runs",
		)
	case !slices.Equal(cfg.Gauges, r.cfg.Gauges):
		return changed.New("config: field settings: the gauges cannot change while the program runs")
	}
	return nil
}

// take moves to a new configuration. What is open goes on, with its keys and the numbers of
// notices; listeners stay where they are.
func (r *Program) take(cfg *config.Platform, op *config.Operator) error {
	if err := r.checkUnchanged(cfg); err != nil {
		return err
	}
	if err := cfg.CheckSameKeys(r.cfg); err != nil {
		return err
	}
	set, err := cfg.Settings.MergeClasses(r.cfg.Settings)
	if err == nil {
		_, err = r.core.Configure(r.part(set))
	}
	if err != nil {
		return changed.New("config: field settings: %w", err)
	}
	cfg.Settings = set
	r.nameClasses(set)
	if cfg.Registry.IsValid() && cfg.Registry != r.cfg.Registry {
		if err := r.roster.SetAddress(cfg.Registry); err != nil {
			evRoster.Log(err)
		}
	}
	if cfg.Admin != r.cfg.Admin {
		evLater.Log("ops of the platform's file")
		cfg.Admin = r.cfg.Admin
	}
	if cfg.Listen != r.cfg.Listen {
		evLater.Log("listen of the platform's file")
		cfg.Listen = r.cfg.Listen
	}
	cfg.Seed = r.cfg.Seed
	limitMemory(cfg, r.parts)
	r.link.SetAddress(cfg.Engine)
	r.pool.SetAddress(cfg.Backend)
	r.cfg = cfg
	servers := r.takeOperator(op)
	r.takeDescriptors()
	evTaken.Log(cfg.Engine, cfg.Backend, cfg.Registry, servers)
	return nil
}

// takeOperator moves to another operator's file, and gives how many servers it has. What needs a
// restart is told.
func (r *Program) takeOperator(op *config.Operator) (servers int) {
	if op == nil {
		r.route(nil)
		return 0
	}
	was := r.op
	for _, part := range []struct {
		name    string
		changed bool
	}{
		{"listen", op.ListenAddr != was.ListenAddr || op.HasUWSGIFrontend() != was.HasUWSGIFrontend()},
		{"control", op.Control != was.Control},
		{"store", op.Store != was.Store},
		{"traces", op.Traces != was.Traces},
		{"usage", op.Usage != was.Usage},
		{"record", op.TrafficRecording != was.TrafficRecording},
	} {
		if part.changed {
			evLater.Log(part.name)
		}
	}
	r.route(op)
	r.front.SetMaxResponse(op.Limits.Flow().MaxCached)
	r.takePeers(&op.Peers)
	if r.second != nil && op.HasUWSGIFrontend() {
		r.second.SetOptions(r.secondOptions(op))
	}
	if op.Log != was.Log && r.out != nil {
		setLog(r.out, &op.Log)
	}
	r.watchList(op)
	r.op = op
	return len(op.Servers)
}
