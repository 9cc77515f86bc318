package consensus

import (
	"encoding/binary"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/tracker"

	"ryepaddle/internal/peers/placement"
)

// lead begins to lead, or ends it, and says who is lost.
func (c *Participant) lead() {
	leads := c.node.BasicStatus().RaftState == raft.StateLeader
	if leads && !c.leads { // it knows nothing of who was heard until now
		clear(c.last)
		clear(c.way)
		clear(c.asked)
		clear(c.fresh)
		clear(c.outs)
		c.duties.Reset()
		for _, m := range c.table.Members {
			c.last[m.Name] = c.now
		}
	}
	if c.leads = leads; !leads {
		c.asks, c.reads = nil, nil
		clear(c.snaps)
		return
	}
	c.resend()
	var changes []placement.Change
	for _, m := range c.table.Members {
		at, ok := c.last[m.Name]
		if !ok {
			c.last[m.Name] = c.now
		} else if m.Life != 0 && c.now-at > FailureTimeout {
			changes = append(changes, placement.Change{Kind: placement.ChangeLost, Member: m})
		}
		if m.Life == 0 &&
			(m.Leaving || len(c.cfg.KnownMembers) > 0 && !slices.Contains(c.cfg.KnownMembers, m.Name)) {
			changes = append(changes, placement.Change{Kind: placement.ChangeRemove, Member: m})
		}
	}
	if len(changes) == 0 {
		if s, ok := c.table.Rebalance(); ok {
			changes = append(changes, s)
		}
	}
	c.proposeAsLeader(append(changes, c.grants()...))
}

// resend has voters be told anew who wait for a snapshot that may have been lost on its way: the
// library sends them nothing until it is told so.
func (c *Participant) resend() {
	c.node.WithProgress(func(id uint64, _ raft.ProgressType, pr tracker.Progress) {
		switch at, ok := c.snaps[id]; {
		case pr.State != tracker.StateSnapshot:
			delete(c.snaps, id)
		case !ok:
			c.snaps[id] = c.now
		case c.now-at > FailureTimeout:
			delete(c.snaps, id)
			c.lost = append(c.lost, id)
		}
	})
	for _, id := range c.lost { // not from within, where the library is in the middle of it
		c.node.ReportSnapshot(id, raft.SnapshotFailure)
	}
	c.lost = c.lost[:0]
}

// grants are those of duties that nobody holds.
func (c *Participant) grants() []placement.Change {
	if len(c.cfg.LeaseRules.Rules) == 0 || !c.table.AllUnderstand(placement.ChangeJoinV2, c.cfg.Voters) {
		return nil
	}
	return c.duties.Grants(c.table, c.now, func(name string) int64 {
		if m, a := c.table.Member(name), c.asked[name]; m != nil && a.life == m.Life {
			return a.asked
		}
		return 0
	})
}

// requestReadIndex asks the other voters whether they still go by this leader, for those that hold duties and
// said that they are there.
func (c *Participant) requestReadIndex() {
	if !c.leads || len(c.reads) > 0 && c.now-c.readAt < again || len(c.asks) == 0 && len(c.reads) == 0 {
		return
	}
	c.reads = append(c.reads, c.asks...) // those whose question was lost are asked for again
	c.asks = nil
	c.readNo, c.readAt, c.readTo = c.readNo+1, c.now, 0
	c.node.ReadIndex(binary.BigEndian.AppendUint64(nil, c.readNo))
}

// confirmed tells those that were asked for what this leader's table was.
func (c *Participant) confirmed() {
	if c.readTo == 0 || c.applied < c.readTo {
		return
	}
	for _, a := range c.reads {
		switch m := c.table.Member(a.name); {
		case m == nil || m.Life != a.life:
		case a.name == c.cfg.Name:
			c.confirm(a.asked, c.table.Version)
		default:
			c.send(
				Message{
					Kind:    MsgHeartbeatResp,
					To:      a.name,
					Member:  placement.Member{Name: a.name, Life: a.life},
					Asked:   a.asked,
					Version: c.table.Version,
				},
			)
		}
	}
	c.reads, c.readTo = nil, 0
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
		if at, ok := c.way[string(data)]; ok && c.now-at < again {
			continue
		}
		if len(c.way) >= most {
			for k, at := range c.way {
				if c.now-at >= again {
					delete(c.way, k)
				}
			}
			if len(c.way) >= most {
				return // those that are under way come first; the rest is said again
			}
		}
		if c.node.Propose(data) == nil { // else there is no leader, or too much is under way
			if c.way[string(data)] = c.now; x.Kind == placement.ChangeLost {
				c.outs[x.Member.Name] = x.Member.Life
			}
		}
	}
}
