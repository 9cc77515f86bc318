package replication

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"ryepaddle/internal/peers/grid"
)

const (
	// fleetLoad is for how long the load without faults goes on, and faultyLoad that with them.
	fleetLoad  = 20 * second
	faultyLoad = 5 * second
	// maxFleetVoters is the number of voters of a fleet.
	maxFleetVoters = 5
)

// newFleet returns a cluster of many runners, which stand in a grid from 33 on.
func newFleet(runners int) *cluster {
	c := newCluster(uint64(runners), runners, 2, 256)
	if c.grid = nil; runners > 32 {
		c.grid = grid.New(slices.Collect(maps.Keys(c.byName)), 32)
	}
	c.run(keyWindow + readGrace + second)
	for _, r := range c.runners {
		r.sent = 0
		clear(r.links)
	}
	return c
}

// load has two keys a second for each runner, each attempted twice.
func (c *cluster) load() {
	for k := range 2 * len(c.runners) * int(fleetLoad/second) {
		key, first := fmt.Sprint("k", k), c.between(0, fleetLoad)
		for range 2 {
			c.planAttempt(key, first, first+c.between(0, second))
		}
	}
	c.run(fleetLoad)
}

// loadWithFaults goes on with the load while six runners crash or stop.
func (c *cluster) loadWithFaults() {
	for range 6 {
		r := c.anyRunner()
		c.after(c.between(0, faultyLoad), func() {
			if c.random.IntN(2) == 0 {
				r.crash(second, diskEmpty)
			} else {
				r.stop(3 * second)
			}
		})
	}
	for k := range 2 * len(c.runners) * int(faultyLoad/second) {
		key, first := fmt.Sprint("f", k), c.between(0, faultyLoad)
		for range 4 {
			c.planAttempt(key, first, first+c.between(0, keyWindow-second))
		}
	}
	c.run(faultyLoad + keyWindow + 2*second)
}

// traffic returns how many messages a second a runner that does not vote sends on average, and the
// most links that one has. In a fleet of voters only it is that of all.
func (c *cluster) traffic() (messages float64, links int) {
	others := c.runners[maxFleetVoters:]
	if len(c.runners) == maxFleetVoters {
		others = c.runners
	}
	sent := 0
	for _, r := range others {
		sent, links = sent+r.sent, max(links, len(r.links))
	}
	return float64(sent) / float64(len(others)) / fleetLoad.Seconds(), links
}

// Days at 5 to 300 runners, for a run by hand: RYEPADDLE_FLEETS names the chart that is made of the
// messages and the links of each runner. A runner gets two keys a second whatever the size; runners
// crash and stop meanwhile, no key runs twice and no committed result is lost.
func TestFleetsOfManySizesKeepResults(t *testing.T) {
	file := os.Getenv("RYEPADDLE_FLEETS")
	if file == "" {
		t.Skip("RYEPADDLE_FLEETS names no chart")
	}
	var messages, links plotter.XYs
	for _, runners := range []int{5, 20, 100, 300} {
		c := newFleet(runners)
		c.load()
		sent, linked := c.traffic()
		messages = append(messages, plotter.XY{X: float64(runners), Y: sent})
		links = append(links, plotter.XY{X: float64(runners), Y: float64(linked)})
		calm := c.served
		c.loadWithFaults()
		if v := c.verdict(); v != "" {
			t.Errorf("%d runners: %s", runners, v)
		}
		t.Logf(
			"%d runners: %.0f messages a second by one that does not vote, at most %d links; "+
				"%d served, then with faults %d, %d refused, %d failed",
			runners, sent, linked, calm, c.served-calm, c.refused, c.failed,
		)
	}
	drawFleets(t, file, messages, links)
}

func drawFleets(t *testing.T, file string, messages, links plotter.XYs) {
	t.Helper()
	p := plot.New()
	p.Title.Text = "Messages and links of one runner that does not vote"
	p.X.Label.Text, p.Y.Label.Text = "runners", "messages a second; links"
	p.Y.Min = 0
	if err := plotutil.AddLinePoints(p, "messages a second", messages, "links", links); err != nil {
		t.Fatal(err)
	}
	if err := p.Save(16*vg.Centimeter, 9*vg.Centimeter, file); err != nil {
		t.Fatal(err)
	}
}
