// Package persistence implements lifecycle.KeyStore with package store: it converts idempotency keys to
// records and back, restores them at the start, and decides when the state of the disk does not allow
// new keys.
package persistence

import (
	"errors"
	"log/slog"
	"time"

	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/telemetry/logging"
	"ryepaddle/internal/wallclock"
)

var (
	evRecovered = logging.Define(
		"store.recovered",
		slog.LevelInfo,
		"keys",
		"records",
		"ms",
		"in_doubt",
		"strange",
		"expired",
		"cut_bytes",
	)
	evRepaired      = logging.Define("store.repaired", slog.LevelWarn, "places", "closed_ms")
	evClockBehind   = logging.Define("store.clock_behind", slog.LevelWarn, "ms")
	evDiskFailed    = logging.Define("store.disk_failed", slog.LevelError, "error")
	evDiskRecovered = logging.Define("store.disk_recovered", slog.LevelInfo)
)

const (
	// restoreBatch is the maximum number of keys that are restored in one iteration of the loop.
	restoreBatch = 2000
	// closeTimeout is how long Close waits for the files to be read, and then again for the disk.
	closeTimeout = time.Second
)

// errStillReading reports that Close did not wait until the files of the store were read.
var errStillReading = errors.New("store: its files are still being read")

// Loop is the event loop. Deliver calls a function on it, from any goroutine.
type Loop interface {
	Now() time.Duration
	Unix() wallclock.UnixMicro
	Deliver(fn func())
}

// Config configures a key store.
type Config struct {
	store.Settings
	Timeout time.Duration // how long a run or an answer waits for the disk
	Window  time.Duration // the longest idempotency window of a class
}

// KeyStore implements lifecycle.KeyStore with the files of a folder, which it owns. Its methods are
// called on the loop.
type KeyStore struct {
	loop   Loop
	fs     store.FS
	config Config
	health health
	store  *store.Store // nil until the keys are restored
	unlock func() error
	opened chan *store.Store // receives the store once its files are read; nil if that failed
}

// Open locks a folder. It fails with store.ErrLocked if another process uses it. The caller must
// call Restore, and Close at the end.
func Open(loop Loop, fsys store.FS, config Config) (*KeyStore, error) {
	unlock, err := fsys.Lock()
	if err != nil {
		return nil, err
	}
	return &KeyStore{
		loop:   loop,
		fs:     fsys,
		config: config,
		unlock: unlock,
		health: health{stallTimeout: config.Timeout, restoring: true},
		opened: make(chan *store.Store, 1),
	}, nil
}

// Restore reads the folder on a goroutine of its own. It passes the keys to restore on the loop and in
// batches; restore returns how many keys of a batch have an unknown class or tenant. No new keys are
// accepted until all are restored. If the folder cannot be read, failed is called on the loop.
func (k *KeyStore) Restore(restore func([]lifecycle.KeyRecord) (unknown int), failed func(error)) {
	go func() {
		began := time.Now()
		opened, recovery, err := store.Open(k.fs, k.unlock, k.config.Settings, k.loop.Deliver, k.diskStateChanged)
		k.opened <- opened
		if err != nil {
			k.loop.Deliver(func() { failed(err) })
			return
		}
		unknown := 0
		for keys := recovery.Keys; len(keys) > 0; {
			n := min(restoreBatch, len(keys))
			batch := make([]lifecycle.KeyRecord, n)
			for i, key := range keys[:n] {
				batch[i] = keyRecord(key)
			}
			keys = keys[n:]
			k.loop.Deliver(func() { unknown += restore(batch) })
		}
		k.loop.Deliver(func() {
			k.store = opened
			k.health.restoring = false
			k.reportRecovery(recovery, unknown, time.Since(began))
		})
	}()
}

// reportRecovery logs what was found. After a repair no new keys are accepted for a window, as the lost
// records may be of keys that have not expired.
func (k *KeyStore) reportRecovery(recovery *store.Recovery, unknown int, elapsed time.Duration) {
	inDoubt := 0
	for _, key := range recovery.Keys {
		if !key.Ended {
			inDoubt++
		}
	}
	evRecovered.Log(
		len(recovery.Keys),
		recovery.Records,
		elapsed.Milliseconds(),
		inDoubt,
		unknown,
		recovery.Expired,
		recovery.TornBytes,
	)
	if len(recovery.Damage) > 0 {
		k.health.closedUntil = k.loop.Now() + k.config.Window
		evRepaired.Log(len(recovery.Damage), k.config.Window.Milliseconds())
	}
	if now := k.loop.Unix(); recovery.NewestAt > now {
		evClockBehind.Log(recovery.NewestAt.Sub(now).Milliseconds())
	}
}

// diskStateChanged is called with the error when the disk fails, and with nil when it recovers.
func (k *KeyStore) diskStateChanged(err error) {
	if err != nil {
		evDiskFailed.Log(err)
		k.health.failure = err.Error()
		return
	}
	evDiskRecovered.Log()
	k.health.failure = ""
}

// IsRestored reports whether the keys are restored.
func (k *KeyStore) IsRestored() bool { return k.store != nil }

// Unavailable implements lifecycle.KeyStore.
func (k *KeyStore) Unavailable() (retryAfter time.Duration, why string) {
	return k.health.unavailable(k.loop.Now())
}

// Timeout implements lifecycle.KeyStore.
func (k *KeyStore) Timeout() time.Duration { return k.config.Timeout }

// Started implements lifecycle.KeyStore.
func (k *KeyStore) Started(r lifecycle.KeyRecord, done func(error)) { k.put(store.RunStarted, r, done) }

// Ended implements lifecycle.KeyStore.
func (k *KeyStore) Ended(r lifecycle.KeyRecord, done func(error)) { k.put(store.RunEnded, r, done) }

// Released implements lifecycle.KeyStore.
func (k *KeyStore) Released(r lifecycle.KeyRecord) { k.put(store.KeyReleased, r, func(error) {}) }

func (k *KeyStore) put(kind store.RecordKind, r lifecycle.KeyRecord, done func(error)) {
	if k.store == nil { // not expected: no run begins before the keys are restored
		k.loop.Deliver(func() { done(store.ErrDown) })
		return
	}
	k.health.recordSent(k.loop.Now())
	k.store.Put(ToRecord(kind, r, k.loop.Unix()), func(err error) {
		k.health.recordConfirmed()
		done(err)
	})
}

// Close writes the queued records and unlocks the folder. It returns an error if the files are not read
// within closeTimeout, or if the disk does not answer within another closeTimeout.
func (k *KeyStore) Close() error {
	select {
	case opened := <-k.opened:
		if opened == nil { // store.Open failed and unlocked the folder
			return nil
		}
		return opened.Close(closeTimeout)
	case <-time.After(closeTimeout):
		return errStillReading
	}
}
