package consensus

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ryepaddle/internal/peers/placement"
)

// stepInterval is the time between two ticks of all participants.
const stepInterval = 10 * time.Millisecond

// group is a consensus group and its followers, whose messages are delivered in steps of virtual
// time in an order that is drawn. Messages of participants that are down or cut off are lost.
type group struct {
	t               *testing.T
	random          *rand.Rand
	now             time.Duration
	names           []string
	voters          []string
	participants    map[string]*Participant // of those that are up
	disks           map[string][]DurableRecord
	cutOff          map[string]bool
	sent            map[string]int // messages
	lastIncarnation uint64
}

func newGroup(t *testing.T, runners, voters int) *group {
	g := &group{
		t:            t,
		random:       rand.New(rand.NewPCG(1, 2)),
		participants: map[string]*Participant{},
		disks:        map[string][]DurableRecord{},
		cutOff:       map[string]bool{},
		sent:         map[string]int{},
	}
	for i := range runners {
		g.names = append(g.names, fmt.Sprintf("n%03d", i+1))
	}
	g.voters = g.names[:voters]
	for _, name := range g.names {
		g.start(name)
	}
	return g
}

// newIncarnation returns a number that no process had.
func (g *group) newIncarnation() uint64 {
	g.lastIncarnation++
	return g.lastIncarnation
}

// start begins a process of a runner on its disk.
func (g *group) start(name string) {
	g.t.Helper()
	incarnation := g.newIncarnation()
	c, err := New(
		Config{Name: name, Voters: g.voters, Slots: 16, Backups: 1},
		placement.Member{Name: name, Incarnation: incarnation, Process: uint32(incarnation)},
		g.disks[name],
		g.now,
	)
	if err != nil {
		g.t.Fatal(err)
	}
	g.participants[name] = c
}

// run plays for a while.
func (g *group) run(d time.Duration) {
	g.t.Helper()
	for range d / stepInterval {
		g.now += stepInterval
		g.deliver(g.tick())
	}
}

// tick ticks all participants, writes their records and returns the messages that are not lost.
func (g *group) tick() (messages []Message) {
	g.t.Helper()
	for _, name := range g.names {
		c := g.participants[name]
		if c == nil {
			continue
		}
		c.Tick(g.now)
		out, record, err := c.Ready()
		if err != nil {
			g.t.Fatal(err)
		}
		if record != nil {
			if record.VoterID != 0 {
				g.disks[name] = nil
			}
			g.disks[name] = append(g.disks[name], *record)
		}
		if !g.cutOff[name] {
			messages = append(messages, out...)
		}
	}
	return messages
}

func (g *group) deliver(messages []Message) {
	g.random.Shuffle(len(messages), func(i, j int) { messages[i], messages[j] = messages[j], messages[i] })
	for _, m := range messages {
		g.sent[m.From]++
		if c := g.participants[m.To]; c != nil && !g.cutOff[m.To] {
			c.Receive(&m, g.now)
		}
	}
}

// leaderName returns the leader that is not cut off, or "".
func (g *group) leaderName() string {
	for _, name := range g.names {
		if c := g.participants[name]; c != nil && c.IsLeader() && !g.cutOff[name] {
			return name
		}
	}
	return ""
}

func (g *group) leader() *Participant { return g.participants[g.leaderName()] }

// otherVoter returns a voter that does not lead.
func (g *group) otherVoter() string {
	if g.voters[0] == g.leaderName() {
		return g.voters[1]
	}
	return g.voters[0]
}

// agreedTable returns the table, which all that are up and not cut off have to have.
func (g *group) agreedTable() *placement.Table {
	g.t.Helper()
	t := g.leader().Table()
	for _, name := range g.names {
		if c := g.participants[name]; c != nil && !g.cutOff[name] {
			if diff := cmp.Diff(t, c.Table()); diff != "" {
				g.t.Fatalf("%s has another table: %s", name, diff)
			}
		}
	}
	return t
}

// memberCount returns how many members are not lost.
func (g *group) memberCount() (n int) {
	g.t.Helper()
	for _, m := range g.agreedTable().Members {
		if m.Incarnation != 0 {
			n++
		}
	}
	return n
}
