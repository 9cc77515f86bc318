package consensus

import (
	"slices"
	"time"

	"ryepaddle/internal/peers/placement"
	"ryepaddle/internal/wallclock"
)

// sendHeartbeat sends this runner's heartbeat: to all other voters while it asks for a voter ID, to
// itself if it leads, else to the leader. A leader that does not answer is looked for among the
// voters in turn.
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

// handleHeartbeat handles a runner's heartbeat. A voter that does not lead answers with the leader.
func (c *Participant) handleHeartbeat(m *Message) {
	if m.RequestedID != 0 && c.voterPosition(m.From) != 0 && c.requestedVoterID != 0 {
		c.restartingVoters[m.From] = m.HasLog
		_ = c.tryStart() // it fails only for a configuration that is not valid
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

// replyToRestarting answers a restarting voter for which this one counted when it began: the other
// one may not have heard this one's heartbeat.
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

// handleHeartbeatAsLeader handles a heartbeat as the group's leader.
func (c *Participant) handleHeartbeatAsLeader(m *Message) {
	established := c.isEstablished(m)
	if m.RequestedID != 0 && established {
		c.proposeVoterID(m)
	}
	// A late heartbeat of an earlier process may have taken the voter ID from the present one.
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
	if m.Version < c.table.Version && c.voterPosition(m.From) == 0 { // voters have it from the log
		response.Table = c.table
	}
	c.send(response)
}

// proposeJoin proposes the sender of a heartbeat as a member if the table does not have it as it
// announces itself. One that was declared lost comes back in another incarnation once it knows that
// table.
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

// joinKind returns the newest kind of change for a member that joins which all voters understand.
func (c *Participant) joinKind() placement.ChangeKind {
	for _, kind := range []placement.ChangeKind{placement.ChangeJoinV3, placement.ChangeJoinV2} {
		if c.table.AllUnderstand(kind, c.cfg.Voters) {
			return kind
		}
	}
	return placement.ChangeJoin
}

// newProcess is a process under a name that the table has for another one.
type newProcess struct {
	process uint32
	since   time.Duration // its first heartbeat
}

// isEstablished reports whether a heartbeat is of the process in the table, or of one that takes its
// place. A single heartbeat of an earlier process may come late, all the more if this leader was
// stopped; a process that is there sends another one before the other process does.
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

// handleHeartbeatResponse handles the response to a heartbeat of this runner, or to one of an
// earlier process under its name.
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
		if m.Member.Incarnation == c.self.Incarnation { // an earlier process had another clock
			c.leaderConfirmed(m.AskedAt.Duration(), m.Version)
		}
	case m.VoterID != 0:
		c.replaceVoterID(m.VoterID)
	default:
		c.recordContact(m)
	}
}

// recordContact notes that the leader answered. A response to an earlier process, whose clock had
// gone further, does not count; neither does a leader that knows less than was committed: a group
// that was formed anew does not stand for the one before it.
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
