package consensus

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ryepaddle/internal/peers/placement"
)

// All runners become members, voters or not. After the leader is lost together with its disk, only
// that member is missing. When it is back, it votes under a new ID and counts towards the quorum.
func TestMembershipSurvivesTheLossOfTheLeader(t *testing.T) {
	g := newGroup(t, 6, 3)
	g.run(8 * time.Second)
	if n := g.memberCount(); n != 6 {
		t.Fatalf("members = %d, want 6", n)
	}
	lost := g.leaderName()
	delete(g.participants, lost)
	delete(g.disks, lost)
	g.run(8 * time.Second)
	if n := g.memberCount(); n != 5 || g.leaderName() == lost {
		t.Fatalf("members = %d after the loss of %s, want 5 and another leader", n, lost)
	}
	g.start(lost)
	g.run(8 * time.Second)
	if n := g.memberCount(); n != 6 {
		t.Fatalf("members after the return of the lost runner = %d, want 6", n)
	}
	other := g.leaderName() // with the returned voter it is the quorum once the third voter is down
	for _, name := range g.voters {
		if name != other && name != lost {
			delete(g.participants, name)
		}
	}
	g.run(8 * time.Second)
	if n := g.memberCount(); n != 5 {
		t.Fatalf("members with two of three voters = %d, want 5", n)
	}
}

// Voters that all restart with their disks continue from the same table. A leader that is cut off
// steps down, commits nothing and records no further contact. Once connected again, it learns that it
// was declared lost and rejoins.
func TestRestartKeepsTheTableAndACutOffLeaderStepsDown(t *testing.T) {
	g := newGroup(t, 5, 3)
	g.run(8 * time.Second)
	before := g.agreedTable().Version
	for _, name := range g.names {
		g.start(name)
	}
	g.run(8 * time.Second)
	if after := g.agreedTable(); after.Version <= before || g.memberCount() != 5 {
		t.Fatalf(
			"table version after the restart = %d, want more than %d; members = %d, want 5",
			after.Version, before, g.memberCount(),
		)
	}
	alone := g.leaderName()
	g.cutOff[alone] = true
	c := g.participants[alone]
	version := c.Table().Version
	g.run(8 * time.Second)
	if since := g.now - c.LastContact(); c.IsLeader() || c.Table().Version != version || since < 6*QuorumTimeout {
		t.Errorf(
			"cut-off leader: IsLeader() = %v, want false; version %d, want %d; contact %v ago, want >= 6*QuorumTimeout",
			c.IsLeader(), c.Table().Version, version, since,
		)
	}
	if n := g.memberCount(); n != 4 {
		t.Errorf("members without the leader that was cut off = %d, want 4", n)
	}
	delete(g.cutOff, alone)
	g.run(3 * time.Second)
	if !c.DeclaredLost() {
		t.Error("DeclaredLost() of the leader that was cut off = false, want true")
	}
	c.Rejoin(g.newIncarnation())
	g.run(5 * time.Second)
	if n := g.memberCount(); n != 5 {
		t.Errorf("members after its return = %d, want 5", n)
	}
}

// A runner that does not vote sends at most 110 messages in 10 s, however many runners there are.
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
			"%d runners: at most %d messages in 10 s from a runner that does not vote, %d from the leader",
			runners, most, g.sent[g.leaderName()],
		)
		if n := g.memberCount(); n != runners || most > 110 {
			t.Errorf("members = %d, want %d; messages of a runner in 10 s = %d, want at most 110", n, runners, most)
		}
	}
}

// A log that was compacted by snapshots restores the table after a restart, and the number of records
// on disk stays bounded.
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
		t.Errorf("records on disk = %d, want at most compactAfterEntries+100", n)
	}
	g.start("n001")
	restored := g.participants["n001"].Table()
	if diff := cmp.Diff(want.Slots, restored.Slots); diff != "" && restored.Version == 0 {
		t.Errorf("slots of the restored table differ (-before +after):\n%s", diff)
	}
	g.run(3 * time.Second)
	if got := g.agreedTable(); got.Version < want.Version {
		t.Errorf("table version after the restart = %d, want at least %d", got.Version, want.Version)
	}
}

// Voters that all lost their disks form a new group. Runners that know the table of the old group do
// not count its leader as contact: otherwise they would act on two different tables.
func TestGroupFormedAnewIsNotHeardByMembersOfTheOldOne(t *testing.T) {
	g := newGroup(t, 6, 3)
	g.run(8 * time.Second)
	for range 20 { // makes the old table's version exceed that of the new one
		g.start(g.names[5])
		g.run(3 * time.Second)
	}
	for _, name := range g.voters {
		delete(g.disks, name)
		g.start(name)
	}
	g.run(4 * time.Second)
	if g.leaderName() == "" {
		t.Fatal("the voters without disks did not form a group")
	}
	for _, name := range g.names[3:] {
		if ago := g.now - g.participants[name].LastContact(); ago < 2*QuorumTimeout {
			t.Errorf("last contact of %s was %v ago, want at least 2 times QuorumTimeout", name, ago)
		}
	}
}
