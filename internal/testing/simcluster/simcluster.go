// Package simcluster simulates a cluster of runners in virtual time: processes that crash, are stopped,
// or are suspended with their machine; clocks that run fast or slow; links that lose, delay and duplicate
// messages or are cut; and disks that a restarted process finds intact, stale or empty. The test supplies
// the processes. A seed gives the same run each time if the processes are deterministic.
//
// Times are true times, which a process cannot read: it may use only the clocks of its Node.
package simcluster

import (
	"fmt"
	"math/rand/v2"
	"time"

	"ryepaddle/internal/simulator/virtualclock"
)

// Options configures a Cluster.
type Options struct {
	Runners int
	Zones   int
	Drift   float64 // largest relative error of the rate of a clock
	// Start starts a process with the contents of its disk; nil: the disk is empty.
	Start func(n *Node, disk any)
	// Save returns the contents of the disk after a crash of the process.
	Save func(n *Node) any
	// MayFail reports whether a process may be lost now; nil: always.
	MayFail func(n *Node) bool
	// Log logs each fault; nil: nothing is logged.
	Log func(format string, a ...any)
}

// link is one direction between two runners.
type link struct{ from, to string }

// Cluster is a simulated cluster. It is not safe for concurrent use.
type Cluster struct {
	*virtualclock.Scheduler
	Rand         *rand.Rand
	Nodes        []*Node
	Sent         int // number of messages sent so far
	options      Options
	byName       map[string]*Node
	cutLinks     map[link]int // number of faults that cut each link
	incarnations uint64       // number of processes started so far
}

// randomStream separates the draws of a cluster from other draws with the same seed.
const randomStream = 41

// New returns a cluster whose processes are started by Start.
func New(seed uint64, options Options) *Cluster {
	c := &Cluster{
		Scheduler: virtualclock.New(),
		Rand:      rand.New(rand.NewPCG(seed, randomStream)),
		options:   options,
		byName:    map[string]*Node{},
		cutLinks:  map[link]int{},
	}
	for i := range options.Runners {
		zone := fmt.Sprintf("hall%d", i%max(options.Zones, 1)+1)
		rate := 1 + options.Drift*(2*c.Rand.Float64()-1)
		n := c.newNode(fmt.Sprintf("n%d", i+1), zone, rate)
		c.Nodes = append(c.Nodes, n)
		c.byName[n.Name] = n
	}
	return c
}

// Start starts all runners with empty disks.
func (c *Cluster) Start() {
	for _, n := range c.Nodes {
		n.start(nil)
	}
}

// Between draws a duration in [a, b), in whole microseconds.
func (c *Cluster) Between(a, b time.Duration) time.Duration {
	return a + time.Duration(c.Rand.Int64N((b-a).Microseconds()))*time.Microsecond
}

// Run runs the cluster for a time.
func (c *Cluster) Run(d time.Duration) { c.RunUntil(c.Now() + d) }

// Node returns the node with a name, or nil.
func (c *Cluster) Node(name string) *Node { return c.byName[name] }

func (c *Cluster) log(format string, a ...any) {
	if c.options.Log != nil {
		c.options.Log("%.3f "+format, append([]any{virtualclock.Micros(c.Now()) / 1e6}, a...)...)
	}
}

const (
	lossOdds, duplicateOdds, slowOdds = 300, 150, 100 // one message in this many is lost, duplicated or slow
	minDelay, maxDelay, maxSlowDelay  = 200 * time.Microsecond, 4 * time.Millisecond, 500 * time.Millisecond
)

// send delivers a message over a link: never, once or twice, each time after a random delay.
func (c *Cluster) send(l link, deliver func(to *Node)) {
	if c.cutLinks[l] > 0 || c.Rand.IntN(lossOdds) == 0 {
		return
	}
	copies := 1
	if c.Rand.IntN(duplicateOdds) == 0 {
		copies = 2
	}
	for range copies {
		delay := c.Between(minDelay, maxDelay)
		if c.Rand.IntN(slowOdds) == 0 {
			delay = c.Between(maxDelay, maxSlowDelay)
		}
		c.After(delay, func() {
			if to := c.byName[l.to]; to != nil && c.cutLinks[l] == 0 {
				to.Do(func() { deliver(to) })
			}
		})
	}
}

// Cut cuts the link from a to b for a time. With both it also cuts the link from b to a.
func (c *Cluster) Cut(a, b string, d time.Duration, both bool) {
	if a == b {
		return
	}
	if both {
		c.Cut(b, a, d, false)
	}
	l := link{a, b}
	c.cutLinks[l]++
	c.After(d, func() { c.cutLinks[l]-- })
}
