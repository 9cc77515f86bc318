package app

import (
	"errors"
	"os"
	"time"

	"ryepaddle/internal/idempotency/persistence"
	"ryepaddle/internal/idempotency/reservation"
	"ryepaddle/internal/lifecycle"
)

// A new version is started beside the one that it replaces, and for a while two processes are one
// runner. They share $TMPDIR, where each logs the idempotency keys that it reserves.

const (
	// resultsMemoryDivisor divides the memory limit to get the bound of the results that are handed
	// to another process of the runner.
	resultsMemoryDivisor = 16
	// maxKeyDelay is how long after its window a key is kept for retries that arrive late.
	maxKeyDelay       = 10 * time.Second
	lockRetryInterval = 100 * time.Millisecond // while another process holds the lock
)

// idempotencyKeys are the parts that keep idempotency keys outside the process.
type idempotencyKeys struct {
	store        *persistence.KeyStore    // nil where keys are not stored on a disk
	reservations *reservation.Coordinator // nil where no other process can be this runner
	lockPending  bool                     // reservations wait for a lock that another process holds
	processes    int                      // of this runner, this one included; at least 1
}

// reserver passes reservations on to the coordinator, which may be opened later.
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
	case keys.lockPending: // another process may have run it
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

// openReservations joins the processes of this runner. Without a folder, or with one that cannot be
// used, it is the only one; while another process holds the lock nothing is reserved.
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
}

func (p *Program) reservationConfig(dir string, incarnation uint64) reservation.Config {
	return reservation.Config{
		Dir:                dir,
		Runner:             p.config.Name + " " + p.config.Listen.String(),
		Incarnation:        uint32(incarnation),
		Window:             p.longestWindow() + maxKeyDelay,
		MaxResultBytes:     int64(p.config.MemoryMB) << 20 / resultsMemoryDivisor,
		OnProcessesChanged: p.onProcessesChanged,
		After:              func(d time.Duration, fn func()) { p.loop.After(d, fn) },
	}
}

// longestWindow is the longest time in which a key of any class may be retried.
func (p *Program) longestWindow() time.Duration {
	var longest time.Duration
	for _, class := range p.config.Settings.Classes {
		longest = max(longest, class.IdempotencyWindow)
	}
	return longest
}

// isReplaced reports whether another process of this runner accepts requests.
func (p *Program) isReplaced() bool {
	if p.keys.reservations == nil {
		return false
	}
	_, serves := p.keys.reservations.OtherProcesses()
	return serves
}
