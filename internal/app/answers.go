package app

import (
	"ryepaddle/internal/balancer/bulkhead"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/peers/node"
	"ryepaddle/internal/upstream"
	"ryepaddle/internal/usage/metering"
)

// Status is the answer to status: the state of the whole program.
type Status struct {
	Name        string                  `json:"name"`
	Version     string                  `json:"version"`
	Draining    bool                    `json:"draining,omitempty"`
	Open        int                     `json:"open"`
	Connections int                     `json:"connections"`
	Stats       lifecycle.Stats         `json:"since_start"`
	Groups      []string                `json:"groups,omitempty"`
	Servers     []upstream.ServerStatus `json:"servers,omitempty"`
	Pools       []PoolStatus            `json:"pools,omitempty"`
	// InventoryRejected is why the inventory's files are not applied; empty: they are applied.
	InventoryRejected string `json:"inventory_refused,omitempty"`
	// KeysRejected is why new keys are rejected; empty: they are accepted.
	KeysRejected string       `json:"keys_refused,omitempty"`
	KeyCount     int          `json:"keys_held"`
	Peers        *node.Status `json:"peers,omitempty"`
	// UsageReplication is the state of the usage ledger's replicas on peers; nil: it is not replicated.
	UsageReplication *metering.ReplicationStatus `json:"accounts,omitempty"`
	Retained         []RetainedRequests          `json:"remembered,omitempty"`
}

// PoolStatus is the state of a pool of slots in front of a group of servers.
type PoolStatus struct {
	Group string `json:"group"`
	Limit int    `json:"limit"` // slots of the whole group
	bulkhead.PoolStatus
}

// RetainedRequests is how many requests of a class and status there were since the start, and how many
// of them the request log retains, so that they can be explained.
type RetainedRequests struct {
	Class    string `json:"class"`
	Status   string `json:"kind"`
	Total    uint64 `json:"seen"`
	Retained int    `json:"kept"`
}

// ExplainAnswer is the answer to explain.
type ExplainAnswer struct {
	Entries []ExplainedRequest `json:"entries"`
}

// ExplainedRequest describes an answered request: who sent it, how it was handled and how it ended.
type ExplainedRequest struct {
	ID  string `json:"id"`
	Key string `json:"key,omitempty"`
	// OriginalID is the ID of the first request with the same key; empty: this request is the first.
	OriginalID string `json:"repeats,omitempty"`
	Class      string `json:"class"`
	Tenant     string `json:"tenant,omitempty"`
	Caller     uint32 `json:"caller"`
	ArrivedMs  int64  `json:"arrived_ms"` // Unix time
	// WaitedMs is the time from its arrival until it started, or was answered if it never ran.
	WaitedMs     float64            `json:"waited_ms"`
	TookMs       float64            `json:"took_ms"` // from its arrival until it was answered
	Status       string             `json:"end"`
	Cause        string             `json:"cause,omitempty"`
	Value        float64            `json:"value,omitempty"` // value that was compared with Limit
	Limit        float64            `json:"limit,omitempty"`
	RetryAfterMs int64              `json:"come_back_ms,omitempty"`
	Attempts     []ExplainedAttempt `json:"tries,omitempty"`
	MoreAttempts int                `json:"more_tries,omitempty"` // beyond those in Attempts
	// KeyWaitMs is how long the request waited until its key was durable.
	KeyWaitMs float64 `json:"kept_ms,omitempty"`
	// KeyStoredOn is KeyStoredOnPeers or KeyStoredOnDisk; empty: the request did not wait for its key.
	KeyStoredOn string `json:"kept_by,omitempty"`
	// Represents is how many requests of the same class and status this one stands for, since only a
	// sample is retained; 0: only itself.
	Represents int `json:"stands_for,omitempty"`
}

// Values of ExplainedRequest.KeyStoredOn: what makes the idempotency key of a request durable.
const (
	KeyStoredOnPeers = "copies"
	KeyStoredOnDisk  = "disk"
)

// ExplainedAttempt is an attempt on a server or on the engine.
type ExplainedAttempt struct {
	Server  string  `json:"server"` // empty: it ran on the engine
	Ms      float64 `json:"ms"`
	Outcome string  `json:"outcome"`
}

// MetricsAnswer is the answer to metrics, in the OpenMetrics text format.
type MetricsAnswer struct {
	Text string `json:"text"`
}

// LevelsAnswer is the answer to levels.
type LevelsAnswer struct {
	Levels map[string]string `json:"levels"` // log levels by area
}

// VersionAnswer is the answer to version.
type VersionAnswer struct {
	Version string `json:"version"`
}

// statusNames holds the names of the statuses of requests in metrics, traces, logs and answers.
var statusNames = map[lifecycle.Status]string{
	0:                    "gone",
	lifecycle.Served:     "served",
	lifecycle.Rejected:   "refused",
	lifecycle.Failed:     "failed",
	lifecycle.Expired:    "late",
	lifecycle.Conflict:   "misused",
	lifecycle.NotFound:   "foreign",
	lifecycle.ResultLost: "ran",
}

// outcomeNames holds the names of the outcomes of attempts in traces and answers.
var outcomeNames = map[lifecycle.Outcome]string{
	0:                        "not over",
	lifecycle.Succeeded:      "fine",
	lifecycle.Faulted:        "fault",
	lifecycle.Interrupted:    "broken off",
	lifecycle.TimedOut:       "out of time",
	lifecycle.Cancelled:      "stopped",
	lifecycle.NotStarted:     "not run",
	lifecycle.CallRejected:   "turned away",
	lifecycle.Unreachable:    "unreachable",
	lifecycle.UnknownRequest: "unknown",
}
