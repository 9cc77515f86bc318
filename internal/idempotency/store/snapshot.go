package store

import (
	"errors"
	"strings"

	"ryepaddle/internal/wallclock"
)

// snapshotChunkBytes is how many bytes of a snapshot are encoded before they are written.
const snapshotChunkBytes = 256 << 10

// snapshotGrowthFactor bounds the size of the journal: a snapshot is due if the journal is larger than
// snapshotGrowthFactor times the size of the live keys plus Options.SlackBytes.
const snapshotGrowthFactor = 2

// Snapshot holds all keys as of the end of a segment.
type Snapshot struct {
	fs         FS
	segment    uint64 // the last segment that it covers, whose number it has
	keys       []*Key
	takenAt    wallclock.UnixMicro
	freedBytes int64 // bytes of the segments that it makes superfluous
}

// SnapshotIfDue begins a snapshot if the journal has grown over its limit, and returns nil if not.
// The caller writes it, on any goroutine, and then calls FinishSnapshot.
func (j *Journal) SnapshotIfDue(now wallclock.UnixMicro) (*Snapshot, error) {
	maxSize := snapshotGrowthFactor*j.state.LiveBytes() + j.options.SlackBytes
	if j.file == nil || j.Size() <= maxSize {
		return nil, nil
	}
	return j.BeginSnapshot(now)
}

// BeginSnapshot begins a snapshot regardless of the size of the journal. It fails with ErrDown if the
// journal is down.
func (j *Journal) BeginSnapshot(now wallclock.UnixMicro) (*Snapshot, error) {
	if j.file == nil {
		return nil, ErrDown
	}
	if err := j.closeSegment(); err != nil {
		return nil, err
	}
	snapshot := j.newSnapshot(now)
	return snapshot, j.createSegment()
}

// newSnapshot returns a snapshot of the state. It shares the keys, which do not change once they are in
// the state.
func (j *Journal) newSnapshot(now wallclock.UnixMicro) *Snapshot {
	j.state.ExpireEnded(now.Add(-j.options.Retention))
	return &Snapshot{
		fs:         j.fs,
		segment:    j.segment,
		keys:       j.state.Keys(),
		takenAt:    now,
		freedBytes: j.closedBytes,
	}
}

// WriteSnapshot writes a snapshot of keys into an empty folder, which OpenJournal can then open.
func WriteSnapshot(fsys FS, keys []*Key, now wallclock.UnixMicro) error {
	return (&Snapshot{fs: fsys, keys: keys, takenAt: now}).Write()
}

// Write writes the snapshot to the disk, completely or not at all. It changes no other file.
func (s *Snapshot) Write() error {
	name := snapshotName(s.segment)
	temporary := name + temporarySuffix
	if err := s.fs.Remove(temporary); err != nil && !isNotExist(err) {
		return faultDisk.New("store: %w", err)
	}
	file, err := s.fs.Create(temporary)
	if err != nil {
		return faultDisk.New("store: %w", err)
	}
	err = s.writeTo(file)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = s.fs.Rename(temporary, name)
	}
	if err == nil {
		err = s.fs.SyncDir()
	}
	if err != nil {
		return errors.Join(faultDisk.New("store: %w", err), s.fs.Remove(temporary))
	}
	return nil
}

// writeTo writes and syncs the content of the snapshot.
func (s *Snapshot) writeTo(file File) (err error) {
	b := appendHeader(nil, s.segment)
	for _, key := range s.keys {
		if b, err = AppendFrame(b, key.record()); err != nil {
			return err
		}
		if len(b) < snapshotChunkBytes {
			continue
		}
		if _, err = file.Write(b); err != nil {
			return err
		}
		b = b[:0]
	}
	end := &Record{Kind: EndOfSnapshot, Count: len(s.keys), WrittenAt: s.takenAt}
	if b, err = AppendFrame(b, end); err != nil {
		return err
	}
	if _, err = file.Write(b); err != nil {
		return err
	}
	return file.Sync()
}

// FinishSnapshot removes the files that a written snapshot makes superfluous. Files that cannot be removed
// are removed after the next snapshot.
func (j *Journal) FinishSnapshot(s *Snapshot) {
	names, err := j.fs.List()
	if err != nil {
		return
	}
	for _, name := range names {
		if s.supersedes(name) {
			_ = j.fs.Remove(name)
		}
	}
	j.closedBytes = max(j.closedBytes-s.freedBytes, 0)
}

// supersedes reports whether the snapshot makes a file superfluous: a segment that it covers, an earlier
// snapshot, or the temporary file of a snapshot that was not completed.
func (s *Snapshot) supersedes(name string) bool {
	if number, ok := numberOf(name, segmentPrefix); ok {
		return number <= s.segment
	}
	if number, ok := numberOf(name, snapshotPrefix); ok {
		return number < s.segment
	}
	return strings.HasPrefix(name, snapshotPrefix) && strings.HasSuffix(name, temporarySuffix) &&
		name != snapshotName(s.segment)+temporarySuffix
}
