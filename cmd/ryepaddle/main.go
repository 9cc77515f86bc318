// Command ryepaddle is the runner: the decision module on real sockets.
package main

import (
	"fmt"
	"log"
	"os"
	"runtime/debug"
	"syscall"

	"shalesail/internal/backend"
	"shalesail/internal/config"
	"shalesail/internal/core"
	"shalesail/internal/engine"
	"shalesail/internal/front/platform"
	"shalesail/internal/loop"
	"shalesail/internal/roster"
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
	cfg, err := config.ReadPlatform(os.Getenv("ROUTER_CONFIG"))
	if err != nil {
		return err
	}
	// Half the limit: the rest is for stacks, the runtime's own and what the system books for sockets.
	debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 / 2)
	l, err := loop.New()
	if err != nil {
		return err
	}
	defer l.Close()
	r, err := build(l, cfg)
	if err != nil {
		return err
	}
	if err := l.Signals(func(os.Signal) { r.drain() }, syscall.SIGTERM, syscall.SIGINT); err != nil {
		return err
	}
	log.Printf("start: %s listens on %v", cfg.Name, r.front.Addr())
	return l.Run()
}

// runner is the program put together.
type runner struct {
	cfg    *config.Platform
	loop   *loop.Loop
	core   *core.Core
	front  *platform.Front
	link   *engine.Link
	pool   *backend.Pool
	roster *roster.Reporter
}

func build(l *loop.Loop, cfg *config.Platform) (*runner, error) {
	r := &runner{cfg: cfg, loop: l}
	r.link = engine.New(l, cfg.Engine, func(v []float64) core.Gauges { return core.Gauges(wire.PlaceGauges(v, cfg.Meters)) })
	r.pool = backend.New(l, cfg.Backend)
	r.front = platform.New(l, r.link)
	var err error
	r.core, err = core.New(cfg.Settings, cfg.Seed, core.Host{
		Now: l.Now, Unix: l.Unix,
		After:  func(d int64, fn func()) { l.After(d, fn) },
		Gauges: r.link.Gauges,
		Health: r.front.SetHealth,
		Say:    r.front.SetPressure,
		Trim:   r.front.SetIdle,
		Route:  func(int) core.Runner { return r.link },
		Below:  r.pool,
	})
	if err != nil {
		return nil, err
	}
	r.pool.Start(r.core)
	r.link.Start(r.core)
	if cfg.Roster.IsValid() {
		if r.roster, err = roster.Start(l, cfg.Roster, cfg.Name); err != nil {
			return nil, err
		}
	}
	r.core.Start()
	// Balancers may open half the descriptors; the rest is for the links, the calls and the operator's front.
	return r, r.front.Listen(cfg.Listen, cfg.Sockets*3/4, r.core)
}

const (
	drainLook  = 20_000
	drainSpare = 150_000 // the program is gone so long before it is stopped
)

// drain leaves service: late arrivals are refused, all that was read is answered, then the program ends.
func (r *runner) drain() {
	began := r.loop.Now()
	log.Printf("drain: told to leave, %d requests are open", r.core.Open())
	r.core.Drain(r.cfg.Stop)
	if r.roster != nil {
		r.roster.Set(false)
	}
	grace := min(r.cfg.Settings.DrainGrace.Microseconds()+100_000, r.cfg.Stop/2)
	r.loop.After(grace, r.front.Leave)
	var look func()
	look = func() {
		past := r.loop.Now() - began
		if r.front.Conns() == 0 && past > grace || past > r.cfg.Stop-drainSpare {
			log.Printf("drain: done after %d ms, %d requests unanswered; %+v", past/1000, r.core.Open(), r.core.Stats)
			r.loop.Stop()
			return
		}
		r.loop.After(drainLook, look)
	}
	look()
}
