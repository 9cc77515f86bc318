// Package app is the program put together: what it is told, its parts, the reload and the drain.
package app

import (
	"errors"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"syscall"

	"shalesail"
	"shalesail/internal/backend"
	"shalesail/internal/claims"
	"shalesail/internal/config"
	"shalesail/internal/control"
	"shalesail/internal/core"
	"shalesail/internal/discovery"
	"shalesail/internal/engine"
	"shalesail/internal/explain"
	"shalesail/internal/front/ops"
	"shalesail/internal/front/platform"
	"shalesail/internal/front/uwsgi"
	"shalesail/internal/keeper"
	"shalesail/internal/logs"
	"shalesail/internal/loop"
	"shalesail/internal/metering"
	"shalesail/internal/metrics"
	"shalesail/internal/peers/node"
	"shalesail/internal/queue"
	"shalesail/internal/roster"
	"shalesail/internal/traces"
	"shalesail/internal/traffic"
	"shalesail/internal/upstream"
	"shalesail/internal/wire"
)

// Options are what the program is started with.
type Options struct {
	Platform string // the platform's file
	Operator string // the operator's; empty: there is none
	Repair   bool   // go on with damaged files of the store
}

// Check reads all that the program would be told, and reports what is wrong with it.
func Check(opt Options) (*config.Platform, *config.Operator, error) {
	return files{opt.Platform, opt.Operator}.read()
}

// Run is the program, from its start to its end.
func Run(opt Options) error {
	out := logs.Start(os.Stderr, logs.FormatText)
	defer out.Close()
	signal.Ignore(syscall.SIGXFSZ) // a file that may not grow is a disk without room, and no reason to end
	return run(opt, out)
}

func run(opt Options, out *logs.Writer) error {
	l, err := loop.New()
	if err != nil {
		return err
	}
	defer l.Close()
	// Signals are caught before anything else: a HUP that comes while the files are read must not end the program.
	var r *Program
	l.Signals(func(s os.Signal) {
		switch s {
		case syscall.SIGHUP:
			r.reload()
		case syscall.SIGUSR1:
			r.table()
		default:
			r.drain()
		}
	}, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGUSR1)
	files := files{opt.Platform, opt.Operator}
	cfg, op, err := files.read()
	if err != nil {
		return err
	}
	limitMemory(cfg, 1)
	if op != nil {
		setLog(out, &op.Log)
	}
	if r, err = New(l, cfg, op, opt.Repair); err != nil {
		return err
	}
	r.files, r.out = files, out
	if r.door != nil {
		evListens.Log("ops", r.door.Addr())
	}
	if r.peers != nil {
		evListens.Log("peers", r.peers.Net().Addr())
	}
	if r.second != nil {
		evListens.Log("uwsgi", r.second.Addr())
	}
	r.watchList(op)
	defer r.endRecord()
	defer r.endTraces()
	defer r.endMeter()
	defer r.endPeers()
	err = l.Run()
	if r.keep != nil {
		err = errors.Join(err, r.keep.Close())
	}
	return errors.Join(err, r.fatal)
}

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
	return cfg, op, config.Whole(cfg, op)
}

// limitMemory leaves half the limit for stacks, the runtime's own and what the system books for sockets.
func limitMemory(cfg *config.Platform, parts int) {
	debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 / 2 / int64(parts))
}

// Program is all of it.
type Program struct {
	files  files
	out    *logs.Writer // nil in a program that is part of another
	cfg    *config.Platform
	op     *config.Operator
	loop   *loop.Loop
	core   *core.Core
	front  *platform.Front
	door   *ops.Door     // nil where nobody opened it
	second *uwsgi.Front  // nil where no operator's file sets it up
	routes []core.Runner // by class
	groups map[string]*upstream.Group
	holds  map[string]*queue.Runner // before the groups of these names
	behind []*upstream.Group        // the group that runs a class; nil: the engine does
	link   *engine.Link
	pool   *backend.Pool
	roster *roster.Reporter
	watch  *discovery.Watcher       // nil where no inventory is watched
	names  atomic.Pointer[[]string] // of classes, by place; those who write beside the loop read them too
	rec    *traffic.Recorder        // nil where traffic is not recorded
	lost   traffic.Lost             // as was told last
	told   core.Stats

	control  *control.Server  // nil where nobody may ask
	figures  *metrics.Metrics // with it
	recent   *explain.Record  // nil where nothing is remembered of requests
	keep     *keeper.Keeper   // nil where keys are not kept on a disk
	spans    *traces.Recorder // nil where none are written
	meter    *metering.Meter  // nil where no account of usage is kept
	peers    *node.Node       // nil where nothing is copied
	promised map[usedKey]bool // uses that are counted before their answers go out
	untold   traces.Lost      // as was told last
	fatal    error            // why the program ends

	accepted, invalid int64 // files at HUP

	claims    *claims.Ledger // nil: no other process can be this runner
	unclaimed bool           // it is not open yet, as another process holds its lock
	parts     int            // processes that are this runner
	listens   bool           // for balancers

	leaving       bool
	reading, more bool // files are being read; they are to be read once more after that
}

// New puts the program together on a loop. It listens, and goes on when the loop does.
func New(l *loop.Loop, cfg *config.Platform, op *config.Operator, repair bool) (*Program, error) {
	r := &Program{cfg: cfg, op: op, loop: l, parts: 1, groups: map[string]*upstream.Group{}, holds: map[string]*queue.Runner{}}
	r.nameClasses(cfg.Settings)
	r.link = engine.New(l, cfg.Engine, func(v []float64) core.Gauges { return core.Gauges(wire.PlaceGauges(v, cfg.Meters)) })
	r.pool = backend.New(l, cfg.Backend)
	maxResponse := 0
	if op != nil {
		maxResponse = op.Limits.Flow().Keep
	}
	r.front = platform.New(l, r.link, maxResponse)
	if err := r.startTraces(); err != nil {
		return nil, err
	}
	if err := r.startMeter(); err != nil {
		return nil, err
	}
	if r.route(op); op != nil && op.HasFront() {
		r.second = uwsgi.New(l, r.secondOptions(op))
	}
	var err error
	life := uint64(max(rand.Uint32(), 1))
	kept, err := r.startKeeper(repair)
	if err != nil {
		return nil, err
	}
	if err := r.startPeers(life); err != nil {
		return nil, err
	}
	var among core.Claims = claimer{r}
	if r.peers != nil {
		kept, among = r.peers.Before(kept), r.peers
	}
	r.core, err = core.New(cfg.Settings, cfg.Seed, core.Host{
		Now: l.Now, Unix: l.Unix,
		After:  func(d int64, fn func()) func() { return l.After(d, fn).Stop },
		Gauges: r.link.Gauges,
		Health: r.health,
		Say:    r.front.SetPressure,
		Trim:   r.front.SetIdle,
		Route:  func(class int) core.Runner { return r.routes[class] },
		Again:  r.again,
		Back:   r.backOf,
		Below:  r.pool,
		Seen:   r.record(),
		Keeper: kept,
		Trails: r.trails(),
		Claims: among,
		Life:   life,
	})
	if err != nil {
		return nil, err
	}
	r.pool.SetMost(shareDescriptors(cfg, op).backend)
	r.pool.Start(r.core)
	if cfg.Engine.IsValid() {
		r.link.Start(r.core)
	}
	if cfg.Roster.IsValid() {
		if r.roster, err = roster.Start(l, cfg.Roster, cfg.Name); err != nil {
			evRoster.Log(err)
		}
	}
	r.core.Start()
	if r.peers != nil {
		r.peers.Run(r.core)
	} else {
		r.startClaims(life)
	}
	if r.keep != nil {
		r.keep.Restore(r.restore, r.storeFailed)
	}
	l.Every(statusEvery, r.status)
	if r.second != nil {
		if err := r.second.Listen(r.core); err != nil {
			return nil, err
		}
	}
	if err := r.listenControl(); err != nil {
		return nil, err
	}
	if cfg.Ops.IsValid() {
		if r.door, err = ops.Listen(l, cfg.Ops, r); err != nil {
			return nil, address.New("ops: %w", err)
		}
	}
	return r, address.Wrap(r.listen())
}

// route says where each class runs: on the engine, but what the operator's file leads to uwsgi servers. Groups that are
// there already take the file's servers and limits.
func (r *Program) route(op *config.Operator) {
	classes := r.cfg.Settings.Classes
	routes, behind := r.routes, r.behind
	r.routes, r.behind = make([]core.Runner, len(classes)), make([]*upstream.Group, len(classes))
	for i := range classes {
		if r.routes[i] = r.link; classes[i].Dropped { // what is open of it goes on where it was led
			r.routes[i], r.behind[i] = routes[i], behind[i]
		}
	}
	if op == nil {
		return
	}
	opt := upstream.Options{ConnectWithin: op.Limits.ConnectMs * 1000, Flow: op.Limits.Flow(), Ahead: op.Limits.ServerAhead,
		KeyVar: op.KeyVar, TenantVar: op.Tenant.Var, Route: op.Route(r.cfg.Settings.Servers), Classes: len(classes), Tries: op.Limits.Tries,
		Check: upstream.Check{Path: op.Routing.Check.Path, Within: op.Routing.Check.WithinMs * 1000}}
	if r.spans != nil {
		opt.Trace = r.traceOf
	}
	if op.Peers.On() && len(op.Peers.Duties.Checks) > 0 {
		opt.Checks, opt.Self = checks{r}, r.cfg.Name
	}
	for _, t := range r.cfg.Settings.Tenants {
		opt.Tenants = append(opt.Tenants, t.Name)
	}
	for i, class := range classes {
		name := op.GroupsByUse[class.Name]
		if name == "" || class.Dropped {
			continue
		}
		if r.groups[name] == nil {
			h := queue.New(queue.Host{Now: r.loop.Now, Post: r.loop.Post, After: func(d int64, fn func()) { r.loop.After(d, fn) },
				Room: func() int { return r.groups[name].Room() }}, r)
			r.groups[name] = upstream.New(r.loop, name, r.cfg.Name, r.cfg.Seed, h, opt)
			r.holds[name] = h
			h.Before(r.groups[name])
		}
		r.routes[i], r.behind[i] = r.holds[name], r.groups[name]
	}
	for name, h := range r.holds {
		h.Configure(op.PoolsOf(name, r.cfg))
	}
	for _, g := range r.groups {
		g.Update(op.Servers, opt)
	}
}

// nameClasses notes what the classes are called.
func (r *Program) nameClasses(set shalesail.Settings) {
	names := make([]string, len(set.Classes))
	for i, c := range set.Classes {
		names[i] = c.Name
	}
	r.names.Store(&names)
}

// className is what the class at a place is called.
func (r *Program) className(class int) string { return (*r.names.Load())[class] }

// secondOptions sets up the second front as the operator's file says.
func (r *Program) secondOptions(op *config.Operator) uwsgi.Options {
	opt := uwsgi.Options{Listen: op.ListenAddr, MaxConns: op.Limits.Connections, PerAddress: op.Limits.PerAddress, MaxVars: op.Limits.VarsKB << 10,
		Flow: op.Limits.Flow(), ReadWithin: op.Limits.ReadMs * 1000,
		Lead: op.Lead, HealthPath: op.HealthPath, TenantVar: op.Tenant.Var, KeyVar: op.KeyVar, FirstVar: op.FirstVar,
		SizeKB: op.Limits.RequestKB, Seed: r.cfg.Seed}
	for _, p := range op.Routes {
		class := r.cfg.Settings.Class(p.Class)
		opt.Routes = append(opt.Routes, uwsgi.Route{Prefix: p.Path, Class: class, Due: p.DeadlineMs * 1000, Key: p.KeyFrom,
			Safe: class >= 0 && r.cfg.Settings.Classes[class].Effect == shalesail.Safe, Remote: p.Group != ""})
	}
	return opt
}

// Began passes the beginnings of results on to the core.
func (r *Program) Began(a *core.Attempt, res *core.Result) bool { return r.core.Began(a, res) }

// Ended passes the ends of attempts on to the core, for groups that may be there before or after it.
func (r *Program) Ended(a *core.Attempt, o core.Outcome, res *core.Result) { r.core.Ended(a, o, res) }

// again decides whether a request is tried once more: never on the engine, and on the servers of its group as that says.
func (r *Program) again(t core.Try) bool {
	g := r.behind[t.Class]
	return g != nil && g.Again(t)
}

// backOf is how long a caller stays away whom nobody could serve.
func (r *Program) backOf(class int) int64 {
	g := r.behind[class]
	if g == nil {
		return 0
	}
	return max(g.ComeBack(), r.routes[class].(*queue.Runner).Back(class))
}

// reload reads again all that the program is told, and takes it if the whole of it holds. A restart would forget the
// keys, and fail what is open. The files are read beside the loop, which goes on meanwhile.
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

// take moves to a new configuration. What is open goes on, with its keys and the numbers of notices; listeners stay
// where they are.
func (r *Program) take(cfg *config.Platform, op *config.Operator) error {
	// What runs, the keys and what the module has learned go by class and tenant, and links once begun stay.
	switch {
	case cfg.Name != r.cfg.Name:
		return changed.New("config: field name: %q, this is %s", cfg.Name, r.cfg.Name)
	case cfg.Engine.IsValid() != r.cfg.Engine.IsValid() || cfg.Backend.IsValid() != r.cfg.Backend.IsValid() ||
		cfg.Roster.IsValid() != r.cfg.Roster.IsValid():
		return changed.New("config: engine, backend and roster can be moved, not added or taken away, while the program runs")
	case !slices.Equal(cfg.Meters, r.cfg.Meters):
		return changed.New("config: field settings: the gauges cannot change while the program runs")
	}
	if err := cfg.Has(r.cfg); err != nil {
		return err
	}
	set, err := cfg.Settings.After(r.cfg.Settings)
	if err == nil {
		_, err = r.core.Configure(r.part(set))
	}
	if err != nil {
		return changed.New("config: field settings: %w", err)
	}
	cfg.Settings = set
	r.nameClasses(set)
	if cfg.Roster.IsValid() && cfg.Roster != r.cfg.Roster {
		if err := r.roster.Move(cfg.Roster); err != nil {
			evRoster.Log(err)
		}
	}
	if cfg.Ops != r.cfg.Ops {
		evLater.Log("ops of the platform's file")
		cfg.Ops = r.cfg.Ops
	}
	if cfg.Listen != r.cfg.Listen {
		evLater.Log("listen of the platform's file")
		cfg.Listen = r.cfg.Listen
	}
	cfg.Seed = r.cfg.Seed
	limitMemory(cfg, r.parts)
	r.link.Move(cfg.Engine)
	r.pool.Move(cfg.Backend)
	r.cfg = cfg
	servers := 0
	if op == nil {
		r.route(nil)
	} else {
		if op.ListenAddr != r.op.ListenAddr || op.HasFront() != r.op.HasFront() {
			evLater.Log("listen")
		}
		r.route(op)
		r.front.SetMaxResponse(op.Limits.Flow().Keep)
		if op.Control != r.op.Control {
			evLater.Log("control")
		}
		if op.Store != r.op.Store {
			evLater.Log("store")
		}
		if op.Traces != r.op.Traces {
			evLater.Log("traces")
		}
		if op.Usage != r.op.Usage {
			evLater.Log("usage")
		}
		r.takePeers(&op.Peers)
		if op.Record != r.op.Record {
			evLater.Log("record")
		}
		if r.second != nil && op.HasFront() {
			r.second.SetOptions(r.secondOptions(op))
		}
		if op.Log != r.op.Log && r.out != nil {
			setLog(r.out, &op.Log)
		}
		r.watchList(op)
		r.op, servers = op, len(op.Servers)
	}
	r.takeDescriptors()
	evTaken.Log(cfg.Engine, cfg.Backend, cfg.Roster, servers)
	return nil
}

func (r *Program) health(stored, good bool) {
	r.front.SetHealth(stored, good)
	if r.second != nil {
		r.second.SetHealth(good)
	}
}

// Second is where the second front listens; nil: there is none.
func (r *Program) Second() *uwsgi.Front { return r.second }

// conns is how many connections of callers are open.
func (r *Program) conns() int {
	if r.second != nil {
		return r.front.Conns() + r.second.Conns()
	}
	return r.front.Conns()
}

const (
	statusEvery = 10_000_000
	drainLook   = 20_000
	drainSpare  = 150_000 // the program is gone so long before it is stopped
)

// drain leaves service: late arrivals are refused, all that was read is answered, then the program ends.
func (r *Program) drain() {
	if r.leaving {
		return
	}
	if r.replaced() {
		r.retire()
		return
	}
	r.leaving = true
	began, stop := r.loop.Now(), r.cfg.Stop // a HUP that comes now does not move the time at which the process is stopped
	evDrain.Log(r.core.Open())
	r.core.Drain(stop)
	if r.peers != nil {
		r.peers.Duties().GiveBack()
	}
	if r.roster != nil {
		r.roster.Set(false)
	}
	grace := min(r.cfg.Settings.DrainGrace.Microseconds()+100_000, stop/2)
	r.loop.After(grace, func() {
		if r.listens {
			r.front.Leave()
		}
		if r.second != nil {
			r.second.Leave()
		}
	})
	var look func()
	look = func() {
		past := r.loop.Now() - began
		if r.conns() == 0 && past > grace && !r.front.Listens() || past > stop-drainSpare {
			r.front.Finish()
			evDrained.Log(past/1000, r.core.Open(), r.core.Stats())
			r.loop.Stop()
			return
		}
		r.loop.After(drainLook, look)
	}
	look()
}
