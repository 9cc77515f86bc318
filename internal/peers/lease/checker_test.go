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

// checker checks the guarantees of leases by true time, which no runner can see: at most one process
// relies on a lease at a time, each token is granted once, the resource accepts operations in the
// order of their tokens, and a committed handover reaches the next holder.
type checker struct {
	cluster    *cluster
	violations []string
	holding    map[string]holding // the newest holder, by lease
	grants     map[uint64]string  // the lease and holder of a grant in words, by token
	committed  map[string]uint64  // the newest committed counter, by lease
	fence      lease.Fence        // of the resource
	accepted   map[string]uint64  // the newest token of an accepted operation, by lease
	rejected   int                // number of rejected operations
}

// holding is a process that relies on a lease, and the true time until which it does.
type holding struct {
	node        *simcluster.Node
	incarnation uint64 // of the process
	token       uint64
	until       time.Duration
}

// isAlive reports whether the process still exists, even if it is stopped.
func (h *holding) isAlive() bool { return h.node.Up && h.node.Incarnation == h.incarnation }

// isOf reports whether the holding belongs to a process.
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

// observeTable checks that each token was granted only once and that no member holds more leases than
// it may.
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
			c.violation("%s holds %d leases, at most %d are allowed", l.Holder, held[l.Holder], most)
		}
	}
}

// observeHeld checks that no other process relies on a lease that this process relies on now.
func (c *checker) observeHeld(p *process, clock time.Duration) {
	held := p.holder.HeldLeases(clock)
	now := c.cluster.Now()
	for name, h := range c.holding { // the process may have released a lease
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
				"%s: %s relies on token %d while %s relies on token %d for %v more",
				g.Lease, p.node.Name, g.Token, h.node.Name, h.token, h.until-now,
			)
		}
		if h.token <= g.Token {
			c.holding[g.Lease] = holding{p.node, p.node.Incarnation, g.Token, c.trueExpiry(p, g, clock)}
		}
	}
}

// trueExpiry returns the true time at which a grant expires. With the defect suspendedClock the result
// is the earliest possible time, as the clock may stand still.
func (c *checker) trueExpiry(p *process, g lease.Grant, clock time.Duration) time.Duration {
	if c.cluster.broken.suspendedClock {
		return c.cluster.Now() + g.ExpiresAt - clock
	}
	return p.node.TrueTime(g.ExpiresAt)
}

// observeBegin checks that a holder does not start with a lower counter than the committed one.
func (c *checker) observeBegin(name string, g lease.Grant, counter uint64) {
	if committed := c.committed[g.Lease]; counter < committed {
		c.violation(
			"%s: %s begins under token %d with counter %d, although %d was committed",
			g.Lease, name, g.Token, counter, committed,
		)
	}
}

// observeCommitted records the counter of a committed handover.
func (c *checker) observeCommitted(name string, counter uint64) {
	c.committed[name] = max(c.committed[name], counter)
}

// receiveOperation handles an operation under a lease as the resource does, behind its fence.
func (c *checker) receiveOperation(g lease.Grant) {
	if err := c.fence.Check(g.Lease, g.Token); err != nil && !c.cluster.broken.noFence {
		c.rejected++
		return
	}
	if newest := c.accepted[g.Lease]; newest > g.Token {
		c.violation("%s: operation with token %d was accepted after one with token %d", g.Lease, g.Token, newest)
	}
	c.accepted[g.Lease] = max(c.accepted[g.Lease], g.Token)
}

// heldLeases returns the names of the leases that any process relies on.
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

// state describes the state of all runners and leases, for a violation.
func (c *cluster) state() string {
	var b strings.Builder
	for _, n := range c.Nodes {
		p := processOf(n)
		t := p.consensus.Table()
		fmt.Fprintf(
			&b,
			"\n%s: up %v, incarnation %d, leader %v, last contact %d ms ago, table version %d, bootstrap time %d",
			n.Name, n.Up, p.incarnation, p.consensus.IsLeader(),
			(p.monotonic() - p.consensus.LastContact()).Milliseconds(), t.Version, t.BootstrapTime,
		)
		for _, l := range t.Leases {
			fmt.Fprintf(
				&b,
				"; lease %s: holder %q, incarnation %d, token %d, expirations %v, abrupt %v",
				l.Name, l.Holder, l.Incarnation, l.Token, l.Expirations, l.Abrupt,
			)
		}
	}
	return b.String()
}
