package wal

import (
	"errors"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"ryepaddle/internal/peers/consensus"
	"ryepaddle/internal/peers/replication"
	"ryepaddle/internal/testing/crashfs"
)

// Whichever step the machine goes down at, the next process finds all that was kept by then, and
// nothing but what was given; a log that began anew is found as the old or the new one.
func TestCrashes(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 3))
		disk := crashfs.New(seed)
		var given, kept []consensus.DurableRecord // since the log began; what was kept is a beginning of it
		var before []consensus.DurableRecord      // the log that it took the place of, while it is not kept
		for range 6 {
			disk.CrashAt = 0
			v, found, err := Open(disk)
			if err != nil {
				t.Fatal(seed, err)
			}
			log := found.Log
			if before != nil && len(kept) == 0 && cmp.Equal(log, before, cmpopts.EquateEmpty()) {
				given = before
			} else if len(log) < len(kept) || len(log) > len(given) || !cmp.Equal(log, given[:len(log)], cmpopts.EquateEmpty()) {
				t.Fatalf("seed %d: %d records are found of %d that were kept and %d that were given", seed, len(log), len(kept), len(given))
			}
			given, before = log, nil
			kept = append([]consensus.DurableRecord(nil), log...)
			disk.CrashAt = disk.Steps + 1 + r.IntN(40)
			for n := byte(0); ; n++ {
				k := consensus.DurableRecord{HardState: []byte{n, byte(seed)}, Entries: [][]byte{{n}}}
				if r.IntN(6) == 0 {
					k.VoterID = 7
					before, given, kept = given, nil, nil
				}
				given = append(given, k)
				if err = v.Append(&k); err != nil {
					break
				}
				kept = append([]consensus.DurableRecord(nil), given...)
				before = nil
				if err = v.SaveSlot(&replication.SlotSnapshot{Slot: int(n % 3), LastSeq: uint64(n)}); err != nil {
					break
				}
			}
			if !errors.Is(err, crashfs.ErrCrashed) {
				t.Fatal(seed, err)
			}
			disk.Crash()
		}
	}
}

// After a disk that failed all is there once it works again; a slot's file that is damaged counts
// for nothing and harms no other.
func TestADiskThatFails(t *testing.T) {
	disk := crashfs.New(1)
	v, _, err := Open(disk)
	if err != nil {
		t.Fatal(err)
	}
	var want []consensus.DurableRecord
	for n := range byte(20) {
		k := consensus.DurableRecord{HardState: []byte{n}}
		full := errors.New("no space left")
		fails := n%4 == 1
		disk.Fail = func(op, _ string) error {
			if fails && (op == "write" || op == "sync") {
				return full
			}
			return nil
		}
		if err := v.Append(&k); fails != (err != nil) {
			t.Fatal(n, err)
		}
		if fails = false; n%4 == 1 { // it is given again
			if err := v.Append(&k); err != nil {
				t.Fatal(n, err)
			}
		}
		want = append(want, k)
	}
	for _, slot := range []int{1, 2} {
		if err := v.SaveSlot(&replication.SlotSnapshot{Slot: slot, LastSeq: 9}); err != nil {
			t.Fatal(err)
		}
	}
	f, err := disk.Create("slot-0003")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Write([]byte("RYCV and no more")); err != nil {
		t.Fatal(err)
	}
	if err := v.Close(); err != nil {
		t.Fatal(err)
	}
	_, found, err := Open(disk)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, found.Log, cmpopts.EquateEmpty()); diff != "" {
		t.Error(diff)
	}
	if len(found.Slots) != 2 || found.DamagedSlots != 1 {
		t.Errorf("%d slots are found, %d bad", len(found.Slots), found.DamagedSlots)
	}
}
