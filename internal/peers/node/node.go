// Package node is a runner's part among its peers: the holder of copies, the consensus group and
// the links between them, as the core sees them. The core asks whether a key may run here, and has
// an answer wait until its result is kept on others too.
package node

import (
	"errors"
	"log/slog"
	"time"

	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/idempotency/persistence"
	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/peers/consensus"
	"ryepaddle/internal/peers/lease"
	"ryepaddle/internal/peers/link"
	"ryepaddle/internal/peers/placement"
	"ryepaddle/internal/peers/replication"
	"ryepaddle/internal/peers/usagereplica"
	"ryepaddle/internal/peers/wal"
	"ryepaddle/internal/telemetry/logging"
	"ryepaddle/internal/wallclock"
)

// What is told to operators.
var (
	eventTable = logging.Define(
		"peers.table",
		slog.LevelInfo,
		"version",
		"members",
		"whole",
		"slots",
		"leads",
	)
	eventDeclaredLost    = logging.Define("peers.held_for_lost", slog.LevelWarn, "version")
	eventConsensusFailed = logging.Define("peers.council_failed", slog.LevelError, "error")
)

// Times are microseconds.
const (
	tickInterval     = 20_000
	tableLogInterval = 1_000_000 // between two lines about tables
)

// Config is what the operator's file says.
type Config struct {
	Links              link.Config
	Zone               string
	Voters             []string
	KnownMembers       []string // all members of the file
	Slots              int
	Backups            int
	KeyWindow          int64 // the longest of all classes
	MaxBytes           int   // bytes of records that it holds; 0: any number
	CatchUpRate        int64 // bytes a second that go to who is being brought up
	ReplicationTimeout int64 // that a run or an answer waits for copies
	Process            uint32
	Incarnation        uint64
	Dir                string        // on a disk that lasts; empty: there is none
	UsageReplicas      UsageReplicas // nil: no account of usage is kept
	LeaseRules         lease.Rules
	// CheckedZones are those whose servers are asked for their health by one runner.
	CheckedZones []string
}

// UsageReplicas is what knows the accounts of runners. Its methods are called on the loop, and do not
// wait.
type UsageReplicas interface {
	Receive(m *usagereplica.Message)
	SetTable(t *placement.Table, life uint64)
	// Replicate counts the use of a run that ended, and calls done on the loop once others know of
	// it.
	Replicate(k lifecycle.KeyRecord, done func(error))
}

// SetTable is what it needs of the core.
type KeyTable interface {
	ApplyRemote(k lifecycle.KeyRecord, forgotten bool)
}

// Node is the part. Its methods are called on the loop.
type Node struct {
	cfg            Config
	loop           *eventloop.Loop
	keys           KeyTable
	localKeeper    lifecycle.KeyStore // nil: there is none
	transport      *link.Transport
	replica        *replication.Replica
	consensus      *consensus.Participant
	appliedVersion uint64
	durableTable   *placement.Table // the newest that is on the disk, if there is one
	tableLoggedAt  int64
	flushing       bool     // what comes of it is being sent
	disk           *disk    // nil: nothing is on a disk
	log            *wal.Log // the goroutine's
	leases         *Leases
	ticks          int
}

// Start listens for peers. Heard keys go to the core that Run names.
func Start(l *eventloop.Loop, cfg Config) (*Node, error) {
	p := &Node{cfg: cfg, loop: l}
	var log []consensus.DurableRecord
	var saved []replication.SlotSnapshot
	if cfg.Dir != "" {
		var err error
		if log, saved, err = p.openDisk(cfg.Dir); err != nil {
			return nil, err
		}
	}
	p.replica = replication.New(
		replication.Config{
			Name:          cfg.Links.Name,
			Incarnation:   cfg.Incarnation,
			KeyWindow:     cfg.KeyWindow,
			QuorumTimeout: consensus.QuorumTimeout,
			MaxBytes:      cfg.MaxBytes,
			CatchUpRate:   cfg.CatchUpRate,
		},
		saved,
		l.Now().Microseconds(),
	)
	var err error
	p.consensus, err = consensus.New(
		consensus.Config{
			Name:         cfg.Links.Name,
			Voters:       cfg.Voters,
			KnownMembers: cfg.KnownMembers,
			Slots:        cfg.Slots,
			Backups:      cfg.Backups,
			LeaseRules:   cfg.LeaseRules,
			StartedAt:    uint64(int64(l.Unix()) / 1_000_000),
			Clock:        BootTime,
		},
		placement.Member{
			Name: cfg.Links.Name, Zone: cfg.Zone, Incarnation: cfg.Incarnation, Process: cfg.Process, KeepsUsage: cfg.UsageReplicas != nil},
		log,
		l.Now().Microseconds(),
	)
	if err != nil {
		return nil, err
	}
	p.startLeases()
	p.transport, err = link.Open(l, cfg.Links, p.receive)
	return p, err
}

// Transport is the links.
func (p *Node) Transport() *link.Transport { return p.transport }

// Run begins to take part.
func (p *Node) Run(t KeyTable) {
	p.keys = t
	p.loop.Every(time.Duration(tickInterval)*time.Microsecond, func() {
		p.consensus.Tick(p.loop.Now().Microseconds())
		p.replica.Tick(p.loop.Now().Microseconds())
		if p.disk != nil {
			p.disk.saveNextSlot()
		}
		p.flush()
		if p.ticks++; p.ticks%reportTicks == 0 {
			p.leases.sendHealthReports()
		}
	})
}

func (p *Node) receive(from string, f *link.Frame) {
	switch {
	case f.Replication != nil && f.Replication.From == from:
		p.replica.Receive(f.Replication, p.loop.Now().Microseconds())
	case f.Consensus != nil && f.Consensus.From == from:
		p.consensus.Receive(f.Consensus, p.loop.Now().Microseconds())
	case f.Health != nil && f.Health.From == from:
		p.leases.receiveHealthReport(f.Health)
		return
	case f.Usage != nil && f.Usage.From == from:
		if p.cfg.UsageReplicas != nil {
			p.cfg.UsageReplicas.Receive(f.Usage)
		}
		return
	}
	p.flush()
}

// flush sends what is to be sent, and tells holder and consensus group what the other came to.
func (p *Node) flush() {
	if p.flushing { // it goes on where it was called from
		return
	}
	p.flushing = true
	defer func() { p.flushing = false }()
	for more := true; more; {
		more = false
		p.consensus.Propose(p.replica.TakeChanges(), p.loop.Now().Microseconds())
		p.consensus.Propose(p.leases.holder.PendingChanges(BootTime()), p.loop.Now().Microseconds())
		out, kept, err := p.consensus.Ready()
		if err != nil {
			eventConsensusFailed.Log(err)
		}
		p.replica.RecordQuorumContact(p.consensus.LastContact())
		if h := (consensusOutput{out, kept, p.consensus.Table()}); p.disk == nil {
			p.release(h)
		} else if len(out) > 0 || kept != nil || h.table != p.disk.newestTable {
			p.disk.enqueue(h)
		}
		if t := p.durableTable; t != nil && t.Version > p.appliedVersion {
			p.appliedVersion, more = t.Version, true
			if p.consensus.DeclaredLost() { // it was held for lost, and goes on
				p.cfg.Incarnation++
				eventDeclaredLost.Log(t.Version)
				p.replica.Rejoin(p.cfg.Incarnation)
				p.consensus.Rejoin(p.cfg.Incarnation)
				p.leases.holder.Renew(p.cfg.Incarnation)
			}
			lost := map[string]bool{}
			for _, m := range t.Members {
				if m.Incarnation == 0 {
					lost[m.Name] = true
				}
			}
			p.transport.SetUnavailable(lost)
			p.replica.SetTable(t, p.loop.Now().Microseconds())
			p.leases.holder.SetTable(t)
			if p.cfg.UsageReplicas != nil {
				p.cfg.UsageReplicas.SetTable(t, p.cfg.Incarnation)
			}
			p.logTable(t)
		}
		for _, m := range p.replica.TakeMessages() {
			p.transport.Send(m.To, &link.Frame{Replication: &m})
			more = true
		}
		if p.leases.update(); !more && p.leases.holder.HasUnsentChanges() {
			more = true
		}
	}
}

// release sends what the consensus group says, and has its table hold.
func (p *Node) release(h consensusOutput) {
	for i := range h.messages {
		p.transport.Send(h.messages[i].To, &link.Frame{Consensus: &h.messages[i]})
	}
	p.durableTable = h.table
}

// SendUsage sends words about accounts.
func (p *Node) SendUsage(out []usagereplica.Message) {
	for i := range out {
		p.transport.Send(out[i].To, &link.Frame{Usage: &out[i]})
	}
}

// sendHealthReports tells of a table, not more often than somebody could read it, unless it has all copies.
func (p *Node) logTable(t *placement.Table) {
	if p.loop.Now().Microseconds() < p.tableLoggedAt+tableLogInterval &&
		t.FullyReplicatedSlots() < len(t.Slots) {
		return
	}
	p.tableLoggedAt = p.loop.Now().Microseconds()
	eventTable.Log(t.Version, len(t.Members), t.FullyReplicatedSlots(), len(t.Slots), p.consensus.IsLeader())
}

// SetMembers takes the members of another file. Voters stay as they were at the start.
func (p *Node) SetMembers(peers []link.Peer, known []string) {
	p.transport.SetPeers(peers)
	p.consensus.SetKnownMembers(known)
}

// SetLeaving has a member hold nothing any more, or stay after all.
func (p *Node) SetLeaving(name string, leave bool) error {
	err := p.consensus.SetLeaving(name, leave, p.loop.Now().Microseconds())
	p.loop.Post(p.flush)
	return err
}

// Replace has a member leave in whose place another one is there already.
func (p *Node) Replace(old, by string) error {
	m := p.consensus.Table().Member(by)
	switch {
	case m == nil || m.Incarnation == 0:
		return kindReplacement.New("%s is not in: add it to all files, and start it first", by)
	case m.Leaving || old == by:
		return kindReplacement.New("%s is leaving itself", by)
	}
	return p.SetLeaving(old, true)
}

// KeyStatus is where a key's copies are, and what is held of it here.
type KeyStatus struct {
	Slot     int      `json:"slot"`
	Epoch    uint64   `json:"epoch"`
	Replicas []string `json:"set"` // the primary first
	Joining  []string `json:"joining,omitempty"`
	// for so long, as is known here, its slot takes no new keys
	QuarantineMs int64 `json:"quiet_ms,omitempty"`
	// begun, ended, forgotten, not held, or unknown to this holder
	State       string `json:"here"`
	Owner       string `json:"by,omitempty"`      // whose process runs it, or ran it
	RemainingMs int64  `json:"left_ms,omitempty"` // of its window
	ResultBytes int    `json:"bytes,omitempty"`   // of its result
}

// KeyStatus tells where the copies of a key are.
func (p *Node) KeyStatus(name store.KeyName) *KeyStatus {
	t := p.consensus.Table()
	slot, quiet, held, rec, left := p.replica.Lookup(name, p.loop.Now().Microseconds())
	s := &KeyStatus{Slot: slot, QuarantineMs: quiet / 1000, State: "not held", RemainingMs: left / 1000}
	if slot < len(t.Slots) {
		s.Epoch, s.Replicas, s.Joining = t.Slots[slot].Epoch, t.Slots[slot].Replicas, t.Slots[slot].Joining
	}
	switch {
	case rec != nil:
		s.State = map[store.RecordKind]string{store.RunStarted: "begun", store.RunEnded: "ended", store.KeyReleased: "forgotten"}[rec.Kind]
		s.Owner = "a process that is gone"
		for _, m := range t.Members {
			if m.Incarnation != 0 && m.Process == uint32(rec.Owner>>32) {
				s.Owner = m.Name
			}
		}
		if rec.Result != nil {
			s.ResultBytes = len(rec.Result.Body)
		}
	case held:
		s.State = "unknown"
	}
	return s
}

// Status is how copies stand, as this runner knows it.
type Status struct {
	Version         uint64          `json:"version"`
	IsLeader        bool            `json:"leads"`
	IsMember        bool            `json:"in"`
	Unavailable     string          `json:"closed,omitempty"` // why no new keys are taken
	FullyReplicated int             `json:"slots_whole"`
	Slots           int             `json:"slots"`
	Members         []string        `json:"members"` // that are in
	Lost            []string        `json:"lost,omitempty"`
	Leaving         []LeavingMember `json:"leaving,omitempty"`
	Links           int             `json:"links"`                     // connections to peers
	Relayed         int64           `json:"messages_passed,omitempty"` // between others
	HeldBytes       int             `json:"bytes_held"`                // of records, about
	CatchUpBytes    int64           `json:"bytes_copied"`              // to runners that were brought up
	Messages        int64           `json:"messages_sent"`
	Dropped         int64           `json:"messages_dropped"`

	Leases []LeaseStatus `json:"duties,omitempty"`
	// where one runner asks a hall's servers for their health
	HealthChecks *HealthCheckStatus `json:"checks,omitempty"`
}

// HealthCheckStatus is who asked servers for their health.
type HealthCheckStatus struct {
	Performed int64 `json:"made"`   // by this runner
	Skipped   int64 `json:"spared"` // as another one had told of them
	Stale     int64 `json:"late"`   // tales of runners that had lost the duty
}

// LeavingMember is a member that is to hold nothing any more.
type LeavingMember struct {
	Name  string `json:"name"`
	Slots int    `json:"holds"` // slots, still
}

// Status tells how copies stand.
func (p *Node) Status() *Status {
	t := p.consensus.Table()
	s := &Status{
		Version:         t.Version,
		IsLeader:        p.consensus.IsLeader(),
		IsMember:        p.replica.IsMember(),
		FullyReplicated: t.FullyReplicatedSlots(),
		Slots:           len(t.Slots),
		Messages:        p.transport.Sent,
		Dropped:         p.transport.Dropped,
		Links:           p.transport.Connections(),
		Relayed:         p.transport.Relayed,
		CatchUpBytes:    p.replica.CatchUpBytes,
		HeldBytes:       p.replica.HeldBytes,
	}
	_, s.Unavailable = p.replica.Unavailable(p.loop.Now().Microseconds())
	if s.Leases = p.leases.status(); len(p.cfg.CheckedZones) > 0 {
		s.HealthChecks = &HealthCheckStatus{
			p.leases.HealthChecks.Performed,
			p.leases.HealthChecks.Skipped,
			p.leases.HealthChecks.Stale,
		}
	}
	for _, m := range t.Members {
		if m.Leaving {
			s.Leaving = append(s.Leaving, LeavingMember{m.Name, t.SlotCount(m.Name)})
		}
		if m.Incarnation != 0 {
			s.Members = append(s.Members, m.Name)
		} else {
			s.Lost = append(s.Lost, m.Name)
		}
	}
	return s
}

func (p *Node) put(kind store.RecordKind, k lifecycle.KeyRecord, done func(replication.Result)) {
	now := int64(p.loop.Unix())
	left, within := int64(k.ExpiresAt)-now, p.cfg.ReplicationTimeout
	if kind == store.RunEnded { // whoever waits for it knows for how long
		within = max(within, left)
	}
	// The core is told in a turn of its own: it may ask for more at once.
	p.replica.Put(
		persistence.ToRecord(kind, k, wallclock.UnixMicro(now)),
		left,
		within,
		p.loop.Now().Microseconds(),
		func(a replication.Result) { p.loop.Post(func() { done(a) }) },
	)
	p.loop.Post(p.flush)
}

// Reserve implements lifecycle.Reservations: the run begins once its beginning is kept on others, unless the key
// is another's.
func (p *Node) Reserve(
	k lifecycle.KeyRecord,
	_ time.Duration,
	free func() bool,
	done func(mine bool, err error),
) {
	first := true
	p.put(store.RunStarted, k, func(a replication.Result) {
		again := !first
		first = false
		if a.Outcome == replication.OutcomeOwnedByOther {
			p.deliverRemoteRun(a)
			if !again {
				done(false, nil)
			}
			return
		}
		if !again {
			done(a.Err == nil && a.Outcome == replication.OutcomeGranted && free(), claimError(a))
		}
	})
}

// claimError is the error of an answer; nil: there is none.
func claimError(a replication.Result) error {
	if a.Err == nil {
		return nil
	}
	return &lifecycle.ReplicationError{RetryAfter: time.Duration(a.RetryAfter) * time.Microsecond, Err: a.Err}
}

// receiveHealthReport tells the core of another's run.
func (p *Node) deliverRemoteRun(a replication.Result) {
	r := *a.Record
	// the process that runs it is gone: it may have run
	if r.Until = wallclock.UnixMicro(int64(p.loop.Unix()) + a.Remaining); a.InDoubt {
		r.Kind, r.How = store.RunEnded, uint8(lifecycle.Failed)
	}
	p.keys.ApplyRemote(persistence.FromRecord(&r), r.Kind == store.KeyReleased)
}

// Ended implements lifecycle.Reservations. An end is kept by the Keeper, before it is answered.
func (p *Node) Ended(lifecycle.KeyRecord) {}

// Released implements lifecycle.Reservations.
func (p *Node) Released(k lifecycle.KeyRecord) {
	p.put(store.KeyReleased, k, func(replication.Result) {})
}

// Keeper is a keeper that keeps on peers what the disk keeps too; nil: there is no disk.
func (p *Node) Keeper(disk lifecycle.KeyStore) lifecycle.KeyStore {
	p.localKeeper = disk
	return keeper{p}
}

// record is the core's keeper.
type keeper struct{ node *Node }

// Unavailable implements lifecycle.KeyStore.
func (k keeper) Unavailable() (time.Duration, string) {
	if back, why := k.node.replica.Unavailable(k.node.loop.Now().Microseconds()); back > 0 ||
		k.node.localKeeper == nil {
		return time.Duration(back) * time.Microsecond, why
	}
	return k.node.localKeeper.Unavailable()
}

// MissingReplicas implements lifecycle.ReplicatedKeyStore.
func (k keeper) MissingReplicas() bool {
	back, _ := k.node.replica.Unavailable(k.node.loop.Now().Microseconds())
	return back > 0
}

// Timeout implements lifecycle.KeyStore.
func (k keeper) Timeout() time.Duration {
	return time.Duration(k.node.cfg.ReplicationTimeout) * time.Microsecond
}

// Started implements lifecycle.KeyStore: peers have it by the claim.
func (k keeper) Started(c lifecycle.KeyRecord, done func(error)) {
	if k.node.localKeeper == nil {
		k.node.loop.Post(func() { done(nil) })
		return
	}
	k.node.localKeeper.Started(c, done)
}

// Ended implements lifecycle.KeyStore: it is kept once peers and disk have it, and others know of its use.
// A disk that hangs is not waited for longer than its patience, as peers have it.
func (k keeper) Ended(c lifecycle.KeyRecord, done func(error)) {
	var errs error
	rest := 1
	one := func(err error) {
		errs = errors.Join(errs, err)
		if rest--; rest == 0 {
			done(errs)
		}
	}
	if k.node.localKeeper != nil {
		rest++
		k.node.localKeeper.Ended(c, k.node.withTimeout(k.node.localKeeper.Timeout(), one))
	}
	if k.node.cfg.UsageReplicas != nil && c.Result != nil && c.HasWaiter {
		rest++
		k.node.cfg.UsageReplicas.Replicate(c, one)
	}
	k.node.put(store.RunEnded, c, func(a replication.Result) { one(a.Err) })
}

// withTimeout passes the first word of the disk on, or that it has not come in time.
func (p *Node) withTimeout(patience time.Duration, done func(error)) func(error) {
	var late *eventloop.Timer
	heard := false
	once := func(err error) {
		if heard {
			return
		}
		heard = true
		late.Stop()
		done(err)
	}
	late = p.loop.After(patience, func() { once(errDiskTimeout) })
	return once
}

// Released implements lifecycle.KeyStore: peers hear it by the claim.
func (k keeper) Released(c lifecycle.KeyRecord) {
	if k.node.localKeeper != nil {
		k.node.localKeeper.Released(c)
	}
}
