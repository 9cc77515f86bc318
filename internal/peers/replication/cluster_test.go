package replication

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"ryepaddle/internal/peers/consensus"
	"ryepaddle/internal/peers/grid"
	"ryepaddle/internal/peers/placement"
	"ryepaddle/internal/simulator/virtualclock"
)

// A cluster in virtual time: runners with their replicas, links that lose, delay, repeat and cut
// messages, a consensus group by the library's Raft, clients, and a checker that sees all.

const (
	ms               = time.Millisecond
	second           = time.Second
	keyWindow        = 4 * second
	quorumTimeout    = 600 * ms
	requestTimeout   = 400 * ms
	loadDuration     = 15 * second
	tickInterval     = 20 * ms
	relayInterval    = 300 * ms
	catchUpRateBytes = 4000 // a second, of the clusters that have a bound
)

// cluster is an installation of runners.
type cluster struct {
	random    *rand.Rand
	scheduler *virtualclock.Scheduler
	runners   []*runner
	byName    map[string]*runner
	voters    []string
	slots     int
	backups   int
	rate      int64              // bytes a second for replicas that are catching up; 0: no bound
	grid      *grid.Grid         // nil: all have links with all
	cut       map[[2]string]bool // links that are cut: from, to

	lastIncarnation uint64
	keys            map[string]*keyHistory
	violations      []string
	served          int
	refused         int
	failed          int

	// What a broken version of the program does otherwise.
	tamperMessage func(c *cluster, m *Message) []Message
	tamperTable   func(t *placement.Table)
}

// runner is one machine, and its process if it is up.
type runner struct {
	cluster   *cluster
	name      string
	zone      string
	replica   *Replica
	consensus *consensus.Participant
	process   uint32
	up        bool
	stopped   bool
	deferred  []func() // what came while the process was stopped

	tableVersion  uint64 // of the table that the replica has
	rejoinVersion uint64 // of the table for which it began another incarnation
	log           []consensus.DurableRecord
	disk, older   disk
	keys          map[string]*keyState
	sent          int             // messages
	links         map[string]bool // over which it sent anything
}

// disk is what outlives a process.
type disk struct {
	slots []SlotSnapshot
	log   []consensus.DurableRecord
}

func newCluster(seed uint64, runners, backups, slots int) *cluster {
	c := &cluster{
		random:    rand.New(rand.NewPCG(seed, 99)),
		scheduler: virtualclock.New(),
		slots:     slots,
		backups:   backups,
		cut:       map[[2]string]bool{},
		keys:      map[string]*keyHistory{},
		byName:    map[string]*runner{},
	}
	if seed%2 == 0 {
		c.rate = catchUpRateBytes
	}
	var names []string
	for i := range runners {
		r := &runner{
			cluster: c,
			name:    fmt.Sprintf("n%d", i+1),
			zone:    fmt.Sprint("hall", i%3),
			links:   map[string]bool{},
		}
		c.runners = append(c.runners, r)
		c.byName[r.name] = r
		names = append(names, r.name)
		if i < 3 || i < 5 && runners >= 5 {
			c.voters = append(c.voters, r.name)
		}
	}
	if runners >= 5 && seed%3 == 0 {
		c.grid = grid.New(names, 1)
	}
	for _, r := range c.runners {
		r.start(disk{})
	}
	return c
}

// now is the time since the cluster began.
func (c *cluster) now() time.Duration {
	return c.scheduler.Now() - virtualclock.Origin
}

// after calls fn after a while.
func (c *cluster) after(d time.Duration, fn func()) { c.scheduler.After(d, fn) }

// run plays for a while.
func (c *cluster) run(d time.Duration) {
	c.scheduler.RunUntil(c.scheduler.Now() + d.Truncate(virtualclock.Resolution))
}

// between draws a whole number of microseconds from a to below b.
func (c *cluster) between(a, b time.Duration) time.Duration {
	return a + time.Duration(c.random.Int64N((b-a).Microseconds()))*time.Microsecond
}

// count draws a number from a to below b.
func (c *cluster) count(a, b int64) int64 { return a + c.random.Int64N(b-a) }

// anyRunner draws a runner.
func (c *cluster) anyRunner() *runner { return c.runners[c.random.IntN(len(c.runners))] }

// newIncarnation returns a number that no process had.
func (c *cluster) newIncarnation() uint64 {
	c.lastIncarnation++
	return c.lastIncarnation
}

// start begins a process on a disk.
func (r *runner) start(d disk) {
	c := r.cluster
	incarnation := c.newIncarnation()
	r.process, r.up, r.stopped, r.deferred = uint32(incarnation), true, false, nil
	r.keys, r.tableVersion, r.log = map[string]*keyState{}, 0, d.log
	r.replica = New(
		Config{
			Name:          r.name,
			Incarnation:   incarnation,
			KeyWindow:     keyWindow,
			QuorumTimeout: quorumTimeout,
			CatchUpRate:   c.rate,
		},
		d.slots,
		c.now(),
	)
	var err error
	r.consensus, err = consensus.New(
		consensus.Config{Name: r.name, Voters: c.voters, Slots: c.slots, Backups: c.backups},
		placement.Member{Name: r.name, Zone: r.zone, Incarnation: incarnation, Process: r.process},
		d.log,
		c.now(),
	)
	if err != nil {
		panic(err)
	}
	c.after(c.between(0, tickInterval), func() { r.tick(r.process) })
}

// tick is one tick of a process, and calls for the next one.
func (r *runner) tick(process uint32) {
	if r.process != process || !r.up {
		return
	}
	r.do(func() {
		r.consensus.Tick(r.cluster.now())
		r.replica.Tick(r.cluster.now())
	})
	r.cluster.after(tickInterval, func() { r.tick(process) })
}

// do has the process do something, now or when it goes on, and sends what comes of it.
func (r *runner) do(fn func()) {
	switch {
	case !r.up:
	case r.stopped:
		r.deferred = append(r.deferred, fn)
	default:
		fn()
		r.flush()
	}
}

// flush exchanges what replica and consensus group have for each other, and sends their messages.
func (r *runner) flush() {
	for range 3 { // a voter's table may follow from what is flushed
		r.exchange()
	}
	for _, m := range r.replica.TakeMessages() {
		r.cluster.send(m)
	}
}

func (r *runner) exchange() {
	c := r.cluster
	r.consensus.Propose(r.replica.TakeChanges(), c.now())
	messages, record, err := r.consensus.Ready()
	if err != nil {
		panic(err)
	}
	if record != nil {
		if record.VoterID != 0 {
			r.log = nil
		}
		r.log = append(slices.Clip(r.log), *record)
	}
	for _, m := range messages {
		c.deliver(m.From, m.To, func(to *runner) { to.consensus.Receive(&m, c.now()) })
	}
	r.replica.RecordQuorumContact(r.consensus.LastContact())
	if t := r.consensus.Table(); t.Version > r.tableVersion {
		r.applyTable(t)
	}
}

func (r *runner) applyTable(t *placement.Table) {
	c := r.cluster
	r.tableVersion = t.Version
	if r.consensus.DeclaredLost() && r.rejoinVersion < t.Version {
		incarnation := c.newIncarnation()
		r.rejoinVersion = t.Version
		r.replica.Rejoin(incarnation)
		r.consensus.Rejoin(incarnation)
	}
	t = t.Clone()
	if c.tamperTable != nil {
		c.tamperTable(t)
	}
	r.replica.SetTable(t, c.now())
}

// deliver takes something to another runner: by their link, or by a relay if the grid has none.
func (c *cluster) deliver(from, to string, fn func(*runner)) {
	if c.grid == nil || c.grid.Linked(from, to) {
		c.hop(from, to, fn)
		return
	}
	relays := c.grid.Relays(from, to)
	for i := range relays {
		relay := relays[(int(c.now()/relayInterval)+i)%len(relays)]
		if c.byName[relay].up {
			c.hop(from, relay, func(*runner) { c.hop(relay, to, fn) })
			return
		}
	}
	c.hop(from, to, fn) // a link beside the grid
}

// hop takes something over one link, which may lose, repeat or delay it.
func (c *cluster) hop(from, to string, fn func(*runner)) {
	if sender := c.byName[from]; sender != nil {
		sender.sent++
		sender.links[to] = true
	}
	link := [2]string{from, to}
	if c.cut[link] || c.random.IntN(300) == 0 {
		return
	}
	times := 1
	if c.random.IntN(150) == 0 {
		times = 2
	}
	for range times {
		d := c.between(200*time.Microsecond, 4*ms)
		if c.random.IntN(100) == 0 {
			d = c.between(4*ms, 500*ms)
		}
		c.after(d, func() {
			if r := c.byName[to]; r != nil && !c.cut[link] {
				r.do(func() { fn(r) })
			}
		})
	}
}

// send sends a replica's message, as the version of the program that is played does.
func (c *cluster) send(m Message) {
	messages := []Message{m}
	if c.tamperMessage != nil {
		messages = c.tamperMessage(c, &m)
	}
	for _, m := range messages {
		c.deliver(m.From, m.To, func(to *runner) { to.replica.Receive(&m, c.now()) })
	}
}

// deliverNow has a runner receive a message at once.
func (c *cluster) deliverNow(m Message) {
	to := c.byName[m.To]
	to.do(func() { to.replica.Receive(&m, c.now()) })
}
