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
	// tickInterval is the time between two ticks of the replica and the consensus participant.
	tickInterval = 20 * time.Millisecond
	// tableLogInterval is the least time between two log lines about tables in which slots lack
	// replicas.
	tableLogInterval = time.Second
)

// Config is the configuration of a node.
type Config struct {
	Links        link.Config
	Zone         string
	Voters       []string // names of the voters of the consensus group
	KnownMembers []string // names of all members in the operator's file
	Slots        int
	Backups      int           // replicas of a slot besides the primary
	KeyWindow    time.Duration // the longest window of all classes
	MaxBytes     int           // bound of the key records' size; 0: no bound
	CatchUpRate  int64         // bytes per second sent to replicas that are catching up; 0: no bound
	// ReplicationTimeout bounds how long a run or an answer waits for replicas.
	ReplicationTimeout time.Duration
	Process            uint32        // the number of this process
	Incarnation        uint64        // of this runner's membership
	Dir                string        // the folder for durable state; "": nothing is durable
	UsageReplicas      UsageReplicas // nil: no usage ledgers are kept
	LeaseRules         lease.Rules
	CheckedZones       []string // the zones whose servers one runner checks for all
}

// UsageReplicas replicates the usage ledgers. Its methods are called on the loop and must not block.
type UsageReplicas interface {
	Receive(m *usagereplica.Message)
	SetTable(t *placement.Table, incarnation uint64)
	// Replicate records the usage of an ended run, and calls done on the loop once other runners
	// have it.
	Replicate(k lifecycle.KeyRecord, done func(error))
}

// KeyTable receives the records that other runners have of keys that this runner tried to reserve.
type KeyTable interface {
	// ApplyRemote applies the record that another runner has written about the run of a key.
	ApplyRemote(k lifecycle.KeyRecord)
	// ReleaseRemote applies the record that the run of a key on another runner never started.
	ReleaseRemote(k lifecycle.KeyRecord)
}

// Node is a runner as a peer of the other runners. Its methods must be called on the loop, except
// Close, which closes the disk after the loop has stopped. The loop closes the links.
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

	// durableTable is the newest table whose record is on disk, or the newest one if there is no disk.
	durableTable   *placement.Table
	appliedVersion uint64 // the version of the table that the node's components use
	tableLoggedAt  time.Duration
	flushing       bool // flush is running
	ticks          int
}

// Start opens the disk and listens for peers. The node's periodic work starts with Run.
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

// open creates the node's components from the state on its disk, and listens for peers.
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

// Run starts the periodic work of the node. Records of other runners are passed to keys.
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

// receive handles a frame of a peer. A message in it is ignored unless it names that peer as its
// sender.
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

// flush passes changes, tables and messages between the node's components and to peers until there are
// no more.
func (n *Node) flush() {
	if n.flushing { // called back by a component; the outer call continues
		return
	}
	n.flushing = true
	defer func() { n.flushing = false }()
	for n.exchange() {
	}
}

// exchange does one round of flush, and reports whether another round is needed.
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

// takeConsensusOutput releases the output of the consensus participant: at once, or through the disk
// if there is one.
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

// release sends the messages of an output whose record is durable, and makes its table available.
func (n *Node) release(output consensusOutput) {
	for i := range output.messages {
		m := &output.messages[i]
		n.transport.Send(m.To, &link.Frame{Consensus: m})
	}
	n.durableTable = output.table
}

// applyTable passes a table to all components. If this runner is lost according to the consensus
// participant's table, it rejoins in a new incarnation.
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

// logTable logs a table. Tables in which slots lack replicas are logged at most once per
// tableLogInterval.
func (n *Node) logTable(t *placement.Table) {
	full := t.FullyReplicatedSlots()
	if n.loop.Now() < n.tableLoggedAt+tableLogInterval && full < len(t.Slots) {
		return
	}
	n.tableLoggedAt = n.loop.Now()
	eventTable.Log(t.Version, len(t.Members), full, len(t.Slots), n.consensus.IsLeader())
}

// SendUsage sends messages about usage ledgers to peers.
func (n *Node) SendUsage(messages []usagereplica.Message) {
	for i := range messages {
		n.transport.Send(messages[i].To, &link.Frame{Usage: &messages[i]})
	}
}

// SetMembers replaces the peers and the names of all members by those of a newer operator's file. The
// voters remain those at the start.
func (n *Node) SetMembers(peers []link.Peer, known []string) {
	n.transport.SetPeers(peers)
	n.consensus.SetKnownMembers(known)
}

// SetLeaving proposes that a member gives up all its slots or, if leave is false, stays after all.
func (n *Node) SetLeaving(name string, leave bool) error {
	err := n.consensus.SetLeaving(name, leave, n.loop.Now())
	n.loop.Post(n.flush)
	return err
}

// Replace proposes that member old gives up all its slots, after checking that replacement is a member
// that can take over slots.
func (n *Node) Replace(old, replacement string) error {
	m := n.consensus.Table().Member(replacement)
	switch {
	case m == nil || m.Incarnation == 0:
		return kindReplacement.New("%s is not a member: add it to every operator's file and start it", replacement)
	case m.Leaving || old == replacement:
		return kindReplacement.New("%s is itself leaving", replacement)
	}
	return n.SetLeaving(old, true)
}
