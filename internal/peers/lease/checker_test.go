package lease_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"ryepaddle/internal/peers/lease"
	"ryepaddle/internal/peers/placement"
	"ryepaddle/internal/testing/simcluster"
)

// checker checks by true time what no runner can see: that one holder at a time relies on a lease,
// that tokens are granted once, that the resource accepts acts in the order of tokens, and that what
// was committed is handed over.
type checker struct {
	cluster    *cluster
	violations []string
	holding    map[string]holding // by lease, the newest holder
	grants     map[uint64]string  // by token, to whom
	committed  map[string]uint64  // by lease, the newest counter
	fence      lease.Fence        // of the resource
	accepted   map[string]uint64  // by lease, the newest token of an act
	rejected   int                // acts
}

// holding is until when, in true time, a process relies on a lease.
type holding struct {
	node        *simcluster.Node
	incarnation uint64 // of the process
	token       uint64
	until       time.Duration
}

// isAlive reports whether the process is there, be it stopped.
func (h *holding) isAlive() bool { return h.node.Up && h.node.Incarnation == h.incarnation }

// isOf reports whether it is the holding of a process.
func (h *holding) isOf(p *process) bool {
	return h.node == p.node && h.incarnation == p.node.Incarnation
}

func newChecker() checker {
	return checker{
		holding:   map[string]holding{},
		grants:    map[uint64]string{},
		committed: map[string]uint64{},
		accepted:  map[string]uint64{},
	}
}

func (c *checker) violation(format string, args ...any) {
	text := fmt.Sprintf("%.3f ", c.cluster.seconds()) + fmt.Sprintf(format, args...)
	c.violations = append(c.violations, text)
}

// observeTable checks the grants of a table.
func (c *checker) observeTable(t *placement.Table) {
	held := map[string]int{}
	for i := range t.Leases {
		l := &t.Leases[i]
		if l.Holder == "" {
			continue
		}
		grant := fmt.Sprintf("%s for %s in incarnation %d", l.Name, l.Holder, l.Incarnation)
		if before, ok := c.grants[l.Token]; ok && before != grant {
			c.violation("token %d was granted for %s and for %s", l.Token, before, grant)
		}
		c.grants[l.Token] = grant
		held[l.Holder]++
		if most := c.cluster.rules.MaxPerMember; held[l.Holder] > most {
			c.violation("%s holds %d leases of %d", l.Holder, held[l.Holder], most)
		}
	}
}

// observeHeld checks the leases that a process relies on now.
func (c *checker) observeHeld(p *process, clock time.Duration) {
	held := p.holder.HeldLeases(clock)
	now := c.cluster.Now()
	for name, h := range c.holding { // it may have released it
		isHeld := slices.ContainsFunc(held, func(g lease.Grant) bool { return g.Lease == name })
		if h.isOf(p) && !isHeld {
			h.until = min(h.until, now)
			c.holding[name] = h
		}
	}
	for _, g := range held {
		h := c.holding[g.Lease]
		if h.node != nil && !h.isOf(p) && h.until > now && h.isAlive() {
			c.violation(
				"%s: %s relies on token %d, and %s does on %d for %v more",
				g.Lease, p.node.Name, g.Token, h.node.Name, h.token, h.until-now,
			)
		}
		if h.token <= g.Token {
			c.holding[g.Lease] = holding{p.node, p.node.Incarnation, g.Token, c.trueExpiry(p, g, clock)}
		}
	}
}

// trueExpiry returns when a grant expires in true time. By a clock that stands still it is only ever
// later than that.
func (c *checker) trueExpiry(p *process, g lease.Grant, clock time.Duration) time.Duration {
	if c.cluster.broken.suspendedClock {
		return c.cluster.Now() + g.ExpiresAt - clock
	}
	return p.node.TrueTime(g.ExpiresAt)
}

// observeBegin checks the counter with which a holder begins.
func (c *checker) observeBegin(name string, g lease.Grant, counter uint64) {
	if committed := c.committed[g.Lease]; counter < committed {
		c.violation(
			"%s: %s begins under token %d at %d, and %d was committed",
			g.Lease, name, g.Token, counter, committed,
		)
	}
}

// observeCommitted notes a counter that was committed.
func (c *checker) observeCommitted(name string, counter uint64) {
	c.committed[name] = max(c.committed[name], counter)
}

// act is an act that comes to the resource.
func (c *checker) act(g lease.Grant) {
	if err := c.fence.Check(g.Lease, g.Token); err != nil && !c.cluster.broken.noFence {
		c.rejected++
		return
	}
	if newest := c.accepted[g.Lease]; newest > g.Token {
		c.violation("%s: an act under token %d was accepted after one under %d", g.Lease, g.Token, newest)
	}
	c.accepted[g.Lease] = max(c.accepted[g.Lease], g.Token)
}

// heldLeases returns the leases that a process relies on.
func (c *cluster) heldLeases() (names []string) {
	for _, n := range c.Nodes {
		if !n.Up {
			continue
		}
		p := processOf(n)
		for _, g := range p.holder.HeldLeases(p.leaseClock()) {
			names = append(names, g.Lease)
		}
	}
	return names
}

// state returns how all runners and leases stand.
func (c *cluster) state() string {
	var b strings.Builder
	for _, n := range c.Nodes {
		p := processOf(n)
		t := p.consensus.Table()
		fmt.Fprintf(
			&b,
			"\n%s up %v incarnation %d leads %v heard %d ms ago, table %d of the group of %d",
			n.Name, n.Up, p.incarnation, p.consensus.IsLeader(),
			(p.monotonic() - p.consensus.LastContact()).Milliseconds(), t.Version, t.BootstrapTime,
		)
		for _, l := range t.Leases {
			fmt.Fprintf(
				&b,
				"; %s %q incarnation %d token %d expirations %v abrupt %v",
				l.Name, l.Holder, l.Incarnation, l.Token, l.Expirations, l.Abrupt,
			)
		}
	}
	return b.String()
}
