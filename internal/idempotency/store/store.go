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
	evClosed   = logging.Define("store.close_failed", slog.LevelError, "error")
	evSnapshot = logging.Define("store.snapshot_failed", slog.LevelError, "error")
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
var ErrBusy error = slow.New("store: too much waits for the disk")

const (
	retryFirst = 100 * time.Millisecond // after the disk failed
	retryMost  = 5 * time.Second
)

// Store is a journal on a goroutine of its own.
type Store struct {
	set     Settings
	deliver func(func())
	changed func(down bool, err error)
	journal *Journal
	unlock  func() error

	mu      sync.Mutex
	queue   []item
	closing bool
	wake    chan struct{}
	done    chan struct{}
	cuts    chan cut
	cutting bool
	last    int // records of the last sync
	took    time.Duration
}

type item struct {
	record *Record
	done   func(error)
}

type cut struct {
	snap *Snapshot
	err  error
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
		set:     set,
		deliver: deliver,
		changed: changed,
		journal: j,
		unlock:  unlock,
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
		cuts:    make(chan cut, 1),
	}
	if err != nil {
		s.tell(true, err)
	}
	go s.run()
	return s, found, nil
}

func now() wallclock.UnixMicro { return wallclock.FromTime(wallclock.Now()) }

func (s *Store) tell(down bool, err error) { s.deliver(func() { s.changed(down, err) }) }

// Put hands over a record, and returns at once. done is called on the loop once it is kept, or is
// known not to be.
func (s *Store) Put(r *Record, done func(error)) {
	s.mu.Lock()
	full := len(s.queue) >= s.set.MaxQueue && r.Kind == RunStarted || s.closing
	if !full {
		s.queue = append(s.queue, item{r, done})
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
		return slow.New("store: the disk does not answer within %v", within)
	}
}

func (s *Store) run() {
	defer close(s.done)
	defer func() {
		if s.cutting {
			<-s.cuts // it touches files
		}
		if err := errors.Join(s.journal.Close(), s.unlock()); err != nil {
			evClosed.Log(err)
		}
	}()
	backoff := retryFirst
	retry := time.NewTimer(backoff)
	defer retry.Stop()
	armed := true // or records that come would put the next try off again and again
	for {
		select {
		case <-s.wake:
		case c := <-s.cuts:
			s.cutDone(c)
			continue
		case <-retry.C:
			armed = false
			if !s.journal.IsDown() {
				continue
			}
			if err := s.journal.Reopen(now()); err != nil {
				backoff = min(2*backoff, retryMost)
				retry.Reset(backoff)
				armed = true
				continue
			}
			backoff = retryFirst
			s.tell(false, nil)
		}
		if s.serve() {
			return
		}
		if s.journal.IsDown() && !armed {
			retry.Reset(backoff)
			armed = true
		}
	}
}

// serve keeps what waits, and reports whether that was all there will be.
func (s *Store) serve() (end bool) {
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
		if wait := min(s.set.GroupWait, s.took); s.set.Sync == SyncGroup && !closing && n < s.last &&
			wait >= time.Millisecond &&
			!s.journal.IsDown() {
			time.Sleep(wait)
		}
		most := s.set.MaxBatch
		if s.set.Sync == SyncAlways {
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
		s.last, s.took = n, time.Since(began)
		s.deliver(func() {
			for _, it := range batch {
				it.done(err)
			}
		})
		if err != nil {
			if !was {
				s.tell(true, err)
			}
			continue
		}
		if err := s.tidy(); err != nil {
			s.tell(true, err)
		}
	}
}

// tidy keeps segments short and the journal in bounds.
func (s *Store) tidy() error {
	if err := s.journal.Roll(); err != nil || s.cutting {
		return err
	}
	snap, err := s.journal.SnapshotIfDue(now())
	if snap == nil {
		return err
	}
	s.cutting = true
	go func() { s.cuts <- cut{snap, snap.Write()} }()
	return err
}

func (s *Store) cutDone(c cut) {
	s.cutting = false
	if c.err != nil { // the segments stay, and the next one cuts them
		evSnapshot.Log(c.err)
		return
	}
	s.journal.FinishSnapshot(c.snap)
}
