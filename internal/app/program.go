package app

import (
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"ryepaddle/internal/config"
	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/frontend/admin"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/peers/node"
	"ryepaddle/internal/telemetry/logging"
)

// Program is a running program. All its methods are called on its loop.
type Program struct {
	files    configFiles
	log      *logging.Writer // nil if the program runs inside another one, such as a test
	config   *config.Platform
	operator *config.Operator // nil without an operator's file
	loop     *eventloop.Loop
	requests *lifecycle.Manager

	platform  platformLinks
	uwsgi     uwsgiGroups
	keys      idempotencyKeys
	telemetry telemetry
	usage     usageAccount
	peers     *node.Node    // nil without peers
	admin     *admin.Server // nil without an admin listener
	state     processState

	// classNames holds the names of the classes by index. Goroutines other than the loop's read it.
	classNames atomic.Pointer[[]string]
}

// processState is the phase of the process and of its reloads.
type processState struct {
	listening   bool          // the platform's frontend accepts connections
	draining    bool          // the process shuts down, in a drain or because another process replaces it
	retireBy    time.Duration // monotonic; by when a process that another one replaces ends
	reloading   bool          // a goroutine reads the configuration files
	reloadAgain bool          // another reload was requested while the files were being read
	err         error         // the error that ends the program; nil: the end was requested

	reloadsAccepted, reloadsRejected int64
}

// New starts a program on a loop and opens its listeners. The program serves while the loop runs.
func New(
	loop *eventloop.Loop,
	platformConfig *config.Platform,
	operator *config.Operator,
	repairStore bool,
) (*Program, error) {
	p := &Program{config: platformConfig, operator: operator, loop: loop}
	p.setClassNames(platformConfig.Settings)
	p.platform = newPlatformLinks(loop, platformConfig, operator)
	if err := p.startTraces(); err != nil {
		return nil, err
	}
	if err := p.startMeter(); err != nil {
		return nil, err
	}
	p.startUWSGI()
	if err := p.startRequests(repairStore); err != nil {
		return nil, err
	}
	if p.keys.store != nil {
		p.keys.store.Restore(p.restoreKeys, p.keyStoreFailed)
	}
	loop.Every(statusInterval, p.reportStatus)
	return p, p.startListening()
}

// startRequests starts the request lifecycle and what it depends on: the key store, the peers or the
// reservations shared with other processes of this runner, and the links to the platform.
func (p *Program) startRequests(repairStore bool) error {
	incarnation := uint64(max(rand.Uint32(), 1))
	p.keys.processes = 1
	store, err := p.openKeyStore(repairStore)
	if err != nil {
		return err
	}
	if err := p.startPeers(incarnation); err != nil {
		return err
	}
	var reservations lifecycle.Reservations = reserver{p}
	if p.peers != nil {
		store, reservations = p.peers.KeyStore(store), p.peers
	}
	environment := p.environment(store, reservations, incarnation)
	if p.requests, err = lifecycle.New(p.config.Settings, p.config.Seed, environment); err != nil {
		return err
	}
	p.applyMemoryLimits()
	p.platform.start(p)
	p.requests.Start()
	if p.peers != nil {
		p.peers.Run(p.requests)
	} else {
		p.openReservations(incarnation)
	}
	return nil
}

// environment returns the functions and parts of the program that the request lifecycle uses.
func (p *Program) environment(
	store lifecycle.KeyStore,
	reservations lifecycle.Reservations,
	incarnation uint64,
) lifecycle.Environment {
	return lifecycle.Environment{
		Now: p.loop.Now, Unix: p.loop.Unix,
		After:        func(d time.Duration, fn func()) func() { return p.loop.After(d, fn).Stop },
		Measure:      p.platform.engine.Gauges,
		SetHealth:    p.setHealth,
		Advertise:    p.platform.frontend.SetAdvertisedValue,
		CloseIdle:    func(idle time.Duration) { p.platform.frontend.SetIdleTimeout(idle) },
		Route:        func(class int) lifecycle.Runner { return p.uwsgi.runnerByClass[class] },
		ShouldRetry:  p.shouldRetry,
		RetryAfter:   p.retryAfter,
		Dependency:   p.platform.backend,
		OnAccepted:   p.startRecording(),
		KeyStore:     store,
		OnAnswered:   p.answerObserver(),
		Reservations: reservations,
		SharesIDs:    p.sharesIDs,
		Incarnation:  incarnation,
	}
}

// Close closes the stores and recorders, and waits a bounded time for the last writes of each. It must
// be called after the loop has ended. It returns the error that ended the program, if any, joined with
// an error of the key store.
func (p *Program) Close() error {
	err := p.closeKeyStore()
	p.closePeers()
	p.closeMeter()
	p.closeTraces()
	p.closeRecording()
	return errors.Join(err, p.state.err)
}
