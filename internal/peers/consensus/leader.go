package consensus

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/tracker"

	"ryepaddle/internal/peers/lease"
	"ryepaddle/internal/peers/placement"
	"ryepaddle/internal/wallclock"
)

// leaderState is the state that a participant uses while it is the leader.
type leaderState struct {
	isLeader         bool
	lastHeard        map[string]time.Duration // when each runner's last heartbeat was received, by name
	pendingProposals map[string]time.Duration // when each proposal was made, by the encoded change
	newProcesses     map[string]newProcess    // by name
	proposedLost     map[string]uint64        // incarnations that this leader proposed to declare lost, by name

	snapshotPendingSince map[uint64]time.Duration // since when a voter has waited for a snapshot, by voter ID
	failedSnapshots      []uint64                 // IDs of voters whose snapshot may be lost

	granter       *lease.Granter
	leaseReleased bool                    // a lease was released since leases were last granted
	leaseRequests map[string]leaseRequest // the newest of each runner, by name
	// pendingConfirmations wait for the next read index, readIndexRequests for the current one.
	pendingConfirmations []leaseRequest
	readIndexRequests    []leaseRequest
	readIndexID          uint64        // identifies the current read index request
	readIndexAt          time.Duration // when the current read index was requested
	readIndex            uint64        // the index that a quorum confirmed; 0: not confirmed yet
}

// leaseRequest is the part of a heartbeat that asks the leader to grant or renew leases.
type leaseRequest struct {
	name        string
	incarnation uint64
	askedAt     time.Duration // by the runner's own lease clock
}

func newLeaderState(cfg Config) leaderState {
	return leaderState{
		lastHeard:            map[string]time.Duration{},
		pendingProposals:     map[string]time.Duration{},
		newProcesses:         map[string]newProcess{},
		proposedLost:         map[string]uint64{},
		snapshotPendingSince: map[uint64]time.Duration{},
		granter:              lease.NewGranter(cfg.LeaseRules, cfg.StartedAt),
		leaseRequests:        map[string]leaseRequest{},
	}
}

// runLeader tracks whether this voter is the Raft leader and does the leader's periodic work: it
// proposes to declare silent runners lost, to remove lost runners that are leaving or no longer in
// the operator's file, to rebalance slots and to grant leases.
func (c *Participant) runLeader() {
	isLeader := c.rawNode.BasicStatus().RaftState == raft.StateLeader
	if isLeader && !c.isLeader {
		c.beginTerm()
	}
	if c.isLeader = isLeader; !isLeader {
		c.pendingConfirmations = nil
		c.readIndexRequests = nil
		clear(c.snapshotPendingSince)
		return
	}
	c.reportLostSnapshots()
	changes := c.membershipChanges()
	if len(changes) == 0 {
		if change, ok := c.table.Rebalance(); ok {
			changes = append(changes, change)
		}
	}
	c.proposeAsLeader(append(changes, c.leaseGrants()...))
}

// beginTerm clears the state of an earlier term of this leader. All members count as heard from
// at this time, so that none is declared lost before FailureTimeout has passed.
func (c *Participant) beginTerm() {
	clear(c.lastHeard)
	clear(c.pendingProposals)
	clear(c.leaseRequests)
	clear(c.newProcesses)
	clear(c.proposedLost)
	c.granter.Reset()
	for _, m := range c.table.Members {
		c.lastHeard[m.Name] = c.now
	}
}

// membershipChanges returns the changes that declare each member lost that has not been heard from for
// FailureTimeout, and that remove lost members that are leaving or no longer in the operator's file.
func (c *Participant) membershipChanges() (changes []placement.Change) {
	for _, m := range c.table.Members {
		at, ok := c.lastHeard[m.Name]
		if !ok {
			c.lastHeard[m.Name] = c.now
		} else if m.Incarnation != 0 && c.now-at > FailureTimeout {
			changes = append(changes, placement.Change{Kind: placement.ChangeLost, Member: m})
		}
		if m.Incarnation == 0 && (m.Leaving || c.isRemovedFromFile(m.Name)) {
			changes = append(changes, placement.Change{Kind: placement.ChangeRemove, Member: m})
		}
	}
	return changes
}

// isRemovedFromFile reports whether the operator's file lists members and the named one is not among
// them.
func (c *Participant) isRemovedFromFile(name string) bool {
	return len(c.cfg.KnownMembers) > 0 && !slices.Contains(c.cfg.KnownMembers, name)
}

// reportLostSnapshots reports to the Raft library the snapshots that a voter has not acknowledged
// within FailureTimeout and that may therefore be lost. Without the report the library would send
// that voter nothing more.
func (c *Participant) reportLostSnapshots() {
	c.rawNode.WithProgress(func(id uint64, _ raft.ProgressType, progress tracker.Progress) {
		switch since, ok := c.snapshotPendingSince[id]; {
		case progress.State != tracker.StateSnapshot:
			delete(c.snapshotPendingSince, id)
		case !ok:
			c.snapshotPendingSince[id] = c.now
		case c.now-since > FailureTimeout:
			delete(c.snapshotPendingSince, id)
			c.failedSnapshots = append(c.failedSnapshots, id)
		}
	})
	for _, id := range c.failedSnapshots { // not within WithProgress: ReportSnapshot changes the progress
		c.rawNode.ReportSnapshot(id, raft.SnapshotFailure)
	}
	c.failedSnapshots = c.failedSnapshots[:0]
}

// proposeAsLeader proposes those changes that all voters understand. A change whose proposal is still
// pending is not proposed again before proposalRetryInterval has passed.
func (c *Participant) proposeAsLeader(changes []placement.Change) {
	for _, change := range changes {
		if change.Kind > placement.ChangeSetPrimary && !c.table.AllUnderstand(change.Kind, c.cfg.Voters) {
			continue
		}
		data, err := cbor.Marshal(change)
		if err != nil {
			continue // unreachable: changes consist of numbers, strings and bytes, which can be encoded
		}
		key := string(data)
		if at, ok := c.pendingProposals[key]; ok && c.now-at < proposalRetryInterval {
			continue
		}
		if !c.hasProposalRoom() {
			return
		}
		if c.rawNode.Propose(data) != nil { // no leader, or the uncommitted entries exceed their bound
			continue
		}
		c.pendingProposals[key] = c.now
		if change.Kind == placement.ChangeLost {
			c.proposedLost[change.Member.Name] = change.Member.Incarnation
		}
	}
}

// hasProposalRoom reports whether another proposal may become pending. At the bound it first drops
// those that were not committed within proposalRetryInterval.
func (c *Participant) hasProposalRoom() bool {
	if len(c.pendingProposals) < maxPendingProposals {
		return true
	}
	for key, at := range c.pendingProposals {
		if c.now-at >= proposalRetryInterval {
			delete(c.pendingProposals, key)
		}
	}
	return len(c.pendingProposals) < maxPendingProposals
}

// leaseGrants returns changes that grant the leases without a holder.
func (c *Participant) leaseGrants() []placement.Change {
	if len(c.cfg.LeaseRules.Rules) == 0 || !c.table.AllUnderstand(placement.ChangeJoinV2, c.cfg.Voters) {
		return nil
	}
	return c.granter.Grants(c.table, c.now, func(name string) time.Duration {
		m := c.table.Member(name)
		request := c.leaseRequests[name]
		if m == nil || request.incarnation != m.Incarnation {
			return 0
		}
		return request.askedAt
	})
}

// recordLeaseRequest records the lease request in a runner's heartbeat. If the runner holds leases,
// they are renewed once a quorum has confirmed this leader after the heartbeat. They are not renewed
// if this leader has proposed to declare the runner lost: another member may be granted them before
// the runner learns of it.
func (c *Participant) recordLeaseRequest(m *Message) {
	if m.AskedAt == 0 {
		return
	}
	request := leaseRequest{m.From, m.Member.Incarnation, m.AskedAt.Duration()}
	c.leaseRequests[m.From] = request
	if c.table.LeaseCount(m.From) == 0 {
		return
	}
	if member := c.table.Member(m.From); member != nil && member.Incarnation == c.proposedLost[m.From] {
		return
	}
	sameName := func(r leaseRequest) bool { return r.name == m.From }
	c.pendingConfirmations = append(slices.DeleteFunc(c.pendingConfirmations, sameName), request)
}

// requestReadIndex requests a read index, by which a quorum confirms that this voter is still the
// leader (Raft section 6.4), for the lease holders whose heartbeats came since the last request. One
// request is in flight at a time. If it is not confirmed within proposalRetryInterval, it counts as
// lost and the next request includes its lease requests.
func (c *Participant) requestReadIndex() {
	inFlight := len(c.readIndexRequests) > 0
	switch {
	case !c.isLeader:
		return
	case inFlight && c.now-c.readIndexAt < proposalRetryInterval:
		return
	case !inFlight && len(c.pendingConfirmations) == 0:
		return
	}
	c.readIndexRequests = append(c.readIndexRequests, c.pendingConfirmations...)
	c.pendingConfirmations = nil
	c.readIndexID, c.readIndexAt, c.readIndex = c.readIndexID+1, c.now, 0
	c.rawNode.ReadIndex(binary.BigEndian.AppendUint64(nil, c.readIndexID))
}

// sendConfirmations answers the lease requests of a confirmed read index once the table includes all
// changes up to that index.
func (c *Participant) sendConfirmations() {
	if c.readIndex == 0 || c.appliedIndex < c.readIndex {
		return
	}
	for _, request := range c.readIndexRequests {
		switch m := c.table.Member(request.name); {
		case m == nil || m.Incarnation != request.incarnation:
		case request.name == c.cfg.Name:
			c.leaderConfirmed(request.askedAt, c.table.Version)
		default:
			c.sendConfirmation(request)
		}
	}
	c.readIndexRequests = nil
	c.readIndex = 0
}

func (c *Participant) sendConfirmation(request leaseRequest) {
	c.send(Message{
		Type:    MsgHeartbeatResp,
		To:      request.name,
		Member:  placement.Member{Name: request.name, Incarnation: request.incarnation},
		AskedAt: wallclock.MicrosOf(request.askedAt),
		Version: c.table.Version,
	})
}
