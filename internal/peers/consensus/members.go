package consensus

import (
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"ryepaddle/internal/peers/placement"
)

// here hears of a runner.
func (c *Participant) here(m Message) {
	if m.Blank != 0 && c.place(m.From) != 0 && c.blank != 0 {
		c.blanks[m.From] = m.Rests
		_ = c.gather() // its figures are right
		return
	}
	// the other one may not have heard so
	if rests, ok := c.justBegan(); ok && m.Blank != 0 && !m.Answer {
		c.send(
			Message{
				Kind:   MsgHeartbeat,
				To:     m.From,
				Member: c.me,
				Blank:  c.raftID,
				Rests:  rests,
				Answer: true,
				Sent:   c.now,
			},
		)
	}
	if !c.leads {
		if c.node == nil {
			return
		}
		if lead := c.voter(c.node.BasicStatus().Lead); lead != "" {
			c.send(Message{Kind: MsgHeartbeatResp, To: m.From, Leader: lead})
		}
		return
	}
	known := c.known(&m)
	if m.Blank != 0 && known {
		c.admit(&m)
	}
	// A word that came late, from the process before this one, may have taken its number from it.
	if m.Number != 0 && c.place(m.From) == m.Number&0xff && !slices.Contains(c.conf.GetVoters(), m.Number) {
		c.send(Message{Kind: MsgHeartbeatResp, To: m.From, Number: m.Number})
		return
	}
	c.last[m.From] = c.now
	if m.Asked != 0 {
		c.asked[m.From] = asker{m.From, m.Member.Life, m.Asked}
		// Who is about to be held for lost is not told that it holds anything: its duties may be
		// another's before it hears so.
		if in := c.table.Member(m.From); c.table.LeaseCount(m.From) > 0 &&
			(in == nil || in.Life != c.outs[m.From]) {
			c.asks = append(
				slices.DeleteFunc(c.asks, func(a asker) bool { return a.name == m.From }),
				c.asked[m.From],
			)
		}
	}
	if in := c.table.Member(m.From); known && (in == nil || !in.SameAnnouncement(&m.Member)) {
		// One that is out comes back in another life: by then it knows that it was lost.
		if m.Member.Name == m.From && m.Member.Life != 0 &&
			(in == nil || in.Life != 0 || m.Version >= c.table.Version) {
			c.proposeAsLeader([]placement.Change{{Kind: c.entry(), Member: m.Member}})
		}
	}
	if m.From == c.cfg.Name {
		c.heard = c.now
		return
	}
	answer := Message{Kind: MsgHeartbeatResp, To: m.From, Sent: m.Sent, Version: c.table.Version}
	if m.Version < c.table.Version && c.place(m.From) == 0 { // voters have it from the log
		answer.Table = c.table
	}
	c.send(answer)
}

// entry is the newest kind of change that takes a member in which all voters know.
func (c *Participant) entry() placement.ChangeKind {
	for _, kind := range []placement.ChangeKind{placement.ChangeJoinV3, placement.ChangeJoinV2} {
		if c.table.AllUnderstand(kind, c.cfg.Voters) {
			return kind
		}
	}
	return placement.ChangeJoin
}

// known tells whether a word is of the process that is in the table, or of one that takes its
// place: a single word of the process before may come late, all the more so where this one was
// stopped and reads what waited for it. One that is there says so again before the other one does.
func (c *Participant) known(m *Message) bool {
	in := c.table.Member(m.From)
	if in == nil || in.Life == 0 || in.Process == m.Member.Process {
		delete(c.fresh, m.From)
		return true
	}
	if f, ok := c.fresh[m.From]; ok && f.what == m.Member.Process {
		return c.now-f.at >= HeartbeatInterval/2
	}
	c.fresh[m.From] = newcomer{m.Member.Process, c.now}
	return false
}

// newcomer is a process under a name whose place another one has, and when it was heard first.
type newcomer struct {
	what uint32
	at   int64
}

// dropped has this voter ask for another number, if nobody votes under its own any more.
func (c *Participant) dropped(number uint64) {
	if c.node == nil || c.raftID != number || c.turns == mostTurns {
		return
	}
	c.turns++
	c.node, c.leads, c.seed, c.rested = nil, false, nil, false
	c.blank = uint64(c.turns)<<60 | c.me.Life<<8&(1<<60-1) | c.place(c.cfg.Name)
}

// mostTurns bounds how often a process asks for another number: each is one that it never had.
const mostTurns = 15

// admit gives a voter that lost its disk another number, in place of the one under which it may
// have voted.
func (c *Participant) admit(m *Message) {
	if c.place(m.From) == 0 || m.Blank&0xff != c.place(m.From) {
		return
	}
	ids := slices.Clone(c.conf.GetVoters())
	if slices.Contains(ids, m.Blank) {
		c.send(Message{Kind: MsgHeartbeatResp, To: m.From, Blank: m.Blank})
		return
	}
	x := &raftpb.ConfChange{Type: raftpb.ConfChangeAddNode.Enum(), NodeId: proto.Uint64(m.Blank)}
	for _, id := range ids {
		if c.voter(id) == m.From {
			x = &raftpb.ConfChange{Type: raftpb.ConfChangeRemoveNode.Enum(), NodeId: proto.Uint64(id)}
		}
	}
	_ = c.node.ProposeConfChange(x) // it is asked for again, while another one is under way
}
