package replication

import (
	"fmt"
	"time"
)

// diskState is the state of the disk after a crash.
type diskState int

const (
	diskIntact diskState = iota // as at this crash
	diskOld                     // as at the crash before
	diskEmpty
)

// crashDiskStates are the disk states of random crashes. diskEmpty is twice as likely.
var crashDiskStates = []diskState{diskIntact, diskOld, diskEmpty, diskEmpty}

// stop suspends the process for d. Calls that arrive meanwhile are deferred.
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
			r.execute(fn)
		}
	})
}

// crash ends the process. A new one starts after the downtime with the given state of the disk.
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

// cutLink cuts the link from a to b for d, or both directions.
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

// cutZone cuts the links between a zone and the others for d.
func (c *cluster) cutZone(zone string, d time.Duration) {
	for _, a := range c.runners {
		for _, b := range c.runners {
			if a.zone == zone && b.zone != zone {
				c.cutLink(a.name, b.name, d, true)
			}
		}
	}
}

// scheduleFault schedules a random fault at a random time.
func (c *cluster) scheduleFault() {
	r, other := c.randomRunner(), c.randomRunner()
	kind, at, d := c.random.IntN(8), c.randomDuration(0, loadDuration), c.randomDuration(20*ms, 4*second)
	c.after(at, func() {
		switch kind {
		case 0, 1:
			downtime := c.randomDuration(50*ms, 3*second)
			r.crash(downtime, crashDiskStates[c.random.IntN(len(crashDiskStates))])
		case 2, 3:
			r.stop(d)
		case 4:
			c.cutLink(r.name, other.name, d, c.random.IntN(2) == 0)
		case 5, 6: // all links cut in both directions, or only those from the runner
			both := kind == 6
			for _, o := range c.runners {
				c.cutLink(r.name, o.name, d, both)
			}
		case 7:
			c.cutZone(r.zone, d)
		}
	})
}

// scheduleAttempt schedules an attempt with a key at a runner that is chosen at that time. The key's
// window began with the attempt at firstAt.
func (c *cluster) scheduleAttempt(key string, firstAt, at time.Duration) {
	c.after(at, func() {
		if r := c.randomRunner(); r.up && !r.stopped {
			r.attempt(key, firstAt+keyWindow-at)
		}
	})
}

// play simulates load and faults with a seed. If change is not nil, it may break the program first.
func play(seed uint64, change func(*cluster)) *cluster {
	runners, backups := 3+int(seed%7), 1+int(seed/7%2)
	c := newCluster(seed, runners, backups, 4)
	if change != nil {
		change(c)
	}
	c.run(keyWindow + readGrace + second) // the quarantine of the first, empty slots ends
	for k := range 60 {
		first := c.randomDuration(0, loadDuration)
		for range c.randomCount(2, 8) {
			at := first + c.randomDuration(0, keyWindow-second)
			if c.random.IntN(4) == 0 {
				at = first + c.randomDuration(0, 3*ms) // at the same instant
			}
			c.scheduleAttempt(fmt.Sprint("k", k), first, at)
		}
	}
	for range c.randomCount(3, 14) {
		c.scheduleFault()
	}
	c.run(loadDuration + keyWindow + 2*second)
	return c
}
