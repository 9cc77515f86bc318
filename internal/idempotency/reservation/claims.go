// Package claims settles among the processes of one runner which of them runs a key. A new process
// is started beside the one that it replaces; all that they share is a folder and the kernel. Each
// appends the claims of its runs to a log of its own, and holds a kernel lock on a file of its own
// for as long as it lives. A claim is made under a lock that all share: first what the others have
// written is read, and then, if the key is not theirs, the claim is written. Records carry
// checksums: one that its writer was killed over is no record, and what it would have claimed never
// ran.
package reservation

import (
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sys/unix"

	"ryepaddle/internal/idempotency/persistence"
	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/telemetry/logging"
	"ryepaddle/internal/wallclock"
)

// What is told to operators.
var (
	evProcessFound  = logging.Define("claims.process_found", slog.LevelInfo, "process", "lives", "keys")
	evProcessExited = logging.Define("claims.process_exited", slog.LevelInfo, "process")
	evFailed        = logging.Define("claims.failed", slog.LevelError, "error")
)

const (
	aloneInterval  = 50 * time.Millisecond
	sharedInterval = 10 * time.Millisecond // while another process lives
	// a lock that is held is free within microseconds, unless its holder was not given a core
	lockRetryInterval = time.Millisecond
	openTimeout       = 2 * time.Second
	minCompactBytes   = 256 << 10
	sweepInterval     = 5 * time.Second
	readChunkBytes    = 64 << 10
)

// ErrPeerIncomplete tells that another process could not write what it claimed: its keys are not known.
var ErrPeerIncomplete error = faultPeerIncomplete.New("claims: another process could not write its claims")

// ErrLockHeld tells that the lock was not to be had in time.
var ErrLockHeld error = faultLockHeld.New("claims: another process holds the lock")

// Loop is what is needed of the event loop.
type Loop interface {
	Now() time.Duration
	Unix() wallclock.UnixMicro
}

// Table is the table of keys of this process.
type Table interface {
	// ApplyRemote takes what another process has written of a key; forgotten: its run never began.
	ApplyRemote(k lifecycle.KeyRecord, forgotten bool)
	// OwnerDied tells that the process of a life is dead: what it has not written an end of may have
	// run.
	OwnerDied(life uint32)
	// EachOwned gives what is known of keys whose runs this process began, whose window is not over.
	EachOwned(fn func(lifecycle.KeyRecord))
}

// Config is where claims are kept, and for whom.
type Config struct {
	Dir            string // that all processes of the runner have
	Runner         string // tells its processes from those of others
	Incarnation    uint32
	Window         time.Duration // the longest for which a key is remembered
	MaxResultBytes int64         // bytes of results that are written when another process comes
	// OtherProcesses is told how many other processes live, whenever that changes.
	OnProcessesChanged func(living int)
	After              func(d time.Duration, fn func())
}

// Coordinator is the claims of one process, and what it has read of the others'.
type Coordinator struct {
	loop           Loop
	config         Config
	table          Table
	basePath       string // path of all files, up to what tells them apart
	lock           *os.File
	aliveLock      *os.File
	log            *os.File
	generation     uint64
	size           int64 // of the log
	compactBytes   int64 // size from which on it is written anew
	epoch          uint64
	processes      map[uint32]*otherProcess
	reportedLiving int
	serving        bool // this process takes connections
	incomplete     bool // the log does not hold all claims: there was no room, and nobody to read it
	sweptAt        time.Duration
	loggedError    string // why nothing can be claimed, as was told last
	frame          []byte
}

// otherProcess is another process.
type otherProcess struct {
	incarnation uint32
	generation  uint64
	log         *os.File
	aliveLock   *os.File
	offset      int64
	living      bool
	serving     bool
	records     int
}

// Open takes part among the processes of the runner. What the others have claimed is read before it
// returns.
func Open(l Loop, cfg Config, table Table) (*Coordinator, error) {
	h := fnv.New64a()
	h.Write([]byte(cfg.Runner))
	g := &Coordinator{
		loop:           l,
		config:         cfg,
		table:          table,
		basePath:       filepath.Join(cfg.Dir, fmt.Sprintf("ryepaddle-%016x", h.Sum64())),
		processes:      map[uint32]*otherProcess{},
		compactBytes:   minCompactBytes,
		reportedLiving: -1,
	}
	if err := g.open(); err != nil {
		g.Close()
		return nil, faultFolder.New("claims: %w", err)
	}
	g.reportLiving()
	g.poll()
	return g, nil
}

func (g *Coordinator) open() (err error) {
	if g.lock, err = os.OpenFile(g.basePath+".lock", os.O_RDWR|os.O_CREATE, 0o600); err != nil {
		return err
	}
	for began := time.Now(); !tryLock(g.lock); time.Sleep(time.Millisecond) {
		if time.Since(began) > openTimeout {
			return ErrLockHeld
		}
	}
	defer unlock(g.lock)
	if g.aliveLock, err = os.OpenFile(g.aliveName(g.config.Incarnation), os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o600); err != nil {
		return err
	}
	if !tryLock(g.aliveLock) {
		return ErrLockHeld
	}
	if err = g.compact(nil); err != nil {
		return err
	}
	// the number is of this process's own making, and tells nothing of what was there before
	return g.scan()
}

// Close gives everything back but the files, which the others go by.
func (g *Coordinator) Close() {
	for _, f := range []*os.File{g.lock, g.log, g.aliveLock} {
		if f != nil {
			f.Close()
		}
	}
	for _, p := range g.processes {
		p.close()
	}
	g.lock = nil
}

func (p *otherProcess) close() {
	p.log.Close()
	if p.aliveLock != nil {
		p.aliveLock.Close()
	}
}

// tryLock takes a kernel lock, if it is free. It goes with the process that has it.
func tryLock(f *os.File) bool { return unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB) == nil }
func unlock(f *os.File)       { _ = unix.Flock(int(f.Fd()), unix.LOCK_UN) }

// isLocked tells whether another process holds the lock of a file.
func isLocked(f *os.File) bool {
	if unix.Flock(int(f.Fd()), unix.LOCK_SH|unix.LOCK_NB) != nil {
		return true
	}
	unlock(f)
	return false
}

// Reserve has it written that a run begins. Under the lock, once what others have written is read,
// free is asked whether the key is still ours. Done is called once, with whether it is; an error:
// it is not known, and nothing may run.
func (g *Coordinator) Reserve(k lifecycle.KeyRecord, within time.Duration, free func() bool, done func(mine bool, err error)) {
	if g.lock == nil {
		done(false, os.ErrClosed)
		return
	}
	if !tryLock(g.lock) {
		if within < lockRetryInterval {
			done(false, ErrLockHeld)
			return
		}
		g.config.After(lockRetryInterval, func() { g.Reserve(k, within-lockRetryInterval, free, done) })
		return
	}
	mine := false
	err := g.readOthers()
	if err == nil {
		for _, p := range g.processes {
			if p.offset == 0 {
				err = ErrPeerIncomplete
			}
		}
	}
	if err == nil && g.size > g.compactBytes {
		// Before the claim and not behind it: the table does not have it yet. The log may stay as
		// long as it is: that the disk has no room for another is no reason to turn a run away.
		if e := g.compact(g.table.EachOwned); e != nil {
			g.compactBytes *= 2
			g.logError(e)
		}
	}
	if err == nil {
		if mine = free(); mine {
			err = g.appendReservation(k)
		}
	}
	unlock(g.lock)
	if !g.incomplete {
		g.logError(err)
	}
	done(mine && err == nil, err)
}

// logError tells of an error that was not there before.
func (g *Coordinator) logError(err error) {
	why := ""
	if err != nil {
		why = err.Error()
	}
	if why != g.loggedError && why != "" {
		evFailed.Log(err)
	}
	g.loggedError = why
}

// Ended has an end written, for those who wait for it in other processes.
func (g *Coordinator) Ended(k lifecycle.KeyRecord) {
	if g.living() > 0 {
		g.logError(g.append(g.record(k)))
	}
}

// Released has it written that a run which was claimed never began.
func (g *Coordinator) Released(k lifecycle.KeyRecord) {
	g.logError(g.append(persistence.ToRecord(store.KeyReleased, k, g.loop.Unix())))
}

// MarkServing has it written that this process takes connections.
func (g *Coordinator) MarkServing() {
	g.serving = true
	g.logError(g.append(&store.Record{Kind: store.SyncMark}))
}

// living is how many other processes live.
func (g *Coordinator) living() (n int) {
	for _, p := range g.processes {
		if p.living {
			n++
		}
	}
	return n
}

// OtherProcesses tells how many other processes live now, and whether one of them serves.
func (g *Coordinator) OtherProcesses() (living int, serves bool) {
	if g.lock != nil { // what came since the last poll counts
		g.logError(g.readOthers())
		g.reportLiving()
	}
	for _, p := range g.processes {
		serves = serves || p.living && p.serving
	}
	return g.living(), serves
}

// poll reads what others write as long as the ledger is open.
func (g *Coordinator) poll() {
	if g.lock == nil {
		return
	}
	if err := g.readOthers(); err != nil || !g.incomplete {
		g.logError(err)
	}
	wait := aloneInterval
	if g.reportLiving(); g.living() > 0 {
		wait = sharedInterval
	}
	if now := g.loop.Now(); now > g.sweptAt+sweepInterval && tryLock(g.lock) {
		g.sweptAt = now
		g.sweep()
		unlock(g.lock)
	}
	g.config.After(wait, g.poll)
}

// reportLiving tells how many others live. To one that is new all that is known is written.
func (g *Coordinator) reportLiving() {
	n := g.living()
	if n == g.reportedLiving {
		return
	}
	grown := n > max(g.reportedLiving, 0) && g.reportedLiving >= 0
	if g.reportedLiving = n; grown {
		left := g.config.MaxResultBytes
		g.table.EachOwned(func(k lifecycle.KeyRecord) {
			if r := g.record(k); k.Ended && left > 0 {
				if r.Result != nil {
					left -= int64(len(r.Result.Body))
				}
				g.logError(g.append(r))
			}
		})
	}
	if g.config.OnProcessesChanged != nil {
		g.config.OnProcessesChanged(n)
	}
}

// readOthers reads what others have written since it was read last.
func (g *Coordinator) readOthers() error {
	if e := g.readEpoch(); e != g.epoch {
		if err := g.scan(); err != nil {
			return err
		}
		g.epoch = e
	}
	for life, p := range g.processes {
		was := p.living
		p.living = p.living && isLocked(p.aliveLock)
		if err := g.read(p); err != nil { // after it was seen to be dead, so that all is read
			return err
		}
		if was && !p.living {
			evProcessExited.Log(fmt.Sprintf("%08x", life))
			g.table.OwnerDied(life)
		}
	}
	return nil
}

// scan finds the logs of others.
func (g *Coordinator) scan() error {
	files, err := os.ReadDir(g.config.Dir)
	if err != nil {
		return err
	}
	for _, f := range files {
		name := filepath.Join(g.config.Dir, f.Name())
		life, gen, ok := g.parseLogName(name)
		p := g.processes[life]
		if !ok || life == g.config.Incarnation || p != nil && p.generation >= gen {
			continue
		}
		log, err := os.Open(name)
		if errors.Is(err, os.ErrNotExist) { // it is written anew just now, and there is another
			continue
		}
		if err != nil {
			return err
		}
		if p != nil {
			if err := g.read(p); err != nil {
				log.Close()
				return err
			}
			p.log.Close()
			p.log, p.generation, p.offset = log, gen, 0
			continue
		}
		p = &otherProcess{incarnation: life, generation: gen, log: log}
		if p.aliveLock, err = os.Open(g.aliveName(life)); err == nil {
			p.living = isLocked(p.aliveLock)
		}
		g.processes[life] = p
		if err := g.read(p); err != nil {
			return err
		}
		if evProcessFound.Log(fmt.Sprintf("%08x", life), p.living, p.records); !p.living {
			g.table.OwnerDied(life)
		}
	}
	return nil
}

// sweep removes files of the dead of which no key can be asked for any more. The shared lock is
// held.
func (g *Coordinator) sweep() {
	old := time.Now().Add(-g.config.Window)
	for life, p := range g.processes {
		st, err := p.log.Stat()
		if p.living || err == nil && st.ModTime().After(old) {
			continue
		}
		p.close()
		delete(g.processes, life)
		os.Remove(p.log.Name())
		os.Remove(g.logName(life, p.generation+1) + ".new") // it was killed as it wrote that
		os.Remove(g.aliveName(life))
	}
}
