// Package lifecycle owns every request from the moment it is read to its one final answer: the
// attempts to run it, idempotency keys and cached results, deadlines and the drain. It knows no
// wire protocol. Frontends submit requests and receive answers; runners receive attempts and report
// outcomes; package admission decides what is run, queued or rejected.
//
// A Manager is used by one goroutine.
package lifecycle

import (
	"log/slog"
	"slices"
	"time"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/telemetry/logging"
)

var (
	evRejected         = logging.Define("core.rejected", slog.LevelWarn, "class", "cause", "requests")
	evAdmission        = logging.Define("core.admission", slog.LevelInfo, "text")
	evStartCancelled   = logging.Define("core.start_cancelled", slog.LevelWarn, "class", "request")
	evStartNotDurable  = logging.Define("core.start_not_durable", slog.LevelWarn, "class", "request", "error")
	evResultNotDurable = logging.Define("core.result_not_durable", slog.LevelWarn, "class", "request", "error")
)

const (
	// minRetryAfter is the shortest Retry-After of a rejection.
	minRetryAfter = 20 * time.Millisecond
	// keyTableFullRetryAfter is the Retry-After of rejections while the table of keys is full.
	keyTableFullRetryAfter = time.Second
	// deadlineMargin is how long before its deadline a request is answered as expired, so that the
	// answer reaches the caller in time.
	deadlineMargin = 40 * time.Millisecond
	// rejectionLogInterval is the minimum time between two log lines about requests that are
	// rejected because their key cannot be remembered.
	rejectionLogInterval = time.Second
)

// request is the record of an accepted request. It is removed once the request is answered and no
// attempt of it runs.
type request struct {
	*Request
	id             uint64
	deadline       time.Duration // monotonic
	answered       bool
	running        *Attempt
	callBody       []byte // body of the call that the run waits for
	callInFlight   bool   // the call was placed and has not ended
	keyEntry       *keyEntry
	awaitsOriginal bool   // it waits for the run of the request that it duplicates
	awaitsRemote   bool   // it waits for a run in another process, and has no run or place in a queue here
	awaitsStore    bool   // its run has ended, and its answer waits until the end is durable
	trace          *Trace // nil: no traces are collected
	heldBytes      int    // memory that it takes, in bytes
	stopTimer      func() // stops the timer of a timeout set by the frontend; nil: there is none
}

// Manager is the table of requests.
type Manager struct {
	env       Environment
	settings  admission.Settings
	admission admissionQueue

	requests  map[uint64]*request
	openIDs   map[string]struct{} // IDs of the requests in the table
	lastID    uint64
	openCount int // number of requests that are not answered
	heldBytes int // memory that the requests in the table take, in bytes
	// maxHeldBytes is the bound of heldBytes; 0: none.
	maxHeldBytes int
	callers      provenCallers
	keys         keyTable
	recentIDs    recentIDs
	// unknownClassKeys are keys of other processes whose class is not in the settings.
	unknownClassKeys []unknownClassKey

	runningActions bool          // guards runActions against recursion
	drainingSince  time.Duration // monotonic; 0: not draining
	stopAt         time.Duration // monotonic; when the process is stopped

	stats     []Stats         // by class
	removedAt []time.Duration // by class: when it was removed from the settings; monotonic

	unloggedRejections int
	rejectionLoggedAt  time.Duration // monotonic
}

// New returns a manager with its own admission controller. The caller must call Start. New fails if
// the settings are invalid.
func New(settings admission.Settings, seed uint64, env Environment) (*Manager, error) {
	settings = usableSettings(settings)
	controller, err := admission.New(settings, seed)
	if err != nil {
		return nil, err
	}
	if env.Log == nil {
		env.Log = (*logging.Event).Log
	}
	return &Manager{
		env:       env,
		settings:  settings,
		admission: admissionQueue{controller: controller, now: env.Now},
		requests:  map[uint64]*request{},
		openIDs:   map[string]struct{}{},
		callers:   provenCallers{lastRunAt: map[uint32]time.Duration{}},
		keys:      newKeyTable(env.KeyLimits),
		recentIDs: newRecentIDs(maxRecentIDs),
		stats:     make([]Stats, len(settings.Classes)),
		removedAt: make([]time.Duration, len(settings.Classes)),
	}, nil
}

// Start starts the admission controller and executes its first actions.
func (m *Manager) Start() {
	m.admission.report(admission.Event{})
	m.runActions()
}

// IsIdle reports whether no request is open and no attempt runs.
func (m *Manager) IsIdle() bool { return len(m.requests) == 0 }

// OpenRequests returns how many requests are not answered.
func (m *Manager) OpenRequests() int { return m.openCount }

// RemoteWaits returns how many requests wait for a run in another process of the runner.
func (m *Manager) RemoteWaits() (n int) {
	for _, r := range m.requests {
		if r.awaitsRemote && !r.answered {
			n++
		}
	}
	return n
}

// ResultBytes returns the size of the results that are remembered for duplicates.
func (m *Manager) ResultBytes() int { return m.keys.resultBytes }

// KeyCount returns how many idempotency keys are remembered.
func (m *Manager) KeyCount() int { return len(m.keys.entries) }

// Drain begins a graceful shutdown of the process, which is stopped after stopAfter. Further calls
// have no effect.
func (m *Manager) Drain(stopAfter time.Duration) {
	if m.drainingSince != 0 {
		return
	}
	m.drainingSince = m.env.Now()
	m.stopAt = m.drainingSince + stopAfter
	for _, r := range m.requests {
		switch {
		case r.answered:
		case r.awaitsStore:
			m.boundWait(r, m.expireReplicationWait)
		case r.awaitsRemote:
			m.boundWait(r, m.failRemoteWait)
		}
	}
	m.admission.report(admission.Event{Kind: admission.EventDrain, Deadline: m.stopAt})
	m.runActions()
}

// tick measures the machine, removes expired keys and callers, and lets the admission controller run
// its periodic work.
func (m *Manager) tick() {
	m.env.Measure(func(gauges Gauges) {
		m.keys.expire(m.env.Unix())
		m.callers.expire(m.env.Now())
		m.recentIDs.expire(m.env.Now())
		m.unknownClassKeys = slices.DeleteFunc(m.unknownClassKeys, func(k unknownClassKey) bool {
			return m.env.Unix() > k.ExpiresAt.Add(maxReadDelay)
		})
		m.admission.report(admission.Event{Kind: admission.EventTimer, Gauges: admission.Gauges(gauges)})
		m.runActions()
	})
}
