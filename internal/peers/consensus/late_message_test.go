package consensus

import (
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"ryepaddle/internal/peers/placement"
	"ryepaddle/internal/wallclock"
)

// A delayed heartbeat of a voter's earlier process must not cause the voter ID of its present process to
// be replaced. The present process would still send heartbeats and not be declared lost, but would never
// receive a table again.
func TestLateHeartbeatDoesNotTakeTheVoterIDOfTheNextProcess(t *testing.T) {
	g := newGroup(t, 5, 3)
	g.run(8 * time.Second)
	voter := g.otherVoter()
	late := Message{
		Type:        MsgHeartbeat,
		From:        voter,
		To:          g.leaderName(),
		Member:      placement.Member{Name: voter, Incarnation: 900, Process: 900},
		RequestedID: 900<<8 | g.participants[voter].voterPosition(voter),
		SentAt:      1,
	}
	g.start(voter)
	g.run(4 * time.Second)
	g.leader().Receive(&late, g.now)
	g.run(100 * time.Millisecond)
	g.leader().Receive(&late, g.now)
	g.run(12 * time.Second)
	c := g.participants[voter]
	if m := g.agreedTable().Member(voter); g.memberCount() != 5 || !c.IsVoter() || m.Process != c.self.Process {
		t.Errorf(
			"members = %d, want 5; IsVoter() of %s = %v, want true; member = %+v, want the present process",
			g.memberCount(), voter, c.IsVoter(), m,
		)
	}
}

// A delayed heartbeat of the same process must not take the member back to an earlier incarnation: the
// process could then not join under its present one.
func TestLateHeartbeatDoesNotRestoreAnEarlierIncarnation(t *testing.T) {
	g := newGroup(t, 4, 3)
	g.run(8 * time.Second)
	name := g.names[3]
	c := g.participants[name]
	late := Message{Type: MsgHeartbeat, From: name, To: g.leaderName(), Member: c.self, SentAt: 1}
	for _, incarnation := range []uint64{700, 701} {
		c.Rejoin(incarnation)
		g.run(time.Second)
	}
	late.Member.Incarnation = 700
	g.leader().Receive(&late, g.now)
	late.Member.Incarnation = 4 // two incarnations ago
	g.leader().Receive(&late, g.now)
	g.run(2 * time.Second)
	if m := g.agreedTable().Member(name); m.Incarnation != 701 {
		t.Errorf("member after delayed heartbeats = %+v, want incarnation 701", m)
	}
}

// A snapshot that is lost in transit must be sent again. Otherwise the Raft library waits for its
// acknowledgement, and the voter never receives a table again.
func TestLostSnapshotIsSentAgain(t *testing.T) {
	g := newGroup(t, 3, 3)
	g.run(8 * time.Second)
	voter, c := g.otherVoter(), g.leader()
	g.cutOff[voter] = true
	g.run(3 * time.Second)
	c.snapshotDue = true // makes the leader compact its log
	stay := placement.Change{Kind: placement.ChangeStay, Member: placement.Member{Name: c.cfg.Name}}
	c.Propose([]placement.Change{stay}, g.now)
	g.run(time.Second)
	g.cutOff[voter] = false
	lost := 0
	for range 200 {
		if lost = g.deliverWithoutSnapshots(c, voter); lost > 0 {
			break
		}
		g.run(stepInterval)
	}
	if lost == 0 {
		t.Fatal("the leader sent no snapshot to the voter that was cut off")
	}
	g.run(8 * time.Second)
	g.agreedTable()
}

// deliverWithoutSnapshots delivers the messages of a participant except snapshots to the given voter,
// and returns how many snapshots it dropped.
func (g *group) deliverWithoutSnapshots(c *Participant, voter string) (lost int) {
	g.t.Helper()
	c.Tick(g.now)
	messages, _, err := c.Ready()
	if err != nil {
		g.t.Fatal(err)
	}
	for _, m := range messages {
		r := &raftpb.Message{}
		if m.Type == MsgRaft && m.To == voter && proto.Unmarshal(m.Raft, r) == nil &&
			r.GetType() == raftpb.MsgSnap {
			lost++
			continue
		}
		g.participants[m.To].Receive(&m, g.now)
	}
	return lost
}

// The leader must not confirm the leases of a runner that it has proposed to declare lost: the runner
// would rely on them for up to the TTL while the next holder relies on them too.
func TestNoLeaseIsConfirmedForARunnerProposedAsLost(t *testing.T) {
	g := newGroup(t, 5, 3)
	g.run(8 * time.Second)
	c, name := g.leader(), g.names[4]
	self := g.participants[name].self
	heartbeat := Message{Type: MsgHeartbeat, From: name, To: c.cfg.Name, Member: self, SentAt: 1, AskedAt: 5}
	c.table = c.table.Clone()
	c.table.Leases = []placement.Lease{{Name: "d", Holder: name, Incarnation: self.Incarnation, Token: 1}}
	if c.Receive(&heartbeat, g.now); len(c.pendingConfirmations) != 1 {
		t.Fatalf("pending confirmations = %d, want 1", len(c.pendingConfirmations))
	}
	c.pendingConfirmations = nil
	later := g.now + FailureTimeout + 2*raftTickInterval
	c.Tick(later) // the leader proposes to declare the runner lost
	if c.Receive(&heartbeat, later); len(c.pendingConfirmations) != 0 {
		t.Error("a runner that is proposed as lost has a pending confirmation, want none")
	}
}

// A response to an earlier process may reach the next process of the runner, whose clock started
// anew. It must be ignored: its times are in the future by the new clock, and the last contact would
// count as recent for as long as the earlier process had lived.
func TestResponseToAnEarlierProcessIsIgnored(t *testing.T) {
	g := newGroup(t, 4, 3)
	g.run(8 * time.Second)
	c := g.participants[g.names[3]]
	confirmed, contact := 0, c.LastContact()
	c.OnLeaderConfirmed(func(time.Duration, uint64) { confirmed++ })
	const farAhead = 1 << 50 // microseconds
	for _, m := range []Message{
		{AskedAt: farAhead, Member: placement.Member{Incarnation: 999}},
		{SentAt: wallclock.MicrosOf(g.now) + farAhead},
	} {
		m.Type, m.From, m.To, m.Version = MsgHeartbeatResp, g.leaderName(), c.cfg.Name, c.Table().Version
		c.Receive(&m, g.now)
	}
	if confirmed > 0 || c.LastContact() != contact {
		t.Errorf("confirmations = %d, want 0; LastContact() = %v at %v, want it unchanged",
			confirmed, c.LastContact(), g.now)
	}
}

// A voter whose ID was removed from the group must request another one. Otherwise its heartbeats
// still count, so that it is not declared lost, but it never receives a table again.
func TestVoterAsksForAnotherIDAfterItsRemoval(t *testing.T) {
	g := newGroup(t, 3, 3)
	g.run(8 * time.Second)
	voter := g.participants[g.otherVoter()]
	before := voter.currentVoterID()
	removal := &raftpb.ConfChange{Type: raftpb.ConfChangeRemoveNode.Enum(), NodeId: proto.Uint64(before)}
	if err := g.leader().rawNode.ProposeConfChange(removal); err != nil {
		t.Fatal(err)
	}
	g.run(8 * time.Second)
	if g.agreedTable(); !voter.IsVoter() || voter.currentVoterID() == before {
		t.Errorf("IsVoter() = %v, want true; voter ID = %d, want a new one", voter.IsVoter(), voter.currentVoterID())
	}
}
