package wal_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/peers/consensus"
	"ryepaddle/internal/peers/lease"
	"ryepaddle/internal/peers/placement"
	"ryepaddle/internal/peers/replication"
	"ryepaddle/internal/peers/wal"
	"ryepaddle/internal/testing/golden"
)

const storedDir = "testdata/stored"

// storedSlot returns the slot snapshot in testdata.
func storedSlot() replication.SlotSnapshot {
	return replication.SlotSnapshot{
		Slot:        3,
		LastEpoch:   12,
		LastSeq:     14,
		EpochStarts: []replication.EpochStart{{Epoch: 11, FirstSeq: 9}, {Epoch: 12, FirstSeq: 13}},
		Entries: []replication.Entry{
			{Seq: 13, Epoch: 12, Remaining: 12_000_000, Record: &store.Record{
				Kind:      store.RunStarted,
				Name:      store.KeyName{Class: "hand-in", Tenant: "north", Key: "key-1"},
				Owner:     1<<40 | 7,
				WrittenAt: 1_700_000_000_000_001,
				ExpiresAt: 1_700_000_013_000_002,
				BodyHash:  [32]byte{1, 2, 31: 32},
			}},
			{Seq: 14, Epoch: 12, Remaining: 11_000_000, Record: &store.Record{
				Kind:      store.RunEnded,
				Name:      store.KeyName{Class: "hand-in", Tenant: "north", Key: "key-2"},
				Owner:     1<<40 | 8,
				WrittenAt: 1_700_000_000_500_000,
				ExpiresAt: 1_700_000_013_500_000,
				BodyHash:  [32]byte{3, 4, 31: 5},
				Result: &store.Result{
					Status: 201,
					Fields: []store.Field{{Name: "Content-Type", Value: "text/plain"}},
					Body:   []byte("handed in"),
				},
			}},
		},
	}
}

// storedMember returns the only voter of the consensus group in testdata.
func storedMember() placement.Member {
	return placement.Member{
		Name:        "runner-a",
		Zone:        "west",
		Incarnation: 1_700_000_000,
		Process:     4_000_000_002,
		KeepsUsage:  true,
	}
}

func voter(t *testing.T, disk []consensus.DurableRecord) *consensus.Participant {
	t.Helper()
	c, err := consensus.New(
		consensus.Config{
			Name:      "runner-a",
			Voters:    []string{"runner-a"},
			Slots:     4,
			Backups:   1,
			StartedAt: 1_700_000_000,
			LeaseRules: lease.Rules{MaxPerMember: 1, ExpiryBackoff: time.Second,
				Rules: []lease.Rule{{Name: "probe-west"}}},
			Clock: func() time.Duration { return 77 * time.Second },
		},
		storedMember(), disk, time.Second,
	)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// agreeOnTable runs a consensus group of one voter until it has agreed on a table, and returns the
// voter's log. The grouping of entries into records differs from run to run.
func agreeOnTable(t *testing.T) (log []consensus.DurableRecord) {
	t.Helper()
	c := voter(t, nil)
	changes := 0
	for now := time.Second; now < 6*time.Second; now += 50 * time.Millisecond {
		c.Tick(now)
		// Enough changes for a snapshot to compact the log, and some more after it. They name a member
		// that is not in the table, therefore they only increase the table's version.
		for range 16 {
			if c.IsLeader() && changes < 1040 {
				changes++
				stay := placement.Change{Kind: placement.ChangeStay,
					Member: placement.Member{Name: fmt.Sprint(changes)}}
				c.Propose([]placement.Change{stay}, now)
			}
		}
		_, record, err := c.Ready()
		if err != nil {
			t.Fatal(err)
		}
		if record != nil {
			log = append(log, *record)
		}
	}
	return log
}

// writeFolder writes a log and the slot snapshot into an empty folder.
func writeFolder(t *testing.T, dir string, records []consensus.DurableRecord) {
	t.Helper()
	log, _, err := wal.Open(store.Dir(dir))
	if err != nil {
		t.Fatal(err)
	}
	for i := range records {
		if err := log.Append(&records[i]); err != nil {
			t.Fatal(err)
		}
	}
	slot := storedSlot()
	if err := log.SaveSlot(&slot); err != nil {
		t.Fatal(err)
	}
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	if err := os.Remove(filepath.Join(dir, "lock")); err != nil {
		t.Fatal(err)
	}
}

// Reads a folder that version 1 wrote: the records of the consensus group's log, the table that a voter
// restores from them, and the snapshot of a slot.
func TestReadsFolderOfVersion1(t *testing.T) {
	if golden.Writing() {
		golden.Clear(t, storedDir)
		writeFolder(t, storedDir, agreeOnTable(t))
	}
	dir := golden.Copy(t, storedDir)
	log, found, err := wal.Open(store.Dir(dir))
	if err != nil {
		t.Fatal(err)
	}
	if found.TruncatedBytes != 0 || found.DamagedSlots != 0 {
		t.Errorf("truncated bytes = %d, damaged slots = %d, want none", found.TruncatedBytes, found.DamagedSlots)
	}
	if diff := cmp.Diff(
		[]replication.SlotSnapshot{storedSlot()},
		found.Slots,
		cmpopts.IgnoreUnexported(replication.EpochStart{}, store.Field{}),
	); diff != "" {
		t.Errorf("slots (-want +got)\n%s", diff)
	}
	checkLog(t, found.Log)
	restored := voter(t, found.Log)
	if _, _, err := restored.Ready(); err != nil { // applies the committed entries
		t.Fatal(err)
	}
	table := restored.Table()
	if diff := cmp.Diff(storedTable(), table); diff != "" {
		t.Errorf("table (-want +got)\n%s", diff)
	}
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
}

// The same records are written with the bytes of version 1.
func TestWritesBytesOfVersion1(t *testing.T) {
	log, found, err := wal.Open(store.Dir(golden.Copy(t, storedDir)))
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	golden.CheckDir(t, storedDir, func(dir string) { writeFolder(t, dir, found.Log) })
}

// checkLog compares the Raft states, entries and snapshots of a log with those of the log in testdata.
func checkLog(t *testing.T, log []consensus.DurableRecord) {
	t.Helper()
	type record struct {
		ID       uint64
		Term     uint64
		Vote     uint64
		Commit   uint64
		First    uint64 // index of the first entry
		Last     uint64 // index of the last entry
		Snapshot uint64
	}
	var got []record
	for _, k := range log {
		r := record{ID: k.VoterID}
		if k.HardState != nil {
			state := &raftpb.HardState{}
			if err := proto.Unmarshal(k.HardState, state); err != nil {
				t.Fatal(err)
			}
			r.Term, r.Vote, r.Commit = state.GetTerm(), state.GetVote(), state.GetCommit()
		}
		for _, b := range k.Entries {
			entry := &raftpb.Entry{}
			if err := proto.Unmarshal(b, entry); err != nil {
				t.Fatal(err)
			}
			if r.First == 0 {
				r.First = entry.GetIndex()
			}
			r.Last = entry.GetIndex()
		}
		if k.Snapshot != nil {
			snapshot := &raftpb.Snapshot{}
			if err := proto.Unmarshal(k.Snapshot, snapshot); err != nil {
				t.Fatal(err)
			}
			r.Snapshot = snapshot.GetMetadata().GetIndex()
		}
		got = append(got, r)
	}
	want := []record{
		{ID: 1, Term: 1, Vote: 1, Commit: 1013, Snapshot: 1013},
		{Term: 1, Vote: 1, Commit: 1029, First: 1014, Last: 1029},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("log (-want +got)\n%s", diff)
	}
}

// storedTable returns the table that the consensus group in testdata agreed on.
func storedTable() *placement.Table {
	slot := placement.Slot{Epoch: 1, Replicas: []string{"runner-a"}, EmptyEpoch: 1}
	member := storedMember()
	member.NewestChange = placement.ChangeJoinV3
	member.LeaseNames = []string{"probe-west"}
	return &placement.Table{
		Version:       1027,
		Backups:       1,
		Members:       []placement.Member{member},
		Slots:         []placement.Slot{slot, slot, slot, slot},
		BootstrapTime: 1_700_000_000,
		Leases: []placement.Lease{{
			Name:        "probe-west",
			Holder:      "runner-a",
			Incarnation: 1_700_000_000,
			Token:       1_700_000_000<<32 | 19,
			AskedAt:     77_000_000,
		}},
	}
}
