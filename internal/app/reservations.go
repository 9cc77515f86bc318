package app

import (
	"errors"
	"os"
	"time"

	"ryepaddle/internal/idempotency/persistence"
	"ryepaddle/internal/idempotency/reservation"
	"ryepaddle/internal/lifecycle"
)

// A new version is started while the version that it replaces still runs, so that for a while one
// runner consists of two processes. They share $TMPDIR, where each logs the idempotency keys that it
// reserves.

const (
	// resultsMemoryDivisor divides the platform's memory limit to get the limit of the size of the
	// results that are passed to another process of the runner.
	resultsMemoryDivisor = 16
	// maxKeyDelay is how long a key is kept after its window, for retries that arrive late.
	maxKeyDelay       = 10 * time.Second
	lockRetryInterval = 100 * time.Millisecond // between attempts while another process holds the lock
)

// idempotencyKeys holds the key store and the reservations, which keep idempotency keys outside the
// process.
type idempotencyKeys struct {
	store        *persistence.KeyStore    // nil if keys are not stored on a disk
	reservations *reservation.Coordinator // nil if this process does not reserve keys
	lockPending  bool                     // another process holds the lock that reservations need
	processes    int                      // processes of this runner, including this one; at least 1
}

// reserver passes reservations on to the coordinator. It exists because the coordinator is opened after
// the request lifecycle was created.
type reserver struct{ program *Program }

// Reserve implements lifecycle.Reservations.
func (r reserver) Reserve(
	key lifecycle.KeyRecord,
	within time.Duration,
	free func() bool,
	done func(bool, error),
) {
	keys := &r.program.keys
	switch {
	case keys.reservations != nil:
		keys.reservations.Reserve(key, within, free, done)
	case keys.lockPending: // another process may have run the request
		done(false, reservation.ErrLockHeld)
	default:
		done(true, nil)
	}
}

// Ended implements lifecycle.Reservations.
func (r reserver) Ended(key lifecycle.KeyRecord) {
	if reservations := r.program.keys.reservations; reservations != nil {
		reservations.Ended(key)
	}
}

// Released implements lifecycle.Reservations.
func (r reserver) Released(key lifecycle.KeyRecord) {
	if reservations := r.program.keys.reservations; reservations != nil {
		reservations.Released(key)
	}
}

// sharesIDs reports whether another process of this runner is alive, or has just started.
func (p *Program) sharesIDs() bool {
	return p.keys.reservations != nil && !p.keys.reservations.IsAlone()
}

// openReservations joins the other processes of this runner. Without $TMPDIR, or if it cannot be used,
// this process acts as the only one. While another process holds the lock, no key can be reserved, and
// the lock is tried again.
func (p *Program) openReservations(incarnation uint64) {
	dir := os.Getenv("TMPDIR")
	if dir == "" {
		return
	}
	var err error
	p.keys.reservations, err = reservation.Open(p.loop, p.reservationConfig(dir, incarnation), p.requests)
	p.keys.lockPending = errors.Is(err, reservation.ErrLockHeld)
	if p.keys.lockPending {
		p.loop.After(lockRetryInterval, func() { p.openReservations(incarnation) })
	}
	if err != nil {
		eventReservationsFailed.Log(err)
	}
	if p.state.listening { // it listens since before the lock was free
		p.markServing()
	}
	if p.state.draining {
		p.markDraining()
	}
}

func (p *Program) reservationConfig(dir string, incarnation uint64) reservation.Config {
	return reservation.Config{
		Dir:                dir,
		Runner:             p.config.Name + " " + p.config.Listen.String(),
		Incarnation:        uint32(incarnation),
		Window:             p.longestWindow() + maxKeyDelay,
		MaxResultBytes:     int64(p.config.MemoryMB) << 20 / resultsMemoryDivisor,
		OnProcessesChanged: p.onProcessesChanged,
		OnSuccessorDrains:  p.onSuccessorDrains,
		After:              func(d time.Duration, fn func()) { p.loop.After(d, fn) },
	}
}

// longestWindow returns the longest idempotency window of a class.
func (p *Program) longestWindow() time.Duration {
	var longest time.Duration
	for _, class := range p.config.Settings.Classes {
		longest = max(longest, class.IdempotencyWindow)
	}
	return longest
}

// successor returns the incarnation of the process that replaces this one, and false if there is none.
func (p *Program) successor() (incarnation uint32, ok bool) {
	if p.keys.reservations == nil {
		return 0, false
	}
	return p.keys.reservations.Successor()
}

// markServing tells the other processes that this one accepts connections.
func (p *Program) markServing() {
	if p.keys.reservations != nil {
		p.keys.reservations.MarkServing()
	}
}

// markRetiring tells the other processes that this one shuts down in favour of its successor.
func (p *Program) markRetiring() {
	if p.keys.reservations != nil {
		p.keys.reservations.MarkRetiring()
	}
}

// markDraining tells the other processes that this one was told to leave and has no successor.
func (p *Program) markDraining() {
	if p.keys.reservations != nil {
		p.keys.reservations.MarkDraining()
	}
}
