package consensus

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ryepaddle/internal/peers/placement"
)

// stepInterval is the virtual time between two ticks of all participants.
const stepInterval = 10 * time.Millisecond

// group runs a consensus group and the runners that follow it in virtual time. Each step delivers the
// pending messages in a random order. Messages from and to participants that are down or cut off are
// lost.
type group struct {
	t               *testing.T
	random          *rand.Rand
	now             time.Duration
	names           []string
	voters          []string
	participants    map[string]*Participant // of the runners that are up, by name
	disks           map[string][]DurableRecord
	cutOff          map[string]bool
	sent            map[string]int // number of messages sent, by runner
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

// newIncarnation returns an incarnation that was not used before.
func (g *group) newIncarnation() uint64 {
	g.lastIncarnation++
	return g.lastIncarnation
}

// start starts a process of a runner with the records of the runner's disk.
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

// run advances the group by a duration of virtual time.
func (g *group) run(d time.Duration) {
	g.t.Helper()
	for range d / stepInterval {
		g.now += stepInterval
		g.deliver(g.tick())
	}
}

// tick ticks all participants, writes their records to their disks and returns the messages of those
// that are not cut off.
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

// leaderName returns the name of the leader that is not cut off, or "" if there is none.
func (g *group) leaderName() string {
	for _, name := range g.names {
		if c := g.participants[name]; c != nil && c.IsLeader() && !g.cutOff[name] {
			return name
		}
	}
	return ""
}

func (g *group) leader() *Participant { return g.participants[g.leaderName()] }

// otherVoter returns the name of a voter that is not the leader.
func (g *group) otherVoter() string {
	if g.voters[0] == g.leaderName() {
		return g.voters[1]
	}
	return g.voters[0]
}

// agreedTable returns the leader's table, and fails the test if a participant that is up and not cut
// off has a different one.
func (g *group) agreedTable() *placement.Table {
	g.t.Helper()
	t := g.leader().Table()
	for _, name := range g.names {
		if c := g.participants[name]; c != nil && !g.cutOff[name] {
			if diff := cmp.Diff(t, c.Table()); diff != "" {
				g.t.Fatalf("table of %s differs (-leader's +its own):\n%s", name, diff)
			}
		}
	}
	return t
}

// memberCount returns the number of members in the agreed table that are not lost.
func (g *group) memberCount() (n int) {
	g.t.Helper()
	for _, m := range g.agreedTable().Members {
		if m.Incarnation != 0 {
			n++
		}
	}
	return n
}
