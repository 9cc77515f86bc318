package simcluster

import (
	"slices"
	"time"

	"ryepaddle/internal/simulator/virtualclock"
)

// Node is the machine of a runner, and its process while there is one.
type Node struct {
	Name, Zone  string
	Cluster     *Cluster
	Up          bool   // there is a process
	Incarnation uint64 // of the process
	State       any    // of the process, for the test

	stops           int      // number of faults that hold the process
	heldCalls       []func() // calls to make once the process is no longer held
	clockRate       float64
	monotonicOffset time.Duration // reading of Monotonic at time 0
	bootOffset      time.Duration // reading of BootTime at time 0
	suspendedSince  time.Duration // 0: the machine is not suspended
	suspendedTotal  time.Duration // time spent in earlier suspensions
	savedDisk       any           // contents of the disk at the last crash
	previousDisk    any           // contents of the disk at the crash before
	replaced        bool          // another machine has its name, and its messages are dropped
}

func (c *Cluster) newNode(name, zone string, clockRate float64) *Node {
	return &Node{
		Name:            name,
		Zone:            zone,
		Cluster:         c,
		clockRate:       clockRate,
		monotonicOffset: c.Between(time.Second, 1000*time.Second),
		bootOffset:      c.Between(1000*time.Second, 5000*time.Second),
	}
}

// start starts a process that finds the given disk; nil: an empty one.
func (n *Node) start(disk any) {
	n.Cluster.incarnations++
	n.Up = true
	n.Incarnation = n.Cluster.incarnations
	n.stops = 0
	n.heldCalls = nil
	n.Cluster.options.Start(n, disk)
}

// Monotonic reads the machine's monotonic clock, which stops while the machine is suspended.
func (n *Node) Monotonic() time.Duration {
	at := n.Cluster.Now()
	if n.suspendedSince != 0 {
		at = n.suspendedSince
	}
	return n.monotonicOffset + virtualclock.FromMicros(virtualclock.Micros(at-n.suspendedTotal)*n.clockRate)
}

// BootTime reads the machine's boot-time clock, which continues while the machine is suspended.
func (n *Node) BootTime() time.Duration {
	return n.bootOffset + virtualclock.FromMicros(virtualclock.Micros(n.Cluster.Now())*n.clockRate)
}

// TrueTime returns the true time at which BootTime reads bootTime.
func (n *Node) TrueTime(bootTime time.Duration) time.Duration {
	return virtualclock.FromMicros(virtualclock.Micros(bootTime-n.bootOffset) / n.clockRate)
}

// Do calls fn in the process: at once, or as soon as the process is no longer held. fn is never called if
// the process ends before that.
func (n *Node) Do(fn func()) {
	switch {
	case !n.Up:
	case n.stops > 0:
		n.heldCalls = append(n.heldCalls, fn)
	default:
		fn()
	}
}

// After calls fn in this process after a time, unless the process has ended.
func (n *Node) After(d time.Duration, fn func()) {
	incarnation := n.Incarnation
	n.Cluster.After(d, func() {
		if n.Incarnation == incarnation {
			n.Do(fn)
		}
	})
}

// Every calls fn in this process at an interval. Calls that fall due while the process is held are made
// once, when it continues.
func (n *Node) Every(interval time.Duration, fn func()) {
	incarnation := n.Incarnation
	pending := false
	var tick func()
	tick = func() {
		if n.Incarnation != incarnation || !n.Up {
			return
		}
		if !pending {
			pending = true
			n.Do(func() { pending = false; fn() })
		}
		n.Cluster.After(interval, tick)
	}
	n.Cluster.After(n.Cluster.Between(0, interval), tick)
}

// Send sends a message to another runner. deliver is called in that runner's process each time the
// message arrives, which may be never or twice.
func (n *Node) Send(to string, deliver func(to *Node)) {
	n.Cluster.Sent++
	if !n.replaced {
		n.Cluster.send(link{n.Name, to}, deliver)
	}
}

// Stop holds the process for a time, as SIGSTOP does. Messages to it wait.
func (n *Node) Stop(d time.Duration) { n.pause(d, false) }

// Suspend holds the process for a time as Stop does, and stops Monotonic as well.
func (n *Node) Suspend(d time.Duration) { n.pause(d, true) }

func (n *Node) pause(d time.Duration, suspend bool) {
	if !n.Up || n.stops > 0 {
		return
	}
	incarnation := n.Incarnation
	n.Cluster.log("%s is held for %d ms, suspended %v", n.Name, d.Milliseconds(), suspend)
	n.stops++
	if suspend {
		n.suspendedSince = n.Cluster.Now()
	}
	n.Cluster.After(d, func() {
		if suspend {
			n.suspendedTotal += n.Cluster.Now() - n.suspendedSince
			n.suspendedSince = 0
		}
		if n.Incarnation == incarnation && n.Up {
			n.resume()
		}
	})
}

// resume ends one fault that holds the process, and makes the calls that waited.
func (n *Node) resume() {
	n.stops--
	calls := n.heldCalls
	n.heldCalls = nil
	for _, fn := range calls {
		n.Do(fn)
	}
}

// Disk is the state in which a restarted process finds its disk.
type Disk int

// The states of a disk.
const (
	DiskIntact Disk = iota // as it was at the crash
	DiskStale              // as it was at the crash before
	DiskEmpty
	diskCount
)

// Crash ends the process. A new process starts after restartAfter and finds the disk in the given state.
func (n *Node) Crash(restartAfter time.Duration, disk Disk) {
	if !n.Up {
		return
	}
	n.Cluster.log("%s crashes, restarts after %d ms, disk state %d", n.Name, restartAfter.Milliseconds(), disk)
	n.previousDisk, n.savedDisk = n.savedDisk, n.Cluster.options.Save(n)
	n.Up = false
	n.heldCalls = nil
	n.Cluster.After(restartAfter, func() { n.start(n.diskIn(disk)) })
}

// diskIn returns the contents of a disk in the given state; nil: it is empty.
func (n *Node) diskIn(state Disk) any {
	switch state {
	case DiskIntact:
		return n.savedDisk
	case DiskStale:
		return n.previousDisk
	default:
		return nil
	}
}

// Replace starts a process with the name of the runner on another machine with an empty disk. The process
// on this machine continues, but its messages are dropped.
func (n *Node) Replace() {
	c := n.Cluster
	c.log("%s is replaced by another machine", n.Name)
	next := c.newNode(n.Name, n.Zone, n.clockRate)
	n.replaced = true
	c.byName[n.Name] = next
	c.Nodes[slices.Index(c.Nodes, n)] = next
	next.start(nil)
}

// CutOff cuts the links to all other runners for a time. With both it also cuts the links from them.
func (n *Node) CutOff(d time.Duration, both bool) {
	n.Cluster.log("%s is cut off for %d ms, both ways %v", n.Name, d.Milliseconds(), both)
	for _, other := range n.Cluster.Nodes {
		n.Cluster.Cut(n.Name, other.Name, d, both)
	}
}
