// Package reservation decides which of the processes of one runner runs an idempotency key, and which
// process is the successor of another (see Coordinator.Successor). The application implements
// lifecycle.Reservations with it. A new process is started beside the process that it replaces, and the
// two share nothing but a folder and the kernel. Each process appends its reservations to its own log, and
// holds a kernel lock on a file of its own as long as it is alive. To reserve a key, a process takes a lock
// that all processes share, reads the records that the others have written and, unless one of them has
// reserved the key, appends its reservation. Records carry checksums. A record that is incomplete because
// its writer was killed is ignored: the run that it reserved the key for never began. The logs also have a
// record of each Phase that a process enters.
package reservation

import (
	"fmt"
	"hash/fnv"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/telemetry/logging"
	"ryepaddle/internal/wallclock"
)

var (
	evProcessFound  = logging.Define("claims.process_found", slog.LevelInfo, "process", "lives", "keys")
	evProcessPhase  = logging.Define("claims.process_phase", slog.LevelInfo, "process", "phase", "later")
	evProcessExited = logging.Define("claims.process_exited", slog.LevelInfo, "process")
	evFailed        = logging.Define("claims.failed", slog.LevelError, "error")
)

const (
	// aloneInterval is the interval at which the logs of other processes are read while no other
	// process is alive, sharedInterval the one while another process is alive.
	aloneInterval  = 50 * time.Millisecond
	sharedInterval = 10 * time.Millisecond
	// lockRetryInterval is the wait before another attempt to take the shared lock, which is held for
	// microseconds unless its holder is not scheduled.
	lockRetryInterval = time.Millisecond
	// openTimeout is how long Open waits for the shared lock.
	openTimeout = 2 * time.Second
	// sweepInterval is the interval at which the files of exited processes are looked for and removed.
	sweepInterval = 5 * time.Second
)

// ErrPeerIncomplete reports that another process could not write its reservations, and that its keys
// are therefore not known.
var ErrPeerIncomplete error = faultPeerIncomplete.New("claims: another process could not write its reservations")

// ErrLockHeld reports that the lock could not be taken in time.
var ErrLockHeld error = faultLockHeld.New("claims: another process holds the lock")

// Clock is the time of the event loop.
type Clock interface {
	Now() time.Duration
	Unix() wallclock.UnixMicro
}

// Table is the table of idempotency keys of this process.
type Table interface {
	// ApplyRemote applies the record that another process has written about the run of a key.
	ApplyRemote(k lifecycle.KeyRecord)
	// ReleaseRemote applies the record that the run of a key in another process never began.
	ReleaseRemote(k lifecycle.KeyRecord)
	// OwnerDied reports that the process of an incarnation has exited. It is not known what became of
	// the runs whose end it has not written.
	OwnerDied(incarnation uint32)
	// EachOwned calls fn for each key that has not expired and whose run began in this process.
	EachOwned(fn func(lifecycle.KeyRecord))
}

// Config configures a coordinator.
type Config struct {
	Dir         string // the folder that all processes of the runner share
	Runner      string // identifies the runner among others in the folder
	Incarnation uint32 // identifies this process
	// Window is the longest time for which a key is remembered.
	Window time.Duration
	// MaxResultBytes bounds the total size of the results that are written when another process starts.
	MaxResultBytes int64
	// OnProcessesChanged is called with the number of other processes that are alive whenever it
	// changes; may be nil.
	OnProcessesChanged func(alive int)
	// OnSuccessorDrains is called once if this process is retiring and the last of its successors was
	// told to leave, with the time at which that process was told; may be nil.
	OnSuccessorDrains func(since wallclock.UnixMicro)
	After             func(d time.Duration, fn func()) // calls fn on the loop after d
}

// Coordinator writes the reservations of one process and reads those of the others. It owns the files of
// its process. Its methods are called on the loop.
type Coordinator struct {
	clock     Clock
	config    Config
	table     Table
	basePath  string   // common prefix of the paths of all files
	lock      *os.File // shared by all processes; nil once closed
	aliveLock *os.File // locked as long as this process is alive
	log       *os.File
	// generation is the number of the log. Each compaction increments it.
	generation   uint64
	size         int64 // of the log, in bytes
	compactBytes int64 // size above which the log is compacted
	// epoch is the last epoch that this process has written, or for which it has looked for logs.
	epoch         uint64
	processes     map[uint32]*otherProcess // by incarnation
	reportedAlive int                      // last number passed to OnProcessesChanged; -1: none yet
	phase         Phase                    // of this process
	phaseSince    wallclock.UnixMicro
	reportedDrain bool // OnSuccessorDrains was called
	// incomplete says that the log lacks reservations: the disk had no space for them, and no other
	// process was alive to read them.
	incomplete  bool
	sweptAt     time.Duration
	loggedError string // text of the last error, which is not logged again while it lasts
	frame       []byte // buffer for the encoded record
}

// otherProcess is another process of the runner and the state of reading its log.
type otherProcess struct {
	incarnation uint32
	generation  uint64
	log         *os.File
	aliveLock   *os.File // nil: the file is gone, and the process with it
	offset      int64    // in the log, up to which it has been read
	alive       bool
	phase       Phase
	phaseSince  wallclock.UnixMicro // 0 in Starting and Serving
	isLater     bool                // it began to serve after this process did
	records     int                 // number of records about keys that were read
}

// Open creates the files of this process. It reads what the other processes of the runner have reserved
// before it returns, and blocks for up to openTimeout. The caller must Close the coordinator.
func Open(clock Clock, config Config, table Table) (*Coordinator, error) {
	runnerHash := fnv.New64a()
	runnerHash.Write([]byte(config.Runner))
	c := &Coordinator{
		clock:         clock,
		config:        config,
		table:         table,
		basePath:      filepath.Join(config.Dir, fmt.Sprintf("ryepaddle-%016x", runnerHash.Sum64())),
		processes:     map[uint32]*otherProcess{},
		compactBytes:  minCompactBytes,
		reportedAlive: -1,
	}
	if err := c.open(); err != nil {
		c.Close()
		return nil, faultFolder.New("claims: %w", err)
	}
	c.reportAlive()
	c.poll()
	return c, nil
}

// open opens the files of this process and reads those of the others, under the shared lock.
func (c *Coordinator) open() (err error) {
	if c.lock, err = os.OpenFile(c.basePath+".lock", os.O_RDWR|os.O_CREATE, filePermissions); err != nil {
		return err
	}
	for began := time.Now(); !tryLock(c.lock); time.Sleep(lockRetryInterval) {
		if time.Since(began) > openTimeout {
			return ErrLockHeld
		}
	}
	defer unlock(c.lock)
	name := c.aliveName(c.config.Incarnation)
	if c.aliveLock, err = os.OpenFile(name, os.O_RDWR|os.O_CREATE|os.O_EXCL, filePermissions); err != nil {
		return err
	}
	if !tryLock(c.aliveLock) {
		return ErrLockHeld
	}
	if err = c.compact(nil); err != nil {
		return err
	}
	// compact has just set c.epoch, so readOthers would not search for the logs of earlier processes.
	return c.scan()
}

// Close closes all files. They are not removed, as other processes read them.
func (c *Coordinator) Close() {
	for _, f := range []*os.File{c.lock, c.log, c.aliveLock} {
		if f != nil {
			f.Close()
		}
	}
	for _, p := range c.processes {
		p.close()
	}
	c.lock = nil
}

func (p *otherProcess) close() {
	p.log.Close()
	if p.aliveLock != nil {
		p.aliveLock.Close()
	}
}

// Reserve reserves a key for a run that is about to begin. Under the shared lock, after it has read the
// records of other processes, it calls isFree, which reports whether the key is still available. It
// calls done once, now or later: reserved reports whether the key is reserved. After an error it is not
// known whether the key is reserved, and nothing may run. within bounds the wait for the lock.
func (c *Coordinator) Reserve(
	k lifecycle.KeyRecord,
	within time.Duration,
	isFree func() bool,
	done func(reserved bool, err error),
) {
	if c.lock == nil {
		done(false, os.ErrClosed)
		return
	}
	if !tryLock(c.lock) {
		if within < lockRetryInterval {
			done(false, ErrLockHeld)
			return
		}
		c.config.After(lockRetryInterval, func() { c.Reserve(k, within-lockRetryInterval, isFree, done) })
		return
	}
	reserved, err := c.reserveLocked(k, isFree)
	unlock(c.lock)
	if c.aliveCount() != c.reportedAlive { // a process was found
		c.config.After(0, c.reportAlive)
	}
	if !c.incomplete {
		c.logError(err)
	}
	done(reserved && err == nil, err)
}

// reserveLocked is Reserve under the shared lock.
func (c *Coordinator) reserveLocked(k lifecycle.KeyRecord, isFree func() bool) (reserved bool, err error) {
	if err := c.readOthers(); err != nil {
		return false, err
	}
	for _, p := range c.processes {
		if p.offset == 0 { // a log without keys has a record too
			return false, ErrPeerIncomplete
		}
	}
	c.compactIfLarge()
	if !isFree() {
		return false, nil
	}
	return true, c.appendReservation(k)
}

// IsAlone reports whether no other process is alive. A process that has just started counts before its log was read.
func (c *Coordinator) IsAlone() bool {
	return c.aliveCount() == 0 && (c.lock == nil || c.readEpoch() == c.epoch)
}

// compactIfLarge compacts the log if it is too large. It must be called before a reservation is written,
// as the table does not contain the new reservation yet. If the disk has no space for another log, the
// run is not rejected: the log is kept, and may grow to twice the size.
func (c *Coordinator) compactIfLarge() {
	if c.size <= c.compactBytes {
		return
	}
	if err := c.compact(c.table.EachOwned); err != nil {
		c.compactBytes *= 2
		c.logError(err)
	}
}

// logError logs an error unless it has the same text as the last one.
func (c *Coordinator) logError(err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	if text != c.loggedError && text != "" {
		evFailed.Log(err)
	}
	c.loggedError = text
}

// Ended writes the end of a run, for duplicates that wait for it in other processes.
func (c *Coordinator) Ended(k lifecycle.KeyRecord) {
	if c.aliveCount() > 0 {
		c.logError(c.append(c.record(k)))
	}
}

// Released writes that a run whose key was reserved never began.
func (c *Coordinator) Released(k lifecycle.KeyRecord) {
	c.logError(c.append(releasedRecord(k, c.clock.Unix())))
}

// aliveCount returns how many other processes are alive.
func (c *Coordinator) aliveCount() (n int) {
	for _, p := range c.processes {
		if p.alive {
			n++
		}
	}
	return n
}
