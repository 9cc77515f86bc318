package link

import (
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/peers/consensus"
	"ryepaddle/internal/peers/lease"
	"ryepaddle/internal/peers/placement"
	"ryepaddle/internal/peers/replication"
	"ryepaddle/internal/peers/usagereplica"
	"ryepaddle/internal/testing/golden"
	"ryepaddle/internal/usage/ledger"
)

// sampleRecord returns a record with every field set.
func sampleRecord() *store.Record {
	return &store.Record{
		Kind:      store.RunEnded,
		Name:      store.KeyName{Class: "hand-in", Tenant: "north", Key: "key-1"},
		Owner:     1<<40 | 7,
		WrittenAt: 1_700_000_000_000_001,
		ExpiresAt: 1_700_000_013_000_002,
		BodyHash: [32]byte{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22,
			23, 24, 25, 26, 27, 28, 29, 30, 31, 32},
		Status: 3,
		Result: &store.Result{
			Status:     201,
			Fields:     []store.Field{{Name: "Content-Type", Value: "text/plain"}, {Name: "X-Seat", Value: "4"}},
			Body:       []byte("handed in"),
			Compressed: true,
		},
		SyncedBytes: 4096,
		Count:       12,
	}
}

func sampleReplication() *replication.Message {
	return &replication.Message{
		Type:        replication.MsgAppend,
		From:        "runner-a",
		To:          "runner-b",
		Slot:        17,
		Epoch:       300,
		RequestID:   70_000,
		Outcome:     replication.OutcomeRetry,
		InDoubt:     true,
		RetryAfter:  250_000,
		Base:        41,
		Seq:         43,
		Reset:       true,
		Quarantine:  1_500_000,
		EpochStarts: []replication.EpochStart{{Epoch: 299, FirstSeq: 40}, {Epoch: 300, FirstSeq: 42}},
		Entries:     []replication.Entry{{Seq: 42, Epoch: 300, Remaining: 12_000_000, Record: sampleRecord()}},
		Incarnation: 5_000_000_000,
		Serial:      99,
	}
}

func sampleMember() placement.Member {
	return placement.Member{
		Name:            "runner-a",
		Zone:            "west",
		Incarnation:     3_000_000_001,
		Process:         4_000_000_002,
		PrevIncarnation: 3_000_000_000,
		Leaving:         true,
		NewestChange:    placement.ChangeJoinV3,
		KeepsUsage:      true,
		LeaseNames:      []string{"probe-east", "probe-west"},
	}
}

func sampleTable() *placement.Table {
	return &placement.Table{
		Version: 1234,
		Backups: 2,
		Members: []placement.Member{sampleMember()},
		Slots: []placement.Slot{
			{Epoch: 8, Replicas: []string{"runner-a", "runner-b"}, Joining: []string{"runner-c"}, EmptyEpoch: 7},
			{Epoch: 9, Replicas: []string{"runner-b"}, Joining: []string{"runner-a"}, EmptyEpoch: 9},
		},
		BootstrapTime: 1_700_000_000,
		Leases: []placement.Lease{{
			Name:        "probe-west",
			Holder:      "runner-a",
			Incarnation: 3_000_000_001,
			Token:       1_700_000_000<<32 | 1200,
			Handover:    []byte{9, 8, 7},
			Abrupt:      true,
			Expirations: []placement.Expiration{{Name: "runner-c", Count: 2}},
			AskedAt:     123_456_789,
			Seq:         4,
			ReleasedBy:  "runner-b",
		}},
	}
}

func sampleConsensus() *consensus.Message {
	return &consensus.Message{
		Type:    consensus.MsgHeartbeatResp,
		From:    "runner-a",
		To:      "runner-b",
		Raft:    []byte{1, 2, 3},
		Member:  sampleMember(),
		Version: 1234,
		Leader:  "runner-c",
		Table:   sampleTable(),
		Changes: []placement.Change{{
			Kind:     placement.ChangeReleaseLease,
			Member:   sampleMember(),
			Slot:     17,
			Epoch:    300,
			Lease:    "probe-west",
			Token:    1_700_000_000<<32 | 1200,
			Handover: []byte{9, 8, 7},
			AskedAt:  123_456_789,
		}},
		SentAt:      987_654_321,
		RequestedID: 3_000_000_001<<8 | 1,
		HasLog:      true,
		IsReply:     true,
		VoterID:     3_000_000_001<<8 | 2,
		AskedAt:     123_456_790,
	}
}

func sampleUsage() *usagereplica.Message {
	return &usagereplica.Message{
		Type:        usagereplica.MsgAppend,
		From:        "runner-a",
		To:          "runner-b",
		Ledger:      "0011aabbccdd",
		Process:     4_000_000_002,
		Incarnation: 3_000_000_001,
		Seq:         88,
		Operations: []usagereplica.Operation{{
			Use: &ledger.Record{
				AnsweredAt:     1_700_000_000_000_001,
				Tenant:         "north",
				Class:          "hand-in",
				Outcome:        ledger.OutcomeDuplicate,
				Work:           25_000,
				Key:            1<<63 | 5,
				KeyExpiresAt:   1_700_000_013_000_002,
				KnownDuplicate: true,
			},
			Correction: &ledger.Correction{
				ID:     "c-1",
				Period: 1_699_999_800_000_000,
				Tenant: "north",
				Class:  "hand-in",
				Count: ledger.Count{
					Served:     -1,
					Duplicates: 2,
					TimedOut:   3,
					Rejected:   4,
					Failed:     5,
					Abandoned:  6,
					Work:       -7_000,
				},
				Reason: "counted twice",
				Author: "ops",
			},
			LostUses:   6,
			SealDigest: "5f5e",
			At:         1_700_000_000_000_003,
		}},
		Part:  2,
		Parts: 3,
		Bytes: []byte("a piece"),
		Settings: ledger.Settings{
			Instance: "runner-a",
			Period:   600_000_000,
			Slice:    60_000_000,
			Grace:    5_000_000,
			MaxKeys:  10_000,
			MaxLines: 100,
		},
		Name:       "usage-runner-a-0011aabbccdd-00000001.json",
		SnapshotID: 4,
	}
}

func sampleHealth() *lease.HealthReport {
	return &lease.HealthReport{
		From:    "runner-a",
		To:      "runner-b",
		Lease:   "probe-west",
		Token:   1_700_000_000<<32 | 1200,
		Servers: []lease.ServerHealth{{Group: "teachers", Server: "t-1", Healthy: true, Age: 120_000}},
	}
}

// Each message is encoded to the bytes of version 1 of the protocol, and those bytes are decoded to the
// same message: while an installation is upgraded, it has runners of two versions.
func TestMessagesKeepTheirBytes(t *testing.T) {
	for _, tt := range []struct {
		file  string
		frame Frame
	}{
		{"hello", Frame{Hello: &Hello{Installation: "school-west", Name: "runner-a", Version: 1}}},
		{"replication", Frame{Replication: sampleReplication()}},
		{"consensus", Frame{Consensus: sampleConsensus()}},
		{"usage", Frame{Usage: sampleUsage()}},
		{"health", Frame{Health: sampleHealth()}},
		{"all-fields", Frame{
			Hello:       &Hello{Installation: "school-west", Name: "runner-a", Version: 1},
			Replication: sampleReplication(),
			Consensus:   sampleConsensus(),
			Usage:       sampleUsage(),
			Health:      sampleHealth(),
			To:          "runner-c",
			From:        "runner-a",
		}},
	} {
		t.Run(tt.file, func(t *testing.T) {
			if tt.file == "all-fields" {
				golden.RequireAllSet(t, "Frame", tt.frame)
			}
			got, err := AppendFrame(nil, &tt.frame)
			if err != nil {
				t.Fatal(err)
			}
			path := filepath.Join("testdata", tt.file+".bin")
			golden.Check(t, path, got)
			want := golden.Read(t, path)
			frame, used, err := ReadFrame(want)
			if err != nil || used != len(want) {
				t.Fatalf("ReadFrame used %d of %d bytes, error %v, want all bytes", used, len(want), err)
			}
			if diff := cmp.Diff(&tt.frame, frame, cmpopts.IgnoreUnexported(replication.EpochStart{},
				store.Field{})); diff != "" {
				t.Errorf("decoded frame (-want +got)\n%s", diff)
			}
		})
	}
}
