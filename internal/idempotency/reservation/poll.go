package reservation

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"ryepaddle/internal/lifecycle"
)

// poll reads the records of other processes, and schedules itself again until the coordinator is closed.
func (c *Coordinator) poll() {
	if c.lock == nil {
		return
	}
	if err := c.readOthers(); err != nil || !c.incomplete {
		c.logError(err)
	}
	c.reportAlive()
	c.reportSuccessorDrains()
	interval := aloneInterval
	if c.aliveCount() > 0 {
		interval = sharedInterval
	}
	if now := c.clock.Now(); now > c.sweptAt+sweepInterval && tryLock(c.lock) {
		c.sweptAt = now
		c.sweep()
		unlock(c.lock)
	}
	c.config.After(interval, c.poll)
}

// reportAlive reports a change of the number of other processes that are alive. When the number grows,
// the results of this process are written for the new process.
func (c *Coordinator) reportAlive() {
	alive := c.aliveCount()
	if alive == c.reportedAlive {
		return
	}
	hasGrown := c.reportedAlive >= 0 && alive > c.reportedAlive
	c.reportedAlive = alive
	if hasGrown {
		c.writeResults()
	}
	if c.config.OnProcessesChanged != nil {
		c.config.OnProcessesChanged(alive)
	}
}

// writeResults writes the ended runs of this process, up to the configured size of their results.
func (c *Coordinator) writeResults() {
	left := c.config.MaxResultBytes
	c.table.EachOwned(func(k lifecycle.KeyRecord) {
		if !k.Ended || left <= 0 {
			return
		}
		r := c.record(k)
		if r.Result != nil {
			left -= int64(len(r.Result.Body))
		}
		c.logError(c.append(r))
	})
}

// readOthers reads the records that other processes have written since the last call.
func (c *Coordinator) readOthers() error {
	if epoch := c.readEpoch(); epoch != c.epoch {
		if err := c.scan(); err != nil {
			return err
		}
		c.epoch = epoch
	}
	for _, p := range c.processes {
		wasAlive := p.alive
		p.alive = p.alive && isLocked(p.aliveLock)
		if err := c.read(p); err != nil { // after the check of the lock: the log of a dead process is complete
			return err
		}
		if wasAlive && !p.alive {
			evProcessExited.Log(FormatIncarnation(p.incarnation))
			c.table.OwnerDied(p.incarnation)
		}
	}
	return nil
}

// scan finds new logs of other processes and reads them.
func (c *Coordinator) scan() error {
	files, err := os.ReadDir(c.config.Dir)
	if err != nil {
		return err
	}
	for _, f := range files {
		name := filepath.Join(c.config.Dir, f.Name())
		incarnation, generation, ok := c.parseLogName(name)
		known := c.processes[incarnation]
		if !ok || incarnation == c.config.Incarnation || known != nil && known.generation >= generation {
			continue
		}
		log, err := os.Open(name)
		if errors.Is(err, os.ErrNotExist) { // its process has just compacted it; the new log is found as well
			continue
		}
		if err != nil {
			return err
		}
		if known != nil {
			err = c.switchLog(known, log, generation)
		} else {
			err = c.addProcess(&otherProcess{incarnation: incarnation, generation: generation, log: log})
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// switchLog reads the rest of a process's log and then goes on with its compacted log.
func (c *Coordinator) switchLog(p *otherProcess, log *os.File, generation uint64) error {
	if err := c.read(p); err != nil {
		log.Close()
		return err
	}
	p.log.Close()
	p.log = log
	p.generation = generation
	p.offset = 0
	return nil
}

// addProcess adds a process whose log was found, and reads the log.
func (c *Coordinator) addProcess(p *otherProcess) (err error) {
	if p.aliveLock, err = os.Open(c.aliveName(p.incarnation)); err == nil {
		p.alive = isLocked(p.aliveLock)
	}
	c.processes[p.incarnation] = p
	if err := c.read(p); err != nil {
		return err
	}
	evProcessFound.Log(FormatIncarnation(p.incarnation), p.alive, p.records)
	if !p.alive {
		c.table.OwnerDied(p.incarnation)
	}
	return nil
}

// FormatIncarnation returns the incarnation of a process as log lines and the names of files have it.
func FormatIncarnation(incarnation uint32) string { return fmt.Sprintf("%08x", incarnation) }

// sweep removes the files of exited processes whose keys have all expired. The caller holds the
// shared lock.
func (c *Coordinator) sweep() {
	windowStart := time.Now().Add(-c.config.Window)
	for incarnation, p := range c.processes {
		info, err := p.log.Stat()
		mayHaveValidKeys := err == nil && info.ModTime().After(windowStart)
		if p.alive || mayHaveValidKeys {
			continue
		}
		p.close()
		delete(c.processes, incarnation)
		os.Remove(p.log.Name())
		// the log that it was writing if it was killed during a compaction
		os.Remove(c.logName(incarnation, p.generation+1) + newLogSuffix)
		os.Remove(c.aliveName(incarnation))
	}
}
