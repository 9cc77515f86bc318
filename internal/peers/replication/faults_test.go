package replication

import (
	"fmt"
	"time"
)

// diskState is what a process finds on its disk.
type diskState int

const (
	diskIntact diskState = iota
	diskOld              // what it had at the crash before
	diskEmpty
)

// drawnDiskStates are those of drawn crashes.
var drawnDiskStates = []diskState{diskIntact, diskOld, diskEmpty, diskEmpty}

// stop stops the process for a while. What comes in waits.
func (r *runner) stop(d time.Duration) {
	if !r.up || r.stopped {
		return
	}
	process := r.process
	r.stopped = true
	r.cluster.after(d, func() {
		if r.process != process || !r.up {
			return
		}
		r.stopped = false
		deferred := r.deferred
		r.deferred = nil
		for _, fn := range deferred {
			r.do(fn)
		}
	})
}

// crash ends the process. Another one begins after a while.
func (r *runner) crash(downtime time.Duration, state diskState) {
	if !r.up {
		return
	}
	r.disk = disk{r.replica.Snapshot(r.cluster.now()), r.log}
	r.up = false
	r.cluster.after(downtime, func() {
		switch state {
		case diskIntact:
			r.start(r.disk)
		case diskOld:
			r.start(r.older)
		case diskEmpty:
			r.start(disk{})
		}
		r.older = r.disk
	})
}

// cutLink cuts the link from a to b for a while, or both ways.
func (c *cluster) cutLink(a, b string, d time.Duration, both bool) {
	links := [][2]string{{a, b}}
	if both {
		links = append(links, [2]string{b, a})
	}
	for _, link := range links {
		if link[0] == link[1] {
			continue
		}
		c.cut[link] = true
		c.after(d, func() { delete(c.cut, link) })
	}
}

// cutZone cuts a zone off from the others for a while.
func (c *cluster) cutZone(zone string, d time.Duration) {
	for _, a := range c.runners {
		for _, b := range c.runners {
			if a.zone == zone && b.zone != zone {
				c.cutLink(a.name, b.name, d, true)
			}
		}
	}
}

// planFault draws a fault, and when it happens.
func (c *cluster) planFault() {
	r, other := c.anyRunner(), c.anyRunner()
	kind, at, d := c.random.IntN(8), c.between(0, loadDuration), c.between(20*ms, 4*second)
	c.after(at, func() {
		switch kind {
		case 0, 1:
			downtime := c.between(50*ms, 3*second)
			r.crash(downtime, drawnDiskStates[c.random.IntN(len(drawnDiskStates))])
		case 2, 3:
			r.stop(d)
		case 4:
			c.cutLink(r.name, other.name, d, c.random.IntN(2) == 0)
		case 5, 6: // cut off from all, or heard by nobody
			both := kind == 6
			for _, o := range c.runners {
				c.cutLink(r.name, o.name, d, both)
			}
		case 7:
			c.cutZone(r.zone, d)
		}
	})
}

// planAttempt has an attempt with a key come to a runner that is drawn then.
func (c *cluster) planAttempt(key string, first, at time.Duration) {
	c.after(at, func() {
		if r := c.anyRunner(); r.up && !r.stopped {
			r.attempt(key, first+keyWindow-at)
		}
	})
}

// play plays a day with load and faults by a seed, of a program that change may break.
func play(seed uint64, change func(*cluster)) *cluster {
	runners, backups := 3+int(seed%7), 1+int(seed/7%2)
	c := newCluster(seed, runners, backups, 4)
	if change != nil {
		change(c)
	}
	c.run(keyWindow + readGrace + second) // the first slots begin with nothing
	for k := range 60 {
		first := c.between(0, loadDuration)
		for range c.count(2, 8) {
			at := first + c.between(0, keyWindow-second)
			if c.random.IntN(4) == 0 {
				at = first + c.between(0, 3*ms) // at the same instant
			}
			c.planAttempt(fmt.Sprint("k", k), first, at)
		}
	}
	for range c.count(3, 14) {
		c.planFault()
	}
	c.run(loadDuration + keyWindow + 2*second)
	return c
}
