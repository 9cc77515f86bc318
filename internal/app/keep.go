package app

import (
	"time"

	"ryepaddle/internal/idempotency/persistence"
	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/lifecycle"
)

// startKeeper takes the store's folder, so that no other process does. What is in it is read once
// the core stands.
func (r *Program) startKeeper(repair bool) (lifecycle.KeyStore, error) {
	if r.op == nil || r.op.Store.Dir == "" {
		return nil, nil
	}
	var windows int64
	for _, c := range r.cfg.Settings.Classes {
		windows = max(windows, c.IdempotencyWindow.Microseconds())
	}
	var err error
	r.keep, err = persistence.Open(
		r.loop,
		store.Dir(r.op.Store.Dir),
		persistence.Config{Settings: r.op.Store.Settings(repair),
			Timeout: time.Duration(
				r.op.Store.TimeoutMs*1000,
			) * time.Microsecond, Window: time.Duration(windows) * time.Microsecond},
	)
	if err != nil {
		return nil, err
	}
	return r.keep, nil
}

// storeFailed ends a program that cannot go by what it kept: all that is open is answered first.
func (r *Program) storeFailed(err error) {
	r.fatal = err
	r.drain()
}
