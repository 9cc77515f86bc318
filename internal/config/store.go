package config

import (
	"time"

	"ryepaddle/internal/idempotency/store"
)

// Store turns the keeping of keys on a disk on.
type Store struct {
	Dir  string `yaml:"dir"`  // empty: keys are forgotten with the process
	Mode string `yaml:"mode"` // always, group or none
	// group: how long a key waits for others to share a sync with
	WaitMs    float64 `yaml:"wait_ms"`
	TimeoutMs int64   `yaml:"patience_ms"` // a run or an answer waits for the disk
	SegmentMB int64   `yaml:"segment_mb"`
	SlackMB   int64   `yaml:"slack_mb"` // that the journal may have beside twice what is in it
}

// Settings are those of the store.
func (s *Store) Settings(repair bool) store.Settings {
	set := store.DefaultSettings()
	set.Sync, _ = store.ParseSyncMode(s.Mode) // checked with the file
	set.GroupWait = time.Duration(s.WaitMs * float64(time.Millisecond))
	set.SegmentBytes, set.SlackBytes, set.Repair = s.SegmentMB<<20, s.SlackMB<<20, repair
	return set
}

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
