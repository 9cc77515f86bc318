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

// This file simulates leases in virtual time: real consensus groups and holders, operations that reach
// a fenced resource late, and a checker that sees true time.

const (
	ms     = time.Millisecond
	second = time.Second
)

// breakage selects the defects of a broken version of the program.
type breakage struct {
	suspendedClock  bool // leases use a clock that stands still while the machine is suspended
	renewAtResponse bool // a renewed lease runs from the response instead of the request
	noFence         bool // the resource accepts every operation
	lostHandover    bool // the handover is not passed on to the next holder
	oldTable        bool // a confirmation counts although the leader's table is newer than the holder's
	noQuorum        bool // the leader confirms without asking the voters whether it is still the leader
	noWait          bool // leases of a member that rejoins in another incarnation are granted at once
	lateHandover    bool // a delayed handover replaces a newer one
	sameToken       bool // all grants have the same token
}

// cluster is an installation of runners that hold leases.
type cluster struct {
	*simcluster.Cluster
	broken     breakage
	rules      lease.Rules
	voters     []string
	checker    checker
	lateEpochs uint64 // counts the changes that the defect lateHandover made the newest
	log        func(format string, args ...any)
}

// logf writes a line with the true time to the log, if there is one.
func (c *cluster) logf(format string, args ...any) {
	if c.log != nil {
		c.log("%.3f "+format, append([]any{c.seconds()}, args...)...)
	}
}

// seconds returns the true time in seconds.
func (c *cluster) seconds() float64 { return c.Now().Seconds() }

// process is a runner's process.
type process struct {
	cluster      *cluster
	node         *simcluster.Node
	consensus    *consensus.Participant
	holder       *lease.Holder
	incarnation  uint64
	tableVersion uint64
	log          []consensus.DurableRecord
	tokens       map[string]uint64 // the token under which the process began to work, by lease
	counters     map[string]uint64 // the counter that is the process's handover, by lease
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

// mayFail reports whether a runner may fail without stopping the consensus group for good: all other
// voters must be voting and have the newest table. A group that loses half of its votes at once does
// not recover, and a restarting voter knows nothing before the others have sent it the log.
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

// start starts a process of a runner with the records of the runner's disk.
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

// leaseClock returns the time of the clock that leases use.
func (p *process) leaseClock() time.Duration {
	if p.cluster.broken.suspendedClock {
		return p.monotonic()
	}
	return p.node.BootTime()
}

// monotonic returns the time of the clock that stands still while the machine is suspended.
func (p *process) monotonic() time.Duration { return p.node.Monotonic() }

// flush passes changes and tables between the holder and the consensus group, and sends their
// messages.
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
			continue // receive has sent a confirmation already
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

// tamperTable changes a table in place as a broken version would, which affects all later changes of
// the table too.
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

// makeNewest gives a lease change an epoch above all earlier ones, so that a delayed change counts as
// the newest.
func (c *cluster) makeNewest(change *placement.Change) {
	if change.Kind == placement.ChangeSetHandover || change.Kind == placement.ChangeReleaseLease {
		c.lateEpochs++
		change.Epoch = c.lateEpochs<<32 | change.Epoch&math.MaxUint32
	}
}

// work draws what the process does under each held lease: it starts an operation that is delayed, as if
// the process paused between checking its clock and acting, sets a handover, rarely releases the lease,
// or does nothing.
func (p *process) work(clock time.Duration) {
	c := p.cluster
	for _, g := range p.holder.HeldLeases(clock) {
		if p.tokens[g.Lease] != g.Token {
			p.beginWork(g)
		}
		switch c.Rand.IntN(5) {
		case 0, 1:
			p.node.After(c.Between(0, 300*ms), func() {
				// the process cannot recall an operation in transit
				c.After(c.Between(200*time.Microsecond, 20*ms), func() { c.checker.receiveOperation(g) })
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

// beginWork continues from the handover of the previous holder.
func (p *process) beginWork(g lease.Grant) {
	p.tokens[g.Lease] = g.Token
	counter, _ := strconv.ParseUint(string(g.Handover), 10, 64) // the first holder has none
	p.counters[g.Lease] = counter
	p.cluster.logf(
		"%s: begin work under %s, token %d, counter %d, table version %d",
		p.node.Name, g.Lease, g.Token, counter, p.tableVersion,
	)
	p.cluster.checker.observeBegin(p.node.Name, g, counter)
}

// handOver proposes the counter of a lease as the handover for the next holder, by SetHandover or
// Release.
func (p *process) handOver(propose func(string, []byte, func(bool)), what string, g lease.Grant) {
	counter := p.counters[g.Lease]
	propose(g.Lease, []byte(strconv.FormatUint(counter, 10)), func(ok bool) {
		if !ok {
			return
		}
		p.cluster.logf(
			"%s: committed the %s of %s, counter %d, token %d; table version %d, lease %+v",
			p.node.Name, what, g.Lease, counter, g.Token, p.tableVersion, p.consensus.Table().Lease(g.Lease),
		)
		p.cluster.checker.observeCommitted(g.Lease, counter)
	})
}
