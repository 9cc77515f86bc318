package store

import (
	"errors"

	"ryepaddle/internal/wallclock"
)

// Journal reads and writes the files of a store, which it owns. It is used by one goroutine, except for
// Snapshot.Write.
type Journal struct {
	fs          FS
	options     Options
	state       *State
	segment     uint64 // number of the current or last segment
	file        File   // the segment; nil: the disk failed, or the journal is closed
	size        int64  // of the segment, in bytes
	closedBytes int64  // bytes of the earlier segments, which a snapshot would free
	syncedBytes int64  // bytes of the segment that are on the disk
	markedBytes int64  // bytes of the segment that its last SyncMark confirms
	buf         []byte
}

// ErrDown reports that the disk failed and has not recovered.
var ErrDown error = faultDown.New("store: the disk failed, and nothing is stored until it works again")

// OpenJournal reads the files of a folder and begins a new segment after them. If the disk cannot be
// written, it returns the error with a journal that is down: see Reopen. If files are damaged, it fails
// with a *DamageError unless options.Repair is set.
func OpenJournal(fsys FS, now wallclock.UnixMicro, options Options) (*Journal, *Recovery, error) {
	f, err := readFolder(fsys, now, options)
	if err != nil {
		return nil, nil, err
	}
	if len(f.recovery.Damage) > 0 {
		if !options.Repair {
			return nil, nil, &DamageError{f.recovery.Damage}
		}
		if err := f.keepDamaged(); err != nil {
			return nil, nil, err
		}
	}
	j := &Journal{fs: fsys, options: options, state: f.state, segment: f.lastNumber()}
	return j, f.recovery, j.Reopen(now)
}

// Reopen writes a snapshot of all keys and begins a new segment, when the journal is opened and after the
// disk failed. Nothing is ever appended to the old segment, as it is not known what its end contains, and
// a sync that failed is not retried.
func (j *Journal) Reopen(now wallclock.UnixMicro) error {
	if j.file != nil {
		_ = j.file.Close() // the snapshot replaces its content
		j.file = nil
	}
	snapshot := j.newSnapshot(now)
	if err := snapshot.Write(); err != nil {
		return err
	}
	if err := j.createSegment(); err != nil {
		return err
	}
	j.FinishSnapshot(snapshot)
	return nil
}

// createSegment creates the next segment.
func (j *Journal) createSegment() error {
	number := j.segment + 1
	name := segmentName(number)
	file, err := j.createFile(name)
	if err != nil {
		return faultDisk.New("store: %w", err)
	}
	header := appendHeader(nil, number)
	_, err = file.Write(header)
	if err == nil && j.options.Sync != SyncNone {
		err = file.Sync()
	}
	if err == nil && j.options.Sync != SyncNone {
		err = j.fs.SyncDir()
	}
	if err != nil {
		return errors.Join(faultDisk.New("store: %w", err), file.Close(), j.fs.Remove(name))
	}
	j.segment = number
	j.file = file
	j.size = int64(len(header))
	j.syncedBytes = j.size
	j.markedBytes = 0
	return nil
}

// createFile creates a file. It replaces a file that an interrupted start left behind, none of whose
// content was ever reported as stored.
func (j *Journal) createFile(name string) (File, error) {
	file, err := j.fs.Create(name)
	if err == nil || !errors.Is(err, errExists) {
		return file, err
	}
	if err := j.fs.Remove(name); err != nil {
		return nil, err
	}
	return j.fs.Create(name)
}

// IsDown reports whether the disk failed. Nothing is stored then until Reopen succeeds.
func (j *Journal) IsDown() bool { return j.file == nil }

// State returns the keys, including those whose records could not be written.
func (j *Journal) State() *State { return j.state }

// Size returns the size of all segments, in bytes.
func (j *Journal) Size() int64 { return j.closedBytes + j.size }

// Commit appends records and makes them durable as the sync mode requires. If it fails, none of them
// counts as stored, and the journal is down. All but RunStarted records are nevertheless applied to the
// state, and are thus part of the next snapshot.
func (j *Journal) Commit(records []*Record) error {
	err := j.write(records)
	for _, r := range records {
		if err == nil || r.Kind != RunStarted { // a run whose start is not durable does not begin
			j.state.Apply(r)
		}
	}
	if err != nil && j.file != nil {
		_ = j.file.Close()
		j.file = nil
	}
	return err
}

// write appends records, after a SyncMark for the bytes that are already on the disk, and syncs them.
func (j *Journal) write(records []*Record) (err error) {
	if j.file == nil {
		return ErrDown
	}
	j.buf = j.buf[:0]
	if j.markedBytes < j.syncedBytes && j.options.Sync != SyncNone {
		mark := &Record{Kind: SyncMark, SyncedBytes: j.syncedBytes}
		if j.buf, err = AppendFrame(j.buf, mark); err != nil {
			return err
		}
	}
	for _, r := range records {
		if j.buf, err = AppendFrame(j.buf, r); err != nil {
			return err
		}
	}
	n, err := j.file.Write(j.buf)
	j.size += int64(n)
	if err != nil {
		return faultDisk.New("store: %w", err)
	}
	if j.options.Sync == SyncNone {
		return nil
	}
	if err := j.file.Sync(); err != nil {
		return faultDisk.New("store: %w", err)
	}
	j.markedBytes = j.syncedBytes
	j.syncedBytes = j.size
	return nil
}

// RotateSegment creates the next segment if the current one is full.
func (j *Journal) RotateSegment() error {
	if j.file == nil || j.size < j.options.SegmentBytes {
		return nil
	}
	if err := j.closeSegment(); err != nil {
		return err
	}
	return j.createSegment()
}

// closeSegment closes the segment, whose content is already synced unless the mode is SyncNone. After an
// error the journal is down.
func (j *Journal) closeSegment() error {
	err := j.file.Close()
	j.file = nil
	if err != nil {
		return faultDisk.New("store: %w", err)
	}
	j.closedBytes += j.size
	j.size = 0
	return nil
}

// Close closes the segment. With SyncNone it syncs the segment before; with the other modes all committed
// records are on the disk already.
func (j *Journal) Close() error {
	if j.file == nil {
		return nil
	}
	file := j.file
	j.file = nil
	if j.options.Sync == SyncNone {
		return errors.Join(file.Sync(), file.Close())
	}
	return file.Close()
}
