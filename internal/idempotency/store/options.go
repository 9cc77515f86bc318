package store

import (
	"fmt"
	"time"
)

// SyncMode says when Store.Put reports a record as stored.
type SyncMode uint8

// The sync modes.
const (
	SyncGroup  SyncMode = iota // once it is on the disk; concurrent records share one sync
	SyncAlways                 // once it is on the disk, by a sync of its own
	SyncNone                   // once the operating system has it: it survives the process, but not a power loss
)

// ParseSyncMode returns the mode with the given name: always, group or none.
func ParseSyncMode(name string) (SyncMode, error) {
	switch name {
	case "group":
		return SyncGroup, nil
	case "always":
		return SyncAlways, nil
	case "none":
		return SyncNone, nil
	}
	return 0, fmt.Errorf("unknown sync mode %q: want always, group or none", name)
}

// Options configure a journal.
type Options struct {
	Sync         SyncMode
	SegmentBytes int64 // size of a segment at which the next one is created
	// SlackBytes is added to snapshotGrowthFactor times the size of the live keys. A snapshot is due
	// when the journal is larger than the sum.
	SlackBytes int64
	// Retention is how long a key is stored after its expiry, since a duplicate that arrived in
	// time may be read later.
	Retention time.Duration
	Repair    bool // open the store despite damaged files, which are renamed and not removed
}

// DefaultOptions returns the options that apply if the operator sets none.
func DefaultOptions() Options {
	return Options{SegmentBytes: 8 << 20, SlackBytes: 16 << 20, Retention: 10 * time.Second}
}
