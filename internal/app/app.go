// Package app is the program put together: what it is told, its parts, the reload and the drain.
package app

import (
	"errors"
	"math/rand/v2"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"ryepaddle/internal/balancer/waitqueue"
	"ryepaddle/internal/config"
	"ryepaddle/internal/discovery"
	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/frontend/admin"
	"ryepaddle/internal/frontend/control"
	"ryepaddle/internal/frontend/platform"
	"ryepaddle/internal/frontend/uwsgi"
	"ryepaddle/internal/idempotency/persistence"
	"ryepaddle/internal/idempotency/reservation"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/peers/node"
	"ryepaddle/internal/platform/backend"
	"ryepaddle/internal/platform/engine"
	"ryepaddle/internal/platform/registry"
	"ryepaddle/internal/simwire"
	"ryepaddle/internal/telemetry/explain"
	"ryepaddle/internal/telemetry/logging"
	"ryepaddle/internal/telemetry/metrics"
	"ryepaddle/internal/telemetry/tracing"
	"ryepaddle/internal/telemetry/traffic"
	"ryepaddle/internal/upstream"
	"ryepaddle/internal/usage/metering"
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
	out := logging.Start(os.Stderr, logging.FormatText)
	defer out.Close()
	// a file that may not grow is a disk without room, and no reason to end
	signal.Ignore(syscall.SIGXFSZ)
	return run(opt, out)
}

func run(opt Options, out *logging.Writer) error {
	l, err := eventloop.New()
	if err != nil {
		return err
	}
	defer l.Close()
	// Signals are caught before anything else: a HUP that comes while the files are read must not
	// end the program.
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
		evListens.Log("peers", r.peers.Transport().Addr())
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

// Program is all of it.
type Program struct {
	files  files
	out    *logging.Writer // nil in a program that is part of another
	cfg    *config.Platform
	op     *config.Operator
	loop   *eventloop.Loop
	core   *lifecycle.Manager
	front  *platform.Frontend
	door   *admin.Server      // nil where nobody opened it
	second *uwsgi.Frontend    // nil where no operator's file sets it up
	routes []lifecycle.Runner // by class
	groups map[string]*upstream.Group
	holds  map[string]*waitqueue.Queue // before the groups of these names
	behind []*upstream.Group           // the group that runs a class; nil: the engine does
	link   *engine.Link
	pool   *backend.Pool
	roster *registry.Reporter
	watch  *discovery.Watcher // nil where no inventory is watched
	// of classes, by place; those who write beside the loop read them too
	names atomic.Pointer[[]string]
	rec   *traffic.Recorder // nil where traffic is not recorded
	lost  traffic.Lost      // as was told last
	told  lifecycle.Stats

	control  *control.Server       // nil where nobody may ask
	figures  *metrics.Metrics      // with it
	recent   *explain.RequestLog   // nil where nothing is remembered of requests
	keep     *persistence.KeyStore // nil where keys are not kept on a disk
	spans    *tracing.Recorder     // nil where none are written
	meter    *metering.Meter       // nil where no account of usage is kept
	peers    *node.Node            // nil where nothing is copied
	promised map[usedKey]bool      // uses that are counted before their answers go out
	untold   tracing.Lost          // as was told last
	fatal    error                 // why the program ends

	accepted, invalid int64 // files at HUP

	claims    *reservation.Coordinator // nil: no other process can be this runner
	unclaimed bool                     // it is not open yet, as another process holds its lock
	parts     int                      // processes that are this runner
	listens   bool                     // for balancers

	leaving       bool
	reading, more bool // files are being read; they are to be read once more after that
}

// New puts the program together on a loop. It listens, and goes on when the loop does.
func New(l *eventloop.Loop, cfg *config.Platform, op *config.Operator, repair bool) (*Program, error) {
	r := &Program{
		cfg:    cfg,
		op:     op,
		loop:   l,
		parts:  1,
		groups: map[string]*upstream.Group{},
		holds:  map[string]*waitqueue.Queue{},
	}
	r.nameClasses(cfg.Settings)
	r.link = engine.New(
		l,
		cfg.Engine,
		func(v []float64) lifecycle.Gauges { return lifecycle.Gauges(simwire.ArrangeGauges(v, cfg.Gauges)) },
	)
	r.pool = backend.New(l, cfg.Backend)
	maxResponse := 0
	if op != nil {
		maxResponse = op.Limits.Flow().MaxCached
	}
	r.front = platform.New(l, r.link, maxResponse)
	if err := r.startTraces(); err != nil {
		return nil, err
	}
	if err := r.startMeter(); err != nil {
		return nil, err
	}
	if r.route(op); op != nil && op.HasUWSGIFrontend() {
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
	var among lifecycle.Reservations = claimer{r}
	if r.peers != nil {
		kept, among = r.peers.KeyStore(kept), r.peers
	}
	if r.core, err = lifecycle.New(cfg.Settings, cfg.Seed, r.host(kept, among, life)); err != nil {
		return nil, err
	}
	r.startLinks()
	r.core.Start()
	if r.peers != nil {
		r.peers.Run(r.core)
	} else {
		r.startClaims(life)
	}
	if r.keep != nil {
		r.keep.Restore(r.restore, r.storeFailed)
	}
	l.Every(time.Duration(statusEvery)*time.Microsecond, r.status)
	return r, r.startListening()
}

// host is what the core needs of the program.
func (r *Program) host(kept lifecycle.KeyStore, among lifecycle.Reservations, life uint64) lifecycle.Environment {
	l := r.loop
	return lifecycle.Environment{
		Now: l.Now, Unix: l.Unix,
		After:        func(d time.Duration, fn func()) func() { return l.After(d, fn).Stop },
		Measure:      r.link.Gauges,
		SetHealth:    r.health,
		Advertise:    r.front.SetAdvertisedValue,
		CloseIdle:    func(idle time.Duration) { r.front.SetIdleTimeout(idle) },
		Route:        func(class int) lifecycle.Runner { return r.routes[class] },
		ShouldRetry:  r.again,
		RetryAfter:   r.backOf,
		Dependency:   r.pool,
		OnAccepted:   r.record(),
		KeyStore:     kept,
		OnAnswered:   r.trails(),
		Reservations: among,
		Incarnation:  life,
	}
}

// startLinks opens the platform's links: to the back end, the engine and the roster, as far as
// there are any.
func (r *Program) startLinks() {
	r.pool.SetMaxConnections(shareDescriptors(r.cfg, r.op).backend)
	r.pool.Start(r.core)
	if r.cfg.Engine.IsValid() {
		r.link.Start(r.core)
	}
	if r.cfg.Registry.IsValid() {
		var err error
		if r.roster, err = registry.Start(r.loop, r.cfg.Registry, r.cfg.Name); err != nil {
			evRoster.Log(err)
		}
	}
}

// startListening opens what others come in by, the platform's front last: from then on the program
// serves.
func (r *Program) startListening() error {
	if r.second != nil {
		if err := r.second.Listen(r.core); err != nil {
			return err
		}
	}
	if err := r.listenControl(); err != nil {
		return err
	}
	if r.cfg.Admin.IsValid() {
		var err error
		if r.door, err = admin.Listen(r.loop, r.cfg.Admin, r); err != nil {
			return address.New("ops: %w", err)
		}
	}
	return address.Wrap(r.listen())
}

func (r *Program) health(stored, good bool) {
	r.front.SetHealth(stored, good)
	if r.second != nil {
		r.second.SetHealth(good)
	}
}

// Second is where the second front listens; nil: there is none.
func (r *Program) Second() *uwsgi.Frontend { return r.second }

// conns is how many connections of callers are open.
func (r *Program) conns() int {
	if r.second != nil {
		return r.front.Connections() + r.second.Connections()
	}
	return r.front.Connections()
}
