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
	evRepaired    = logging.Define("store.repaired", slog.LevelWarn, "places", "closed_ms")
	evClockBehind = logging.Define("store.clock_behind", slog.LevelWarn, "ms")
	evDiskFailed  = logging.Define("store.disk_failed", slog.LevelError, "error")
	evDiskBack    = logging.Define("store.disk_back", slog.LevelInfo)
)

// Loop is what it needs of the event loop.
type Loop interface {
	Now() int64
	Unix() int64
	Deliver(fn func())
}

// Config is how keys are kept. Times are microseconds.
type Config struct {
	store.Settings
	Patience int64 // that a run or an answer waits for the disk
	Window   int64 // the longest for which a key may be repeated
}

// Keeper implements core.Keeper on a store. Its methods are called on the loop.
type Keeper struct {
	loop   Loop
	fs     store.FS
	cfg    Config
	health health
	store  *store.Store // nil until what is there was read
	unlock func() error
	opened chan *store.Store // what the reading came to, for a Close meanwhile
}

// Start takes the folder, which no other process may use.
func Start(l Loop, fsys store.FS, cfg Config) (*Keeper, error) {
	unlock, err := fsys.Lock()
	if err != nil {
		return nil, err
	}
	return &Keeper{
		loop:   l,
		fs:     fsys,
		cfg:    cfg,
		unlock: unlock,
		health: health{stall: cfg.Patience, reading: true},
		opened: make(chan *store.Store, 1),
	}, nil
}

// portion is how many keys are restored in one turn of the loop.
const portion = 2000

// Restore reads what was kept, beside the loop, and hands it to the core in portions. Until that is
// done no new keys are taken. failed is told if it cannot be gone by.
func (k *Keeper) Restore(restore func([]lifecycle.Kept) (strange int), failed func(error)) {
	go func() {
		began := time.Now()
		s, found, err := store.Open(k.fs, k.unlock, k.cfg.Settings, k.loop.Deliver, k.changed)
		if err != nil {
			k.opened <- nil
			k.loop.Deliver(func() { failed(err) })
			return
		}
		k.opened <- s
		strange := 0
		for keys := found.Keys; len(keys) > 0; {
			n := min(portion, len(keys))
			part := make([]lifecycle.Kept, n)
			for i, key := range keys[:n] {
				part[i] = kept(key)
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
				found.Cut,
			)
			if len(found.Damage) > 0 {
				// What is lost may be of keys whose window is not over. After that no repeat of
				// them can come.
				k.health.quiet = k.loop.Now() + k.cfg.Window
				evRepaired.Log(len(found.Damage), k.cfg.Window/1000)
			}
			if found.Newest > k.loop.Unix() {
				evClockBehind.Log((found.Newest - k.loop.Unix()) / 1000)
			}
		})
	}()
}

// changed hears of a disk that fails or is back.
func (k *Keeper) changed(down bool, err error) {
	if down {
		evDiskFailed.Log(err)
		k.health.down = err.Error()
		return
	}
	evDiskBack.Log()
	k.health.down = ""
}

// Restored tells whether what was kept is read.
func (k *Keeper) Restored() bool { return k.store != nil }

// Closed implements core.Keeper.
func (k *Keeper) Closed() (back int64, why string) { return k.health.closed(k.loop.Now()) }

// Patience implements core.Keeper.
func (k *Keeper) Patience() int64 { return k.cfg.Patience }

// Begun implements core.Keeper.
func (k *Keeper) Begun(c lifecycle.Kept, done func(error)) { k.put(store.Begun, c, done) }

// Ended implements core.Keeper.
func (k *Keeper) Ended(c lifecycle.Kept, done func(error)) { k.put(store.Ended, c, done) }

// Forgot implements core.Keeper.
func (k *Keeper) Forgot(c lifecycle.Kept) { k.put(store.Forgotten, c, func(error) {}) }

func (k *Keeper) put(kind store.Kind, c lifecycle.Kept, done func(error)) {
	if k.store == nil { // nothing is begun until it is there
		k.loop.Deliver(func() { done(store.ErrDown) })
		return
	}
	k.health.sent(k.loop.Now())
	k.store.Put(Record(kind, c, k.loop.Unix()), func(err error) {
		k.health.answered()
		done(err)
	})
}

// closeWithin is how long the end of the program waits for the disk.
const closeWithin = time.Second

// Close keeps what was handed over, and gives the folder back.
func (k *Keeper) Close() error {
	select {
	case s := <-k.opened:
		if s == nil {
			return nil // it is given back already
		}
		return s.Close(closeWithin)
	case <-time.After(closeWithin):
		return fmt.Errorf("store: it is still being read")
	}
}

// Record is what is kept as a record of the store.
func Record(kind store.Kind, c lifecycle.Kept, at int64) *store.Record {
	r := &store.Record{
		Kind:  kind,
		Name:  store.Name{Class: c.Class, Tenant: c.Tenant, Key: c.Key},
		Owner: c.Owner,
		At:    at,
	}
	if kind == store.Forgotten {
		return r
	}
	r.Until, r.Body = c.Until, c.Body
	if kind == store.Ended {
		r.How = uint8(c.How)
		if c.Result != nil {
			r.Result = &store.Result{Status: c.Result.Status, Body: c.Result.Body}
			for _, f := range c.Result.Fields {
				r.Result.Fields = append(r.Result.Fields, store.Field{Name: f.Name, Value: f.Value})
			}
		}
	}
	return r
}

// kept is what was kept of a key.
func kept(key *store.Key) lifecycle.Kept {
	c := lifecycle.Kept{
		Class:  key.Name.Class,
		Tenant: key.Name.Tenant,
		Key:    key.Name.Key,
		Owner:  key.Owner,
		Until:  key.Until,
		Body:   key.Body,
		Ended:  key.Ended,
		How:    lifecycle.Kind(key.How),
	}
	if r := key.Result; r != nil {
		c.Result = &lifecycle.Result{Status: r.Status, Body: r.Body}
		for _, f := range r.Fields {
			c.Result.Fields = append(c.Result.Fields, lifecycle.Field{Name: f.Name, Value: f.Value})
		}
	} else if key.Ended && (c.How < lifecycle.Failed || c.How > lifecycle.Ran) { // of a format that says it otherwise
		c.How = lifecycle.Failed
	}
	return c
}

// KeptOf is what a record says of a key.
func KeptOf(r *store.Record) lifecycle.Kept {
	return kept(
		&store.Key{
			Name:   r.Name,
			Owner:  r.Owner,
			Until:  r.Until,
			Body:   r.Body,
			Ended:  r.Kind == store.Ended,
			How:    r.How,
			Result: r.Result,
		},
	)
}
