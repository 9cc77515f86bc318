package store

import (
	"errors"
	"log/slog"
	"sync"
	"time"

	"ryepaddle/internal/telemetry/logging"
	"ryepaddle/internal/wallclock"
)

var (
	evCloseFailed    = logging.Define("store.close_failed", slog.LevelError, "error")
	evSnapshotFailed = logging.Define("store.snapshot_failed", slog.LevelError, "error")
)

// Settings configure a store.
type Settings struct {
	Options
	GroupWait time.Duration // with SyncGroup: how long records wait at most for others to share a sync
	MaxBatch  int           // maximum number of records that share a sync
	MaxQueue  int           // number of queued records at which new runs are rejected
}

// DefaultSettings returns the settings that apply if the operator sets none.
func DefaultSettings() Settings {
	return Settings{Options: DefaultOptions(), GroupWait: 2 * time.Millisecond, MaxBatch: 256, MaxQueue: 20_000}
}

// ErrBusy reports a record that was not accepted because the queue is full or the store is closing.
var ErrBusy error = faultSlow.New("store: too many records wait for the disk")

// minGroupWait is the shortest wait for more records. If the disk syncs faster, waiting costs more than it
// saves.
const minGroupWait = time.Millisecond

// Store writes a journal on a goroutine of its own. It owns the journal and the lock of the folder.
type Store struct {
	settings    Settings
	deliver     func(func())
	onDiskState func(err error)
	journal     *Journal
	unlock      func() error

	mu      sync.Mutex
	queue   []pendingRecord
	closing bool

	wake      chan struct{}        // the queue or closing has changed
	done      chan struct{}        // closed when the goroutine has ended
	snapshots chan writtenSnapshot // snapshots whose writing has ended

	// Only the goroutine of the store uses these fields:
	snapshotting bool
	lastBatch    int           // number of records in the last sync
	lastSync     time.Duration // duration of the last sync
}

// pendingRecord is a record that waits for the disk.
type pendingRecord struct {
	record *Record
	done   func(error)
}

// writtenSnapshot is a snapshot whose writing has ended, with the error.
type writtenSnapshot struct {
	snapshot *Snapshot
	err      error
}

// Open reads the files of a folder, which the caller has locked, and starts to accept records. Close
// unlocks the folder, as does Open if it fails. Open blocks while it reads and must not be called on the
// event loop. deliver must call its argument on the loop. It is used for the done functions of records
// and for onDiskState, which is called with the error when the disk fails and with nil when it recovers.
func Open(
	fsys FS,
	unlock func() error,
	settings Settings,
	deliver func(func()),
	onDiskState func(err error),
) (*Store, *Recovery, error) {
	journal, recovery, err := OpenJournal(fsys, now(), settings.Options)
	if journal == nil {
		return nil, nil, errors.Join(err, unlock())
	}
	s := &Store{
		settings:    settings,
		deliver:     deliver,
		onDiskState: onDiskState,
		journal:     journal,
		unlock:      unlock,
		wake:        make(chan struct{}, 1),
		done:        make(chan struct{}),
		snapshots:   make(chan writtenSnapshot, 1),
	}
	if err != nil {
		s.reportDiskFailure(err)
	}
	go s.run()
	return s, recovery, nil
}

func now() wallclock.UnixMicro { return wallclock.FromTime(wallclock.Now()) }

// reportDiskFailure and reportDiskRecovery call onDiskState on the loop.
func (s *Store) reportDiskFailure(err error) { s.deliver(func() { s.onDiskState(err) }) }

func (s *Store) reportDiskRecovery() { s.deliver(func() { s.onDiskState(nil) }) }

// Put queues a record and returns at once. done is called on the loop once the record is stored as
// the sync mode requires, or with an error: ErrBusy if the queue is full or the store is closing.
func (s *Store) Put(r *Record, done func(error)) {
	s.mu.Lock()
	// Ends and releases are accepted even if the queue is full, as their runs were accepted before.
	isFull := r.Kind == RunStarted && len(s.queue) >= s.settings.MaxQueue
	isRejected := isFull || s.closing
	if !isRejected {
		s.queue = append(s.queue, pendingRecord{r, done})
	}
	s.mu.Unlock()
	if isRejected {
		s.deliver(func() { done(ErrBusy) })
		return
	}
	s.wakeUp()
}

// wakeUp makes the goroutine check the queue.
func (s *Store) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default: // a wake-up is pending
	}
}

// Close writes the queued records, closes the files and unlocks the folder. It returns an error if the
// disk does not answer in time; the goroutine then completes the closing once the disk answers.
func (s *Store) Close(timeout time.Duration) error {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	s.wakeUp()
	select {
	case <-s.done:
		return nil
	case <-time.After(timeout):
		return faultSlow.New("store: the disk does not answer within %v", timeout)
	}
}

// run commits queued records, finishes snapshots and reopens the journal until the store is closing. It is
// the goroutine of the store.
func (s *Store) run() {
	defer close(s.done)
	defer s.closeFiles()
	reopen := newReopenTimer()
	defer reopen.timer.Stop()
	for {
		select {
		case <-s.wake:
		case written := <-s.snapshots:
			s.finishSnapshot(written)
			continue
		case <-reopen.timer.C:
			reopen.armed = false
			if !s.journal.IsDown() {
				continue
			}
			if err := s.journal.Reopen(now()); err != nil {
				reopen.failed()
				continue
			}
			reopen.succeeded()
			s.reportDiskRecovery()
		}
		if s.commitQueued() {
			return
		}
		if s.journal.IsDown() {
			reopen.arm()
		}
	}
}

// closeFiles closes the journal and unlocks the folder, once no snapshot is being written.
func (s *Store) closeFiles() {
	if s.snapshotting {
		<-s.snapshots
	}
	if err := errors.Join(s.journal.Close(), s.unlock()); err != nil {
		evCloseFailed.Log(err)
	}
}

// commitQueued commits the queued records in batches until the queue is empty, and reports whether
// the store is closing.
func (s *Store) commitQueued() (closing bool) {
	for {
		batch, closing := s.takeBatch()
		if len(batch) == 0 {
			return closing
		}
		wasDown := s.journal.IsDown()
		if err := s.commit(batch); err != nil {
			if !wasDown {
				s.reportDiskFailure(err)
			}
			continue
		}
		if err := s.maintain(); err != nil {
			s.reportDiskFailure(err)
		}
	}
}

// takeBatch removes the next batch from the queue, after a wait for more records if that is worthwhile.
func (s *Store) takeBatch() (batch []pendingRecord, closing bool) {
	s.mu.Lock()
	waiting, closing := len(s.queue), s.closing
	s.mu.Unlock()
	if waiting == 0 {
		return nil, closing
	}
	if !closing {
		s.waitForGroup(waiting)
	}
	limit := s.settings.MaxBatch
	if s.settings.Sync == SyncAlways {
		limit = 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.queue), limit)
	batch = s.queue[:n:n]
	s.queue = s.queue[n:]
	if len(s.queue) == 0 {
		s.queue = nil // frees the memory of the queue
	}
	return batch, closing
}

// waitForGroup waits for more records to share the next sync. Records that arrive during a sync share the
// next one anyway. Waiting is worthwhile only if fewer records are queued than the last sync had, and
// not for longer than a sync takes.
func (s *Store) waitForGroup(waiting int) {
	wait := min(s.settings.GroupWait, s.lastSync)
	if s.settings.Sync == SyncGroup && waiting < s.lastBatch && wait >= minGroupWait && !s.journal.IsDown() {
		time.Sleep(wait)
	}
}

// commit commits a batch and calls the done functions of its records on the loop.
func (s *Store) commit(batch []pendingRecord) error {
	records := make([]*Record, len(batch))
	for i, p := range batch {
		records[i] = p.record
	}
	began := time.Now()
	err := s.journal.Commit(records)
	s.lastBatch = len(batch)
	s.lastSync = time.Since(began)
	s.deliver(func() {
		for _, p := range batch {
			p.done(err)
		}
	})
	return err
}

// maintain rotates the segment if it is full, and begins a snapshot if one is due.
func (s *Store) maintain() error {
	if err := s.journal.RotateSegment(); err != nil || s.snapshotting {
		return err
	}
	snapshot, err := s.journal.SnapshotIfDue(now())
	if snapshot == nil {
		return err
	}
	s.snapshotting = true
	go func() { s.snapshots <- writtenSnapshot{snapshot, snapshot.Write()} }()
	return err
}

// finishSnapshot removes the files that a snapshot makes superfluous. If the snapshot could not be written,
// the segments are kept until the next one.
func (s *Store) finishSnapshot(w writtenSnapshot) {
	s.snapshotting = false
	if w.err != nil {
		evSnapshotFailed.Log(w.err)
		return
	}
	s.journal.FinishSnapshot(w.snapshot)
}
