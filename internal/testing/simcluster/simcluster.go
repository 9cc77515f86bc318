// Package simcluster is a number of runners in virtual time: processes that crash, stop and are
// suspended with their machine, clocks of their own that run fast or slow, links that lose, delay,
// repeat and cut, and disks that are kept, old or empty when a process is back. What the processes
// do is the test's. The same seed plays the same, as far as what it plays does.
//
// Times are true times, which no process can read: it has only the clocks of its Node.
package simcluster

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"ryepaddle/internal/simulator/virtualclock"
)

// Options say what is played.
type Options struct {
	Runners int
	Zones   int
	// the most by which a clock is fast or slow: a part of one
	Drift float64
	// a new process begins on what its disk has; nil: it is empty
	Start   func(n *Node, disk any)
	Save    func(n *Node) any             // what the disk of a process has as it crashes
	MayFail func(n *Node) bool            // whether a process may be lost now; nil: always
	Log     func(format string, a ...any) // of each fault; nil: nothing is told
}

// Cluster is the fleet.
type Cluster struct {
	*virtualclock.Scheduler
	Rand  *rand.Rand
	Nodes []*Node
	Sent  int // messages
	opt   Options
	named map[string]*Node
	cut   map[[2]string]int // from, to: how many faults cut it
	lives uint64
}

// Node is one runner's machine, and its process if there is one.
type Node struct {
	Name, Zone  string
	Cluster     *Cluster
	Up          bool
	Incarnation uint64 // of the process; new with each
	State       any    // what the test has of the process
	stopped     int    // how many faults hold it
	held        []func()
	rate        float64
	mono, boot  time.Duration // what is added to the clocks
	asleep      time.Duration // since when the machine is suspended; 0: it is not
	slept       time.Duration
	disk, old   any
	replaced    bool
}

// New is a fleet of which nothing runs before Begin.
func New(seed uint64, opt Options) *Cluster {
	w := &Cluster{
		Scheduler: virtualclock.New(),
		Rand:      rand.New(rand.NewPCG(seed, 41)),
		opt:       opt,
		named:     map[string]*Node{},
		cut:       map[[2]string]int{},
	}
	for i := range opt.Runners {
		n := &Node{
			Name:    fmt.Sprintf("n%d", i+1),
			Zone:    fmt.Sprintf("hall%d", i%max(opt.Zones, 1)+1),
			Cluster: w,
			rate:    1 + opt.Drift*(2*w.Rand.Float64()-1),
			mono:    w.Between(time.Second, 1000*time.Second),
			boot:    w.Between(1000*time.Second, 5000*time.Second),
		}
		w.Nodes = append(w.Nodes, n)
		w.named[n.Name] = n
	}
	return w
}

// Start starts all runners, on disks that are empty.
func (w *Cluster) Start() {
	for _, n := range w.Nodes {
		n.start(nil)
	}
}

// Between draws a duration from a to below b, in whole microseconds.
func (w *Cluster) Between(a, b time.Duration) time.Duration {
	return a + time.Duration(w.Rand.Int64N((b-a).Microseconds()))*time.Microsecond
}

// Run plays for a while.
func (w *Cluster) Run(d time.Duration) { w.RunUntil(w.Now() + d) }

// Node is the one of that name; nil: there is none.
func (w *Cluster) Node(name string) *Node { return w.named[name] }

func (w *Cluster) tell(format string, a ...any) {
	if w.opt.Log != nil {
		w.opt.Log("%.3f "+format, append([]any{virtualclock.Micros(w.Now()) / 1e6}, a...)...)
	}
}

func (n *Node) start(disk any) {
	n.Cluster.lives++
	n.Up, n.Incarnation, n.stopped, n.held = true, n.Cluster.lives, 0, nil
	n.Cluster.opt.Start(n, disk)
}

// Monotonic is the machine's clock that stands still while it is suspended.
func (n *Node) Monotonic() time.Duration {
	at := n.Cluster.Now()
	if n.asleep != 0 {
		at = n.asleep
	}
	return n.mono + virtualclock.FromMicros(virtualclock.Micros(at-n.slept)*n.rate)
}

// BootTime is the machine's clock that goes on while it is suspended.
func (n *Node) BootTime() time.Duration {
	return n.boot + virtualclock.FromMicros(virtualclock.Micros(n.Cluster.Now())*n.rate)
}

// TrueTime is the true time of one by the machine's clock that goes on.
func (n *Node) TrueTime(boot time.Duration) time.Duration {
	return virtualclock.FromMicros(virtualclock.Micros(boot-n.boot) / n.rate)
}

// Do has the process do something: now, when it is let go on, or never if it ends before that.
func (n *Node) Do(fn func()) {
	switch {
	case !n.Up:
	case n.stopped > 0:
		n.held = append(n.held, fn)
	default:
		fn()
	}
}

// After has this process do something after a while.
func (n *Node) After(d time.Duration, fn func()) {
	life := n.Incarnation
	n.Cluster.After(d, func() {
		if n.Incarnation == life {
			n.Do(fn)
		}
	})
}

// Every has this process do something again and again. What it misses while it is held it does
// once.
func (n *Node) Every(d time.Duration, fn func()) {
	life, waits := n.Incarnation, false
	var tick func()
	tick = func() {
		if n.Incarnation != life || !n.Up {
			return
		}
		if !waits {
			waits = true
			n.Do(func() { waits = false; fn() })
		}
		n.Cluster.After(d, tick)
	}
	n.Cluster.After(n.Cluster.Between(0, d), tick)
}

// Send takes something to another runner's process, as the link between them is.
func (n *Node) Send(to string, fn func(*Node)) {
	w := n.Cluster
	w.Sent++
	way := [2]string{n.Name, to}
	if n.replaced || w.cut[way] > 0 || w.Rand.IntN(300) == 0 {
		return
	}
	times := 1
	if w.Rand.IntN(150) == 0 {
		times = 2
	}
	for range times {
		d := w.Between(200*time.Microsecond, 4*time.Millisecond)
		if w.Rand.IntN(100) == 0 {
			d = w.Between(4*time.Millisecond, 500*time.Millisecond)
		}
		w.After(d, func() {
			if to := w.named[to]; to != nil && w.cut[way] == 0 {
				to.Do(func() { fn(to) })
			}
		})
	}
}

// Stop holds the process for a while, as SIGSTOP does. What comes in waits.
func (n *Node) Stop(d time.Duration) { n.hold(d, false) }

// Suspend holds the machine for a while: one of its clocks stands still.
func (n *Node) Suspend(d time.Duration) { n.hold(d, true) }

func (n *Node) hold(d time.Duration, asleep bool) {
	if !n.Up || n.stopped > 0 {
		return
	}
	life := n.Incarnation
	n.Cluster.tell("%s is held for %d ms, suspended %v", n.Name, d.Milliseconds(), asleep)
	if n.stopped++; asleep {
		n.asleep = n.Cluster.Now()
	}
	n.Cluster.After(d, func() {
		if asleep {
			n.slept += n.Cluster.Now() - n.asleep
			n.asleep = 0
		}
		if n.Incarnation != life || !n.Up {
			return
		}
		n.stopped--
		held := n.held
		n.held = nil
		for _, fn := range held {
			n.Do(fn)
		}
	})
}

// Disk says what a process finds on its disk when it is back.
type Disk int

// Disks.
const (
	DiskIntact Disk = iota // what was on it
	DiskStale              // what was on it at the crash before
	DiskEmpty
)

// Crash ends the process. Another one begins after a while.
func (n *Node) Crash(back time.Duration, disk Disk) {
	if !n.Up {
		return
	}
	n.Cluster.tell("%s crashes, back in %d ms with disk %d", n.Name, back.Milliseconds(), disk)
	n.old, n.disk = n.disk, n.Cluster.opt.Save(n)
	n.Up, n.held = false, nil
	n.Cluster.After(back, func() {
		n.start(map[Disk]any{DiskIntact: n.disk, DiskStale: n.old, DiskEmpty: nil}[disk])
	})
}

// Replace has a process begin under the runner's name on an empty machine, while the one before
// lives on and is heard by nobody any more.
func (n *Node) Replace() {
	w := n.Cluster
	w.tell("%s is replaced by another machine", n.Name)
	next := &Node{
		Name:    n.Name,
		Zone:    n.Zone,
		Cluster: w,
		rate:    n.rate,
		mono:    w.Between(time.Second, 1000*time.Second),
		boot:    w.Between(1000*time.Second, 5000*time.Second),
	}
	n.replaced = true
	w.named[n.Name] = next
	w.Nodes[slices.Index(w.Nodes, n)] = next
	next.start(nil)
}

// Cut cuts what goes from a to b for a while, or both ways.
func (w *Cluster) Cut(a, b string, d time.Duration, both bool) {
	if a == b {
		return
	}
	if both {
		w.Cut(b, a, d, false)
	}
	w.cut[[2]string{a, b}]++
	w.After(d, func() { w.cut[[2]string{a, b}]-- })
}

// CutOff cuts a runner from all, or has it be heard by nobody.
func (n *Node) CutOff(d time.Duration, both bool) {
	n.Cluster.tell("%s is cut off for %d ms, both ways %v", n.Name, d.Milliseconds(), both)
	for _, o := range n.Cluster.Nodes {
		n.Cluster.Cut(n.Name, o.Name, d, both)
	}
}

func (w *Cluster) may(n *Node) bool { return w.opt.MayFail == nil || w.opt.MayFail(n) }

// Fault does one that is drawn.
func (w *Cluster) Fault() {
	n, o := w.Nodes[w.Rand.IntN(len(w.Nodes))], w.Nodes[w.Rand.IntN(len(w.Nodes))]
	d := w.Between(20*time.Millisecond, 4*time.Second)
	switch w.Rand.IntN(10) {
	case 0, 1:
		if w.may(n) {
			n.Crash(w.Between(50*time.Millisecond, 3*time.Second), Disk(w.Rand.IntN(3)))
		}
	case 2:
		n.Stop(d)
	case 3:
		n.Suspend(d)
	case 4:
		w.tell("%s and %s are cut for %d ms", n.Name, o.Name, d.Milliseconds())
		w.Cut(n.Name, o.Name, d, w.Rand.IntN(2) == 0)
	case 5, 6:
		n.CutOff(d, w.Rand.IntN(3) > 0)
	case 7:
		w.tell("%s is cut off for %d ms", n.Zone, d.Milliseconds())
		for _, a := range w.Nodes {
			for _, b := range w.Nodes {
				if a.Zone == n.Zone && b.Zone != n.Zone {
					w.Cut(a.Name, b.Name, d, true)
				}
			}
		}
	case 8:
		if n.Up && w.may(n) {
			n.Replace()
		}
	case 9: // half of the fleet from the other one
		w.tell("the fleet is cut in two for %d ms", d.Milliseconds())
		for i, a := range w.Nodes {
			for _, b := range w.Nodes[:i] {
				if a.Name[len(a.Name)-1]%2 != b.Name[len(b.Name)-1]%2 {
					w.Cut(a.Name, b.Name, d, true)
				}
			}
		}
	}
}
