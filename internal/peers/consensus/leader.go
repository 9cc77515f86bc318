package consensus

import (
	"encoding/binary"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/tracker"

	"ryepaddle/internal/peers/placement"
)

// runLeader begins to lead, or ends it, and says who is lost.
func (c *Participant) runLeader() {
	leads := c.rawNode.BasicStatus().RaftState == raft.StateLeader
	if leads && !c.isLeader { // it knows nothing of who was heard until now
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
	if c.isLeader = leads; !leads {
		c.pendingConfirmations, c.readIndexRequests = nil, nil
		clear(c.snapshotPendingSince)
		return
	}
	c.reportLostSnapshots()
	var changes []placement.Change
	for _, m := range c.table.Members {
		at, ok := c.lastHeard[m.Name]
		if !ok {
			c.lastHeard[m.Name] = c.now
		} else if m.Incarnation != 0 && c.now-at > FailureTimeout {
			changes = append(changes, placement.Change{Kind: placement.ChangeLost, Member: m})
		}
		if m.Incarnation == 0 &&
			(m.Leaving || len(c.cfg.KnownMembers) > 0 && !slices.Contains(c.cfg.KnownMembers, m.Name)) {
			changes = append(changes, placement.Change{Kind: placement.ChangeRemove, Member: m})
		}
	}
	if len(changes) == 0 {
		if s, ok := c.table.Rebalance(); ok {
			changes = append(changes, s)
		}
	}
	c.proposeAsLeader(append(changes, c.leaseGrants()...))
}

// reportLostSnapshots has voters be told anew who wait for a snapshot that may have been lost on its way: the
// library sends them nothing until it is told so.
func (c *Participant) reportLostSnapshots() {
	c.rawNode.WithProgress(func(id uint64, _ raft.ProgressType, pr tracker.Progress) {
		switch at, ok := c.snapshotPendingSince[id]; {
		case pr.State != tracker.StateSnapshot:
			delete(c.snapshotPendingSince, id)
		case !ok:
			c.snapshotPendingSince[id] = c.now
		case c.now-at > FailureTimeout:
			delete(c.snapshotPendingSince, id)
			c.failedSnapshots = append(c.failedSnapshots, id)
		}
	})
	for _, id := range c.failedSnapshots { // not from within, where the library is in the middle of it
		c.rawNode.ReportSnapshot(id, raft.SnapshotFailure)
	}
	c.failedSnapshots = c.failedSnapshots[:0]
}

// leaseGrants are those of duties that nobody holds.
func (c *Participant) leaseGrants() []placement.Change {
	if len(c.cfg.LeaseRules.Rules) == 0 || !c.table.AllUnderstand(placement.ChangeJoinV2, c.cfg.Voters) {
		return nil
	}
	return c.granter.Grants(c.table, c.now, func(name string) int64 {
		if m, a := c.table.Member(name), c.leaseRequests[name]; m != nil && a.incarnation == m.Incarnation {
			return a.askedAt
		}
		return 0
	})
}

// requestReadIndex asks the other voters whether they still go by this leader, for those that hold duties and
// said that they are there.
func (c *Participant) requestReadIndex() {
	if !c.isLeader || len(c.readIndexRequests) > 0 && c.now-c.readIndexAt < proposalRetryInterval || len(c.pendingConfirmations) == 0 && len(c.readIndexRequests) == 0 {
		return
	}
	c.readIndexRequests = append(c.readIndexRequests, c.pendingConfirmations...) // those whose question was lost are asked for again
	c.pendingConfirmations = nil
	c.readIndexID, c.readIndexAt, c.readIndex = c.readIndexID+1, c.now, 0
	c.rawNode.ReadIndex(binary.BigEndian.AppendUint64(nil, c.readIndexID))
}

// sendConfirmations tells those that were asked for what this leader's table was.
func (c *Participant) sendConfirmations() {
	if c.readIndex == 0 || c.appliedIndex < c.readIndex {
		return
	}
	for _, a := range c.readIndexRequests {
		switch m := c.table.Member(a.name); {
		case m == nil || m.Incarnation != a.incarnation:
		case a.name == c.cfg.Name:
			c.leaderConfirmed(a.askedAt, c.table.Version)
		default:
			c.send(
				Message{
					Type:    MsgHeartbeatResp,
					To:      a.name,
					Member:  placement.Member{Name: a.name, Incarnation: a.incarnation},
					AskedAt: a.askedAt,
					Version: c.table.Version,
				},
			)
		}
	}
	c.readIndexRequests, c.readIndex = nil, 0
}

// proposeAsLeader has changes agreed on, each once in a while.
func (c *Participant) proposeAsLeader(changes []placement.Change) {
	for _, x := range changes {
		if x.Kind > placement.ChangeSetPrimary && !c.table.AllUnderstand(x.Kind, c.cfg.Voters) {
			continue
		}
		data, err := cbor.Marshal(x)
		if err != nil {
			continue // it is made of numbers and names
		}
		if at, ok := c.pendingProposals[string(data)]; ok && c.now-at < proposalRetryInterval {
			continue
		}
		if len(c.pendingProposals) >= maxPendingProposals {
			for k, at := range c.pendingProposals {
				if c.now-at >= proposalRetryInterval {
					delete(c.pendingProposals, k)
				}
			}
			if len(c.pendingProposals) >= maxPendingProposals {
				return // those that are under way come first; the rest is said again
			}
		}
		if c.rawNode.Propose(data) == nil { // else there is no leader, or too much is under way
			if c.pendingProposals[string(data)] = c.now; x.Kind == placement.ChangeLost {
				c.proposedLost[x.Member.Name] = x.Member.Incarnation
			}
		}
	}
}
