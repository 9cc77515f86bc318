package reservation

import (
	"encoding/binary"
	"fmt"
	"os"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"

	"ryepaddle/internal/idempotency/persistence"
	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/wallclock"
)

const (
	// minCompactBytes is the smallest size of a log that is compacted.
	minCompactBytes = 256 << 10
	// readChunkBytes is how many bytes of a log are read at once.
	readChunkBytes  = 64 << 10
	logSuffix       = ".log"
	newLogSuffix    = ".new" // follows the name of a log that is still being written
	filePermissions = 0o600
)

func (c *Coordinator) aliveName(incarnation uint32) string {
	return fmt.Sprintf("%s.%08x.alive", c.basePath, incarnation)
}

func (c *Coordinator) logName(incarnation uint32, generation uint64) string {
	return fmt.Sprintf("%s.%08x.%d%s", c.basePath, incarnation, generation, logSuffix)
}

// parseLogName returns the incarnation and the generation in the path of a log of this runner; false for
// any other path.
func (c *Coordinator) parseLogName(name string) (incarnation uint32, generation uint64, ok bool) {
	text, hasBase := strings.CutPrefix(name, c.basePath+".")
	text, isLog := strings.CutSuffix(text, logSuffix)
	if !hasBase || !isLog {
		return 0, 0, false
	}
	first, second, ok := strings.Cut(text, ".")
	number, err := strconv.ParseUint(first, 16, 32)
	if !ok || err != nil {
		return 0, 0, false
	}
	generation, err = strconv.ParseUint(second, 10, 64)
	return uint32(number), generation, err == nil
}

// readEpoch reads the epoch, which is incremented whenever a process creates a log. It is stored in the
// file of the shared lock.
func (c *Coordinator) readEpoch() uint64 {
	var b [8]byte
	_, _ = unix.Pread(int(c.lock.Fd()), b[:], 0) // the epoch is zero if it was never written
	return binary.LittleEndian.Uint64(b[:])
}

// bumpEpoch increments the epoch, so that other processes look for new logs.
func (c *Coordinator) bumpEpoch() error {
	c.epoch = c.readEpoch() + 1
	_, err := c.lock.WriteAt(binary.LittleEndian.AppendUint64(nil, c.epoch), 0)
	return err
}

// compact replaces the log by a new one that contains the keys for which eachOwned calls its argument, or
// none if eachOwned is nil. The caller holds the shared lock.
func (c *Coordinator) compact(eachOwned func(func(lifecycle.KeyRecord))) error {
	name := c.logName(c.config.Incarnation, c.generation+1)
	log, err := os.OpenFile(name+newLogSuffix, os.O_RDWR|os.O_CREATE|os.O_TRUNC, filePermissions)
	if err != nil {
		return err
	}
	content, err := c.encodeLog(eachOwned)
	if err == nil {
		_, err = log.WriteAt(content, 0)
	}
	if err == nil {
		err = os.Rename(name+newLogSuffix, name)
	}
	if err == nil {
		err = c.bumpEpoch()
	}
	if err != nil {
		log.Close()
		os.Remove(name + newLogSuffix)
		return err
	}
	if c.log != nil {
		c.log.Close()
		os.Remove(c.logName(c.config.Incarnation, c.generation))
	}
	c.log = log
	c.size = int64(len(content))
	c.generation++
	c.compactBytes = max(minCompactBytes, 2*c.size)
	c.incomplete = false
	return nil
}

// encodeLog returns the content of a new log. It contains at least one record, of a kind that readers
// skip, as an empty log means that reservations could not be written.
func (c *Coordinator) encodeLog(eachOwned func(func(lifecycle.KeyRecord))) ([]byte, error) {
	content, err := store.AppendFrame(nil, &store.Record{Kind: store.EndOfSnapshot})
	if eachOwned == nil {
		return content, err
	}
	add := func(r *store.Record) {
		if err == nil {
			content, err = store.AppendFrame(content, r)
		}
	}
	eachOwned(func(k lifecycle.KeyRecord) { add(c.record(k)) })
	if c.phase != Starting {
		add(phaseRecord(Serving, 0))
	}
	if c.phase > Serving {
		add(phaseRecord(c.phase, c.phaseSince))
	}
	return content, err
}

// appendReservation appends a reservation. If the disk is full and no other process is alive, the process
// goes on: it truncates its log, which needs no space, so that a process that starts later sees that
// the log is incomplete. Once there is space it writes the log again from the table, which holds all
// reservations.
func (c *Coordinator) appendReservation(k lifecycle.KeyRecord) error {
	var err error
	if c.incomplete {
		err = c.compact(c.table.EachOwned)
	}
	if err == nil {
		err = c.append(c.record(k))
	}
	if err == nil || c.aliveCount() > 0 {
		return err
	}
	c.logError(err)
	if err := c.log.Truncate(0); err != nil {
		return err
	}
	c.size = 0
	c.incomplete = true
	return nil
}

// record returns the record of a key. Results are written only while another process is alive to
// read them.
func (c *Coordinator) record(k lifecycle.KeyRecord) *store.Record {
	kind := store.RunStarted
	if k.Ended && c.aliveCount() > 0 {
		kind = store.RunEnded
	}
	return persistence.ToRecord(kind, k, c.clock.Unix())
}

// releasedRecord returns the record that the run of a key never began.
func releasedRecord(k lifecycle.KeyRecord, at wallclock.UnixMicro) *store.Record {
	return persistence.ToRecord(store.KeyReleased, k, at)
}

// append appends a record to the log.
func (c *Coordinator) append(r *store.Record) error {
	if c.lock == nil {
		return os.ErrClosed
	}
	var err error
	if c.frame, err = store.AppendFrame(c.frame[:0], r); err != nil {
		return err
	}
	// The record is written at the known size and not at the end of the file, so that it overwrites a
	// record of which a full disk took only a part.
	if _, err = c.log.WriteAt(c.frame, c.size); err != nil {
		_ = c.log.Truncate(c.size)
		return err
	}
	c.size += int64(len(c.frame))
	return nil
}

// read applies the records that a process has written since the last call. A record that is not complete
// yet is read again later. The last record of a process that was killed may stay incomplete.
func (c *Coordinator) read(p *otherProcess) error {
	var unread []byte
	chunk := make([]byte, readChunkBytes)
	for {
		n, err := unix.Pread(int(p.log.Fd()), chunk, p.offset+int64(len(unread)))
		if err != nil {
			return fmt.Errorf("%s: %w", p.log.Name(), err)
		}
		unread = append(unread, chunk[:n]...)
		used := c.applyFrames(p, unread)
		p.offset += int64(used)
		unread = unread[used:]
		if n < len(chunk) {
			return nil
		}
	}
}

// applyFrames applies the complete frames at the front of b and returns their size.
func (c *Coordinator) applyFrames(p *otherProcess, b []byte) (used int) {
	for {
		r, size, err := store.ReadFrame(b[used:])
		if err != nil {
			return used
		}
		used += size
		c.apply(p, r)
	}
}

func (c *Coordinator) apply(p *otherProcess, r *store.Record) {
	switch r.Kind {
	case store.SyncMark, store.ProcessRetiring, store.ProcessDraining:
		c.applyPhase(p, phaseOf(r), r.WrittenAt)
	case store.RunStarted, store.RunEnded:
		p.records++
		c.table.ApplyRemote(persistence.FromRecord(r))
	case store.KeyReleased:
		p.records++
		c.table.ReleaseRemote(persistence.FromRecord(r))
	}
}
