package lease_test

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"

	"ryepaddle/internal/peers/consensus"
	"ryepaddle/internal/peers/lease"
	"ryepaddle/internal/peers/placement"
	"ryepaddle/internal/testing/simcluster"
)

// Leases in virtual time: real consensus groups and holders, acts that come late to a resource with
// a fence, and a checker that sees true time.

const (
	ms     = time.Millisecond
	second = time.Second
)

// breakage is what a broken version of the program does otherwise.
type breakage struct {
	suspendedClock  bool // leases go by a clock that stands still while the machine is suspended
	renewAtResponse bool // a renewal counts from when its response came
	noFence         bool // the resource accepts every act
	lostHandover    bool // the handover is not passed on
	oldTable        bool // a confirmation by a leader with a newer table counts
	noQuorum        bool // the leader does not ask the voters whether it still leads
	noWait          bool // a name that is back in another incarnation frees its leases at once
	lateHandover    bool // a late handover replaces a newer one
	sameToken       bool // a grant does not have a token of its own
}

// cluster is an installation of runners that hold leases.
type cluster struct {
	*simcluster.Cluster
	broken     breakage
	rules      lease.Rules
	voters     []string
	checker    checker
	lateEpochs uint64 // of lateHandover
	log        func(format string, args ...any)
}

// logf logs with the true time, if there is a log.
func (c *cluster) logf(format string, args ...any) {
	if c.log != nil {
		c.log("%.3f "+format, append([]any{c.seconds()}, args...)...)
	}
}

// seconds returns the true time.
func (c *cluster) seconds() float64 { return c.Now().Seconds() }

// process is the process of a runner.
type process struct {
	cluster      *cluster
	node         *simcluster.Node
	consensus    *consensus.Participant
	holder       *lease.Holder
	incarnation  uint64
	tableVersion uint64
	log          []consensus.DurableRecord
	tokens       map[string]uint64 // by lease, under which it began its work
	counters     map[string]uint64 // by lease, its handover
}

// processOf returns the process of a node.
func processOf(n *simcluster.Node) *process { return n.State.(*process) }

func newCluster(
	seed uint64,
	runners, leases int,
	broken breakage,
	log func(format string, args ...any),
) *cluster {
	c := &cluster{broken: broken, checker: newChecker(), log: log}
	c.checker.cluster = c
	c.rules = lease.Rules{
		MaxPerMember:  (leases+runners-1)/runners + 1,
		ExpiryBackoff: 500 * time.Millisecond,
	}
	for i := range leases {
		rule := lease.Rule{Name: fmt.Sprint("d", i+1), Zones: []string{fmt.Sprintf("hall%d", i%3+1)}}
		c.rules.Rules = append(c.rules.Rules, rule)
	}
	for i := range min(runners-(runners+1)%2, 5) {
		c.voters = append(c.voters, fmt.Sprintf("n%d", i+1))
	}
	c.Cluster = simcluster.New(seed, simcluster.Options{
		Runners: runners,
		Zones:   3,
		Drift:   0.004,
		Log:     log,
		Start:   c.start,
		MayFail: c.mayFail,
		Save:    func(n *simcluster.Node) any { return processOf(n).log },
	})
	c.Start()
	return c
}

// mayFail reports whether the consensus group can go on without a runner's vote: a group that loses
// half of its votes at once does not come back, and a restarting voter knows nothing until the others
// have told it.
func (c *cluster) mayFail(n *simcluster.Node) bool {
	newest, oldest := uint64(0), uint64(math.MaxUint64)
	for _, name := range c.voters {
		other := c.Node(name)
		participant := processOf(other).consensus
		if other != n && (!other.Up || !participant.IsVoter()) {
			return false
		}
		version := participant.Table().Version
		if newest = max(newest, version); other != n {
			oldest = min(oldest, version)
		}
	}
	return oldest == newest
}

// start begins a process of a runner on its disk.
func (c *cluster) start(n *simcluster.Node, disk any) {
	p := &process{
		cluster:     c,
		node:        n,
		incarnation: n.Incarnation << 20,
		tokens:      map[string]uint64{},
		counters:    map[string]uint64{},
	}
	if disk != nil {
		p.log = disk.([]consensus.DurableRecord)
	}
	n.State = p
	var err error
	p.consensus, err = consensus.New(
		consensus.Config{
			Name:       n.Name,
			Voters:     c.voters,
			Slots:      1,
			Backups:    1,
			LeaseRules: c.rules,
			StartedAt:  100 + n.Incarnation,
			Clock:      p.leaseClock,
		},
		placement.Member{
			Name:        n.Name,
			Zone:        n.Zone,
			Incarnation: p.incarnation,
			Process:     uint32(n.Incarnation),
		},
		p.log,
		p.monotonic(),
	)
	if err != nil {
		panic(err)
	}
	p.holder = lease.NewHolder(n.Name, p.incarnation)
	p.consensus.OnLeaderConfirmed(p.confirmLeader)
	n.Every(20*ms, func() {
		p.consensus.Tick(p.monotonic())
		p.flush(p.leaseClock())
	})
	n.Every(60*ms, func() { p.work(p.leaseClock()) })
}

func (p *process) confirmLeader(askedAt time.Duration, tableVersion uint64) {
	if p.cluster.broken.renewAtResponse {
		askedAt = p.leaseClock()
	}
	if p.cluster.broken.oldTable {
		tableVersion = 0
	}
	p.holder.ConfirmLeader(askedAt, tableVersion)
}

// leaseClock is the one that leases go by.
func (p *process) leaseClock() time.Duration {
	if p.cluster.broken.suspendedClock {
		return p.monotonic()
	}
	return p.node.BootTime()
}

// monotonic is the clock that stands still while the machine is suspended.
func (p *process) monotonic() time.Duration { return p.node.Monotonic() }

// flush exchanges what holder and consensus group have for each other, and sends their messages.
func (p *process) flush(clock time.Duration) {
	for range 3 {
		p.exchange(clock)
	}
	p.cluster.checker.observeHeld(p, clock)
}

func (p *process) exchange(clock time.Duration) {
	p.consensus.Propose(p.holder.PendingChanges(clock), p.monotonic())
	messages, record, err := p.consensus.Ready()
	if err != nil {
		panic(err)
	}
	if record != nil {
		if record.VoterID != 0 {
			p.log = nil
		}
		p.log = append(slices.Clip(p.log), *record)
	}
	for _, m := range messages {
		if p.cluster.broken.noQuorum && m.Type == consensus.MsgHeartbeatResp && m.AskedAt != 0 {
			continue // receive has sent it already
		}
		p.send(m)
	}
	if t := p.consensus.Table(); t.Version > p.tableVersion {
		p.applyTable(t)
	}
}

func (p *process) send(m consensus.Message) {
	p.node.Send(m.To, func(to *simcluster.Node) { processOf(to).receive(m) })
}

func (p *process) applyTable(t *placement.Table) {
	p.tableVersion = t.Version
	if p.consensus.DeclaredLost() {
		p.incarnation++
		p.holder.Renew(p.incarnation)
		p.consensus.Rejoin(p.incarnation)
	}
	p.cluster.tamperTable(t)
	p.cluster.checker.observeTable(t)
	p.holder.SetTable(t)
}

// tamperTable changes a table in place as a broken version does, so that all that follows from it is
// wrong.
func (c *cluster) tamperTable(t *placement.Table) {
	for i := range t.Leases {
		l := &t.Leases[i]
		if c.broken.noWait {
			l.Abrupt = false
		}
		if c.broken.lostHandover && l.Holder == "" {
			l.Handover = nil
		}
		if c.broken.sameToken && l.Token != 0 {
			l.Token = t.BootstrapTime << 32
		}
	}
}

func (p *process) receive(m consensus.Message) {
	c := p.cluster
	if c.broken.noQuorum && m.Type == consensus.MsgHeartbeat && m.AskedAt != 0 && p.consensus.IsLeader() {
		p.send(consensus.Message{
			Type:    consensus.MsgHeartbeatResp,
			From:    p.node.Name,
			To:      m.From,
			Member:  placement.Member{Incarnation: m.Member.Incarnation},
			AskedAt: m.AskedAt,
			Version: p.consensus.Table().Version,
		})
	}
	if c.broken.lateHandover {
		for i := range m.Changes {
			c.makeNewest(&m.Changes[i])
		}
	}
	p.consensus.Receive(&m, p.monotonic())
	p.flush(p.leaseClock())
}

// makeNewest makes a late change of a lease look newer than all before it.
func (c *cluster) makeNewest(change *placement.Change) {
	if change.Kind == placement.ChangeSetHandover || change.Kind == placement.ChangeReleaseLease {
		c.lateEpochs++
		change.Epoch = c.lateEpochs<<32 | change.Epoch&math.MaxUint32
	}
}

// work does something under each lease that is held: an act a while later, as a process that pauses
// between its look at the clock and its act does, a handover, or sometimes a release.
func (p *process) work(clock time.Duration) {
	c := p.cluster
	for _, g := range p.holder.HeldLeases(clock) {
		if p.tokens[g.Lease] != g.Token {
			p.beginWork(g)
		}
		switch c.Rand.IntN(5) {
		case 0, 1:
			p.node.After(c.Between(0, 300*ms), func() {
				// the process cannot stop an act on its way
				c.After(c.Between(200*time.Microsecond, 20*ms), func() { c.checker.act(g) })
			})
		case 2, 3:
			p.counters[g.Lease]++
			p.handOver(p.holder.SetHandover, "handover", g)
		case 4:
			if c.Rand.IntN(20) > 0 {
				continue
			}
			p.handOver(p.holder.Release, "release", g)
		}
		p.flush(clock)
	}
}

// beginWork goes on from the handover of the holder before.
func (p *process) beginWork(g lease.Grant) {
	p.tokens[g.Lease] = g.Token
	counter, _ := strconv.ParseUint(string(g.Handover), 10, 64) // the first holder has none
	p.counters[g.Lease] = counter
	p.cluster.logf("%s begins %s under %d at %d, table %d", p.node.Name, g.Lease, g.Token, counter, p.tableVersion)
	p.cluster.checker.observeBegin(p.node.Name, g, counter)
}

// handOver proposes the counter of a lease for the next holder.
func (p *process) handOver(propose func(string, []byte, func(bool)), what string, g lease.Grant) {
	counter := p.counters[g.Lease]
	propose(g.Lease, []byte(strconv.FormatUint(counter, 10)), func(ok bool) {
		if !ok {
			return
		}
		p.cluster.logf(
			"%s: %s of %s at %d under %d, table %d %+v",
			p.node.Name, what, g.Lease, counter, g.Token, p.tableVersion, p.consensus.Table().Lease(g.Lease),
		)
		p.cluster.checker.observeCommitted(g.Lease, counter)
	})
}
