// Command ryepaddle is the runner: the decision module on real sockets.
package main

import (
	"errors"
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
	"shalesail/internal/logs"
	"shalesail/internal/loop"
	"shalesail/internal/roster"
	"shalesail/internal/upstream"
	"shalesail/internal/wire"
)

func main() {
	log.SetFlags(log.Ltime | log.Lmicroseconds)
	out := logs.NewWriter(os.Stderr)
	log.SetOutput(out)
	err := run()
	out.Close()
	if err != nil {
		fmt.Fprintln(os.Stderr, "ryepaddle:", err)
		os.Exit(1)
	}
}

func run() error {
	operatorFile := flag.String("operator", "", "the operator's `file`: the uwsgi front and its servers; off without it")
	flag.Parse()
	l, err := loop.New()
	if err != nil {
		return err
	}
	defer l.Close()
	// Signals are caught before anything else: a HUP that comes while the files are read must not end the program.
	var r *runner
	l.Signals(func(s os.Signal) {
		if s == syscall.SIGHUP {
			r.reload()
		} else {
			r.drain()
		}
	}, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	files := files{os.Getenv("ROUTER_CONFIG"), *operatorFile}
	cfg, op, err := files.read()
	if err != nil {
		return err
	}
	limitMemory(cfg)
	if r, err = build(l, cfg, op); err != nil {
		return err
	}
	r.files = files
	log.Printf("start: %s listens on %v", cfg.Name, r.front.Addr())
	if r.second != nil {
		log.Printf("start: uwsgi listens on %v, %d servers known", r.second.Addr(), len(op.Servers))
	}
	return l.Run()
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
func limitMemory(cfg *config.Platform) { debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 / 2) }

// runner is the program put together.
type runner struct {
	files  files
	cfg    *config.Platform
	op     *config.Operator
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

	leaving       bool
	reading, more bool // files are being read; they are to be read once more after that
}

func build(l *loop.Loop, cfg *config.Platform, op *config.Operator) (*runner, error) {
	r := &runner{cfg: cfg, op: op, loop: l, groups: map[string]*upstream.Group{}}
	r.link = engine.New(l, cfg.Engine, func(v []float64) core.Gauges { return core.Gauges(wire.PlaceGauges(v, cfg.Meters)) })
	r.pool = backend.New(l, cfg.Backend)
	maxResponse := 0
	if op != nil {
		maxResponse = op.Limits.ResponseKB << 10
	}
	r.front = platform.New(l, r.link, maxResponse)
	if r.route(op); op != nil {
		r.second = uwsgi.New(l, r.secondOptions(op))
	}
	var err error
	r.core, err = core.New(cfg.Settings, cfg.Seed, core.Host{
		Now: l.Now, Unix: l.Unix,
		After:  func(d int64, fn func()) func() { return l.After(d, fn).Stop },
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
	return r, r.front.Listen(cfg.Listen, mostBalancers(cfg), r.core)
}

// route says where each class runs: on the engine, but what the operator's file leads to uwsgi servers. Groups that are
// there already take the file's servers and limits.
func (r *runner) route(op *config.Operator) {
	classes := r.cfg.Settings.Classes
	r.routes = make([]core.Runner, len(classes))
	for i := range classes {
		r.routes[i] = r.link
	}
	if op == nil {
		return
	}
	r.tries = op.Limits.Tries
	opt := upstream.Options{ConnectWithin: op.Limits.ConnectMs * 1000, MaxResponse: op.Limits.ResponseKB << 10,
		MaxConns: op.Limits.ServerConns}
	for i, class := range classes {
		name := op.GroupsByUse[class.Name]
		if name == "" {
			continue
		}
		if r.groups[name] == nil {
			r.groups[name] = upstream.New(r.loop, name, r)
		}
		r.routes[i] = r.groups[name]
	}
	for _, g := range r.groups {
		g.Update(op.Servers, opt)
	}
}

// secondOptions sets up the second front as the operator's file says.
func (r *runner) secondOptions(op *config.Operator) uwsgi.Options {
	opt := uwsgi.Options{Listen: op.ListenAddr, MaxConns: op.Limits.Connections, MaxVars: op.Limits.VarsKB << 10,
		MaxBody: op.Limits.BodyKB << 10, MaxResponse: op.Limits.ResponseKB << 10, ReadWithin: op.Limits.ReadMs * 1000,
		HealthPath: op.HealthPath, TenantVar: op.Tenant.Var, DefaultTenant: op.Tenant.Default, KeyVar: op.KeyVar,
		SizeKB: op.Limits.RequestKB, Seed: r.cfg.Seed}
	for _, p := range op.Routes {
		class := slices.IndexFunc(r.cfg.Settings.Classes, func(c shalesail.Class) bool { return c.Name == p.Class })
		opt.Routes = append(opt.Routes, uwsgi.Route{Prefix: p.Path, Class: class, Due: p.DeadlineMs * 1000})
	}
	return opt
}

// Ended passes the ends of attempts on to the core, for groups that may be there before or after it.
func (r *runner) Ended(a *core.Attempt, o core.Outcome, res *core.Result) { r.core.Ended(a, o, res) }

// triesOf is how often a request of the class may be tried: once on the engine, or on so many servers of its group.
func (r *runner) triesOf(class int) int {
	if g, ok := r.routes[class].(*upstream.Group); ok {
		return min(r.tries, g.Size())
	}
	return 1
}

// reload reads again all that the program is told, and takes it if the whole of it holds. A restart would forget the
// keys, and fail what is open. The files are read beside the loop, which goes on meanwhile.
func (r *runner) reload() {
	if r.reading {
		r.more = true
		return
	}
	r.reading = true
	go func() {
		cfg, op, err := r.files.read()
		r.loop.Deliver(func() {
			r.reading = false
			if r.more { // what was read may be older than the last HUP
				r.more = false
				r.reload()
				return
			}
			if err == nil {
				err = r.take(cfg, op)
			}
			if err != nil {
				log.Printf("reload: not taken, all stays as it was: %v", err)
			}
		})
	}()
}

// take moves to a new configuration. What is open goes on, with its keys and the numbers of notices; listeners stay
// where they are.
func (r *runner) take(cfg *config.Platform, op *config.Operator) error {
	// What runs, the keys and what the module has learned go by class and tenant, and links once begun stay.
	switch {
	case cfg.Name != r.cfg.Name:
		return fmt.Errorf("config: field name: %q, this is %s", cfg.Name, r.cfg.Name)
	case cfg.Engine.IsValid() != r.cfg.Engine.IsValid() || cfg.Backend.IsValid() != r.cfg.Backend.IsValid() ||
		cfg.Roster.IsValid() != r.cfg.Roster.IsValid():
		return errors.New("config: engine, backend and roster can be moved, not added or taken away, while the program runs")
	case !slices.Equal(cfg.Meters, r.cfg.Meters):
		return errors.New("config: field settings: the gauges cannot change while the program runs")
	}
	if err := r.core.Configure(cfg.Settings); err != nil {
		return fmt.Errorf("config: field settings: %w", err)
	}
	if cfg.Roster.IsValid() && cfg.Roster != r.cfg.Roster {
		if err := r.roster.Move(cfg.Roster); err != nil {
			log.Printf("reload: reports go on to the old roster: %v", err)
		}
	}
	if cfg.Listen != r.cfg.Listen {
		log.Printf("reload: field listen holds from the next start on, the program stays on %v", r.front.Addr())
		cfg.Listen = r.cfg.Listen
	}
	cfg.Seed = r.cfg.Seed
	limitMemory(cfg)
	r.front.SetMost(mostBalancers(cfg))
	r.link.Move(cfg.Engine)
	r.pool.Move(cfg.Backend)
	r.cfg = cfg
	servers := 0
	if op != nil {
		if op.ListenAddr != r.op.ListenAddr {
			log.Printf("reload: field listen of the operator's file holds from the next start on")
		}
		r.route(op)
		r.front.SetMaxResponse(op.Limits.ResponseKB << 10)
		r.second.SetOptions(r.secondOptions(op))
		r.op, servers = op, len(op.Servers)
	}
	log.Printf("reload: taken; engine %v, backend %v, roster %v, %d uwsgi servers known", cfg.Engine, cfg.Backend, cfg.Roster, servers)
	return nil
}

// mostBalancers is how many connections the platform's front takes. Balancers may open half the descriptors; the rest
// is for the links, the calls and the operator's front.
func mostBalancers(cfg *config.Platform) int { return cfg.Sockets * 5 / 8 }

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
