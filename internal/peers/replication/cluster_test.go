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

// This file simulates a cluster in virtual time: runners with their replicas, links that lose, delay,
// duplicate and cut messages, a consensus group with the Raft library, clients, and a checker that
// observes all attempts.

const (
	ms               = time.Millisecond
	second           = time.Second
	keyWindow        = 4 * second
	quorumTimeout    = 600 * ms
	requestTimeout   = 400 * ms
	loadDuration     = 15 * second
	tickInterval     = 20 * ms
	relayInterval    = 300 * ms
	catchUpRateBytes = 4000 // bytes per second, in clusters with a catch-up rate
)

// cluster is a simulated installation of runners.
type cluster struct {
	random    *rand.Rand
	scheduler *virtualclock.Scheduler
	runners   []*runner
	byName    map[string]*runner
	voters    []string
	slots     int
	backups   int
	rate      int64              // catch-up rate in bytes per second; 0: no bound
	grid      *grid.Grid         // nil: full mesh
	cut       map[[2]string]bool // cut links, by sender and receiver

	lastIncarnation uint64
	keys            map[string]*keyHistory
	violations      []string
	served          int
	refused         int
	failed          int

	// tamperMessage and tamperTable change messages and tables as a broken version of the program would;
	// nil: no change.
	tamperMessage func(c *cluster, m *Message) []Message
	tamperTable   func(t *placement.Table)
}

// runner is a simulated machine and, while it is up, its process.
type runner struct {
	cluster   *cluster
	name      string
	zone      string
	replica   *Replica
	consensus *consensus.Participant
	process   uint32
	up        bool
	stopped   bool
	deferred  []func() // calls that arrived while the process was stopped

	tableVersion  uint64 // version of the replica's table
	rejoinVersion uint64 // version of the table after which the process rejoined
	log           []consensus.DurableRecord
	disk, older   disk // state at the last crash and at the crash before it
	keys          map[string]*keyState
	sent          int             // number of messages sent
	links         map[string]bool // peers to which a message was sent
}

// disk is the stored state that the next process starts from.
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

// now returns the virtual time since the start of the cluster.
func (c *cluster) now() time.Duration {
	return c.scheduler.Now() - virtualclock.Origin
}

// after calls fn after d.
func (c *cluster) after(d time.Duration, fn func()) { c.scheduler.After(d, fn) }

// run advances the virtual clock by d.
func (c *cluster) run(d time.Duration) {
	c.scheduler.RunUntil(c.scheduler.Now() + d.Truncate(virtualclock.Resolution))
}

// randomDuration returns a random duration in [a, b), in whole microseconds.
func (c *cluster) randomDuration(a, b time.Duration) time.Duration {
	return a + time.Duration(c.random.Int64N((b-a).Microseconds()))*time.Microsecond
}

// randomCount returns a random number in [a, b).
func (c *cluster) randomCount(a, b int64) int64 { return a + c.random.Int64N(b-a) }

// randomRunner returns a random runner.
func (c *cluster) randomRunner() *runner { return c.runners[c.random.IntN(len(c.runners))] }

// newIncarnation returns a number that was not used before.
func (c *cluster) newIncarnation() uint64 {
	c.lastIncarnation++
	return c.lastIncarnation
}

// start starts a process with the state of a disk.
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
	c.after(c.randomDuration(0, tickInterval), func() { r.tick(r.process) })
}

// tick runs one tick of a process and schedules the next one.
func (r *runner) tick(process uint32) {
	if r.process != process || !r.up {
		return
	}
	r.execute(func() {
		r.consensus.Tick(r.cluster.now())
		r.replica.Tick(r.cluster.now())
	})
	r.cluster.after(tickInterval, func() { r.tick(process) })
}

// execute runs fn in the process, at once or when the process resumes, and sends the resulting messages.
// A process that is down ignores it.
func (r *runner) execute(fn func()) {
	switch {
	case !r.up:
	case r.stopped:
		r.deferred = append(r.deferred, fn)
	default:
		fn()
		r.flush()
	}
}

// flush passes changes and tables between the replica and the consensus participant, and sends their
// messages.
func (r *runner) flush() {
	for range 3 { // a voter's table may result from the changes passed before
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

// deliver calls fn at another runner, over the link between the two or over a relay if the grid has no
// such link.
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
	c.hop(from, to, fn) // no relay is up: a direct link outside the grid
}

// hop calls fn at the other end of one link. The link may lose, duplicate or delay the call.
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
		d := c.randomDuration(200*time.Microsecond, 4*ms)
		if c.random.IntN(100) == 0 {
			d = c.randomDuration(4*ms, 500*ms)
		}
		c.after(d, func() {
			if r := c.byName[to]; r != nil && !c.cut[link] {
				r.execute(func() { fn(r) })
			}
		})
	}
}

// send sends a replica's message, changed by tamperMessage if that is set.
func (c *cluster) send(m Message) {
	messages := []Message{m}
	if c.tamperMessage != nil {
		messages = c.tamperMessage(c, &m)
	}
	for _, m := range messages {
		c.deliver(m.From, m.To, func(to *runner) { to.replica.Receive(&m, c.now()) })
	}
}

// deliverNow delivers a message without delay or loss.
func (c *cluster) deliverNow(m Message) {
	to := c.byName[m.To]
	to.execute(func() { to.replica.Receive(&m, c.now()) })
}
