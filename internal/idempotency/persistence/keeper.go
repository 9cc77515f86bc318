// Package keeper keeps the core's keys in a store: it puts them into records and back, and says
// when no new ones can be taken.
package persistence

import (
	"fmt"
	"log/slog"
	"time"

	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/telemetry/logging"
	"ryepaddle/internal/wallclock"
)

// What is told to operators.
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

// Loop is what it needs of the event loop.
type Loop interface {
	Now() time.Duration
	Unix() wallclock.UnixMicro
	Deliver(fn func())
}

// Config is how keys are kept.
type Config struct {
	store.Settings
	Timeout time.Duration // that a run or an answer waits for the disk
	Window  time.Duration // the longest for which a key may be repeated
}

// KeyStore implements lifecycle.KeyStore on a store. Its methods are called on the loop.
type KeyStore struct {
	loop   Loop
	fs     store.FS
	cfg    Config
	health health
	store  *store.Store // nil until what is there was read
	unlock func() error
	opened chan *store.Store // what the reading came to, for a Close meanwhile
}

// Open takes the folder, which no other process may use.
func Open(l Loop, fsys store.FS, cfg Config) (*KeyStore, error) {
	unlock, err := fsys.Lock()
	if err != nil {
		return nil, err
	}
	return &KeyStore{
		loop:   l,
		fs:     fsys,
		cfg:    cfg,
		unlock: unlock,
		health: health{stallTimeout: cfg.Timeout, reading: true},
		opened: make(chan *store.Store, 1),
	}, nil
}

// restoreBatch is how many keys are restored in one turn of the loop.
const restoreBatch = 2000

// Restore reads what was kept, beside the loop, and hands it to the core in portions. Until that is
// done no new keys are taken. failed is told if it cannot be gone by.
func (k *KeyStore) Restore(restore func([]lifecycle.KeyRecord) (strange int), failed func(error)) {
	go func() {
		began := time.Now()
		s, found, err := store.Open(k.fs, k.unlock, k.cfg.Settings, k.loop.Deliver, k.diskStateChanged)
		if err != nil {
			k.opened <- nil
			k.loop.Deliver(func() { failed(err) })
			return
		}
		k.opened <- s
		strange := 0
		for keys := found.Keys; len(keys) > 0; {
			n := min(restoreBatch, len(keys))
			part := make([]lifecycle.KeyRecord, n)
			for i, key := range keys[:n] {
				part[i] = keyRecord(key)
			}
			keys = keys[n:]
			k.loop.Deliver(func() { strange += restore(part) })
		}
		k.loop.Deliver(func() {
			k.store, k.health.reading = s, false
			doubt := 0
			for _, key := range found.Keys {
				if !key.Ended {
					doubt++
				}
			}
			evRecovered.Log(
				len(found.Keys),
				found.Records,
				time.Since(began).Milliseconds(),
				doubt,
				strange,
				found.Expired,
				found.TornBytes,
			)
			if len(found.Damage) > 0 {
				// What is lost may be of keys whose window is not over. After that no repeat of
				// them can come.
				k.health.closedUntil = k.loop.Now() + k.cfg.Window
				evRepaired.Log(len(found.Damage), k.cfg.Window.Milliseconds())
			}
			if found.NewestAt > k.loop.Unix() {
				evClockBehind.Log(found.NewestAt.Sub(k.loop.Unix()).Milliseconds())
			}
		})
	}()
}

// diskStateChanged hears of a disk that fails or is back.
func (k *KeyStore) diskStateChanged(down bool, err error) {
	if down {
		evDiskFailed.Log(err)
		k.health.downReason = err.Error()
		return
	}
	evDiskRecovered.Log()
	k.health.downReason = ""
}

// IsRestored tells whether what was kept is read.
func (k *KeyStore) IsRestored() bool { return k.store != nil }

// Unavailable implements lifecycle.KeyStore.
func (k *KeyStore) Unavailable() (back time.Duration, why string) {
	return k.health.unavailable(k.loop.Now())
}

// Timeout implements lifecycle.KeyStore.
func (k *KeyStore) Timeout() time.Duration { return k.cfg.Timeout }

// Started implements lifecycle.KeyStore.
func (k *KeyStore) Started(c lifecycle.KeyRecord, done func(error)) { k.put(store.RunStarted, c, done) }

// Ended implements lifecycle.KeyStore.
func (k *KeyStore) Ended(c lifecycle.KeyRecord, done func(error)) { k.put(store.RunEnded, c, done) }

// Released implements lifecycle.KeyStore.
func (k *KeyStore) Released(c lifecycle.KeyRecord) { k.put(store.KeyReleased, c, func(error) {}) }

func (k *KeyStore) put(kind store.RecordKind, c lifecycle.KeyRecord, done func(error)) {
	if k.store == nil { // nothing is begun until it is there
		k.loop.Deliver(func() { done(store.ErrDown) })
		return
	}
	k.health.recordSent(k.loop.Now())
	k.store.Put(ToRecord(kind, c, k.loop.Unix()), func(err error) {
		k.health.recordConfirmed()
		done(err)
	})
}

// closeTimeout is how long the end of the program waits for the disk.
const closeTimeout = time.Second

// Close keeps what was handed over, and gives the folder back.
func (k *KeyStore) Close() error {
	select {
	case s := <-k.opened:
		if s == nil {
			return nil // it is given back already
		}
		return s.Close(closeTimeout)
	case <-time.After(closeTimeout):
		return fmt.Errorf("store: it is still being read")
	}
}

// ToRecord is what is kept as a record of the store.
func ToRecord(kind store.RecordKind, c lifecycle.KeyRecord, at wallclock.UnixMicro) *store.Record {
	r := &store.Record{
		Kind:      kind,
		Name:      store.KeyName{Class: c.Class, Tenant: c.Tenant, Key: c.Key},
		Owner:     c.Owner,
		WrittenAt: at,
	}
	if kind == store.KeyReleased {
		return r
	}
	r.ExpiresAt, r.BodyHash = c.ExpiresAt, c.BodyHash
	if kind == store.RunEnded {
		r.Status = uint8(c.Status)
		if c.Result != nil {
			r.Result = &store.Result{Status: c.Result.Status, Body: c.Result.Body}
			for _, f := range c.Result.Fields {
				r.Result.Fields = append(r.Result.Fields, store.Field{Name: f.Name, Value: f.Value})
			}
		}
	}
	return r
}

// keyRecord is what was kept of a key.
func keyRecord(key *store.Key) lifecycle.KeyRecord {
	c := lifecycle.KeyRecord{
		Class:     key.Name.Class,
		Tenant:    key.Name.Tenant,
		Key:       key.Name.Key,
		Owner:     key.Owner,
		ExpiresAt: key.ExpiresAt,
		BodyHash:  key.BodyHash,
		Ended:     key.Ended,
		Status:    lifecycle.Status(key.Status),
	}
	if r := key.Result; r != nil {
		c.Result = &lifecycle.Result{Status: r.Status, Body: r.Body}
		for _, f := range r.Fields {
			c.Result.Fields = append(c.Result.Fields, lifecycle.Field{Name: f.Name, Value: f.Value})
		}
	} else if key.Ended && (c.Status < lifecycle.Failed || c.Status > lifecycle.ResultLost) { // of a format that says it otherwise
		c.Status = lifecycle.Failed
	}
	return c
}

// FromRecord is what a record says of a key.
func FromRecord(r *store.Record) lifecycle.KeyRecord {
	return keyRecord(
		&store.Key{
			Name:      r.Name,
			Owner:     r.Owner,
			ExpiresAt: r.ExpiresAt,
			BodyHash:  r.BodyHash,
			Ended:     r.Kind == store.RunEnded,
			Status:    r.Status,
			Result:    r.Result,
		},
	)
}
