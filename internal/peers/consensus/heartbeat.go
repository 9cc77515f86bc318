package consensus

import (
	"slices"
	"time"

	"ryepaddle/internal/peers/placement"
	"ryepaddle/internal/wallclock"
)

// sendHeartbeat sends this runner's heartbeat. While the runner requests a voter ID, the heartbeat
// goes to all other voters; a leader handles its own; all others send it to the leader. If no leader
// answered within QuorumTimeout, the runner tries the voters in turn.
func (c *Participant) sendHeartbeat() {
	m := Message{
		Type:    MsgHeartbeat,
		From:    c.cfg.Name,
		Member:  c.self,
		SentAt:  wallclock.MicrosOf(c.now),
		AskedAt: wallclock.MicrosOf(c.cfg.Clock()),
	}
	if c.requestedVoterID != 0 {
		m.RequestedID = c.requestedVoterID
		m.HasLog = c.voterID != 0
		for _, voter := range c.cfg.Voters {
			if voter != c.cfg.Name {
				m.To = voter
				c.send(m)
			}
		}
		return
	}
	m.Version = c.table.Version
	if c.isLeader {
		c.handleHeartbeat(&m)
		return
	}
	if c.now-c.lastContact > QuorumTimeout {
		c.leader = c.cfg.Voters[c.contactAttempts%len(c.cfg.Voters)]
		c.contactAttempts++
	}
	if c.leader != "" && c.leader != c.cfg.Name {
		m.To, m.VoterID = c.leader, c.currentVoterID()
		c.send(m)
	}
}

// handleHeartbeat handles a runner's heartbeat. A voter that is not the leader responds with the
// leader's name. A voter that requests a voter ID itself does not respond to another one that does; it
// counts it as restarting.
func (c *Participant) handleHeartbeat(m *Message) {
	if m.RequestedID != 0 && c.voterPosition(m.From) != 0 && c.requestedVoterID != 0 {
		c.restartingVoters[m.From] = m.HasLog
		_ = c.tryStart() // fails only if the Raft configuration is invalid
		return
	}
	if m.RequestedID != 0 && !m.IsReply {
		c.replyToRestarting(m)
	}
	switch {
	case c.isLeader:
		c.handleHeartbeatAsLeader(m)
	case c.rawNode != nil:
		if leader := c.voterName(c.rawNode.BasicStatus().Lead); leader != "" {
			c.send(Message{Type: MsgHeartbeatResp, To: m.From, Leader: leader})
		}
	}
}

// replyToRestarting replies to the heartbeat of a restarting voter if this voter has just started
// without an ID from the others. This voter counted the sender among the restarting voters, but the
// sender may have missed its heartbeat and would then not count it.
func (c *Participant) replyToRestarting(m *Message) {
	hasLog, ok := c.startedWithoutOthers()
	if !ok {
		return
	}
	c.send(Message{
		Type:        MsgHeartbeat,
		To:          m.From,
		Member:      c.self,
		RequestedID: c.voterID,
		HasLog:      hasLog,
		IsReply:     true,
		SentAt:      wallclock.MicrosOf(c.now),
	})
}

// handleHeartbeatAsLeader handles a heartbeat while this runner is the leader: it proposes what the
// sender needs (a voter ID, its membership), records its lease request and responds.
func (c *Participant) handleHeartbeatAsLeader(m *Message) {
	established := c.isEstablished(m)
	if m.RequestedID != 0 && established {
		c.proposeVoterID(m)
	}
	// The sender votes under an ID that the group has removed: a delayed heartbeat of an earlier process
	// may have caused the removal.
	if m.VoterID != 0 && c.voterPosition(m.From) == m.VoterID&positionMask &&
		!slices.Contains(c.confState.GetVoters(), m.VoterID) {
		c.send(Message{Type: MsgHeartbeatResp, To: m.From, VoterID: m.VoterID})
		return
	}
	c.lastHeard[m.From] = c.now
	c.recordLeaseRequest(m)
	if established {
		c.proposeJoin(m)
	}
	if m.From == c.cfg.Name {
		c.lastContact = c.now
		return
	}
	response := Message{Type: MsgHeartbeatResp, To: m.From, SentAt: m.SentAt, Version: c.table.Version}
	if m.Version < c.table.Version && c.voterPosition(m.From) == 0 { // voters get the table from the log
		response.Table = c.table
	}
	c.send(response)
}

// proposeJoin proposes the sender of a heartbeat as a member if its announcement differs from the
// table's entry. A member that was declared lost is not proposed until it has the leader's table: it
// then learns of the loss and rejoins in a new incarnation.
func (c *Participant) proposeJoin(m *Message) {
	current := c.table.Member(m.From)
	if current != nil && current.SameAnnouncement(&m.Member) {
		return
	}
	if m.Member.Name != m.From || m.Member.Incarnation == 0 {
		return
	}
	if current != nil && current.Incarnation == 0 && m.Version < c.table.Version {
		return
	}
	c.proposeAsLeader([]placement.Change{{Kind: c.joinKind(), Member: m.Member}})
}

// joinKind returns the newest kind of join change that all voters understand.
func (c *Participant) joinKind() placement.ChangeKind {
	for _, kind := range []placement.ChangeKind{placement.ChangeJoinV3, placement.ChangeJoinV2} {
		if c.table.AllUnderstand(kind, c.cfg.Voters) {
			return kind
		}
	}
	return placement.ChangeJoin
}

// newProcess is a process that sends heartbeats under a member's name while the table still has the
// member's other process.
type newProcess struct {
	process uint32
	since   time.Duration // when its first heartbeat was received
}

// isEstablished reports whether a heartbeat is from the member's process in the table, or from a new
// process that has taken its place. The first heartbeat does not establish a new process, as it may be
// a delayed one of an earlier process, in particular after this leader was paused. A later one
// does if it is received at least half a HeartbeatInterval after the first and the process in the table
// has sent none in between.
func (c *Participant) isEstablished(m *Message) bool {
	current := c.table.Member(m.From)
	if current == nil || current.Incarnation == 0 || current.Process == m.Member.Process {
		delete(c.newProcesses, m.From)
		return true
	}
	if p, ok := c.newProcesses[m.From]; ok && p.process == m.Member.Process {
		return c.now-p.since >= HeartbeatInterval/2
	}
	c.newProcesses[m.From] = newProcess{m.Member.Process, c.now}
	return false
}

// handleHeartbeatResponse handles the response to a heartbeat of this runner, or to a heartbeat of an
// earlier process under the same name.
func (c *Participant) handleHeartbeatResponse(m *Message) {
	if m.Leader != "" {
		if c.voterPosition(m.Leader) != 0 {
			c.leader = m.Leader
		}
		return
	}
	switch {
	case c.voterPosition(m.From) == 0:
	case m.RequestedID != 0 && m.RequestedID == c.requestedVoterID:
		c.takeVoterID()
	case m.AskedAt != 0:
		// AskedAt is by the clock of the process that sent the heartbeat.
		if m.Member.Incarnation == c.self.Incarnation {
			c.leaderConfirmed(m.AskedAt.Duration(), m.Version)
		}
	case m.VoterID != 0:
		c.replaceVoterID(m.VoterID)
	default:
		c.recordContact(m)
	}
}

// recordContact records that the leader answered, and takes the response's table if it is newer. It
// ignores a response to an earlier process, whose clock was ahead of this one's, and a leader whose
// table is older than this runner's: that leader belongs to a group that was formed anew and does not
// have the decisions of the group before it.
func (c *Participant) recordContact(m *Message) {
	sentAt := m.SentAt.Duration()
	if sentAt > c.now || m.Version < c.table.Version {
		return
	}
	c.leader, c.lastContact = m.From, max(c.lastContact, sentAt)
	if m.Table != nil && c.rawNode == nil && m.Table.Version > c.table.Version &&
		len(m.Table.Slots) == c.cfg.Slots {
		c.table = m.Table
	}
}
