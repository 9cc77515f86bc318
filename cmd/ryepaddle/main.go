// Command ryepaddle is the runner: the decision module on real sockets.
package main

import (
	"flag"
	"fmt"
	"log"
	"os"
	"runtime/debug"
	"slices"
	"syscall"

	"shalesail"
	"shalesail/internal/backend"
	"shalesail/internal/config"
	"shalesail/internal/core"
	"shalesail/internal/engine"
	"shalesail/internal/front/platform"
	"shalesail/internal/front/uwsgi"
	"shalesail/internal/loop"
	"shalesail/internal/roster"
	"shalesail/internal/upstream"
	"shalesail/internal/wire"
)

func main() {
	log.SetFlags(log.Ltime | log.Lmicroseconds)
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "ryepaddle:", err)
		os.Exit(1)
	}
}

func run() error {
	operatorFile := flag.String("operator", "", "the operator's `file`: the uwsgi front and its servers; off without it")
	flag.Parse()
	cfg, err := config.ReadPlatform(os.Getenv("ROUTER_CONFIG"))
	if err != nil {
		return err
	}
	var op *config.Operator
	if *operatorFile != "" {
		if op, err = config.ReadOperator(*operatorFile, cfg); err != nil {
			return err
		}
	}
	if err := config.Whole(cfg, op); err != nil {
		return err
	}
	// Half the limit: the rest is for stacks, the runtime's own and what the system books for sockets.
	debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 / 2)
	l, err := loop.New()
	if err != nil {
		return err
	}
	defer l.Close()
	r, err := build(l, cfg, op)
	if err != nil {
		return err
	}
	err = l.Signals(func(s os.Signal) {
		if s == syscall.SIGHUP {
			r.reload(*operatorFile)
		} else {
			r.drain()
		}
	}, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	if err != nil {
		return err
	}
	log.Printf("start: %s listens on %v", cfg.Name, r.front.Addr())
	if r.second != nil {
		log.Printf("start: uwsgi listens on %v, %d servers known", r.second.Addr(), len(op.Servers))
	}
	return l.Run()
}

// runner is the program put together.
type runner struct {
	cfg    *config.Platform
	loop   *loop.Loop
	core   *core.Core
	front  *platform.Front
	second *uwsgi.Front  // nil where no operator's file sets it up
	routes []core.Runner // by class
	groups map[string]*upstream.Group
	tries  int // servers of a group that one request may be sent to
	link   *engine.Link
	pool   *backend.Pool
	roster *roster.Reporter
	told   core.Stats

	leaving bool
}

func build(l *loop.Loop, cfg *config.Platform, op *config.Operator) (*runner, error) {
	r := &runner{cfg: cfg, loop: l}
	r.link = engine.New(l, cfg.Engine, func(v []float64) core.Gauges { return core.Gauges(wire.PlaceGauges(v, cfg.Meters)) })
	r.pool = backend.New(l, cfg.Backend)
	maxResponse := 0
	if op != nil {
		maxResponse = op.Limits.ResponseKB << 10
	}
	r.front = platform.New(l, r.link, maxResponse)
	r.route(op)
	var err error
	r.core, err = core.New(cfg.Settings, cfg.Seed, core.Host{
		Now: l.Now, Unix: l.Unix,
		After:  func(d int64, fn func()) { l.After(d, fn) },
		Gauges: r.link.Gauges,
		Health: r.health,
		Say:    r.front.SetPressure,
		Trim:   r.front.SetIdle,
		Route:  func(class int) core.Runner { return r.routes[class] },
		Tries:  r.triesOf,
		Below:  r.pool,
	})
	if err != nil {
		return nil, err
	}
	r.pool.Start(r.core)
	for _, g := range r.groups {
		g.Start(r.core)
	}
	if cfg.Engine.IsValid() {
		r.link.Start(r.core)
	}
	if cfg.Roster.IsValid() {
		if r.roster, err = roster.Start(l, cfg.Roster, cfg.Name); err != nil {
			return nil, err
		}
	}
	r.core.Start()
	l.Every(statusEvery, r.status)
	if r.second != nil {
		if err := r.second.Listen(r.core); err != nil {
			return nil, err
		}
	}
	// Balancers may open half the descriptors; the rest is for the links, the calls and the operator's front.
	return r, r.front.Listen(cfg.Listen, cfg.Sockets*5/8, r.core)
}

// route says where each class runs, and sets up the second front: all on the engine, but what the operator's file
// leads to uwsgi servers.
func (r *runner) route(op *config.Operator) {
	classes := r.cfg.Settings.Classes
	r.routes, r.groups = make([]core.Runner, len(classes)), map[string]*upstream.Group{}
	for i, class := range classes {
		r.routes[i] = r.link
		if op == nil || op.GroupsByUse[class.Name] == "" {
			continue
		}
		name := op.GroupsByUse[class.Name]
		if r.groups[name] == nil {
			r.groups[name] = upstream.New(r.loop, name, op.Servers, upstream.Options{ConnectWithin: op.Limits.ConnectMs * 1000,
				MaxResponse: op.Limits.ResponseKB << 10, MaxConns: op.Limits.ServerConns})
		}
		r.routes[i] = r.groups[name]
	}
	if op == nil {
		return
	}
	r.tries = op.Limits.Tries
	opt := uwsgi.Options{Listen: op.ListenAddr, MaxConns: op.Limits.Connections, MaxVars: op.Limits.VarsKB << 10,
		MaxBody: op.Limits.BodyKB << 10, MaxResponse: op.Limits.ResponseKB << 10, ReadWithin: op.Limits.ReadMs * 1000,
		HealthPath: op.HealthPath, TenantVar: op.Tenant.Var, DefaultTenant: op.Tenant.Default, KeyVar: op.KeyVar,
		SizeKB: op.Limits.RequestKB, Seed: r.cfg.Seed}
	for _, p := range op.Routes {
		class := slices.IndexFunc(classes, func(c shalesail.Class) bool { return c.Name == p.Class })
		opt.Routes = append(opt.Routes, uwsgi.Route{Prefix: p.Path, Class: class, Due: p.DeadlineMs * 1000})
	}
	r.second = uwsgi.New(r.loop, opt)
}

// triesOf is how often a request of the class may be tried: once on the engine, or on so many servers of its group.
func (r *runner) triesOf(class int) int {
	if g, ok := r.routes[class].(*upstream.Group); ok {
		return min(r.tries, g.Size())
	}
	return 1
}

// reload takes a changed inventory. A restart would forget the keys. The rest of the operator's file holds from the
// start on, but has to be right all the same.
func (r *runner) reload(file string) {
	if file == "" {
		log.Printf("inventory: told to read it again, but there is no operator's file")
		return
	}
	op, err := config.ReadOperator(file, r.cfg)
	if err != nil {
		log.Printf("inventory: not read again, the old one is kept: %v", err)
		return
	}
	for _, g := range r.groups {
		g.Update(op.Servers)
	}
	log.Printf("inventory: read again, %d servers known", len(op.Servers))
}

func (r *runner) health(stored, good bool) {
	r.front.SetHealth(stored, good)
	if r.second != nil {
		r.second.SetHealth(good)
	}
}

// status tells now and then what became of requests, if any came.
func (r *runner) status() {
	if s := r.core.Stats; s != r.told {
		log.Printf("status: %d open, %d connections, since the start %+v", r.core.Open(), r.conns(), s)
		r.told = s
	}
}

// conns is how many connections of callers are open.
func (r *runner) conns() int {
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
func (r *runner) drain() {
	if r.leaving {
		return
	}
	r.leaving = true
	began := r.loop.Now()
	log.Printf("drain: told to leave, %d requests are open", r.core.Open())
	r.core.Drain(r.cfg.Stop)
	if r.roster != nil {
		r.roster.Set(false)
	}
	grace := min(r.cfg.Settings.DrainGrace.Microseconds()+100_000, r.cfg.Stop/2)
	r.loop.After(grace, func() {
		r.front.Leave()
		if r.second != nil {
			r.second.Leave()
		}
	})
	var look func()
	look = func() {
		past := r.loop.Now() - began
		if r.conns() == 0 && past > grace || past > r.cfg.Stop-drainSpare {
			log.Printf("drain: done after %d ms, %d requests unanswered; %+v", past/1000, r.core.Open(), r.core.Stats)
			r.loop.Stop()
			return
		}
		r.loop.After(drainLook, look)
	}
	look()
}
