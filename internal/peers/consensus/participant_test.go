package consensus

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ryepaddle/internal/peers/placement"
)

// All runners become members, whichever of them vote; the loss of the leader, with its disk, is that
// of one member, and it comes back with a new vote.
func TestMembershipSurvivesTheLossOfTheLeader(t *testing.T) {
	g := newGroup(t, 6, 3)
	g.run(8 * time.Second)
	if n := g.memberCount(); n != 6 {
		t.Fatalf("%d members", n)
	}
	lost := g.leaderName()
	delete(g.participants, lost)
	delete(g.disks, lost)
	g.run(8 * time.Second)
	if n := g.memberCount(); n != 5 || g.leaderName() == lost {
		t.Fatalf("%d members after the loss of %s", n, lost)
	}
	g.start(lost)
	g.run(8 * time.Second)
	if n := g.memberCount(); n != 6 {
		t.Fatalf("%d members once it is back", n)
	}
	other := g.leaderName() // the one that came back has to count by now
	for _, name := range g.voters {
		if name != other && name != lost {
			delete(g.participants, name)
		}
	}
	g.run(8 * time.Second)
	if n := g.memberCount(); n != 5 {
		t.Fatalf("%d members with two of three voters", n)
	}
}

// Voters that all start again on their disks go on from the same table. A leader that is cut off
// steps down, commits nothing and does not take the group for heard; it learns that it was lost.
func TestRestartKeepsTheTableAndACutOffLeaderStepsDown(t *testing.T) {
	g := newGroup(t, 5, 3)
	g.run(8 * time.Second)
	before := g.agreedTable().Version
	for _, name := range g.names {
		g.start(name)
	}
	g.run(8 * time.Second)
	if after := g.agreedTable(); after.Version <= before || g.memberCount() != 5 {
		t.Fatalf("version %d after %d, %d members", after.Version, before, g.memberCount())
	}
	alone := g.leaderName()
	g.cutOff[alone] = true
	c := g.participants[alone]
	version := c.Table().Version
	g.run(8 * time.Second)
	if since := g.now - c.LastContact(); c.IsLeader() || c.Table().Version != version || since < 6*QuorumTimeout {
		t.Errorf(
			"cut off it leads: %v, version %d after %d, heard %v ago",
			c.IsLeader(), c.Table().Version, version, since,
		)
	}
	if n := g.memberCount(); n != 4 {
		t.Errorf("%d members", n)
	}
	delete(g.cutOff, alone)
	g.run(3 * time.Second)
	if !c.DeclaredLost() {
		t.Error("it does not learn that it was lost")
	}
	c.Rejoin(g.newIncarnation())
	g.run(5 * time.Second)
	if n := g.memberCount(); n != 5 {
		t.Errorf("%d members once it is back", n)
	}
}

func TestMessagesOfARunnerDoNotGrowWithTheFleet(t *testing.T) {
	for _, runners := range []int{5, 20, 100} {
		g := newGroup(t, runners, 3)
		g.run(20 * time.Second)
		clear(g.sent)
		g.run(10 * time.Second)
		most := 0
		for _, name := range g.names[3:] {
			most = max(most, g.sent[name])
		}
		t.Logf(
			"%d runners: %d messages in 10 s by one that does not vote, %d by the leader",
			runners, most, g.sent[g.leaderName()],
		)
		if n := g.memberCount(); n != runners || most > 110 {
			t.Errorf("%d of %d are members, %d messages", n, runners, most)
		}
	}
}

// A log that is compacted by snapshots has the same table after a restart.
func TestCompactedLogRestoresTheTable(t *testing.T) {
	g := newGroup(t, 1, 1)
	g.run(3 * time.Second)
	c := g.participants["n001"]
	for i := range 3 * compactAfterEntries {
		member := placement.Member{Name: "x", Incarnation: uint64(1000 + i)}
		c.Propose([]placement.Change{{Kind: placement.ChangeJoin, Member: member}}, g.now)
		g.run(stepInterval)
	}
	want := c.Table()
	if n := len(g.disks["n001"]); n > compactAfterEntries+100 {
		t.Errorf("%d records are on the disk", n)
	}
	g.start("n001")
	restored := g.participants["n001"].Table()
	if diff := cmp.Diff(want.Slots, restored.Slots); diff != "" && restored.Version == 0 {
		t.Error(diff)
	}
	g.run(3 * time.Second)
	if got := g.agreedTable(); got.Version < want.Version {
		t.Errorf("version %d, was %d", got.Version, want.Version)
	}
}

// Voters that all begin with nothing are not heard by runners that know what was agreed on before:
// else two tables would be acted on.
func TestGroupFormedAnewIsNotHeardByMembersOfTheOldOne(t *testing.T) {
	g := newGroup(t, 6, 3)
	g.run(8 * time.Second)
	for range 20 { // so that the old table is ahead of the new one
		g.start(g.names[5])
		g.run(3 * time.Second)
	}
	for _, name := range g.voters {
		delete(g.disks, name)
		g.start(name)
	}
	g.run(4 * time.Second)
	if g.leaderName() == "" {
		t.Fatal("the voters do not form a group")
	}
	for _, name := range g.names[3:] {
		if ago := g.now - g.participants[name].LastContact(); ago < 2*QuorumTimeout {
			t.Errorf("%s heard the new group %v ago", name, ago)
		}
	}
}
