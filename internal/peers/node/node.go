package node

import (
	"errors"
	"log/slog"
	"time"

	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/peers/consensus"
	"ryepaddle/internal/peers/lease"
	"ryepaddle/internal/peers/link"
	"ryepaddle/internal/peers/placement"
	"ryepaddle/internal/peers/replication"
	"ryepaddle/internal/peers/usagereplica"
	"ryepaddle/internal/telemetry/logging"
)

var (
	eventTable = logging.Define("peers.table", slog.LevelInfo,
		"version", "members", "whole", "slots", "leads")
	eventDeclaredLost    = logging.Define("peers.declared_lost", slog.LevelWarn, "version")
	eventConsensusFailed = logging.Define("peers.consensus_failed", slog.LevelError, "error")
)

const (
	// tickInterval is the time between two ticks of the replica and the consensus group.
	tickInterval = 20 * time.Millisecond
	// tableLogInterval is the least time between two log lines about tables with slots that lack
	// replicas.
	tableLogInterval = time.Second
)

// Config is the configuration of a node.
type Config struct {
	Links        link.Config
	Zone         string
	Voters       []string // of the consensus group
	KnownMembers []string // all members of the operator's file
	Slots        int
	Backups      int           // replicas of a slot beside the primary
	KeyWindow    time.Duration // the longest window of all classes
	MaxBytes     int           // of the records of keys; 0: no bound
	CatchUpRate  int64         // bytes a second sent to replicas that are catching up; 0: no bound
	// ReplicationTimeout bounds how long a run or an answer waits for replicas.
	ReplicationTimeout time.Duration
	Process            uint32 // the number of this process
	Incarnation        uint64 // of the membership
	Dir                string // on a durable disk; "": there is none
	UsageReplicas      UsageReplicas
	LeaseRules         lease.Rules
	CheckedZones       []string // whose servers one runner checks
}

// UsageReplicas replicates the ledgers of usage; nil where none are kept. Its methods are called on
// the loop, and do not wait.
type UsageReplicas interface {
	Receive(m *usagereplica.Message)
	SetTable(t *placement.Table, incarnation uint64)
	// Replicate counts the use of a run that ended, and calls done on the loop once others have it.
	Replicate(k lifecycle.KeyRecord, done func(error))
}

// KeyTable takes what other runners know of keys that this one has asked for.
type KeyTable interface {
	ApplyRemote(k lifecycle.KeyRecord, forgotten bool)
}

// Node is a runner's part among its peers. Its methods are called on the loop. Close releases its
// disk; the links are the loop's.
type Node struct {
	cfg        Config
	loop       *eventloop.Loop
	keys       KeyTable
	localStore lifecycle.KeyStore // nil: there is none
	transport  *link.Transport
	replica    *replication.Replica
	consensus  *consensus.Participant
	leases     *Leases
	disk       *disk // nil: nothing is durable

	// durableTable is the newest table that is on disk, if there is one, and appliedVersion the
	// version of the one that the parts go by.
	durableTable   *placement.Table
	appliedVersion uint64
	tableLoggedAt  time.Duration
	flushing       bool
	ticks          int
}

// Start opens the disk and listens for peers. The node takes part from Run on.
func Start(loop *eventloop.Loop, cfg Config) (*Node, error) {
	n := &Node{cfg: cfg, loop: loop}
	var log []consensus.DurableRecord
	var slots []replication.SlotSnapshot
	if cfg.Dir != "" {
		var err error
		if log, slots, err = n.openDisk(cfg.Dir); err != nil {
			return nil, err
		}
	}
	if err := n.open(log, slots); err != nil {
		if n.disk != nil {
			err = errors.Join(err, n.disk.close(time.After(closeTimeout)))
		}
		return nil, err
	}
	return n, nil
}

// open begins the parts of the node with what its disk has, and listens.
func (n *Node) open(log []consensus.DurableRecord, slots []replication.SlotSnapshot) error {
	cfg := &n.cfg
	n.replica = replication.New(
		replication.Config{
			Name:          cfg.Links.Name,
			Incarnation:   cfg.Incarnation,
			KeyWindow:     cfg.KeyWindow,
			QuorumTimeout: consensus.QuorumTimeout,
			MaxBytes:      cfg.MaxBytes,
			CatchUpRate:   cfg.CatchUpRate,
		},
		slots,
		n.loop.Now(),
	)
	var err error
	if n.consensus, err = n.newParticipant(log); err != nil {
		return err
	}
	n.startLeases()
	n.transport, err = link.Open(n.loop, cfg.Links, n.receive)
	return err
}

func (n *Node) newParticipant(log []consensus.DurableRecord) (*consensus.Participant, error) {
	return consensus.New(
		consensus.Config{
			Name:         n.cfg.Links.Name,
			Voters:       n.cfg.Voters,
			KnownMembers: n.cfg.KnownMembers,
			Slots:        n.cfg.Slots,
			Backups:      n.cfg.Backups,
			LeaseRules:   n.cfg.LeaseRules,
			StartedAt:    uint64(n.loop.Unix().Time().Unix()),
			Clock:        BootTime,
		},
		placement.Member{
			Name:        n.cfg.Links.Name,
			Zone:        n.cfg.Zone,
			Incarnation: n.cfg.Incarnation,
			Process:     n.cfg.Process,
			KeepsUsage:  n.cfg.UsageReplicas != nil,
		},
		log,
		n.loop.Now(),
	)
}

// Transport returns the links to other runners.
func (n *Node) Transport() *link.Transport { return n.transport }

// Run begins to take part. What others know of keys goes to keys.
func (n *Node) Run(keys KeyTable) {
	n.keys = keys
	n.loop.Every(tickInterval, n.tick)
}

func (n *Node) tick() {
	n.consensus.Tick(n.loop.Now())
	n.replica.Tick(n.loop.Now())
	if n.disk != nil {
		n.disk.saveNextSlot()
	}
	n.flush()
	if n.ticks++; n.ticks%reportTicks == 0 {
		n.leases.sendHealthReports()
	}
}

// receive handles a message of a peer. One that does not name its sender is ignored.
func (n *Node) receive(from string, f *link.Frame) {
	switch {
	case f.Replication != nil && f.Replication.From == from:
		n.replica.Receive(f.Replication, n.loop.Now())
	case f.Consensus != nil && f.Consensus.From == from:
		n.consensus.Receive(f.Consensus, n.loop.Now())
	case f.Health != nil && f.Health.From == from:
		n.leases.receiveHealthReport(f.Health)
		return
	case f.Usage != nil && f.Usage.From == from:
		if n.cfg.UsageReplicas != nil {
			n.cfg.UsageReplicas.Receive(f.Usage)
		}
		return
	}
	n.flush()
}

// flush exchanges what the parts have for each other and sends what they have for peers, until
// nothing more comes of it.
func (n *Node) flush() {
	if n.flushing { // a part called back; the outer call goes on
		return
	}
	n.flushing = true
	defer func() { n.flushing = false }()
	for n.exchange() {
	}
}

// exchange does one round of flush, and reports whether another one is due.
func (n *Node) exchange() (more bool) {
	n.consensus.Propose(n.replica.TakeChanges(), n.loop.Now())
	n.consensus.Propose(n.leases.holder.PendingChanges(BootTime()), n.loop.Now())
	n.takeConsensusOutput()
	n.replica.RecordQuorumContact(n.consensus.LastContact())
	if t := n.durableTable; t != nil && t.Version > n.appliedVersion {
		n.applyTable(t)
		more = true
	}
	for _, m := range n.replica.TakeMessages() {
		n.transport.Send(m.To, &link.Frame{Replication: &m})
		more = true
	}
	n.leases.update()
	return more || n.leases.holder.HasUnsentChanges()
}

// takeConsensusOutput sends what the consensus group has, by way of the disk if there is one.
func (n *Node) takeConsensusOutput() {
	messages, record, err := n.consensus.Ready()
	if err != nil {
		eventConsensusFailed.Log(err)
	}
	output := consensusOutput{messages, record, n.consensus.Table()}
	switch {
	case n.disk == nil:
		n.release(output)
	case len(messages) > 0 || record != nil || output.table != n.disk.newestTable:
		n.disk.enqueue(output)
	}
}

// release sends messages of the consensus group whose record is durable, and lets its table hold.
func (n *Node) release(output consensusOutput) {
	for i := range output.messages {
		m := &output.messages[i]
		n.transport.Send(m.To, &link.Frame{Consensus: m})
	}
	n.durableTable = output.table
}

// applyTable has all parts go by a table. A runner that the table has as lost comes back in another
// incarnation.
func (n *Node) applyTable(t *placement.Table) {
	n.appliedVersion = t.Version
	if n.consensus.DeclaredLost() {
		n.cfg.Incarnation++
		eventDeclaredLost.Log(t.Version)
		n.replica.Rejoin(n.cfg.Incarnation)
		n.consensus.Rejoin(n.cfg.Incarnation)
		n.leases.holder.Renew(n.cfg.Incarnation)
	}
	lost := map[string]bool{}
	for _, m := range t.Members {
		if m.Incarnation == 0 {
			lost[m.Name] = true
		}
	}
	n.transport.SetUnavailable(lost)
	n.replica.SetTable(t, n.loop.Now())
	n.leases.holder.SetTable(t)
	if n.cfg.UsageReplicas != nil {
		n.cfg.UsageReplicas.SetTable(t, n.cfg.Incarnation)
	}
	n.logTable(t)
}

// logTable logs a table: each one that has all replicas, others once in tableLogInterval.
func (n *Node) logTable(t *placement.Table) {
	full := t.FullyReplicatedSlots()
	if n.loop.Now() < n.tableLoggedAt+tableLogInterval && full < len(t.Slots) {
		return
	}
	n.tableLoggedAt = n.loop.Now()
	eventTable.Log(t.Version, len(t.Members), full, len(t.Slots), n.consensus.IsLeader())
}

// SendUsage sends messages about ledgers of usage.
func (n *Node) SendUsage(messages []usagereplica.Message) {
	for i := range messages {
		n.transport.Send(messages[i].To, &link.Frame{Usage: &messages[i]})
	}
}

// SetMembers replaces the members of the operator's file. Voters stay as they were at the start.
func (n *Node) SetMembers(peers []link.Peer, known []string) {
	n.transport.SetPeers(peers)
	n.consensus.SetKnownMembers(known)
}

// SetLeaving has a member give up all its slots, or keep them after all.
func (n *Node) SetLeaving(name string, leave bool) error {
	err := n.consensus.SetLeaving(name, leave, n.loop.Now())
	n.loop.Post(n.flush)
	return err
}

// Replace has a member give up all its slots in favour of another one that is a member already.
func (n *Node) Replace(old, by string) error {
	m := n.consensus.Table().Member(by)
	switch {
	case m == nil || m.Incarnation == 0:
		return kindReplacement.New("%s is not in: add it to all files, and start it first", by)
	case m.Leaving || old == by:
		return kindReplacement.New("%s is leaving itself", by)
	}
	return n.SetLeaving(old, true)
}
