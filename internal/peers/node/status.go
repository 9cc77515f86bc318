package node

import (
	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/peers/placement"
)

// KeyStatus tells where a key is replicated and which record of it this runner has. Operators read its
// JSON form.
type KeyStatus struct {
	Slot     int      `json:"slot"`
	Epoch    uint64   `json:"epoch"`
	Replicas []string `json:"set"` // the primary first
	Joining  []string `json:"joining,omitempty"`
	// QuarantineMs is for how long the slot accepts no new keys, as far as this runner knows.
	QuarantineMs int64 `json:"quiet_ms,omitempty"`
	// State is begun, ended, forgotten, KeyNotHeld or KeyUnknown.
	State       string `json:"here"`
	Owner       string `json:"by,omitempty"`      // the runner whose process executes or executed the run
	RemainingMs int64  `json:"left_ms,omitempty"` // of the key's window
	ResultBytes int    `json:"bytes,omitempty"`
}

// States of a key of which this node has no record.
const (
	KeyNotHeld = "not held" // this node is no replica of the key's slot
	KeyUnknown = "unknown"  // this node is a replica of the slot, and has no record of the key
)

// KeyStatus returns the status of a key as this runner knows it.
func (n *Node) KeyStatus(name store.KeyName) *KeyStatus {
	t := n.consensus.Table()
	info := n.replica.Lookup(name, n.loop.Now())
	s := &KeyStatus{
		Slot:         info.Slot,
		QuarantineMs: info.Quarantine.Milliseconds(),
		State:        KeyNotHeld,
		RemainingMs:  info.Remaining.Milliseconds(),
	}
	if info.Slot < len(t.Slots) {
		slot := &t.Slots[info.Slot]
		s.Epoch = slot.Epoch
		s.Replicas = slot.Replicas
		s.Joining = slot.Joining
	}
	switch record := info.Record; {
	case record != nil:
		s.State, s.Owner = stateName(record.Kind), ownerName(t, record)
		if record.Result != nil {
			s.ResultBytes = len(record.Result.Body)
		}
	case info.Held:
		s.State = KeyUnknown
	}
	return s
}

// stateName returns the KeyStatus.State of a key whose record is of the given kind.
func stateName(kind store.RecordKind) string {
	switch kind {
	case store.RunStarted:
		return "begun"
	case store.RunEnded:
		return "ended"
	case store.KeyReleased:
		return "forgotten"
	}
	return ""
}

// ownerName returns the name of the runner whose process owns a record, or a text saying that the
// process no longer belongs to a member.
func ownerName(t *placement.Table, record *store.Record) string {
	owner := "a process that is gone"
	for _, m := range t.Members {
		if m.Incarnation != 0 && m.Process == uint32(record.Owner>>32) {
			owner = m.Name
		}
	}
	return owner
}

// Status is the state of replication as this runner knows it. Operators read its JSON form.
type Status struct {
	Version         uint64          `json:"version"` // of the table
	IsLeader        bool            `json:"leads"`   // this runner is the consensus group's leader
	IsMember        bool            `json:"in"`
	Unavailable     string          `json:"closed,omitempty"` // why no new keys are accepted
	FullyReplicated int             `json:"slots_whole"`
	Slots           int             `json:"slots"`
	Members         []string        `json:"members"` // the members that are not lost
	Lost            []string        `json:"lost,omitempty"`
	Leaving         []LeavingMember `json:"leaving,omitempty"`
	Links           int             `json:"links"`                     // connections to peers
	Relayed         int64           `json:"messages_passed,omitempty"` // messages relayed between other runners
	HeldBytes       int             `json:"bytes_held"`                // approximate size of the records
	CatchUpBytes    int64           `json:"bytes_copied"`              // sent to replicas to bring them up to date
	Messages        int64           `json:"messages_sent"`
	Dropped         int64           `json:"messages_dropped"`
	Leases          []LeaseStatus   `json:"duties,omitempty"`
	// HealthChecks is set if there are zones whose servers one runner checks for all.
	HealthChecks *HealthCheckStatus `json:"checks,omitempty"`
}

// HealthCheckStatus counts health checks of servers.
type HealthCheckStatus struct {
	Performed int64 `json:"made"`   // checks by this runner
	Skipped   int64 `json:"spared"` // checks skipped because another runner had reported the server
	Stale     int64 `json:"late"`   // rejected reports of runners that had lost the lease
}

// LeavingMember is a member that is giving up its slots.
type LeavingMember struct {
	Name  string `json:"name"`
	Slots int    `json:"holds"` // how many slots it still holds
}

// Status returns the state of replication as this runner knows it.
func (n *Node) Status() *Status {
	t := n.consensus.Table()
	s := &Status{
		Version:         t.Version,
		IsLeader:        n.consensus.IsLeader(),
		IsMember:        n.replica.IsMember(),
		FullyReplicated: t.FullyReplicatedSlots(),
		Slots:           len(t.Slots),
		Messages:        n.transport.Sent,
		Dropped:         n.transport.Dropped,
		Links:           n.transport.Connections(),
		Relayed:         n.transport.Relayed,
		CatchUpBytes:    n.replica.CatchUpBytes,
		HeldBytes:       n.replica.HeldBytes,
		Leases:          n.leases.status(),
	}
	_, s.Unavailable = n.replica.Unavailable(n.loop.Now())
	if len(n.cfg.CheckedZones) > 0 {
		c := n.leases.HealthChecks
		s.HealthChecks = &HealthCheckStatus{Performed: c.Performed, Skipped: c.Skipped, Stale: c.Stale}
	}
	for _, m := range t.Members {
		if m.Leaving {
			s.Leaving = append(s.Leaving, LeavingMember{m.Name, t.SlotCount(m.Name)})
		}
		if m.Incarnation != 0 {
			s.Members = append(s.Members, m.Name)
		} else {
			s.Lost = append(s.Lost, m.Name)
		}
	}
	return s
}
