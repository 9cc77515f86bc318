package store

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"ryepaddle/internal/wallclock"
)

// SyncMode is what has to be true of a record before anybody goes by it.
type SyncMode uint8

// The modes.
const (
	SyncGroup  SyncMode = iota // it is on the disk; records that come within a short time share one sync
	SyncAlways                 // it is on the disk, by a sync of its own
	SyncNone                   // the system has it: it outlives the process, not a loss of power
)

var modes = map[string]SyncMode{"group": SyncGroup, "always": SyncAlways, "none": SyncNone}

// ParseSyncMode reads the name of a mode.
func ParseSyncMode(name string) (SyncMode, error) {
	m, ok := modes[name]
	if !ok {
		return 0, fmt.Errorf("unknown mode %q: want always, group or none", name)
	}
	return m, nil
}

// Options are how a journal is kept.
type Options struct {
	Sync         SyncMode
	SegmentBytes int64 // bytes after which a new segment is begun
	// bytes beside twice those of the live keys, past which a snapshot cuts the journal
	SlackBytes int64
	// beyond its window for which a key is kept: a repeat may be read so much later
	Retention time.Duration
	Repair    bool // go on with damaged files, which are kept aside
}

// DefaultOptions is what is usual.
func DefaultOptions() Options {
	return Options{SegmentBytes: 8 << 20, SlackBytes: 16 << 20, Retention: 10 * time.Second}
}

func segmentName(n uint64) string  { return fmt.Sprintf("journal-%016d", n) }
func snapshotName(n uint64) string { return fmt.Sprintf("snapshot-%016d", n) }

const temporarySuffix = ".tmp"

// numberOf reads the number out of a file's name.
func numberOf(name, kind string) (uint64, bool) {
	rest, ok := strings.CutPrefix(name, kind+"-")
	if !ok || len(rest) != 16 {
		return 0, false
	}
	n, err := strconv.ParseUint(rest, 10, 64)
	return n, err == nil
}

// Recovery is what was found at a start.
type Recovery struct {
	Keys      []*Key
	Snapshot  uint64 // that it began with; 0: none
	Segments  int
	Records   int
	TornBytes int64 // bytes at the end that were never promised
	Expired   int
	Damage    []Damage            // that was repaired
	NewestAt  wallclock.UnixMicro // time of the newest record
}

// Journal is the files of a store. It is used by one goroutine, but for Snapshot.Write.
type Journal struct {
	fs          FS
	options     Options
	state       *State
	segment     uint64 // of the segment that is written, or was last
	file        File   // nil: there is none, the disk failed
	size        int64  // of the segment
	closedBytes int64  // bytes of the segments before it that a snapshot would free
	syncedBytes int64
	markedBytes int64 // what the last mark vouched for
	buf         []byte
}

// read finds out what the files of a folder hold, without changing them.
func read(fsys FS, now wallclock.UnixMicro, opt Options) (*State, *Recovery, []uint64, []uint64, error) {
	names, err := fsys.List()
	if err != nil {
		return nil, nil, nil, nil, faultDisk.New("store: %w", err)
	}
	var segments, snapshots []uint64
	for _, name := range names {
		if n, ok := numberOf(name, "journal"); ok {
			segments = append(segments, n)
		} else if n, ok := numberOf(name, "snapshot"); ok {
			snapshots = append(snapshots, n)
		}
	}
	slices.Sort(segments)
	slices.Sort(snapshots)
	f := &Recovery{}
	state := NewState()
	for _, n := range slices.Backward(snapshots) {
		b, err := fsys.Read(snapshotName(n))
		if err != nil {
			return nil, nil, nil, nil, faultDisk.New("store: %w", err)
		}
		s := NewState()
		if err := loadSnapshot(snapshotName(n), b, n, s); err == nil {
			state, f.Snapshot = s, n
			break
		} else if format := (*FormatError)(nil); errors.As(err, &format) {
			return nil, nil, nil, nil, err
		}
		// It was whole on the disk before its name was.
		f.Damage = append(f.Damage, Damage{snapshotName(n), 0, int64(len(b))})
	}
	for i, n := range segments {
		if n <= f.Snapshot {
			continue
		}
		want := f.Snapshot + 1
		if f.Segments > 0 {
			want = segments[i-1] + 1
		}
		if n != want && opt.Sync != SyncNone { // numbers go on without a gap
			f.Damage = append(f.Damage, Damage{segmentName(want), 0, 0})
		}
		b, err := fsys.Read(segmentName(n))
		if err != nil {
			return nil, nil, nil, nil, faultDisk.New("store: %w", err)
		}
		got, err := scanSegment(segmentName(n), b, n, i == len(segments)-1 || opt.Sync == SyncNone, state)
		if err != nil {
			return nil, nil, nil, nil, err
		}
		f.Segments++
		f.Records += got.Records
		f.TornBytes += got.TornBytes
		f.Damage = append(f.Damage, got.Damage...)
	}
	f.NewestAt = state.newestAt
	all := state.Len()
	state.Expire(now.Add(-opt.Retention), true)
	f.Expired = all - state.Len()
	f.Keys = state.Keys()
	return state, f, segments, snapshots, nil
}

// Read finds out what the files of a folder hold. They are not changed, and may be in use.
func Read(fsys FS, now wallclock.UnixMicro, opt Options) (*Recovery, error) {
	_, f, _, _, err := read(fsys, now, opt)
	return f, err
}

// OpenJournal reads what is there and begins a journal after it. If the disk takes nothing it is
// open all the same, and down: see Reopen.
func OpenJournal(fsys FS, now wallclock.UnixMicro, opt Options) (*Journal, *Recovery, error) {
	state, f, segments, snapshots, err := read(fsys, now, opt)
	if err != nil {
		return nil, nil, err
	}
	if len(f.Damage) > 0 {
		if !opt.Repair {
			return nil, nil, &DamageError{f.Damage}
		}
		for _, d := range f.Damage {
			if d.To > 0 {
				if err := fsys.Rename(d.File, d.File+".bad"); err != nil && !isNotExist(err) {
					return nil, nil, faultDisk.New("store: repair: %w", err)
				}
			}
		}
		if err := fsys.SyncDir(); err != nil {
			return nil, nil, faultDisk.New("store: repair: %w", err)
		}
	}
	j := &Journal{fs: fsys, options: opt, state: state, segment: f.Snapshot}
	if len(segments) > 0 {
		j.segment = max(segments[len(segments)-1], f.Snapshot)
	}
	for _, n := range snapshots { // a number is never used again
		j.segment = max(j.segment, n)
	}
	return j, f, j.Reopen(now)
}

// Reopen begins anew after the disk failed, or at the start: a snapshot of all that is known, then
// a new segment. What the old segment holds at its end is not known, and nothing is ever added to
// it; nor is a sync that failed tried again.
func (j *Journal) Reopen(now wallclock.UnixMicro) error {
	if j.file != nil {
		_ = j.file.Close() // what is in it counts for nothing from here on
		j.file = nil
	}
	snap := j.newSnapshot(now)
	if err := snap.Write(); err != nil {
		return err
	}
	if err := j.createSegment(); err != nil {
		return err
	}
	j.FinishSnapshot(snap)
	return nil
}

// createSegment makes the next segment.
func (j *Journal) createSegment() error {
	name := segmentName(j.segment + 1)
	f, err := j.fs.Create(name)
	// left by a start that got no further; nothing was promised of it
	if err != nil && errors.Is(err, errExists) {
		if err = j.fs.Remove(name); err == nil {
			f, err = j.fs.Create(name)
		}
	}
	if err != nil {
		return faultDisk.New("store: %w", err)
	}
	head := appendHeader(nil, j.segment+1)
	if _, err = f.Write(head); err == nil && j.options.Sync != SyncNone {
		if err = f.Sync(); err == nil {
			err = j.fs.SyncDir()
		}
	}
	if err != nil {
		return errors.Join(faultDisk.New("store: %w", err), f.Close(), j.fs.Remove(name))
	}
	j.segment++
	j.file, j.size, j.syncedBytes, j.markedBytes = f, int64(len(head)), int64(len(head)), 0
	return nil
}

// IsDown tells whether the disk failed, and nothing can be kept until Reopen works.
func (j *Journal) IsDown() bool { return j.file == nil }

// State is what is known, also of what could not be written.
func (j *Journal) State() *State { return j.state }

// Size is how many bytes the segments have.
func (j *Journal) Size() int64 { return j.closedBytes + j.size }

// Commit writes records and has them kept as the mode says. If it fails none of them may be gone
// by, and the journal is down. What is known all the same, such as a result, is in the next
// snapshot.
func (j *Journal) Commit(records []*Record) error {
	err := j.commit(records)
	for _, r := range records {
		if err == nil || r.Kind != RunStarted { // one that could not be kept will not be run
			j.state.Apply(r)
		}
	}
	if err != nil && j.file != nil {
		_ = j.file.Close()
		j.file = nil
	}
	return err
}

func (j *Journal) commit(records []*Record) (err error) {
	if j.file == nil {
		return ErrDown
	}
	j.buf = j.buf[:0]
	if j.markedBytes < j.syncedBytes && j.options.Sync != SyncNone {
		if j.buf, err = AppendFrame(j.buf, &Record{Kind: SyncMark, SyncedBytes: j.syncedBytes}); err != nil {
			return err
		}
	}
	for _, r := range records {
		if j.buf, err = AppendFrame(j.buf, r); err != nil {
			return err
		}
	}
	n, err := j.file.Write(j.buf)
	if j.size += int64(n); err != nil {
		return faultDisk.New("store: %w", err)
	}
	if j.options.Sync == SyncNone {
		return nil
	}
	if err := j.file.Sync(); err != nil {
		return faultDisk.New("store: %w", err)
	}
	j.markedBytes, j.syncedBytes = j.syncedBytes, j.size
	return nil
}

// RotateSegment begins a new segment once this one is large.
func (j *Journal) RotateSegment() error {
	if j.file == nil || j.size < j.options.SegmentBytes {
		return nil
	}
	err := j.file.Close() // it is synced
	j.file = nil
	if err != nil {
		return faultDisk.New("store: %w", err)
	}
	j.closedBytes += j.size
	j.size = 0
	return j.createSegment()
}

// TornBytes begins a snapshot where one is due; nil: none is. Its Write may run beside; then Finish has
// to be told.
func (j *Journal) SnapshotIfDue(now wallclock.UnixMicro) (*Snapshot, error) {
	if j.file == nil || j.Size() <= 2*j.state.LiveBytes()+j.options.SlackBytes {
		return nil, nil
	}
	return j.BeginSnapshot(now)
}

// BeginSnapshot begins a snapshot in any case but that of a disk that failed.
func (j *Journal) BeginSnapshot(now wallclock.UnixMicro) (*Snapshot, error) {
	if j.file == nil {
		return nil, ErrDown
	}
	err := j.file.Close()
	j.file = nil
	if err != nil {
		return nil, faultDisk.New("store: %w", err)
	}
	j.closedBytes += j.size
	j.size = 0
	snap := j.newSnapshot(now)
	return snap, j.createSegment()
}

// Snapshot is all that is known at the end of a segment.
type Snapshot struct {
	fs         FS
	segment    uint64 // the segment at whose end it stands
	keys       []*Key
	takenAt    wallclock.UnixMicro
	freedBytes int64
}

// newSnapshot notes what is known. Keys do not change once they are in the state.
func (j *Journal) newSnapshot(now wallclock.UnixMicro) *Snapshot {
	j.state.Expire(now.Add(-j.options.Retention), false)
	return &Snapshot{fs: j.fs, segment: j.segment, keys: j.state.Keys(), takenAt: now, freedBytes: j.closedBytes}
}

// WriteSnapshot writes keys into an empty folder, from which a journal can begin.
func WriteSnapshot(fsys FS, keys []*Key, now wallclock.UnixMicro) error {
	return (&Snapshot{fs: fsys, keys: keys, takenAt: now}).Write()
}

// Write puts it on the disk, whole or not at all. It touches no other file.
func (s *Snapshot) Write() (err error) {
	name := snapshotName(s.segment)
	tmp := name + temporarySuffix
	if err := s.fs.Remove(tmp); err != nil && !isNotExist(err) {
		return faultDisk.New("store: %w", err)
	}
	f, err := s.fs.Create(tmp)
	if err != nil {
		return faultDisk.New("store: %w", err)
	}
	err = s.write(f)
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = s.fs.Rename(tmp, name)
	}
	if err == nil {
		err = s.fs.SyncDir()
	}
	if err != nil {
		return errors.Join(faultDisk.New("store: %w", err), s.fs.Remove(tmp))
	}
	return nil
}

func (s *Snapshot) write(f File) (err error) {
	b := appendHeader(nil, s.segment)
	flush := func(least int) error {
		if len(b) < least {
			return nil
		}
		_, err := f.Write(b)
		b = b[:0]
		return err
	}
	for _, k := range s.keys {
		if b, err = AppendFrame(b, k.record()); err != nil {
			return err
		}
		if err = flush(256 << 10); err != nil {
			return err
		}
	}
	if b, err = AppendFrame(b, &Record{Kind: EndOfSnapshot, Count: len(s.keys), WrittenAt: s.takenAt}); err != nil {
		return err
	}
	if err = flush(0); err != nil {
		return err
	}
	return f.Sync()
}

// FinishSnapshot removes what a snapshot that was written has made needless. What cannot be removed now is
// with the next one.
func (j *Journal) FinishSnapshot(s *Snapshot) {
	names, err := j.fs.List()
	if err != nil {
		return
	}
	for _, name := range names {
		n, segment := numberOf(name, "journal")
		m, snapshot := numberOf(name, "snapshot")
		stale := strings.HasPrefix(name, "snapshot-") && strings.HasSuffix(name, temporarySuffix) &&
			name != snapshotName(s.segment)+temporarySuffix
		if segment && n <= s.segment || snapshot && m < s.segment || stale {
			_ = j.fs.Remove(name)
		}
	}
	j.closedBytes = max(j.closedBytes-s.freedBytes, 0)
}

// Close ends it. What was committed is there.
func (j *Journal) Close() error {
	if j.file == nil {
		return nil
	}
	f := j.file
	j.file = nil
	if j.options.Sync == SyncNone {
		return errors.Join(f.Sync(), f.Close())
	}
	return f.Close()
}

// ErrDown is that of a disk that failed and has not come back.
var ErrDown error = faultDown.New("store: the disk failed, and nothing is kept until it works again")
