package store

import (
	"errors"
	"slices"

	"ryepaddle/internal/wallclock"
)

// Recovery describes what was found in the files of a store.
type Recovery struct {
	Keys      []*Key
	Snapshot  uint64 // number of the snapshot read; 0: none
	Segments  int    // number of segments read after the snapshot
	Records   int    // number of records in these segments
	TornBytes int64  // bytes left out at the ends of segments, never confirmed to be on the disk
	Expired   int    // number of keys that are left out as expired
	Damage    []Damage
	NewestAt  wallclock.UnixMicro // when the newest record was written
}

// folder holds the state of reading the files of a store.
type folder struct {
	fs        FS
	options   Options
	segments  []uint64 // numbers, ascending
	snapshots []uint64 // numbers, ascending
	state     *State
	recovery  *Recovery
}

// readFolder reads the files of a folder without changing them. Keys whose retention is over at the
// given time are left out.
func readFolder(fsys FS, now wallclock.UnixMicro, options Options) (*folder, error) {
	segments, snapshots, err := listFiles(fsys)
	if err != nil {
		return nil, err
	}
	f := &folder{
		fs:        fsys,
		options:   options,
		segments:  segments,
		snapshots: snapshots,
		state:     NewState(),
		recovery:  &Recovery{},
	}
	if err := f.readNewestSnapshot(); err != nil {
		return nil, err
	}
	if err := f.readSegments(); err != nil {
		return nil, err
	}
	f.recovery.NewestAt = f.state.newestAt
	all := f.state.Len()
	f.state.ExpireAll(now.Add(-options.Retention))
	f.recovery.Expired = all - f.state.Len()
	f.recovery.Keys = f.state.Keys()
	return f, nil
}

// readNewestSnapshot applies the newest snapshot that is complete, and records the damage of newer ones.
// A snapshot is complete on the disk before it gets its name, so a crash does not damage it.
func (f *folder) readNewestSnapshot() error {
	for _, number := range slices.Backward(f.snapshots) {
		name := snapshotName(number)
		content, err := f.fs.Read(name)
		if err != nil {
			return faultDisk.New("store: %w", err)
		}
		state := NewState()
		err = loadSnapshot(name, content, number, state)
		if err == nil {
			f.state = state
			f.recovery.Snapshot = number
			return nil
		}
		if newer := (*FormatError)(nil); errors.As(err, &newer) {
			return err
		}
		f.recovery.Damage = append(f.recovery.Damage, Damage{name, 0, int64(len(content))})
	}
	return nil
}

// readSegments applies the segments after the snapshot.
func (f *folder) readSegments() error {
	r := f.recovery
	for i, number := range f.segments {
		if number <= r.Snapshot {
			continue
		}
		expected := r.Snapshot + 1
		if r.Segments > 0 {
			expected = f.segments[i-1] + 1
		}
		if number != expected && f.options.Sync != SyncNone { // a segment is missing
			r.Damage = append(r.Damage, Damage{segmentName(expected), 0, 0})
		}
		name := segmentName(number)
		content, err := f.fs.Read(name)
		if err != nil {
			return faultDisk.New("store: %w", err)
		}
		mayBeTorn := i == len(f.segments)-1 || f.options.Sync == SyncNone
		found, err := scanSegment(name, content, number, mayBeTorn, f.state)
		if err != nil {
			return err
		}
		r.Segments++
		r.Records += found.records
		r.TornBytes += found.tornBytes
		r.Damage = append(r.Damage, found.damage...)
	}
	return nil
}

// lastNumber returns the highest number of a file. New files get higher numbers: none is used again.
func (f *folder) lastNumber() uint64 {
	last := f.recovery.Snapshot
	for _, number := range slices.Concat(f.segments, f.snapshots) {
		last = max(last, number)
	}
	return last
}

// keepDamaged renames the damaged files, so that they are not read again.
func (f *folder) keepDamaged() error {
	for _, d := range f.recovery.Damage {
		if d.To == 0 { // the file is missing
			continue
		}
		if err := f.fs.Rename(d.File, d.File+damagedSuffix); err != nil && !isNotExist(err) {
			return faultDisk.New("store: repair: %w", err)
		}
	}
	if err := f.fs.SyncDir(); err != nil {
		return faultDisk.New("store: repair: %w", err)
	}
	return nil
}

// Read returns the content of the files of a folder. It changes no files, and they may be in use.
func Read(fsys FS, now wallclock.UnixMicro, options Options) (*Recovery, error) {
	f, err := readFolder(fsys, now, options)
	if err != nil {
		return nil, err
	}
	return f.recovery, nil
}
