package config

import (
	"time"

	"ryepaddle/internal/idempotency/store"
)

// Store configures the store of idempotency keys and cached results on disk.
type Store struct {
	// Dir is the folder of the journal; empty: keys are lost when the process ends.
	Dir string `yaml:"dir"`
	// Mode is when the journal is synced: "always", "group" (the default) or "none".
	Mode string `yaml:"mode"`
	// WaitMs is the longest time in ms that a record waits in mode group for other records to be synced
	// together with it; default 2.
	WaitMs float64 `yaml:"wait_ms"`
	// TimeoutMs is the time in ms that a run or an answer waits for the disk; default 500.
	TimeoutMs int64 `yaml:"patience_ms"`
	// SegmentMB is the size in MB at which a segment of the journal is closed; default 8.
	SegmentMB int64 `yaml:"segment_mb"`
	// SlackMB is the size in MB that the journal may have beyond twice the size of its live records;
	// default 16.
	SlackMB int64 `yaml:"slack_mb"`
}

// Settings returns the settings of the store. With repair the store also starts from damaged files.
func (s *Store) Settings(repair bool) store.Settings {
	settings := store.DefaultSettings()
	settings.Sync, _ = store.ParseSyncMode(s.Mode) // checked with the file
	settings.GroupWait = time.Duration(s.WaitMs * float64(time.Millisecond))
	settings.SegmentBytes = s.SegmentMB << 20
	settings.SlackBytes = s.SlackMB << 20
	settings.Repair = repair
	return settings
}

// checkStore checks the mode and resolves the folder.
func (o *Operator) checkStore(*Platform) error {
	s := &o.Store
	if s.Dir == "" {
		return nil
	}
	if _, err := store.ParseSyncMode(s.Mode); err != nil {
		return o.document.Errorf("store.mode", "%v", err)
	}
	return o.resolveFolder("store.dir", &s.Dir)
}
