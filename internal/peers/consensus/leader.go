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

// leaderState is what the leader knows of the runners and of its proposals.
type leaderState struct {
	isLeader         bool
	lastHeard        map[string]time.Duration // the newest heartbeat of each runner
	pendingProposals map[string]time.Duration // encoded changes, and when they were proposed
	newProcesses     map[string]newProcess    // by name
	proposedLost     map[string]uint64        // incarnations that this leader proposed to declare lost

	snapshotPendingSince map[uint64]time.Duration // voters that wait for a snapshot
	failedSnapshots      []uint64                 // voters whose snapshot may be lost

	granter       *lease.Granter
	leaseReleased bool                    // a lease was released since leases were last granted
	leaseRequests map[string]leaseRequest // the newest of each runner
	// pendingConfirmations wait for the next read index, readIndexRequests for the present one.
	pendingConfirmations []leaseRequest
	readIndexRequests    []leaseRequest
	readIndexID          uint64
	readIndexAt          time.Duration // when it was requested
	readIndex            uint64        // the index that a quorum confirmed; 0: not yet
}

// leaseRequest is a heartbeat of a runner that may hold leases.
type leaseRequest struct {
	name        string
	incarnation uint64
	askedAt     time.Duration // by the runner's own clock
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

// runLeader follows the Raft group's elections and does the leader's periodic work: it declares
// runners lost, removes those that do not belong any more, spreads slots and grants leases.
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

// beginTerm forgets what an earlier term of this leader knew. All members count as heard now.
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

// membershipChanges returns the changes for members that were not heard for FailureTimeout, and for
// lost ones that are leaving or not in the operator's file any more.
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

// isRemovedFromFile reports whether the operator's file names members, and not this one.
func (c *Participant) isRemovedFromFile(name string) bool {
	return len(c.cfg.KnownMembers) > 0 && !slices.Contains(c.cfg.KnownMembers, name)
}

// reportLostSnapshots tells the Raft library of voters that have waited for a snapshot for so long
// that it may be lost: the library sends them nothing before it is told.
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
	for _, id := range c.failedSnapshots { // not during WithProgress, which iterates over the progress
		c.rawNode.ReportSnapshot(id, raft.SnapshotFailure)
	}
	c.failedSnapshots = c.failedSnapshots[:0]
}

// proposeAsLeader proposes changes that all voters understand. One that is under way is not proposed
// again before proposalRetryInterval.
func (c *Participant) proposeAsLeader(changes []placement.Change) {
	for _, change := range changes {
		if change.Kind > placement.ChangeSetPrimary && !c.table.AllUnderstand(change.Kind, c.cfg.Voters) {
			continue
		}
		data, err := cbor.Marshal(change)
		if err != nil {
			continue // unreachable: a change is made of numbers and strings
		}
		key := string(data)
		if at, ok := c.pendingProposals[key]; ok && c.now-at < proposalRetryInterval {
			continue
		}
		if !c.hasProposalRoom() {
			return
		}
		if c.rawNode.Propose(data) != nil { // there is no leader, or too much is uncommitted
			continue
		}
		c.pendingProposals[key] = c.now
		if change.Kind == placement.ChangeLost {
			c.proposedLost[change.Member.Name] = change.Member.Incarnation
		}
	}
}

// hasProposalRoom reports whether there may be another proposal under way, after those that were not
// committed in time are forgotten.
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

// leaseGrants returns the grants of leases that nobody holds.
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

// recordLeaseRequest notes a heartbeat of a runner that may hold leases. A holder has its leases
// renewed once a quorum confirms this leader after that; one that this leader proposed to declare
// lost has not: its leases may be another's before it learns of that.
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

// requestReadIndex asks the other voters whether they still follow this leader (Raft section 6.4),
// for the holders of leases whose heartbeats came since. One request is under way at a time; those
// of a request that is lost are asked for again.
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

// sendConfirmations answers the requests of a confirmed read index once the table has all changes up
// to that index.
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
