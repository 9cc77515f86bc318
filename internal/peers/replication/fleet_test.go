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
	// fleetLoad is the duration of the load without faults, faultyLoad that of the load with faults.
	fleetLoad  = 20 * second
	faultyLoad = 5 * second
	// maxFleetVoters is the number of voters of each fleet.
	maxFleetVoters = 5
)

// newFleet returns a cluster of many runners. With more than 32 runners they form a grid.
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

// runLoad runs fleetLoad with two keys per second and runner, each attempted twice.
func (c *cluster) runLoad() {
	for k := range 2 * len(c.runners) * int(fleetLoad/second) {
		key, first := fmt.Sprint("k", k), c.randomDuration(0, fleetLoad)
		for range 2 {
			c.scheduleAttempt(key, first, first+c.randomDuration(0, second))
		}
	}
	c.run(fleetLoad)
}

// runLoadWithFaults runs faultyLoad with four attempts per key while six runners crash or stop.
func (c *cluster) runLoadWithFaults() {
	for range 6 {
		r := c.randomRunner()
		c.after(c.randomDuration(0, faultyLoad), func() {
			if c.random.IntN(2) == 0 {
				r.crash(second, diskEmpty)
			} else {
				r.stop(3 * second)
			}
		})
	}
	for k := range 2 * len(c.runners) * int(faultyLoad/second) {
		key, first := fmt.Sprint("f", k), c.randomDuration(0, faultyLoad)
		for range 4 {
			c.scheduleAttempt(key, first, first+c.randomDuration(0, keyWindow-second))
		}
	}
	c.run(faultyLoad + keyWindow + 2*second)
}

// traffic returns the average number of messages per second that a non-voting runner sends and the
// maximum number of links of such a runner. In a fleet of voters only, it counts all runners.
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

// Checks at 5 to 300 runners that no key runs twice and no committed result is lost while runners crash
// and stop, with two keys per second and runner. Run by hand: RYEPADDLE_FLEETS names the file for the
// chart of messages and links per runner.
func TestFleetsOfManySizesKeepResults(t *testing.T) {
	file := os.Getenv("RYEPADDLE_FLEETS")
	if file == "" {
		t.Skip("RYEPADDLE_FLEETS is not set to a chart file")
	}
	var messages, links plotter.XYs
	for _, runners := range []int{5, 20, 100, 300} {
		c := newFleet(runners)
		c.runLoad()
		sent, linked := c.traffic()
		messages = append(messages, plotter.XY{X: float64(runners), Y: sent})
		links = append(links, plotter.XY{X: float64(runners), Y: float64(linked)})
		servedWithoutFaults := c.served
		c.runLoadWithFaults()
		if v := c.verdict(); v != "" {
			t.Errorf("%d runners: %s", runners, v)
		}
		t.Logf(
			"%d runners: %.0f messages per second by a non-voting runner, at most %d links; "+
				"served without faults %d, with faults %d; refused %d, failed %d",
			runners, sent, linked, servedWithoutFaults, c.served-servedWithoutFaults, c.refused, c.failed,
		)
	}
	drawFleets(t, file, messages, links)
}

func drawFleets(t *testing.T, file string, messages, links plotter.XYs) {
	t.Helper()
	p := plot.New()
	p.Title.Text = "Messages and links of a non-voting runner"
	p.X.Label.Text, p.Y.Label.Text = "runners", "messages per second; links"
	p.Y.Min = 0
	if err := plotutil.AddLinePoints(p, "messages per second", messages, "links", links); err != nil {
		t.Fatal(err)
	}
	if err := p.Save(16*vg.Centimeter, 9*vg.Centimeter, file); err != nil {
		t.Fatal(err)
	}
}
