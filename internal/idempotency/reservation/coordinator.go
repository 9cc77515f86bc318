// Package reservation decides among the processes of one runner which of them runs an idempotency
// key, for the lifecycle.Reservations of the application. A new process is started beside the one
// that it replaces; they share only a folder and the kernel. Each appends its reservations to a log
// of its own, and holds a kernel lock on a file of its own as long as it is alive. A reservation is
// made under a lock that all share: the process reads what the others have written, and then,
// unless one of them has the key, writes the reservation. Records carry checksums: one that is
// incomplete because its writer was killed is ignored, and its run never began.
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
	evProcessExited = logging.Define("claims.process_exited", slog.LevelInfo, "process")
	evFailed        = logging.Define("claims.failed", slog.LevelError, "error")
)

const (
	// aloneInterval and sharedInterval are how often the logs of others are read: while no other
	// process is alive, and while one is.
	aloneInterval  = 50 * time.Millisecond
	sharedInterval = 10 * time.Millisecond
	// lockRetryInterval is the wait for the shared lock, which is held for microseconds unless its
	// holder is not scheduled.
	lockRetryInterval = time.Millisecond
	// openTimeout bounds the wait of Open for the shared lock.
	openTimeout = 2 * time.Second
	// sweepInterval is how often files of exited processes are looked for.
	sweepInterval = 5 * time.Second
)

// ErrPeerIncomplete reports that another process could not write its reservations, so that its keys
// are not known.
var ErrPeerIncomplete error = faultPeerIncomplete.New("claims: another process could not write its claims")

// ErrLockHeld reports that the lock could not be taken in time.
var ErrLockHeld error = faultLockHeld.New("claims: another process holds the lock")

// Clock is the time of the event loop.
type Clock interface {
	Now() time.Duration
	Unix() wallclock.UnixMicro
}

// Table is the table of idempotency keys of this process.
type Table interface {
	// ApplyRemote takes what another process has written about a key. With released, the run never
	// began.
	ApplyRemote(k lifecycle.KeyRecord, released bool)
	// OwnerDied reports that the process of an incarnation has exited. Its runs whose end it has
	// not written may have run.
	OwnerDied(incarnation uint32)
	// EachOwned calls fn for each key whose run this process has begun and that has not expired.
	EachOwned(fn func(lifecycle.KeyRecord))
}

// Config configures a coordinator.
type Config struct {
	Dir         string // the folder that all processes of the runner share
	Runner      string // identifies the runner among others in the folder
	Incarnation uint32 // identifies this process
	// Window is the longest time for which a key is remembered.
	Window time.Duration
	// MaxResultBytes bounds the results that are written when another process appears.
	MaxResultBytes int64
	// OnProcessesChanged is called with the number of other processes that are alive whenever it
	// changes; may be nil.
	OnProcessesChanged func(alive int)
	After              func(d time.Duration, fn func()) // the loop's timer
}

// Coordinator holds the reservations of one process, and reads those of the others. It owns its
// files. Its methods are called on the loop.
type Coordinator struct {
	clock     Clock
	config    Config
	table     Table
	basePath  string   // the common beginning of the paths of all files
	lock      *os.File // shared by all processes; nil once closed
	aliveLock *os.File // locked as long as this process is alive
	log       *os.File
	// generation is the number of the log, which grows when it is compacted.
	generation   uint64
	size         int64 // of the log
	compactBytes int64 // size from which on the log is compacted
	// epoch is the number in the lock's file that grows whenever a log appears.
	epoch         uint64
	processes     map[uint32]*otherProcess // by incarnation
	reportedAlive int                      // -1: none was reported
	serving       bool                     // this process accepts connections
	// incomplete says that the log lacks reservations: there was no room for them, and no other
	// process to read them.
	incomplete  bool
	sweptAt     time.Duration
	loggedError string // the last error, which is not logged again
	frame       []byte
}

// otherProcess is another process of the runner, and how far its log is read.
type otherProcess struct {
	incarnation uint32
	generation  uint64
	log         *os.File
	aliveLock   *os.File // nil: the file is gone, and so is the process
	offset      int64    // in the log, up to which it is read
	alive       bool
	serving     bool // it accepts connections
	records     int
}

// Open joins the processes of the runner. It reads what they have reserved before it returns, and
// blocks for up to openTimeout. The caller must Close the coordinator.
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
	// compact has just set the epoch, which therefore does not show files of earlier processes
	return c.scan()
}

// Close closes all files. They stay in the folder, as other processes read them.
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

// Reserve reserves a key for a run that is about to begin. Under the shared lock, after it has read
// what others have written, it calls isFree, which reports whether the key is still available. It
// calls done once, now or later: reserved reports whether the key is reserved. After an error that
// is not known, and nothing may run. within bounds the wait for the lock.
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
		if p.offset == 0 { // even an empty log has a first record
			return false, ErrPeerIncomplete
		}
	}
	c.compactIfLarge()
	if !isFree() {
		return false, nil
	}
	return true, c.appendReservation(k)
}

// compactIfLarge compacts the log. It is called before a reservation is written, as the table does
// not hold that yet. A disk without room for another log is no reason to reject the run: the log
// may stay as large as it is.
func (c *Coordinator) compactIfLarge() {
	if c.size <= c.compactBytes {
		return
	}
	if err := c.compact(c.table.EachOwned); err != nil {
		c.compactBytes *= 2
		c.logError(err)
	}
}

// logError logs an error that is not the same as the last one.
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

// MarkServing writes that this process accepts connections.
func (c *Coordinator) MarkServing() {
	c.serving = true
	c.logError(c.append(servingRecord()))
}

// OtherProcesses returns how many other processes are alive, and whether one of them accepts
// connections.
func (c *Coordinator) OtherProcesses() (alive int, serving bool) {
	if c.lock != nil { // what was written since the last poll counts
		c.logError(c.readOthers())
		c.reportAlive()
	}
	for _, p := range c.processes {
		if p.alive && p.serving {
			serving = true
		}
	}
	return c.aliveCount(), serving
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
