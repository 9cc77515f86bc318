package consensus

import (
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"ryepaddle/internal/peers/placement"
	"ryepaddle/internal/wallclock"
)

// A word of the process before came late, and took from the one that is there the number that it
// votes under: it was heard, and never learned of a table again.
func TestLateWordOfTheProcessBefore(t *testing.T) {
	r := newRoom(t, 5, 3)
	r.run(8 * time.Second)
	voter := r.voters[0]
	if voter == r.leader() {
		voter = r.voters[1]
	}
	late := Message{
		Type:        MsgHeartbeat,
		From:        voter,
		To:          r.leader(),
		Member:      placement.Member{Name: voter, Incarnation: 900, Process: 900},
		RequestedID: 900<<8 | r.all[voter].voterPosition(voter),
		SentAt:      1,
	}
	r.start(voter)
	r.run(4 * time.Second)
	r.all[r.leader()].Receive(&late, r.now)
	r.run(100 * time.Millisecond)
	r.all[r.leader()].Receive(&late, r.now)
	r.run(12 * time.Second)
	if m := r.agreed().Member(voter); r.in() != 5 || !r.all[voter].IsVoter() ||
		m.Process != r.all[voter].self.Process {
		t.Errorf("%d are in; %s votes: %v; %+v", r.in(), voter, r.all[voter].IsVoter(), m)
	}
}

// What a process said before it took another life came late, took it back to that one, and locked
// it out of the one that it was in.
func TestLateWordBeforeAnotherLife(t *testing.T) {
	r := newRoom(t, 4, 3)
	r.run(8 * time.Second)
	name := r.names[3]
	late := Message{Type: MsgHeartbeat, From: name, To: r.leader(), Member: r.all[name].self, SentAt: 1}
	for _, life := range []uint64{700, 701} {
		r.all[name].Rejoin(life)
		r.run(time.Second)
	}
	late.Member.Incarnation = 700
	r.all[r.leader()].Receive(&late, r.now)
	late.Member.Incarnation = 4 // two lives ago
	r.all[r.leader()].Receive(&late, r.now)
	r.run(2 * time.Second)
	if m := r.agreed().Member(name); m.Incarnation != 701 {
		t.Errorf("%+v", m)
	}
}

// A snapshot that was lost on its way was not sent again, and its voter never learned of a table
// again.
func TestLostSnapshot(t *testing.T) {
	r := newRoom(t, 3, 3)
	r.run(8 * time.Second)
	leader, voter := r.leader(), r.voters[0]
	if voter == leader {
		voter = r.voters[1]
	}
	r.away[voter] = true
	r.run(3 * time.Second)
	c := r.all[leader]
	c.snapshotDue = true // it cuts its log
	c.Propose([]placement.Change{{Kind: placement.ChangeStay, Member: placement.Member{Name: leader}}}, r.now)
	r.run(time.Second)
	r.away[voter] = false
	lost := 0
	for range 200 {
		c.Tick(r.now)
		out, _, err := c.Ready()
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range out {
			x := &raftpb.Message{}
			if m.Type == MsgRaft && m.To == voter && proto.Unmarshal(m.Raft, x) == nil &&
				x.GetType() == raftpb.MsgSnap {
				lost++
				continue
			}
			r.all[m.To].Receive(&m, r.now)
		}
		if lost > 0 {
			break
		}
		r.run(10 * time.Millisecond)
	}
	if lost == 0 {
		t.Fatal("no snapshot was sent")
	}
	r.run(8 * time.Second)
	r.agreed()
}

// A holder was confirmed in its duties after it was proposed to hold it for lost, and believed for
// as long as a lease beside the next one.
func TestNoLeaseForWhoIsAboutToBeLost(t *testing.T) {
	r := newRoom(t, 5, 3)
	r.run(8 * time.Second)
	c, name := r.all[r.leader()], r.names[4]
	here := Message{Type: MsgHeartbeat, From: name, To: c.cfg.Name, Member: r.all[name].self, SentAt: 1, AskedAt: 5}
	c.table = c.table.Clone()
	c.table.Leases = []placement.Lease{{Name: "d", Holder: name, Incarnation: r.all[name].self.Incarnation, Token: 1}}
	if c.Receive(&here, r.now); len(c.pendingConfirmations) != 1 {
		t.Fatalf("%d ask", len(c.pendingConfirmations))
	}
	c.pendingConfirmations = nil
	c.Tick(r.now + FailureTimeout + 2*raftTickInterval) // it is proposed to hold it for lost
	if c.Receive(&here, r.now+FailureTimeout+2*raftTickInterval); len(c.pendingConfirmations) != 0 {
		t.Error("it is asked for all the same")
	}
}

// An answer to the process before came to the one that took its name, whose clock began anew: it
// was taken for one from far in the future, and what was heard last stayed new for as long as the
// process before had lived.
func TestAnswerToTheProcessBefore(t *testing.T) {
	r := newRoom(t, 4, 3)
	r.run(8 * time.Second)
	c := r.all[r.names[3]]
	confirmed, heard := 0, c.LastContact()
	c.OnLeaderConfirmed(func(time.Duration, uint64) { confirmed++ })
	for _, m := range []Message{{AskedAt: 1 << 50, Member: placement.Member{Incarnation: 999}}, {SentAt: wallclock.MicrosOf(r.now) + 1<<50}} {
		m.Type, m.From, m.To, m.Version = MsgHeartbeatResp, r.leader(), c.cfg.Name, c.Table().Version
		c.Receive(&m, r.now)
	}
	if confirmed > 0 || c.LastContact() != heard {
		t.Errorf("confirmed %d times, heard at %v of %v", confirmed, c.LastContact(), r.now)
	}
}

// A voter whose number was taken from it went on to be heard, and never learned of a table again:
// it asks for another one.
func TestVoterWithoutItsNumber(t *testing.T) {
	r := newRoom(t, 3, 3)
	r.run(8 * time.Second)
	c, voter := r.all[r.leader()], r.all[r.voters[0]]
	if voter == c {
		voter = r.all[r.voters[1]]
	}
	before := voter.currentVoterID()
	if err := c.rawNode.ProposeConfChange(&raftpb.ConfChange{Type: raftpb.ConfChangeRemoveNode.Enum(), NodeId: proto.Uint64(before)}); err != nil {
		t.Fatal(err)
	}
	r.run(8 * time.Second)
	if r.agreed(); !voter.IsVoter() || voter.currentVoterID() == before {
		t.Errorf("votes %v under %d", voter.IsVoter(), voter.currentVoterID())
	}
}
