package consensus

import (
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"ryepaddle/internal/peers/placement"
)

// handleHeartbeat hears of a runner.
func (c *Participant) handleHeartbeat(m Message) {
	if m.RequestedID != 0 && c.voterPosition(m.From) != 0 && c.requestedVoterID != 0 {
		c.restartingVoters[m.From] = m.HasLog
		_ = c.tryStart() // its figures are right
		return
	}
	// the other one may not have heard so
	if rests, ok := c.startedWithoutOthers(); ok && m.RequestedID != 0 && !m.IsReply {
		c.send(
			Message{
				Type:        MsgHeartbeat,
				To:          m.From,
				Member:      c.self,
				RequestedID: c.voterID,
				HasLog:      rests,
				IsReply:     true,
				SentAt:      c.now,
			},
		)
	}
	if !c.isLeader {
		if c.rawNode == nil {
			return
		}
		if lead := c.voterName(c.rawNode.BasicStatus().Lead); lead != "" {
			c.send(Message{Type: MsgHeartbeatResp, To: m.From, Leader: lead})
		}
		return
	}
	known := c.isEstablished(&m)
	if m.RequestedID != 0 && known {
		c.proposeVoterID(&m)
	}
	// A word that came late, from the process before this one, may have taken its number from it.
	if m.VoterID != 0 && c.voterPosition(m.From) == m.VoterID&0xff && !slices.Contains(c.confState.GetVoters(), m.VoterID) {
		c.send(Message{Type: MsgHeartbeatResp, To: m.From, VoterID: m.VoterID})
		return
	}
	c.lastHeard[m.From] = c.now
	if m.AskedAt != 0 {
		c.leaseRequests[m.From] = leaseRequest{m.From, m.Member.Incarnation, m.AskedAt}
		// Who is about to be held for lost is not told that it holds anything: its duties may be
		// another's before it hears so.
		if in := c.table.Member(m.From); c.table.LeaseCount(m.From) > 0 &&
			(in == nil || in.Incarnation != c.proposedLost[m.From]) {
			c.pendingConfirmations = append(
				slices.DeleteFunc(c.pendingConfirmations, func(a leaseRequest) bool { return a.name == m.From }),
				c.leaseRequests[m.From],
			)
		}
	}
	if in := c.table.Member(m.From); known && (in == nil || !in.SameAnnouncement(&m.Member)) {
		// One that is out comes back in another life: by then it knows that it was lost.
		if m.Member.Name == m.From && m.Member.Incarnation != 0 &&
			(in == nil || in.Incarnation != 0 || m.Version >= c.table.Version) {
			c.proposeAsLeader([]placement.Change{{Kind: c.joinKind(), Member: m.Member}})
		}
	}
	if m.From == c.cfg.Name {
		c.lastContact = c.now
		return
	}
	answer := Message{Type: MsgHeartbeatResp, To: m.From, SentAt: m.SentAt, Version: c.table.Version}
	if m.Version < c.table.Version && c.voterPosition(m.From) == 0 { // voters have it from the log
		answer.Table = c.table
	}
	c.send(answer)
}

// joinKind is the newest kind of change that takes a member in which all voters know.
func (c *Participant) joinKind() placement.ChangeKind {
	for _, kind := range []placement.ChangeKind{placement.ChangeJoinV3, placement.ChangeJoinV2} {
		if c.table.AllUnderstand(kind, c.cfg.Voters) {
			return kind
		}
	}
	return placement.ChangeJoin
}

// isEstablished tells whether a word is of the process that is in the table, or of one that takes its
// place: a single word of the process before may come late, all the more so where this one was
// stopped and reads what waited for it. One that is there says so again before the other one does.
func (c *Participant) isEstablished(m *Message) bool {
	in := c.table.Member(m.From)
	if in == nil || in.Incarnation == 0 || in.Process == m.Member.Process {
		delete(c.newProcesses, m.From)
		return true
	}
	if f, ok := c.newProcesses[m.From]; ok && f.process == m.Member.Process {
		return c.now-f.since >= HeartbeatInterval/2
	}
	c.newProcesses[m.From] = newProcess{m.Member.Process, c.now}
	return false
}

// newProcess is a process under a name whose place another one has, and when it was heard first.
type newProcess struct {
	process uint32
	since   int64
}

// replaceVoterID has this voter ask for another number, if nobody votes under its own any more.
func (c *Participant) replaceVoterID(number uint64) {
	if c.rawNode == nil || c.voterID != number || c.voterIDRequests == maxVoterIDRequests {
		return
	}
	c.voterIDRequests++
	c.rawNode, c.isLeader, c.bootstrapSnapshot, c.restartedFromDisk = nil, false, nil, false
	c.requestedVoterID = uint64(c.voterIDRequests)<<60 | c.self.Incarnation<<8&(1<<60-1) | c.voterPosition(c.cfg.Name)
}

// maxVoterIDRequests bounds how often a process asks for another number: each is one that it never had.
const maxVoterIDRequests = 15

// proposeVoterID gives a voter that lost its disk another number, in place of the one under which it may
// have voted.
func (c *Participant) proposeVoterID(m *Message) {
	if c.voterPosition(m.From) == 0 || m.RequestedID&0xff != c.voterPosition(m.From) {
		return
	}
	ids := slices.Clone(c.confState.GetVoters())
	if slices.Contains(ids, m.RequestedID) {
		c.send(Message{Type: MsgHeartbeatResp, To: m.From, RequestedID: m.RequestedID})
		return
	}
	x := &raftpb.ConfChange{Type: raftpb.ConfChangeAddNode.Enum(), NodeId: proto.Uint64(m.RequestedID)}
	for _, id := range ids {
		if c.voterName(id) == m.From {
			x = &raftpb.ConfChange{Type: raftpb.ConfChangeRemoveNode.Enum(), NodeId: proto.Uint64(id)}
		}
	}
	_ = c.rawNode.ProposeConfChange(x) // it is asked for again, while another one is under way
}
