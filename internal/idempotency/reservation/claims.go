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
	evJoined = logging.Define("claims.joined", slog.LevelInfo, "process", "lives", "keys")
	evGone   = logging.Define("claims.gone", slog.LevelInfo, "process")
	evFailed = logging.Define("claims.failed", slog.LevelError, "error")
)

const (
	pollAlone = 50 * time.Millisecond
	pollOften = 10 * time.Millisecond // while another process lives
	// a lock that is held is free within microseconds, unless its holder was not given a core
	tryAgain   = time.Millisecond
	openWithin = 2 * time.Second
	newLogFrom = 256 << 10
	sweepEvery = 5 * time.Second
	readPart   = 64 << 10
)

// ErrPeerIncomplete tells that another process could not write what it claimed: its keys are not known.
var ErrPeerIncomplete error = unwritten.New("claims: another process could not write its claims")

// ErrLockHeld tells that the lock was not to be had in time.
var ErrLockHeld error = held.New("claims: another process holds the lock")

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
	loop   Loop
	cfg    Config
	table  Table
	base   string // path of all files, up to what tells them apart
	lock   *os.File
	alive  *os.File
	log    *os.File
	gen    uint64
	size   int64 // of the log
	least  int64 // size from which on it is written anew
	epoch  uint64
	peers  map[uint32]*peer
	told   int
	serves bool // this process takes connections
	lost   bool // the log does not hold all claims: there was no room, and nobody to read it
	swept  time.Duration
	down   string // why nothing can be claimed, as was told last
	frame  []byte
}

// peer is another process.
type peer struct {
	life   uint32
	gen    uint64
	log    *os.File
	alive  *os.File
	at     int64
	living bool
	ready  bool
	keys   int
}

// Open takes part among the processes of the runner. What the others have claimed is read before it
// returns.
func Open(l Loop, cfg Config, table Table) (*Coordinator, error) {
	h := fnv.New64a()
	h.Write([]byte(cfg.Runner))
	g := &Coordinator{
		loop:  l,
		cfg:   cfg,
		table: table,
		base:  filepath.Join(cfg.Dir, fmt.Sprintf("ryepaddle-%016x", h.Sum64())),
		peers: map[uint32]*peer{},
		least: newLogFrom,
		told:  -1,
	}
	if err := g.open(); err != nil {
		g.Close()
		return nil, folder.New("claims: %w", err)
	}
	g.tell()
	g.poll()
	return g, nil
}

func (g *Coordinator) open() (err error) {
	if g.lock, err = os.OpenFile(g.base+".lock", os.O_RDWR|os.O_CREATE, 0o600); err != nil {
		return err
	}
	for began := time.Now(); !hold(g.lock); time.Sleep(time.Millisecond) {
		if time.Since(began) > openWithin {
			return ErrLockHeld
		}
	}
	defer release(g.lock)
	if g.alive, err = os.OpenFile(g.aliveName(g.cfg.Incarnation), os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o600); err != nil {
		return err
	}
	if !hold(g.alive) {
		return ErrLockHeld
	}
	if err = g.newLog(nil); err != nil {
		return err
	}
	// the number is of this process's own making, and tells nothing of what was there before
	return g.scan()
}

// Close gives everything back but the files, which the others go by.
func (g *Coordinator) Close() {
	for _, f := range []*os.File{g.lock, g.log, g.alive} {
		if f != nil {
			f.Close()
		}
	}
	for _, p := range g.peers {
		p.close()
	}
	g.lock = nil
}

func (p *peer) close() {
	p.log.Close()
	if p.alive != nil {
		p.alive.Close()
	}
}

// hold takes a kernel lock, if it is free. It goes with the process that has it.
func hold(f *os.File) bool { return unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB) == nil }
func release(f *os.File)   { _ = unix.Flock(int(f.Fd()), unix.LOCK_UN) }

// isHeld tells whether another process holds the lock of a file.
func isHeld(f *os.File) bool {
	if unix.Flock(int(f.Fd()), unix.LOCK_SH|unix.LOCK_NB) != nil {
		return true
	}
	release(f)
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
	if !hold(g.lock) {
		if within < tryAgain {
			done(false, ErrLockHeld)
			return
		}
		g.cfg.After(tryAgain, func() { g.Reserve(k, within-tryAgain, free, done) })
		return
	}
	mine := false
	err := g.look()
	if err == nil {
		for _, p := range g.peers {
			if p.at == 0 {
				err = ErrPeerIncomplete
			}
		}
	}
	if err == nil && g.size > g.least {
		// Before the claim and not behind it: the table does not have it yet. The log may stay as
		// long as it is: that the disk has no room for another is no reason to turn a run away.
		if e := g.newLog(g.table.EachOwned); e != nil {
			g.least *= 2
			g.failed(e)
		}
	}
	if err == nil {
		if mine = free(); mine {
			err = g.write(k)
		}
	}
	release(g.lock)
	if !g.lost {
		g.failed(err)
	}
	done(mine && err == nil, err)
}

// failed tells of an error that was not there before.
func (g *Coordinator) failed(err error) {
	why := ""
	if err != nil {
		why = err.Error()
	}
	if why != g.down && why != "" {
		evFailed.Log(err)
	}
	g.down = why
}

// Ended has an end written, for those who wait for it in other processes.
func (g *Coordinator) Ended(k lifecycle.KeyRecord) {
	if g.living() > 0 {
		g.failed(g.append(g.record(k)))
	}
}

// Released has it written that a run which was claimed never began.
func (g *Coordinator) Released(k lifecycle.KeyRecord) {
	g.failed(g.append(persistence.ToRecord(store.KeyReleased, k, g.loop.Unix())))
}

// MarkServing has it written that this process takes connections.
func (g *Coordinator) MarkServing() {
	g.serves = true
	g.failed(g.append(&store.Record{Kind: store.SyncMark}))
}

// living is how many other processes live.
func (g *Coordinator) living() (n int) {
	for _, p := range g.peers {
		if p.living {
			n++
		}
	}
	return n
}

// OtherProcesses tells how many other processes live now, and whether one of them serves.
func (g *Coordinator) OtherProcesses() (living int, serves bool) {
	if g.lock != nil { // what came since the last poll counts
		g.failed(g.look())
		g.tell()
	}
	for _, p := range g.peers {
		serves = serves || p.living && p.ready
	}
	return g.living(), serves
}

// poll reads what others write as long as the ledger is open.
func (g *Coordinator) poll() {
	if g.lock == nil {
		return
	}
	if err := g.look(); err != nil || !g.lost {
		g.failed(err)
	}
	wait := pollAlone
	if g.tell(); g.living() > 0 {
		wait = pollOften
	}
	if now := g.loop.Now(); now > g.swept+sweepEvery && hold(g.lock) {
		g.swept = now
		g.sweep()
		release(g.lock)
	}
	g.cfg.After(wait, g.poll)
}

// tell tells how many others live. To one that is new all that is known is written.
func (g *Coordinator) tell() {
	n := g.living()
	if n == g.told {
		return
	}
	grown := n > max(g.told, 0) && g.told >= 0
	if g.told = n; grown {
		left := g.cfg.MaxResultBytes
		g.table.EachOwned(func(k lifecycle.KeyRecord) {
			if r := g.record(k); k.Ended && left > 0 {
				if r.Result != nil {
					left -= int64(len(r.Result.Body))
				}
				g.failed(g.append(r))
			}
		})
	}
	if g.cfg.OnProcessesChanged != nil {
		g.cfg.OnProcessesChanged(n)
	}
}

// look reads what others have written since it was read last.
func (g *Coordinator) look() error {
	if e := g.readEpoch(); e != g.epoch {
		if err := g.scan(); err != nil {
			return err
		}
		g.epoch = e
	}
	for life, p := range g.peers {
		was := p.living
		p.living = p.living && isHeld(p.alive)
		if err := g.read(p); err != nil { // after it was seen to be dead, so that all is read
			return err
		}
		if was && !p.living {
			evGone.Log(fmt.Sprintf("%08x", life))
			g.table.OwnerDied(life)
		}
	}
	return nil
}

// scan finds the logs of others.
func (g *Coordinator) scan() error {
	files, err := os.ReadDir(g.cfg.Dir)
	if err != nil {
		return err
	}
	for _, f := range files {
		name := filepath.Join(g.cfg.Dir, f.Name())
		life, gen, ok := g.parse(name)
		p := g.peers[life]
		if !ok || life == g.cfg.Incarnation || p != nil && p.gen >= gen {
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
			p.log, p.gen, p.at = log, gen, 0
			continue
		}
		p = &peer{life: life, gen: gen, log: log}
		if p.alive, err = os.Open(g.aliveName(life)); err == nil {
			p.living = isHeld(p.alive)
		}
		g.peers[life] = p
		if err := g.read(p); err != nil {
			return err
		}
		if evJoined.Log(fmt.Sprintf("%08x", life), p.living, p.keys); !p.living {
			g.table.OwnerDied(life)
		}
	}
	return nil
}

// sweep removes files of the dead of which no key can be asked for any more. The shared lock is
// held.
func (g *Coordinator) sweep() {
	old := time.Now().Add(-g.cfg.Window)
	for life, p := range g.peers {
		st, err := p.log.Stat()
		if p.living || err == nil && st.ModTime().After(old) {
			continue
		}
		p.close()
		delete(g.peers, life)
		os.Remove(p.log.Name())
		os.Remove(g.logName(life, p.gen+1) + ".new") // it was killed as it wrote that
		os.Remove(g.aliveName(life))
	}
}
