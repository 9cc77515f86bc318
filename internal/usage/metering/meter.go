package metering

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/peers/usagereplica"
	"ryepaddle/internal/usage/ledger"
	"ryepaddle/internal/wallclock"
)

// Options configure a Meter.
type Options struct {
	Dir          string
	Settings     ledger.Settings
	RingCapacity int           // maximum number of records that are not saved yet
	SaveInterval time.Duration // time between two saves of the account
	Replicated   bool          // StartReplication will be called; then each start begins a new account
}

const (
	pollInterval   = 100 * time.Millisecond // between checks of the ring, the mailboxes and what is due
	retryBackoff   = time.Second            // before the next attempt after a failure of the disk
	maxQueuedCalls = 16                     // for the goroutine of the account; beyond them ErrBusy
	// incarnationBytes is the length of the random name of a new account.
	incarnationBytes = 6
)

// Meter keeps the usage account of a running program. Record, RecordReplicated and StartReplication must
// be called on the event loop; the other methods may be called from any goroutine.
type Meter struct {
	name      string
	dir       store.Dir
	unlock    func() error // releases the lock on the folder
	ring      *ledger.Ring
	mem       []byte // of the ring
	startedAt time.Time

	calls   chan func(*accountStore) // run on the goroutine of the account
	closing chan struct{}
	done    chan struct{} // closed when the goroutine of the account ends

	// Replication.
	replication ReplicationConfig
	accountBox  *mailbox        // for the goroutine of the account
	remoteBox   *mailbox        // for the goroutine of the other runners' accounts
	remoteDone  chan struct{}   // closed when that goroutine ends; nil: it was not started
	waiting     []waitingRecord // used on the event loop
	mu          sync.Mutex
	status      ReplicationStatus
}

// Start opens the account of a folder, or begins one if there is none. The error is of kind
// usage.account if the files of the folder are damaged or not those of this account, or one of the disk
// or the lock.
func Start(opt Options) (*Meter, error) {
	dir := store.Dir(opt.Dir)
	unlock, err := dir.Lock()
	if err != nil {
		return nil, err
	}
	m := &Meter{
		name:       opt.Settings.Instance,
		dir:        dir,
		unlock:     unlock,
		startedAt:  time.Now(),
		calls:      make(chan func(*accountStore), maxQueuedCalls),
		closing:    make(chan struct{}),
		done:       make(chan struct{}),
		accountBox: newMailbox(),
		remoteBox:  newMailbox(),
	}
	account, found, err := m.open(opt)
	if err != nil {
		return nil, errors.Join(err, unlock())
	}
	s := account.ledger.Summary()
	sealedThrough := s.SealedThrough.Time().Unix()
	eventOpened.Log(opt.Dir, s.Incarnation, s.Statements, sealedThrough, found.recovered, found.missing)
	if found.missing > 0 {
		eventLost.Log(found.missing, "the machine went down before the records were on the disk")
	}
	if found.ringError != nil {
		eventLost.Log("unknown", found.ringError)
	}
	go (&accountWorker{meter: m, account: account}).run()
	return m, nil
}

// open opens the account of the folder and begins a new ring.
func (m *Meter) open(opt Options) (*accountStore, recovery, error) {
	ringPath := filepath.Join(opt.Dir, ringFile)
	bootPath := filepath.Join(opt.Dir, bootFile)
	oldRing, err := os.ReadFile(ringPath)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, recovery{}, err
	}
	bootID := currentBootID()
	sameBoot := false
	if last, err := os.ReadFile(bootPath); err == nil {
		sameBoot = bootID != "" && strings.TrimSpace(string(last)) == bootID
	}
	account, found, err := openAccount(m.dir, openParams{
		settings:     opt.Settings,
		saveInterval: opt.SaveInterval,
		now:          wallclock.FromTime(wallclock.Now()),
		incarnation:  newIncarnation(),
		oldRing:      oldRing,
		sameBoot:     sameBoot,
		mustReplace:  opt.Replicated,
	})
	if err != nil {
		return nil, found, err
	}
	if err := os.WriteFile(bootPath, []byte(bootID+"\n"), 0o600); err != nil {
		return nil, found, err
	}
	return account, found, m.beginRing(account, ringPath, opt.RingCapacity)
}

// newIncarnation returns a random name for an account.
func newIncarnation() string {
	var b [incarnationBytes]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error
	return hex.EncodeToString(b[:])
}

// beginRing replaces the file of the old ring, whose records are saved, with a new ring.
func (m *Meter) beginRing(account *accountStore, path string, capacity int) (err error) {
	if m.mem, err = mapNewFile(path+newSuffix, ledger.RingSize(capacity)); err != nil {
		return err
	}
	m.ring = ledger.NewRing(m.mem, account.ledger.Incarnation(), account.lastRecord)
	if err := os.Rename(path+newSuffix, path); err != nil {
		return errors.Join(err, unix.Munmap(m.mem))
	}
	account.ring = m.ring
	return nil
}

// elapsed returns the time since the start, on a monotonic clock.
func (m *Meter) elapsed() time.Duration { return time.Since(m.startedAt) }

// Record counts a record. It does not block, and the record survives a kill of the process. If the ring
// is full, the record is counted as lost.
func (m *Meter) Record(r ledger.Record) { m.ring.Put(r) }

// Inspect schedules fn to be called with the account, on the goroutine of the account. The error is
// ErrBusy.
func (m *Meter) Inspect(fn func(*ledger.Ledger)) error {
	return m.enqueue(func(a *accountStore) { fn(a.ledger) })
}

// Correct applies a correction, and calls done once it is saved and, if the account is replicated, also
// replicated. known reports that a correction with its ID was applied before. done is called on the
// goroutine of the account. Correct itself returns only ErrBusy; the error that done gets is one of
// Ledger.Correct or of the disk, or ErrNotReplicated.
func (m *Meter) Correct(c ledger.Correction, done func(known bool, err error)) error {
	return m.enqueue(func(a *accountStore) {
		known, err := a.correct(c)
		if err != nil {
			done(known, err)
			return
		}
		a.publisher.whenReplicated(m.elapsed()+correctionTimeout, func(err error) { done(known, err) })
	})
}

// correct applies and saves a correction. It saves also if the correction is known, because the earlier
// save may have failed.
func (a *accountStore) correct(c ledger.Correction) (known bool, err error) {
	now := wallclock.FromTime(wallclock.Now())
	known, err = a.ledger.Correct(c, now)
	if err != nil {
		return known, err
	}
	if !known {
		a.publisher.publish(usagereplica.Operation{Correction: &c, At: now})
	}
	return known, a.save(now)
}

// enqueue schedules fn to be called with the account, on the goroutine of the account. The error is
// ErrBusy.
func (m *Meter) enqueue(fn func(*accountStore)) error {
	select {
	case m.calls <- fn:
		return nil
	default:
		return ErrBusy
	}
}

// Close saves the account, and ends the goroutines of the meter. If the disk does not respond within the
// timeout, or up to twice that with replication, it returns an error of kind usage.no_room: the unsaved
// records are in the ring, and are counted at the next start. Record and RecordReplicated must not be
// called any more.
func (m *Meter) Close(timeout time.Duration) error {
	close(m.closing)
	if m.remoteDone != nil {
		select {
		case <-m.remoteDone:
		case <-time.After(timeout):
		}
	}
	select {
	case <-m.done:
		return errors.Join(unix.Munmap(m.mem), m.unlock())
	case <-time.After(timeout):
		return errDiskSlow
	}
}
