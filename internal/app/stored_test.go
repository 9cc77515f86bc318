package app

import (
	"encoding/json"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/google/go-cmp/cmp"

	"ryepaddle/internal/balancer/bulkhead"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/peers/node"
	"ryepaddle/internal/testing/golden"
	"ryepaddle/internal/upstream"
	"ryepaddle/internal/usage/metering"
)

func storedStatus() Status {
	return Status{
		Name: "n0", Version: "1.2.3", Draining: true, Open: 4, Connections: 5,
		Stats: lifecycle.Stats{
			Read: 100, Served: 60, Rejected: 10, Failed: 5, Expired: 4, Abandoned: 3, Withdrawn: 2,
			Attempts: 70, Duplicates: 6, Conflicts: 1,
		},
		Groups: []string{"teachers: 1 of 2 in service"},
		Servers: []upstream.ServerStatus{{
			Group: "teachers", Name: "t-1", Address: "10.0.0.1:9000", Zone: "west", Weight: 3, State: "out",
			StateSeconds: 12,
			Cause:        "errors", TrafficShare: 0.25, ActiveRequests: 2, Limit: 8, LatencyMs: 12.5,
			Requests: 400, Failures: 7, StateChanges: 2,
		}},
		Pools: []PoolStatus{{
			Group: "teachers", Limit: 16,
			PoolStatus: bulkhead.PoolStatus{Name: "exam", Running: 1, Waiting: 2, Floor: 3, Ceiling: 4},
		}},
		InventoryRejected: "inventory.ini:3: no address", KeysRejected: "the disk failed", KeyCount: 12,
		Peers: &node.Status{
			Version: 1234, IsLeader: true, IsMember: true, Unavailable: "too few others",
			FullyReplicated: 60, Slots: 64,
			Members: []string{"n0", "n1"}, Lost: []string{"n2"}, Leaving: []node.LeavingMember{{Name: "n1",
				Slots: 3}},
			Links: 2, Relayed: 7, HeldBytes: 4096, CatchUpBytes: 8192, Messages: 1000, Dropped: 4,
			Leases: []node.LeaseStatus{{
				Name: "checks-west", Holder: "n0", Token: 1200, HeldHere: true, RemainingMs: 450,
				Expirations: 1, HandoverBytes: 3,
			}},
			HealthChecks: &node.HealthCheckStatus{Performed: 30, Skipped: 40, Stale: 2},
		},
		UsageReplication: &metering.ReplicationStatus{
			Replicas: map[string]uint64{"n1": 5}, InSync: true,
			RemoteAccounts: 2, ExpiringAccounts: 1, UndeliveredStatements: 3,
		},
		Retained: []RetainedRequests{{Class: "hand-in", Status: "served", Total: 60, Retained: 50}},
	}
}

func storedEntries() ExplainAnswer {
	return ExplainAnswer{Entries: []ExplainedRequest{{
		ID: "r-1", Key: "key-1", OriginalID: "r-0", Class: "hand-in", Tenant: "north", Caller: 77,
		ArrivedMs: 1_700_000_000_123, WaitedMs: 1.5, TookMs: 25.25, Status: "refused",
		Cause: "no server took it", Value: 3.5, Limit: 2.5, RetryAfterMs: 400,
		Attempts:     []ExplainedAttempt{{Server: "t-1", Ms: 12.125, Outcome: "turned away"}},
		MoreAttempts: 2, KeyWaitMs: 0.75, KeyStoredOn: "copies", Represents: 9,
	}}}
}

// The JSON of the answers on the control socket must not change: commands and programs of different
// versions, from version 1 on, talk to each other.
func TestAnswersKeepTheirEncoding(t *testing.T) {
	for name, sample := range map[string]any{
		"status":  storedStatus(),
		"explain": storedEntries(),
		"levels":  LevelsAnswer{Levels: map[string]string{"peers": "debug"}},
		"metrics": MetricsAnswer{Text: "# HELP ryepaddle_open\n"},
		"correct": CorrectionAnswer{Known: true},
		"key": node.KeyStatus{
			Slot: 3, Epoch: 4, Replicas: []string{"n0", "n1"}, Joining: []string{"n2"}, QuarantineMs: 5,
			State: "begun", Owner: "n0",
			RemainingMs: 6, ResultBytes: 7,
		},
		"figures": Statistics{
			Served: map[string]int64{"check": 1}, Rejected: map[string]int64{"check": 2},
			Faulted:  map[string]int64{"check": 3},
			Attempts: 4, OpenRequests: 5, ReloadsAccepted: 6, ReloadsRejected: 7,
		},
	} {
		t.Run(name, func(t *testing.T) {
			golden.RequireAllSet(t, name, sample)
			got, err := json.MarshalIndent(sample, "", "  ")
			if err != nil {
				t.Fatal(err)
			}
			path := filepath.Join("testdata", "answers", name+".json")
			golden.Check(t, path, got)
			read := reflect.New(reflect.TypeOf(sample))
			if err := json.Unmarshal(golden.Read(t, path), read.Interface()); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(sample, read.Elem().Interface()); diff != "" {
				t.Errorf("decoded answer (-want +got)\n%s", diff)
			}
		})
	}
}
