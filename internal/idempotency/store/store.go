package store

import (
	"errors"
	"log/slog"
	"sync"
	"time"

	"ryepaddle/internal/telemetry/logging"
	"ryepaddle/internal/wallclock"
)

// What is told to operators.
var (
	evCloseFailed    = logging.Define("store.close_failed", slog.LevelError, "error")
	evSnapshotFailed = logging.Define("store.snapshot_failed", slog.LevelError, "error")
)

// Settings are how a store is run beside the loop.
type Settings struct {
	Options
	GroupWait time.Duration // Group: how long records wait at the most for others to share a sync with
	MaxBatch  int           // records of one sync at the most
	MaxQueue  int           // records that wait for the disk at the most
}

// DefaultSettings are the settings that are usual.
func DefaultSettings() Settings {
	return Settings{Options: DefaultOptions(), GroupWait: 2 * time.Millisecond, MaxBatch: 256, MaxQueue: 20_000}
}

// ErrBusy is that of a record that finds the queue full.
var ErrBusy error = faultSlow.New("store: too much waits for the disk")

const (
	minReopenBackoff = 100 * time.Millisecond // after the disk failed
	maxReopenBackoff = 5 * time.Second
)

// Store is a journal on a goroutine of its own.
type Store struct {
	settings    Settings
	deliver     func(func())
	onDiskState func(down bool, err error)
	journal     *Journal
	unlock      func() error

	mu           sync.Mutex
	queue        []pending
	closing      bool
	wake         chan struct{}
	done         chan struct{}
	snapshots    chan writtenSnapshot
	snapshotting bool
	lastBatch    int // records of the last sync
	lastSync     time.Duration
}

type pending struct {
	record *Record
	done   func(error)
}

type writtenSnapshot struct {
	snapshot *Snapshot
	err      error
}

// Open reads the files of a folder that is locked, and begins to keep records; Close unlocks it. It
// takes as long as that takes, and is not for the loop. deliver calls functions on the loop: what
// becomes of records, and changed, when the disk fails and when it is back.
func Open(
	fsys FS,
	unlock func() error,
	set Settings,
	deliver func(func()),
	changed func(down bool, err error),
) (*Store, *Recovery, error) {
	j, found, err := OpenJournal(fsys, now(), set.Options)
	if j == nil {
		return nil, nil, errors.Join(err, unlock())
	}
	s := &Store{
		settings:    set,
		deliver:     deliver,
		onDiskState: changed,
		journal:     j,
		unlock:      unlock,
		wake:        make(chan struct{}, 1),
		done:        make(chan struct{}),
		snapshots:   make(chan writtenSnapshot, 1),
	}
	if err != nil {
		s.reportDisk(true, err)
	}
	go s.run()
	return s, found, nil
}

func now() wallclock.UnixMicro { return wallclock.FromTime(wallclock.Now()) }

func (s *Store) reportDisk(down bool, err error) { s.deliver(func() { s.onDiskState(down, err) }) }

// Put hands over a record, and returns at once. done is called on the loop once it is kept, or is
// known not to be.
func (s *Store) Put(r *Record, done func(error)) {
	s.mu.Lock()
	full := len(s.queue) >= s.settings.MaxQueue && r.Kind == RunStarted || s.closing
	if !full {
		s.queue = append(s.queue, pending{r, done})
	}
	s.mu.Unlock()
	if full {
		s.deliver(func() { done(ErrBusy) })
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Close keeps what was handed over, and gives the files back. A disk that hangs is not waited for.
func (s *Store) Close(within time.Duration) error {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	select {
	case <-s.done:
		return nil
	case <-time.After(within):
		return faultSlow.New("store: the disk does not answer within %v", within)
	}
}

func (s *Store) run() {
	defer close(s.done)
	defer func() {
		if s.snapshotting {
			<-s.snapshots // it touches files
		}
		if err := errors.Join(s.journal.Close(), s.unlock()); err != nil {
			evCloseFailed.Log(err)
		}
	}()
	backoff := minReopenBackoff
	retry := time.NewTimer(backoff)
	defer retry.Stop()
	armed := true // or records that come would put the next try off again and again
	for {
		select {
		case <-s.wake:
		case c := <-s.snapshots:
			s.finishSnapshot(c)
			continue
		case <-retry.C:
			armed = false
			if !s.journal.IsDown() {
				continue
			}
			if err := s.journal.Reopen(now()); err != nil {
				backoff = min(2*backoff, maxReopenBackoff)
				retry.Reset(backoff)
				armed = true
				continue
			}
			backoff = minReopenBackoff
			s.reportDisk(false, nil)
		}
		if s.commitQueued() {
			return
		}
		if s.journal.IsDown() && !armed {
			retry.Reset(backoff)
			armed = true
		}
	}
}

// commitQueued keeps what waits, and reports whether that was all there will be.
func (s *Store) commitQueued() (end bool) {
	for {
		s.mu.Lock()
		n, closing := len(s.queue), s.closing
		s.mu.Unlock()
		if n == 0 {
			return closing
		}
		// What comes while a sync runs shares the next one by itself. To wait for more pays only
		// where several come at once, and for no longer than a sync takes; on a disk that takes
		// under a millisecond it never does.
		if wait := min(s.settings.GroupWait, s.lastSync); s.settings.Sync == SyncGroup && !closing && n < s.lastBatch &&
			wait >= time.Millisecond &&
			!s.journal.IsDown() {
			time.Sleep(wait)
		}
		most := s.settings.MaxBatch
		if s.settings.Sync == SyncAlways {
			most = 1
		}
		s.mu.Lock()
		n = min(len(s.queue), most)
		batch := s.queue[:n:n]
		s.queue = s.queue[n:]
		if len(s.queue) == 0 {
			s.queue = nil // or its memory is kept for good
		}
		s.mu.Unlock()
		records := make([]*Record, n)
		for i, it := range batch {
			records[i] = it.record
		}
		was, began := s.journal.IsDown(), time.Now()
		err := s.journal.Commit(records)
		s.lastBatch, s.lastSync = n, time.Since(began)
		s.deliver(func() {
			for _, it := range batch {
				it.done(err)
			}
		})
		if err != nil {
			if !was {
				s.reportDisk(true, err)
			}
			continue
		}
		if err := s.maintain(); err != nil {
			s.reportDisk(true, err)
		}
	}
}

// maintain keeps segments short and the journal in bounds.
func (s *Store) maintain() error {
	if err := s.journal.RotateSegment(); err != nil || s.snapshotting {
		return err
	}
	snap, err := s.journal.SnapshotIfDue(now())
	if snap == nil {
		return err
	}
	s.snapshotting = true
	go func() { s.snapshots <- writtenSnapshot{snap, snap.Write()} }()
	return err
}

func (s *Store) finishSnapshot(c writtenSnapshot) {
	s.snapshotting = false
	if c.err != nil { // the segments stay, and the next one cuts them
		evSnapshotFailed.Log(c.err)
		return
	}
	s.journal.FinishSnapshot(c.snapshot)
}
