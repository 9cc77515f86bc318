package replication

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/peers/consensus"
	"ryepaddle/internal/peers/grid"
	"ryepaddle/internal/peers/placement"
)

// A world in virtual time: runners with their holders, links that lose, delay, repeat and cut, a
// consensus group that agrees on the table by the library's consensus, callers, and a judge
// outside.

const (
	ms       = time.Millisecond
	second   = time.Second
	window   = 4 * second
	lease    = 600 * ms
	patience = 400 * ms
	lasts    = 15 * second
)

type event struct {
	at time.Duration
	no int
	fn func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].no < e[j].no
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

type world struct {
	r       *rand.Rand
	now     time.Duration
	queue   events
	no      int
	nodes   []*node
	voters  []string
	slots   int
	copies  int
	lives   uint64
	cut     map[[2]string]bool // from, to
	keys    map[string]*fact
	rate    int64
	named   map[string]*node
	grid    *grid.Grid // nil: all have links with all
	broken  []string
	sent    int
	served  int
	refused int
	failed  int
	// What a version of the program that is wrong does otherwise.
	tamper  func(w *world, m *Message) []Message
	retable func(t *placement.Table)
}

// fact is what the checker knows of a key.
type fact struct {
	runs   int
	result string
	hard   time.Duration // when it was first served, and kept before
	since  time.Duration
}

type node struct {
	w         *world
	name      string
	hall      string
	h         *Replica
	process   uint32
	up        bool
	stopped   bool
	held      []func() // what came while it was stopped
	consensus *consensus.Participant
	version   uint64                    // of the table that the holder was told
	renewed   uint64                    // that of the table for which it took another life
	log       []consensus.DurableRecord // on its disk, for the consensus group
	disk      disk
	older     disk
	entries   map[string]*entry
	sent      int
	links     map[string]bool // over which it said anything
}

// disk is what outlives a process.
type disk struct {
	saved []SlotSnapshot
	log   []consensus.DurableRecord
}

// entry is what a node's core knows of a key.
type entry struct {
	owner   uint64
	running bool
	result  string
	waiters []func(end string, hard bool)
}

func newWorld(seed uint64, runners, copies, slots int) *world {
	w := &world{
		r:     rand.New(rand.NewPCG(seed, 99)),
		cut:   map[[2]string]bool{},
		keys:  map[string]*fact{},
		named: map[string]*node{},
	}
	var names []string
	w.slots, w.copies = slots, copies
	if seed%2 == 0 { // copies are made anew bit by bit
		w.rate = 4000
	}
	for i := range runners {
		n := &node{
			w:     w,
			name:  fmt.Sprintf("n%d", i+1),
			hall:  fmt.Sprint("hall", i%3),
			links: map[string]bool{},
		}
		w.nodes = append(w.nodes, n)
		w.named[n.name] = n
		names = append(names, n.name)
		if i < 3 || i < 5 && runners >= 5 {
			w.voters = append(w.voters, n.name)
		}
	}
	if runners >= 5 && seed%3 == 0 {
		w.grid = grid.New(names, 1)
	}
	for _, n := range w.nodes {
		n.start(disk{})
	}
	return w
}

func (w *world) after(d time.Duration, fn func()) {
	w.no++
	heap.Push(&w.queue, event{w.now + d, w.no, fn})
}

func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.fn()
	}
	w.now = until
}

// between draws a whole number of microseconds from a to below b.
func (w *world) between(a, b time.Duration) time.Duration {
	return a + time.Duration(w.r.Int64N((b-a).Microseconds()))*time.Microsecond
}

// count draws a number from a to below b.
func (w *world) count(a, b int64) int64 { return a + w.r.Int64N(b-a) }

func (n *node) member() placement.Member {
	return placement.Member{Name: n.name, Zone: n.hall, Incarnation: n.h.cfg.Incarnation, Process: n.process}
}

// start is a new process on a disk.
func (n *node) start(d disk) {
	w := n.w
	w.lives++
	n.process, n.up, n.stopped, n.held, n.entries, n.version, n.log = uint32(
		w.lives,
	), true, false, nil, map[string]*entry{}, 0, d.log
	n.h = New(
		Config{
			Name:          n.name,
			Incarnation:   w.lives,
			KeyWindow:     window,
			QuorumTimeout: lease,
			CatchUpRate:   w.rate,
		},
		d.saved,
		w.now,
	)
	var err error
	n.consensus, err = consensus.New(
		consensus.Config{Name: n.name, Voters: w.voters, Slots: w.slots, Backups: w.copies},
		n.member(),
		d.log,
		w.now,
	)
	if err != nil {
		panic(err)
	}
	process := n.process
	var tick func()
	tick = func() {
		if n.process == process && n.up {
			n.do(func() {
				n.consensus.Tick(w.now)
				n.h.Tick(w.now)
			})
			w.after(20*ms, tick)
		}
	}
	w.after(w.between(0, 20*ms), tick)
}

// do has the process do something, now or when it is let go on, and sends what comes of it.
func (n *node) do(fn func()) {
	switch {
	case !n.up:
	case n.stopped:
		n.held = append(n.held, fn)
	default:
		fn()
		n.flush()
	}
}

func (n *node) flush() {
	w := n.w
	for range 3 { // a voter's table may follow from what is flushed
		n.consensus.Propose(n.h.TakeChanges(), w.now)
		out, kept, err := n.consensus.Ready()
		if err != nil {
			panic(err)
		}
		if kept != nil {
			if kept.VoterID != 0 {
				n.log = nil
			}
			n.log = append(slices.Clip(n.log), *kept)
		}
		for _, m := range out {
			w.over(m.From, m.To, func(to *node) { to.consensus.Receive(&m, w.now) })
		}
		n.h.RecordQuorumContact(n.consensus.LastContact())
		t := n.consensus.Table()
		if t.Version > n.version {
			// it was held for lost, and goes on
			if n.version = t.Version; n.consensus.DeclaredLost() && n.renewed < t.Version {
				w.lives++
				n.renewed = t.Version
				n.h.Rejoin(w.lives)
				n.consensus.Rejoin(w.lives)
			}
			t = t.Clone()
			if w.retable != nil {
				w.retable(t)
			}
			n.h.SetTable(t, w.now)
		}
	}
	for _, m := range n.h.TakeMessages() {
		w.send(m)
	}
}

// over takes something to another runner: over their link, or over a relay if they stand in a grid
// and have none.
func (w *world) over(from, to string, fn func(*node)) {
	if w.grid == nil || w.grid.Linked(from, to) {
		w.hop(from, to, fn)
		return
	}
	relays := w.grid.Relays(from, to)
	for i := range relays {
		relay := relays[(int(w.now/(300*ms))+i)%len(relays)]
		if n := w.node(relay); n.up {
			w.hop(from, relay, func(*node) { w.hop(relay, to, fn) })
			return
		}
	}
	w.hop(from, to, fn) // a link beside the grid
}

// hop takes something over a link, as the link is.
func (w *world) hop(from, to string, fn func(*node)) {
	w.sent++
	if n := w.node(from); n != nil {
		n.sent++
		n.links[to] = true
	}
	if w.cut[[2]string{from, to}] || w.r.IntN(300) == 0 {
		return
	}
	times := 1
	if w.r.IntN(150) == 0 {
		times = 2
	}
	for range times {
		d := w.between(200*time.Microsecond, 4*ms)
		if w.r.IntN(100) == 0 {
			d = w.between(4*ms, 500*ms)
		}
		w.after(d, func() {
			if n := w.node(to); n != nil && !w.cut[[2]string{from, to}] {
				n.do(func() { fn(n) })
			}
		})
	}
}

func (w *world) send(m Message) {
	all := []Message{m}
	if w.tamper != nil {
		all = w.tamper(w, &m)
	}
	for _, m := range all {
		w.over(m.From, m.To, func(n *node) { n.h.Receive(&m, w.now) })
	}
}

func (w *world) deliver(m Message) { w.node(m.To).do(func() { w.node(m.To).h.Receive(&m, w.now) }) }

// node is the one of that name.
func (w *world) node(name string) *node { return w.named[name] }

func (n *node) stop(d time.Duration) {
	if !n.up || n.stopped {
		return
	}
	process := n.process
	n.stopped = true
	n.w.after(d, func() {
		if n.process != process || !n.up {
			return
		}
		n.stopped = false
		held := n.held
		n.held = nil
		for _, fn := range held {
			n.do(fn)
		}
	})
}

// crash ends the process. Its disk is what it was, older, or empty.
func (n *node) crash(back time.Duration, how string) {
	if !n.up {
		return
	}
	n.disk = disk{n.h.Snapshot(n.w.now), n.log}
	n.up = false
	w := n.w
	w.after(back, func() {
		switch how {
		case "whole":
			n.start(n.disk)
		case "old":
			n.start(n.older)
		default:
			n.start(disk{})
		}
		n.older = n.disk
	})
}

// try is one try of a key at a node. Told: served, refused or failed; of a process that is gone
// nothing is told.
func (n *node) try(key string, left time.Duration) {
	w := n.w
	name := store.KeyName{Class: "hand-in", Key: key}
	began := w.now
	told := func(end string, hard bool) { w.judge(key, end, hard, began) }
	e := n.entries[key]
	switch {
	case e != nil && e.result != "":
		told(e.result, true)
		return
	case e != nil:
		e.waiters = append(e.waiters, told)
		return
	}
	if back, _ := n.h.Unavailable(w.now); back > 0 {
		told("refused", false)
		return
	}
	w.lives++
	e = &entry{owner: uint64(n.process)<<32 | w.lives&(1<<32-1), waiters: []func(string, bool){told}}
	n.entries[key] = e
	end := func(how string, hard bool) {
		waiters := e.waiters
		if e.waiters = nil; how == "refused" || how == "failed" {
			delete(n.entries, key)
		} else if hard {
			e.result = how
		}
		for _, fn := range waiters {
			fn(how, hard)
		}
	}
	record := store.Record{Kind: store.RunStarted, Name: name, Owner: e.owner}
	until := w.now + left
	asked := w.now
	n.h.Put(&record, left, patience, w.now, func(a Result) {
		switch {
		case a.Err != nil:
			end("refused", false)
		case a.Outcome == OutcomeGranted && w.now > asked+patience:
			w.broken = append(w.broken, key+" was begun after its time")
		case a.Outcome == OutcomeGranted:
			e.running = true
			w.fact(key).runs++
			result := fmt.Sprintf("run %d of %s at %s", w.fact(key).runs, key, n.name)
			process := n.process
			w.after(w.between(ms, 300*ms), func() {
				n.do(func() {
					if n.process != process {
						return
					}
					ended := record
					ended.Kind, ended.Result = store.RunEnded, &store.Result{Status: 200, Body: []byte(result)}
					waited := false
					w.after(patience, func() { n.do(func() { waited = true; end(result, false) }) })
					n.h.Put(&ended, until-w.now, patience, w.now, func(a Result) {
						if !waited {
							end(result, a.Err == nil)
						}
					})
				})
			})
		case a.Outcome == OutcomeOwnedByOther && a.Record.Kind == store.RunEnded:
			end(string(a.Record.Result.Body), true)
		case a.Outcome == OutcomeOwnedByOther && a.InDoubt:
			end("failed", true)
		case a.Outcome == OutcomeOwnedByOther && a.Record.Kind == store.KeyReleased:
			end("refused", false)
		}
	})
	n.flush()
}

func (w *world) fact(key string) *fact {
	if w.keys[key] == nil {
		w.keys[key] = &fact{since: w.now}
	}
	return w.keys[key]
}

// judge holds what a caller was told against what callers were told before it asked: of two tries
// at the same time, either may have been first.
func (w *world) judge(key, end string, hard bool, began time.Duration) {
	f := w.fact(key)
	switch {
	case end == "refused":
		w.refused++
	case end == "failed":
		if w.failed++; f.hard > 0 && began > f.hard {
			w.broken = append(w.broken, fmt.Sprintf("%s was served and then failed", key))
		}
	default:
		w.served++
		if f.result != "" && f.result != end {
			w.broken = append(w.broken, fmt.Sprintf("%s is served with %q and %q", key, f.result, end))
		}
		if f.result = end; hard && f.hard == 0 {
			f.hard = w.now
		}
	}
}

// verdict is what is wrong at the end.
func (w *world) verdict() string {
	for key, f := range w.keys {
		if f.runs > 1 {
			w.broken = append(w.broken, fmt.Sprintf("%s ran %d times", key, f.runs))
		}
	}
	return strings.Join(w.broken, "; ")
}

// play is a day of so many runners, by a seed.
func play(seed uint64, runners, copies int, change func(*world)) *world {
	w := newWorld(seed, runners, copies, 4)
	if change != nil {
		change(w)
	}
	w.run(window + readGrace + second) // the first sets begin with nothing
	for k := range 60 {
		key := fmt.Sprint("k", k)
		first := w.between(0, lasts)
		for range w.count(2, 8) {
			at := first + w.between(0, window-second)
			if w.r.IntN(4) == 0 {
				at = first + w.between(0, 3*ms) // at the same instant
			}
			w.after(at, func() {
				if n := w.nodes[w.r.IntN(len(w.nodes))]; n.up && !n.stopped {
					n.try(key, first+window-at)
				}
			})
		}
	}
	for range w.count(3, 14) {
		n, o := w.nodes[w.r.IntN(runners)], w.nodes[w.r.IntN(runners)]
		kind, at, d := w.r.IntN(8), w.between(0, lasts), w.between(20*ms, 4*second)
		w.after(at, func() {
			switch kind {
			case 0, 1:
				n.crash(w.between(50*ms, 3*second), []string{"whole", "old", "empty", "empty"}[w.r.IntN(4)])
			case 2, 3:
				n.stop(d)
			case 4:
				w.break_(n.name, o.name, d, w.r.IntN(2) == 0)
			case 5, 6: // cut off from all, or heard by nobody
				both := kind == 6
				for _, o := range w.nodes {
					w.break_(n.name, o.name, d, both)
				}
			case 7:
				for _, o := range w.nodes { // a hall from the others
					for _, p := range w.nodes {
						if o.hall == n.hall && p.hall != n.hall {
							w.break_(o.name, p.name, d, true)
						}
					}
				}
			}
		})
	}
	w.run(w.now + lasts + window + 2*second)
	return w
}

// break_ cuts a link for a while, in one direction or both.
func (w *world) break_(a, b string, d time.Duration, both bool) {
	ways := [][2]string{{a, b}}
	if both {
		ways = append(ways, [2]string{b, a})
	}
	for _, way := range ways {
		if way[0] == way[1] {
			continue
		}
		w.cut[way] = true
		w.after(d, func() { delete(w.cut, way) })
	}
}
