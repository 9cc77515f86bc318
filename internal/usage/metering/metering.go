// Package metering has an account of usage kept beside the loop: uses go through memory that
// outlives a kill, the account and its statements onto a disk. A disk that is slow or fails costs
// nobody an answer; what is not counted for it is told.
package metering

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/peers/usagereplica"
	"ryepaddle/internal/telemetry/logging"
	"ryepaddle/internal/usage/ledger"
	"ryepaddle/internal/wallclock"
)

// What is told to operators.
var (
	evOpened = logging.Define(
		"usage.opened",
		slog.LevelInfo,
		"folder",
		"account",
		"statements",
		"through",
		"left",
		"missing",
	)
	evExported   = logging.Define("usage.exported", slog.LevelInfo, "file")
	evDiskFailed = logging.Define("usage.disk_failed", slog.LevelError, "error")
	evDiskBack   = logging.Define("usage.disk_back", slog.LevelInfo, "ms")
	evLost       = logging.Define("usage.lost", slog.LevelError, "uses", "why")
)

// Options are how an account is kept. Times are microseconds.
type Options struct {
	Dir          string
	Settings     ledger.Settings
	RingCapacity int   // uses in memory that are not yet on the disk
	SaveInterval int64 // between two keeps
	Replicated   bool  // others are told of it: see Join
}

// look is how often the ring is looked into, and retry how long a disk that failed is left alone.
const (
	look  = 100 * time.Millisecond
	retry = time.Second
)

// Meter keeps the account of a running program. Note is called on the loop, the others from
// anywhere.
type Meter struct {
	name   string
	dir    store.Dir
	ring   *ledger.Ring
	mem    []byte
	post   *box // for the account
	estate *box // for those of others
	began  time.Time
	join   ReplicationConfig
	waits  []promise
	ended  chan struct{} // of who knows accounts of others; nil: nobody does
	mu     sync.Mutex
	stands ReplicationStatus
	unlock func() error
	asks   chan func(*desk)
	end    chan struct{}
	done   chan struct{}
}

// Start goes on with the account of a folder, or begins one. A folder that is damaged, of another
// instance or in use is an error.
func Start(opt Options) (*Meter, error) {
	dir := store.Dir(opt.Dir)
	unlock, err := dir.Lock()
	if err != nil {
		return nil, err
	}
	m := &Meter{
		name:   opt.Settings.Instance,
		dir:    dir,
		began:  time.Now(),
		post:   newBox(),
		estate: newBox(),
		unlock: unlock,
		asks:   make(chan func(*desk), 16),
		end:    make(chan struct{}),
		done:   make(chan struct{}),
	}
	d, f, err := m.open(dir, opt)
	if err != nil {
		return nil, errors.Join(err, unlock())
	}
	s := d.led.Summary()
	evOpened.Log(opt.Dir, s.Incarnation, s.Statements, s.SealedThrough/1_000_000, f.Left, f.Missing)
	if f.Missing > 0 {
		evLost.Log(f.Missing, "the machine went down before they were on the disk")
	}
	if f.Ring != nil {
		evLost.Log("unknown", f.Ring)
	}
	go m.run(d)
	return m, nil
}

func (m *Meter) open(dir store.Dir, opt Options) (*desk, found, error) {
	path := filepath.Join(opt.Dir, ringFile)
	old, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, found{}, err
	}
	boot, powered := bootID(), false
	if was, err := os.ReadFile(filepath.Join(opt.Dir, "boot")); err == nil {
		powered = boot != "" && strings.TrimSpace(string(was)) == boot
	}
	var life [6]byte
	_, _ = rand.Read(life[:]) // it does not fail
	now := wallclock.Now().UnixMicro()
	d, f, err := openDesk(
		dir,
		opt.Settings,
		opt.SaveInterval,
		now,
		hex.EncodeToString(life[:]),
		old,
		powered,
		opt.Replicated,
	)
	if err != nil {
		return nil, f, err
	}
	if err := os.WriteFile(filepath.Join(opt.Dir, "boot"), []byte(boot+"\n"), 0o600); err != nil {
		return nil, f, err
	}
	// What the old ring held is in the state now. The new one takes its place whole.
	if m.mem, err = mapped(path+newMark, ledger.RingSize(opt.RingCapacity)); err != nil {
		return nil, f, err
	}
	m.ring = ledger.NewRing(m.mem, d.led.Incarnation(), d.taken)
	if err := os.Rename(path+newMark, path); err != nil {
		return nil, f, errors.Join(err, unix.Munmap(m.mem))
	}
	d.ring = m.ring
	return d, f, nil
}

// bootID tells one run of the machine from another; empty: it cannot be told.
func bootID() string {
	b, _ := os.ReadFile("/proc/sys/kernel/random/boot_id")
	return strings.TrimSpace(string(b))
}

// mapped makes a file of noughts and maps it. Its pages are there before the loop writes to them.
func mapped(path string, size int) ([]byte, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	// The blocks are taken now: a page that finds no room on the disk when it is written to ends
	// the process.
	if err := unix.Fallocate(int(f.Fd()), 0, 0, int64(size)); err != nil {
		return nil, account.New("usage: %s: %w", path, err)
	}
	return unix.Mmap(int(f.Fd()), 0, size, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED|unix.MAP_POPULATE)
}

// Record counts a use. It takes less than a microsecond, and outlives a kill of the process.
func (m *Meter) Record(u ledger.Record) { m.ring.Put(u) }

// Inspect has fn look at the account beside the loop.
func (m *Meter) Inspect(fn func(*ledger.Ledger)) error { return m.ask(func(d *desk) { fn(d.led) }) }

// Correct takes a correction, and tells done once it is on the disk, and known to others if any are
// told, or why not; known: it had been taken before.
func (m *Meter) Correct(c ledger.Correction, done func(known bool, err error)) error {
	return m.ask(func(d *desk) {
		now := wallclock.Now().UnixMicro()
		known, err := d.led.Correct(c, now)
		if err == nil && !known {
			d.copied.step(usagereplica.Operation{Correction: &c, At: now})
		}
		if err == nil {
			// also of a known one: what failed to be kept is known in memory alone
			err = d.keep(now)
		}
		if err != nil {
			done(known, err)
			return
		}
		d.copied.once(m.mono()+correctWithin, func(err error) { done(known, err) })
	})
}

// ErrBusy is that of a question that finds others waiting.
var ErrBusy error = busy.New("usage: too many questions wait for the disk")

func (m *Meter) ask(fn func(*desk)) error {
	select {
	case m.asks <- fn:
		return nil
	default:
		return ErrBusy
	}
}

func (m *Meter) run(d *desk) {
	defer close(m.done)
	tick := time.NewTicker(look)
	defer tick.Stop()
	var failed time.Time // the disk did, at first
	var next time.Time
	lost := uint64(0)
	step := func() {
		err := d.step(wallclock.Now().UnixMicro())
		for _, name := range d.told() {
			evExported.Log(name)
			if d.copied != nil {
				m.estate.named(name)
			}
		}
		if d.lost != lost {
			evLost.Log(d.lost-lost, "the disk did not take what was counted before")
			lost = d.lost
		}
		switch {
		case err != nil:
			if failed.IsZero() {
				failed = time.Now()
				evDiskFailed.Log(err)
			}
			next = time.Now().Add(retry)
		case !failed.IsZero():
			evDiskBack.Log(time.Since(failed).Milliseconds())
			failed = time.Time{}
		}
	}
	for {
		select {
		case <-tick.C:
			if !time.Now().Before(next) {
				step()
			}
			m.tell(d, true)
		case <-m.post.kick:
			d.take()
			m.tell(d, false)
		case fn := <-m.asks:
			if !time.Now().Before(next) {
				step()
			}
			fn(d)
			m.tell(d, false)
		case <-m.end:
			step()
			if d.dirty {
				if err := d.keep(wallclock.Now().UnixMicro()); err != nil {
					evDiskFailed.Log(err)
				}
			}
			return
		}
	}
}

// Close has all that was counted on the disk, unless that takes too long: then it is in the ring,
// and counted at the next start. No more is noted by then.
func (m *Meter) Close(within time.Duration) error {
	close(m.end)
	if m.ended != nil {
		select {
		case <-m.ended:
		case <-time.After(within):
		}
	}
	select {
	case <-m.done:
		return errors.Join(unix.Munmap(m.mem), m.unlock())
	case <-time.After(within):
		return noRoom.New("usage: the disk does not answer; what was counted is counted at the next start")
	}
}
