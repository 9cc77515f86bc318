package app

import (
	"errors"
	"fmt"
	"os"
	"time"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/config"
	"ryepaddle/internal/idempotency/reservation"
	"ryepaddle/internal/lifecycle"
)

// A new version is started beside the one that it replaces, and for a while two processes are one
// runner. They share TMPDIR.

// Times are microseconds.
const (
	resultsPart = 16     // of the memory: what is written of results when another process comes
	lookReady   = 10_000 // between looks whether the engine is there
	// a process that is replaced is killed so long after the notice, or the longest deadline if
	// that is shorter,
	retireMost  = 3_000_000
	retireSpare = 700_000    // and this
	retireDrain = 1_000_000  // before that it turns away what still comes
	keyLate     = 10_000_000 // how long after its window a key is asked for at the latest
	claimsAgain = 100_000    // between tries to take part
)

// claimer is the ledger of claims as the core sees it, also before it is open.
type claimer struct{ r *Program }

// Reserve implements lifecycle.Reservations.
func (c claimer) Reserve(
	k lifecycle.KeyRecord,
	within time.Duration,
	free func() bool,
	done func(bool, error),
) {
	switch {
	case c.r.claims != nil:
		c.r.claims.Reserve(k, within, free, done)
	case c.r.unclaimed: // another process may have run it
		done(false, reservation.ErrLockHeld)
	default:
		done(true, nil)
	}
}

// AttemptEnded implements lifecycle.Reservations.
func (c claimer) Ended(k lifecycle.KeyRecord) {
	if c.r.claims != nil {
		c.r.claims.Ended(k)
	}
}

// Released implements lifecycle.Reservations.
func (c claimer) Released(k lifecycle.KeyRecord) {
	if c.r.claims != nil {
		c.r.claims.Released(k)
	}
}

// startClaims takes part among the processes of this runner. Without a folder, or with one that
// cannot be used, it is the only one; while another holds the lock nothing is claimed.
func (r *Program) startClaims(life uint64) {
	dir := os.Getenv("TMPDIR")
	if dir == "" {
		return
	}
	var window int64
	for _, c := range r.cfg.Settings.Classes {
		window = max(window, c.IdempotencyWindow.Microseconds())
	}
	var err error
	r.claims, err = reservation.Open(
		r.loop,
		reservation.Config{
			Dir:         dir,
			Runner:      r.cfg.Name + " " + r.cfg.Listen.String(),
			Incarnation: uint32(life),
			Window: time.Duration(
				window+keyLate,
			) * time.Microsecond,
			MaxResultBytes:     int64(r.cfg.MemoryMB) << 20 / resultsPart,
			OnProcessesChanged: r.beside,
			After:              func(d time.Duration, fn func()) { r.loop.After(d, fn) },
		},
		r.core,
	)
	if r.unclaimed = errors.Is(err, reservation.ErrLockHeld); r.unclaimed {
		r.loop.After(time.Duration(claimsAgain)*time.Microsecond, func() { r.startClaims(life) })
	}
	if err != nil {
		evAlone.Log(err)
	}
}

// beside is told how many other processes are this runner too.
func (r *Program) beside(living int) {
	r.parts = living + 1
	r.share()
}

// share takes the part of the limits that is this process's own: together the processes have what
// one has.
func (r *Program) share() {
	limitMemory(r.cfg, r.parts)
	r.takeDescriptors()
	// those in force were taken, and a part of them differs in figures alone
	if _, err := r.core.Configure(r.part(r.cfg.Settings)); err != nil {
		evNotTaken.Log(err)
	}
}

// takeDescriptors divides the descriptors of this process anew.
func (r *Program) takeDescriptors() {
	shares := shareDescriptors(r.cfg, r.op)
	r.front.SetMaxConnections(shares.balancers / r.parts)
	r.pool.SetMaxConnections(max(shares.backend/r.parts, leastBackend))
}

// part is what of the settings is this process's own.
func (r *Program) part(s admission.Settings) admission.Settings {
	n := float64(r.parts)
	s.MemoryKB /= n
	s.CallQuota /= n
	s.MaxRunningPerCore = max(s.MaxRunningPerCore/n, 1)
	return s
}

// listen takes connections: at once, or, beside another process that does, once this one can serve
// them.
func (r *Program) listen() error {
	if r.parts > 1 && r.cfg.Engine.IsValid() && !r.link.IsConnected() {
		r.loop.After(time.Duration(lookReady)*time.Microsecond, func() {
			if err := r.listen(); err != nil {
				r.fatal = err
				r.loop.Stop()
			}
		})
		return nil
	}
	if r.leaving {
		return nil
	}
	if err := r.front.Listen(
		r.cfg.Listen,
		shareDescriptors(r.cfg, r.op).balancers/r.parts,
		r.core,
	); err != nil {
		return err
	}
	r.listens = true
	evListens.Log(r.cfg.Name, r.front.Addr())
	if r.claims != nil {
		r.claims.MarkServing()
	}
	return nil
}

// replaced tells whether another process serves as this runner.
func (r *Program) replaced() bool {
	if r.claims == nil {
		return false
	}
	_, serves := r.claims.OtherProcesses()
	return serves
}

// stay is for how long a process lives after it was told that it is replaced.
func stay(cfg *config.Platform) int64 {
	var longest int64
	for _, c := range cfg.Settings.Classes {
		if !c.Removed {
			longest = max(longest, c.Timeout.Microseconds())
		}
	}
	return min(longest, retireMost) + retireSpare
}

// retire leaves service to another process. It is no drain: callers are not to turn to other
// runners. What was read is answered, what comes on connections that stand is served until the time
// runs out, and each connection is closed as it has nothing open.
func (r *Program) retire() {
	r.leaving = true
	began, most := r.loop.Now().Microseconds(), stay(r.cfg)
	if r.roster != nil {
		r.roster.Close()
	}
	if r.listens {
		r.front.HandOver()
	}
	if r.second != nil {
		r.second.Drain()
	}
	evRetire.Log(r.core.OpenRequests(), most/1000)
	r.loop.After(time.Duration(most-retireDrain)*time.Microsecond, func() {
		set := r.part(r.cfg.Settings)
		set.DrainGrace = 0
		if _, err := r.core.Configure(set); err != nil {
			evNotTaken.Log(fmt.Errorf("drain: %w", err))
		}
		r.core.Drain(time.Duration(retireDrain) * time.Microsecond)
	})
	var look func()
	look = func() {
		past := r.loop.Now().Microseconds() - began
		if r.conns() == 0 && r.core.IsIdle() && !r.front.IsListening() || past > most-drainSpare {
			r.finish(past)
			return
		}
		r.loop.After(time.Duration(drainLook)*time.Microsecond, look)
	}
	look()
}
