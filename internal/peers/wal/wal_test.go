package wal

import (
	"errors"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"ryepaddle/internal/peers/consensus"
	"ryepaddle/internal/peers/replication"
	"ryepaddle/internal/testing/crashfs"
)

// crashingLog checks a log on a machine that crashes repeatedly.
type crashingLog struct {
	seed   uint64
	random *rand.Rand
	disk   *crashfs.Disk

	appended []consensus.DurableRecord // since the log last started anew
	durable  []consensus.DurableRecord // records whose Append returned nil, a prefix of appended
	// replaced is the previous log after a new one has started, until the new one is durable.
	replaced []consensus.DurableRecord
}

// recover opens the log after a crash and checks the recovered records.
func (c *crashingLog) recover(t *testing.T) *Log {
	t.Helper()
	c.disk.CrashAt = 0
	log, recovery, err := Open(c.disk)
	if err != nil {
		t.Fatal(c.seed, err)
	}
	found := recovery.Log
	equal := func(a, b []consensus.DurableRecord) bool { return cmp.Equal(a, b, cmpopts.EquateEmpty()) }
	isReplaced := c.replaced != nil && len(c.durable) == 0 && equal(found, c.replaced)
	if !isReplaced && (len(found) < len(c.durable) || len(found) > len(c.appended) ||
		!equal(found, c.appended[:len(found)])) {
		t.Fatalf(
			"seed %d: %d recovered records, want a prefix of the appended ones: %d durable, %d appended",
			c.seed, len(found), len(c.durable), len(c.appended),
		)
	}
	c.appended, c.durable, c.replaced = found, slices.Clone(found), nil
	return log
}

// appendUntilCrash appends records and saves slots until the machine crashes.
func (c *crashingLog) appendUntilCrash(t *testing.T, log *Log) {
	t.Helper()
	c.disk.CrashAt = c.disk.Steps + 1 + c.random.IntN(40)
	var err error
	for n := byte(0); err == nil; n++ {
		record := consensus.DurableRecord{HardState: []byte{n, byte(c.seed)}, Entries: [][]byte{{n}}}
		if c.random.IntN(6) == 0 {
			record.VoterID = 7
			c.replaced, c.appended, c.durable = c.appended, nil, nil
		}
		c.appended = append(c.appended, record)
		if err = log.Append(&record); err != nil {
			break
		}
		c.durable, c.replaced = slices.Clone(c.appended), nil
		err = log.SaveSlot(&replication.SlotSnapshot{Slot: int(n % 3), LastSeq: uint64(n)})
	}
	if !errors.Is(err, crashfs.ErrCrashed) {
		t.Fatal(c.seed, err)
	}
	c.disk.Crash()
}

// After a crash at any step of the disk, Open recovers all durable records and none that was not
// appended. A log that was starting anew at the crash is recovered as either the old or the new log.
func TestDurableRecordsSurviveCrashes(t *testing.T) {
	for seed := range uint64(200) {
		c := &crashingLog{seed: seed, random: rand.New(rand.NewPCG(seed, 3)), disk: crashfs.New(seed)}
		for range 6 {
			c.appendUntilCrash(t, c.recover(t))
		}
	}
}

// Records that are appended again after a disk error are recovered together with all earlier ones. A
// damaged slot snapshot is counted, and the other snapshots are still loaded.
func TestRecordsSurviveADiskThatFails(t *testing.T) {
	disk := crashfs.New(1)
	log, _, err := Open(disk)
	if err != nil {
		t.Fatal(err)
	}
	fails := false
	disk.Fail = func(op, _ string) error {
		if fails && (op == "write" || op == "sync") {
			return errors.New("no space left")
		}
		return nil
	}
	var want []consensus.DurableRecord
	for n := range byte(20) {
		record := consensus.DurableRecord{HardState: []byte{n}}
		fails = n%4 == 1
		if err := log.Append(&record); fails != (err != nil) {
			t.Fatalf("Append of record %d: error %v, want an error: %v", n, err, fails)
		}
		if fails {
			fails = false
			if err := log.Append(&record); err != nil {
				t.Fatal(n, err)
			}
		}
		want = append(want, record)
	}
	for _, slot := range []int{1, 2} {
		if err := log.SaveSlot(&replication.SlotSnapshot{Slot: slot, LastSeq: 9}); err != nil {
			t.Fatal(err)
		}
	}
	writeFile(t, disk, "slot-0003", "RYCV and no more")
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	_, recovery, err := Open(disk)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, recovery.Log, cmpopts.EquateEmpty()); diff != "" {
		t.Error(diff)
	}
	if len(recovery.Slots) != 2 || recovery.DamagedSlots != 1 {
		t.Errorf("recovered slots = %d, want 2; damaged slots = %d, want 1", len(recovery.Slots), recovery.DamagedSlots)
	}
}

func writeFile(t *testing.T, disk *crashfs.Disk, name, text string) {
	t.Helper()
	f, err := disk.Create(name)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}
