package store

import (
	"fmt"
	"time"
)

// SyncMode says what must hold for a record before Store.Put reports it as stored.
type SyncMode uint8

// The modes.
const (
	SyncGroup  SyncMode = iota // it is on the disk; records that come together share one sync
	SyncAlways                 // it is on the disk, by a sync of its own
	SyncNone                   // the system has it: it survives the process, not a loss of power
)

// ParseSyncMode returns the mode of that name: always, group or none.
func ParseSyncMode(name string) (SyncMode, error) {
	switch name {
	case "group":
		return SyncGroup, nil
	case "always":
		return SyncAlways, nil
	case "none":
		return SyncNone, nil
	}
	return 0, fmt.Errorf("unknown mode %q: want always, group or none", name)
}

// Options configure a journal.
type Options struct {
	Sync         SyncMode
	SegmentBytes int64 // size from which on the next segment is created
	// A snapshot is due when the journal has more than SlackBytes and snapshotGrowthFactor times
	// the bytes of the live keys.
	SlackBytes int64
	// Retention is how long a key is stored after its expiry, since a duplicate that arrived in
	// time may be read later.
	Retention time.Duration
	Repair    bool // open the store despite damaged files, which are renamed and not removed
}

// DefaultOptions returns the options that hold where the operator sets none.
func DefaultOptions() Options {
	return Options{SegmentBytes: 8 << 20, SlackBytes: 16 << 20, Retention: 10 * time.Second}
}
