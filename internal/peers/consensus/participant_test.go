package consensus

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ryepaddle/internal/peers/placement"
)

// room is a consensus group whose messages are delivered in steps of virtual time; those of runners
// that are down or away are lost.
type room struct {
	t      *testing.T
	r      *rand.Rand
	now    time.Duration
	all    map[string]*Participant
	disks  map[string][]DurableRecord
	away   map[string]bool
	names  []string
	voters []string
	sent   map[string]int
	lives  uint64
}

func newRoom(t *testing.T, runners, voters int) *room {
	r := &room{
		t:     t,
		r:     rand.New(rand.NewPCG(1, 2)),
		all:   map[string]*Participant{},
		disks: map[string][]DurableRecord{},
		away:  map[string]bool{},
		sent:  map[string]int{},
	}
	for i := range runners {
		r.names = append(r.names, fmt.Sprintf("n%03d", i+1))
	}
	r.voters = r.names[:voters]
	for _, name := range r.names {
		r.start(name)
	}
	return r
}

// start starts a runner on its disk.
func (r *room) start(name string) {
	r.t.Helper()
	r.lives++
	c, err := New(
		Config{Name: name, Voters: r.voters, Slots: 16, Backups: 1},
		placement.Member{Name: name, Incarnation: r.lives, Process: uint32(r.lives)},
		r.disks[name],
		r.now,
	)
	if err != nil {
		r.t.Fatal(err)
	}
	r.all[name] = c
}

// stepInterval is the time between two ticks of all runners.
const stepInterval = 10 * time.Millisecond

// run plays for a while.
func (r *room) run(d time.Duration) {
	r.t.Helper()
	for range d / stepInterval {
		r.now += stepInterval
		var mail []Message
		for _, name := range r.names {
			c := r.all[name]
			if c == nil {
				continue
			}
			c.Tick(r.now)
			out, kept, err := c.Ready()
			if err != nil {
				r.t.Fatal(err)
			}
			if kept != nil {
				if kept.VoterID != 0 {
					r.disks[name] = nil
				}
				r.disks[name] = append(r.disks[name], *kept)
			}
			if !r.away[name] {
				mail = append(mail, out...)
			}
		}
		r.r.Shuffle(len(mail), func(i, j int) { mail[i], mail[j] = mail[j], mail[i] })
		for _, m := range mail {
			r.sent[m.From]++
			if c := r.all[m.To]; c != nil && !r.away[m.To] {
				c.Receive(&m, r.now)
			}
		}
	}
}

func (r *room) leader() string {
	for _, name := range r.names {
		if c := r.all[name]; c != nil && c.IsLeader() && !r.away[name] {
			return name
		}
	}
	return ""
}

// agreed is the table, which all that are there have to have.
func (r *room) agreed() *placement.Table {
	r.t.Helper()
	t := r.all[r.leader()].Table()
	for _, name := range r.names {
		if c := r.all[name]; c != nil && !r.away[name] {
			if diff := cmp.Diff(t, c.Table()); diff != "" {
				r.t.Fatalf("%s knows another table: %s", name, diff)
			}
		}
	}
	return t
}

func (r *room) in() (n int) {
	r.t.Helper()
	for _, m := range r.agreed().Members {
		if m.Incarnation != 0 {
			n++
		}
	}
	return n
}

// All come to be in, whichever of them vote; the loss of the leader, with its disk, is one of a
// member, and it comes back with a new vote.
func TestCouncil(t *testing.T) {
	r := newRoom(t, 6, 3)
	r.run(8 * time.Second)
	if n := r.in(); n != 6 {
		t.Fatalf("%d are in", n)
	}
	lost := r.leader()
	delete(r.all, lost)
	delete(r.disks, lost)
	r.run(8 * time.Second)
	if n := r.in(); n != 5 || r.leader() == lost {
		t.Fatalf("%d are in after the loss of %s", n, lost)
	}
	r.start(lost)
	r.run(8 * time.Second)
	if n := r.in(); n != 6 {
		t.Fatalf("%d are in once it is back", n)
	}
	other := r.leader() // the one that came back has to count by now
	for _, name := range r.voters {
		if name != other && name != lost {
			delete(r.all, name)
		}
	}
	r.run(8 * time.Second)
	if n := r.in(); n != 5 {
		t.Fatalf("%d are in when two of three voters are there", n)
	}
}

// Voters that all start again on their disks go on from the same table; a part that is cut off
// agrees on nothing, and does not take the consensus group for heard.
func TestColdStartAndCut(t *testing.T) {
	r := newRoom(t, 5, 3)
	r.run(8 * time.Second)
	before := r.agreed().Version
	for _, name := range r.names {
		r.start(name)
	}
	r.run(8 * time.Second)
	if after := r.agreed(); after.Version <= before || r.in() != 5 {
		t.Fatalf("version %d after %d, %d are in", after.Version, before, r.in())
	}
	alone := r.leader()
	r.away[alone] = true
	at := r.all[alone].Table().Version
	r.run(8 * time.Second)
	c := r.all[alone]
	if c.IsLeader() || c.Table().Version != at || r.now-c.LastContact() < 6*QuorumTimeout {
		t.Errorf(
			"cut off it leads: %v, version %d after %d, heard %v ago",
			c.IsLeader(),
			c.Table().Version,
			at,
			r.now-c.LastContact(),
		)
	}
	if r.in() != 4 {
		t.Errorf("%d are in", r.in())
	}
	delete(r.away, alone)
	r.run(3 * time.Second)
	if !c.DeclaredLost() {
		t.Error("it does not learn that it was lost")
	}
	r.lives++
	c.Rejoin(r.lives)
	r.run(5 * time.Second)
	if r.in() != 5 {
		t.Errorf("%d are in once it is back", r.in())
	}
}

// What a runner says does not grow with the fleet.
func TestMessages(t *testing.T) {
	for _, runners := range []int{5, 20, 100} {
		r := newRoom(t, runners, 3)
		r.run(20 * time.Second)
		clear(r.sent)
		r.run(10 * time.Second)
		most := 0
		for _, name := range r.names[3:] {
			most = max(most, r.sent[name])
		}
		t.Logf(
			"%d runners: %d messages in 10 s by one that does not vote, %d by the leader",
			runners,
			most,
			r.sent[r.leader()],
		)
		if n := r.in(); n != runners || most > 110 {
			t.Errorf("%d of %d are in, %d messages", n, runners, most)
		}
	}
}

// A log that is cut by snapshots is the same table after a start.
func TestCompacted(t *testing.T) {
	r := newRoom(t, 1, 1)
	r.run(3 * time.Second)
	c := r.all["n001"]
	for i := range 3 * compactAfterEntries {
		c.Propose(
			[]placement.Change{
				{Kind: placement.ChangeJoin, Member: placement.Member{Name: "x", Incarnation: uint64(1000 + i)}},
			},
			r.now,
		)
		r.run(10 * time.Millisecond)
	}
	want := c.Table()
	if n := len(r.disks["n001"]); n > compactAfterEntries+100 {
		t.Errorf("%d records are on the disk", n)
	}
	r.start("n001")
	if diff := cmp.Diff(want.Slots, r.all["n001"].Table().Slots); diff != "" &&
		r.all["n001"].Table().Version == 0 {
		t.Error(diff)
	}
	r.run(3 * time.Second)
	if got := r.agreed(); got.Version < want.Version {
		t.Errorf("version %d, was %d", got.Version, want.Version)
	}
}

// Voters that all begin anew with nothing are not heard by those who know what was agreed on
// before: else two tables would be acted on.
func TestBegunAnew(t *testing.T) {
	r := newRoom(t, 6, 3)
	r.run(8 * time.Second)
	for range 20 { // so that the table before is ahead of one that begins
		r.start(r.names[5])
		r.run(3 * time.Second)
	}
	for _, name := range r.voters {
		delete(r.disks, name)
		r.start(name)
	}
	r.run(4 * time.Second)
	if r.leader() == "" {
		t.Fatal("the voters do not begin")
	}
	for _, name := range r.names[3:] {
		if ago := r.now - r.all[name].LastContact(); ago < 2*QuorumTimeout {
			t.Errorf("%s hears the new consensus group %v ago", name, ago)
		}
	}
}
