package cluster

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"ryepaddle/internal/testing/faultlink"
)

// faultStream separates the draws of faults from other draws with the same seed.
const faultStream = 0x6661756c7473

// faultKinds is the number of cases of faultGenerator.choose.
const faultKinds = 9

// RandomFaults draws count faults within a time. The same arguments give the same faults. Killed and
// drained runners are restarted, cut and stalled links heal. Disks are emptied only with wipe, and
// links between runners have faults only with peers.
func RandomFaults(seed uint64, count int, within time.Duration, runners, servers int, wipe, peers bool) []Fault {
	g := faultGenerator{
		random:  rand.New(rand.NewPCG(seed, faultStream)),
		within:  within,
		runners: runners,
		servers: servers,
		wipe:    wipe,
		peers:   peers,
	}
	faults := make([]Fault, 0, count)
	for range count {
		faults = append(faults, g.next())
	}
	sortByTime(faults)
	return faults
}

// faultGenerator draws faults.
type faultGenerator struct {
	random           *rand.Rand
	within           time.Duration
	runners, servers int
	wipe, peers      bool
}

// duration draws a duration in [from, to), both in milliseconds.
func (g *faultGenerator) duration(from, to int) time.Duration {
	return time.Duration(from+g.random.IntN(to-from)) * time.Millisecond
}

func (g *faultGenerator) runner() string { return fmt.Sprintf("n%d", g.random.IntN(g.runners)+1) }
func (g *faultGenerator) server() string { return fmt.Sprintf("s%d", g.random.IntN(g.servers)+1) }

// next draws a fault. The order of the draws decides which faults a seed gives.
func (g *faultGenerator) next() Fault {
	runner := g.runner()
	other := g.server()
	f := Fault{
		At:           time.Duration(g.random.Int64N(int64(g.within))).Round(time.Millisecond),
		RestartAfter: -1,
		Direction:    faultlink.BothDirections,
	}
	if g.random.IntN(3) == 0 {
		other = Clients
	}
	if peer := g.runner(); g.peers && peer != runner && g.random.IntN(2) == 0 {
		other = peer
	}
	g.choose(&f, runner, other)
	return f
}

// choose draws the action of the fault, on a runner or on the link from it to another party.
func (g *faultGenerator) choose(f *Fault, runner, other string) {
	f.Targets = []string{runner, other}
	switch g.random.IntN(faultKinds) {
	case 0, 1, 2:
		f.Action = ActionKill
		f.Targets = f.Targets[:1]
		f.RestartAfter = g.duration(20, 300)
		f.WipeDisk = g.wipe && g.random.IntN(2) == 0
	case 3:
		f.Action = ActionSuspend
		f.Targets = f.Targets[:1]
		f.Value = g.duration(50, 800).String()
	case 4:
		f.Action = ActionDrain
		f.Targets = f.Targets[:1]
		f.RestartAfter = g.duration(20, 300)
	case 5:
		f.Action = ActionCut
		f.Value = g.duration(50, 500).String()
	case 6:
		f.Action = ActionStall
		f.Value = g.duration(50, 800).String()
		f.Direction = faultlink.Direction(1 + g.random.IntN(3))
	case 7:
		f.Action = ActionDelay
		f.Value = g.duration(1, 60).String()
	case 8:
		f.Action = ActionReset
		f.Value = strconv.Itoa(1 + g.random.IntN(600))
	}
}
