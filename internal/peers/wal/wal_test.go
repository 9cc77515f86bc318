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

// crashingLog is a log whose machine crashes again and again.
type crashingLog struct {
	seed   uint64
	random *rand.Rand
	disk   *crashfs.Disk

	appended []consensus.DurableRecord // since the log began
	durable  []consensus.DurableRecord // those whose Append returned nil, a prefix of appended
	// replaced is the log before one that began anew, until that one is durable.
	replaced []consensus.DurableRecord
}

// recover opens the log after a crash and checks what is found.
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
			"seed %d: %d records are found of %d that are durable and %d that were appended",
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

// Whichever step the machine crashes at, the next process finds all records that were durable by
// then, and none that was not appended; a log that began anew is found as the old or the new one.
func TestDurableRecordsSurviveCrashes(t *testing.T) {
	for seed := range uint64(200) {
		c := &crashingLog{seed: seed, random: rand.New(rand.NewPCG(seed, 3)), disk: crashfs.New(seed)}
		for range 6 {
			c.appendUntilCrash(t, c.recover(t))
		}
	}
}

// After a disk that failed all records are there once it works again; a damaged slot file counts for
// nothing and harms no other.
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
			t.Fatal(n, err)
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
		t.Errorf("%d slots are found, %d damaged", len(recovery.Slots), recovery.DamagedSlots)
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
