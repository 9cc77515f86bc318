package consensus

import (
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"ryepaddle/internal/peers/lease"
	"ryepaddle/internal/peers/placement"
)

const (
	// HeartbeatInterval is the time between two heartbeats of a runner to the leader.
	HeartbeatInterval = 100 * time.Millisecond
	// FailureTimeout is the time without a heartbeat after which the leader declares a runner lost.
	FailureTimeout = 1500 * time.Millisecond
	// QuorumTimeout is how long after its last contact with the leader a runner may act on its table. It
	// is shorter than FailureTimeout, so that a runner that is cut off stops before it is declared lost.
	QuorumTimeout = 600 * time.Millisecond
	// proposalRetryInterval is the time after which an uncommitted proposal may be proposed again, and
	// an unconfirmed read index requested again.
	proposalRetryInterval = 500 * time.Millisecond
	// maxPendingProposals bounds the leader's uncommitted proposals.
	maxPendingProposals = 64
)

// Config is the configuration of a participant.
type Config struct {
	Name         string
	Voters       []string // the names of all voters, in the same order at all runners
	KnownMembers []string // the names of all members in the operator's file; empty: not known
	Slots        int      // number of slots in the table
	Backups      int      // replicas of a slot besides the primary
	LeaseRules   lease.Rules
	StartedAt    uint64 // when this process started, in Unix seconds
	// Clock reads the clock that lease times refer to, which also advances while the machine is
	// suspended. If it is nil, the runner requests no leases and may rely on none.
	Clock func() time.Duration
}

// Participant is one runner's part in the consensus group: a voter, or a runner that follows the
// leader's table.
type Participant struct {
	cfg    Config
	self   placement.Member
	now    time.Duration
	table  *placement.Table
	outbox []Message

	leader          string // the runner to which heartbeats are sent; empty: not known
	nextHeartbeat   time.Duration
	lastContact     time.Duration // when the newest heartbeat that the leader answered was sent
	contactAttempts int           // how often a voter was tried because no leader answered
	leaderConfirmed func(askedAt time.Duration, tableVersion uint64)

	voterState
	leaderState
}

// voterState is a voter's state in the Raft group.
type voterState struct {
	rawNode       *raft.RawNode // nil: this runner does not vote at present
	storage       *raft.MemoryStorage
	lastTick      time.Duration
	appliedIndex  uint64
	snapshotIndex uint64
	snapshotDue   bool // the newest snapshot does not have the current set of voters
	confState     *raftpb.ConfState

	voterID           uint64
	voterIDUnsaved    bool   // voterID is not in a durable record yet
	voterIDRequests   int    // how often this process had to request another voter ID
	requestedVoterID  uint64 // the ID that a voter without one requests; 0: the voter has an ID
	restartedFromDisk bool   // the voter resumed from its log without a new ID from the others
	// bootstrapSnapshot is the first snapshot of a voter that took part in forming the group; nil
	// otherwise
	bootstrapSnapshot *raftpb.Snapshot
	// restartingVoters tells whether the disk has a log, by the name of each other voter without an ID
	restartingVoters map[string]bool
}

// New returns a participant that is restored from the records of its disk.
//
// A starting voter does not vote under its previous ID: its disk may be empty or restored from an
// older copy, and it could contradict votes that it gave before. The other voters replace that ID by
// a new one. If so many voters are restarting that the rest cannot commit this, the voters with a log
// resume from it once more than half of all voters are restarting with a log. If all voters are
// starting and none has a log, they form the group.
func New(cfg Config, self placement.Member, disk []DurableRecord, now time.Duration) (*Participant, error) {
	table, err := placement.New(cfg.Slots, cfg.Backups)
	if err != nil {
		return nil, err
	}
	if len(cfg.Voters)%2 == 0 || len(cfg.Voters) > maxVoters {
		return nil, kindVoters.New("consensus: %d voters: want an odd number up to %d", len(cfg.Voters), maxVoters)
	}
	if cfg.Clock == nil {
		cfg.Clock = func() time.Duration { return 0 }
	}
	self.NewestChange = placement.NewestChangeKind
	self.LeaseNames = cfg.LeaseRules.NamesFor(cfg.Name)
	c := &Participant{
		cfg:             cfg,
		self:            self,
		now:             now,
		table:           table,
		lastContact:     now - QuorumTimeout - time.Microsecond,
		leaderConfirmed: func(time.Duration, uint64) {},
		voterState:      voterState{lastTick: now, restartingVoters: map[string]bool{}},
		leaderState:     newLeaderState(cfg),
	}
	if c.voterPosition(cfg.Name) == 0 {
		return c, nil
	}
	return c, c.restart(disk)
}

// Table returns the newest known table. The returned table is immutable.
func (c *Participant) Table() *placement.Table { return c.table }

// LastContact returns when the newest heartbeat that the leader answered was sent.
func (c *Participant) LastContact() time.Duration { return c.lastContact }

// IsVoter reports whether this runner votes at present. A voter that has just started does not vote
// until it has a voter ID.
func (c *Participant) IsVoter() bool { return c.rawNode != nil }

// IsLeader reports whether this runner is the leader of the consensus group.
func (c *Participant) IsLeader() bool { return c.isLeader }

// Rejoin starts a new incarnation of this runner's membership.
func (c *Participant) Rejoin(incarnation uint64) { c.self.Incarnation = incarnation }

// OnLeaderConfirmed sets the function that is called once a quorum has confirmed the leader after
// this runner's heartbeat at askedAt. TableVersion is the version of the leader's table when the leader
// was confirmed.
func (c *Participant) OnLeaderConfirmed(fn func(askedAt time.Duration, tableVersion uint64)) {
	c.leaderConfirmed = fn
}

// SetLeaseRules replaces the rules by which leases are granted.
func (c *Participant) SetLeaseRules(rules lease.Rules) {
	c.cfg.LeaseRules = rules
	c.self.LeaseNames = rules.NamesFor(c.cfg.Name)
	c.granter.SetRules(rules)
}

// StopTakingLeases makes this runner announce that it takes no more leases. As the leader, it
// continues to grant leases to other members.
func (c *Participant) StopTakingLeases() { c.self.LeaseNames = nil }

// SetKnownMembers replaces Config.KnownMembers.
func (c *Participant) SetKnownMembers(names []string) { c.cfg.KnownMembers = names }

// SetLeaving proposes that a member gives up all its slots or, if leave is false, stays after all. A
// leaving member holds its slots until other replicas have caught up: see placement.Table.SlotCount.
func (c *Participant) SetLeaving(name string, leave bool, now time.Duration) error {
	change := placement.Change{Kind: placement.ChangeLeave, Member: placement.Member{Name: name}}
	m := c.table.Member(name)
	switch {
	case m == nil:
		return ErrUnknownMember
	case !leave:
		change.Kind = placement.ChangeStay
	case !m.Leaving:
		after := c.table.Clone()
		after.Apply(change)
		if after.NeedsLeavingMembers() {
			return ErrTooFewMembers
		}
	}
	if !c.table.AllUnderstand(change.Kind, c.cfg.Voters) {
		return ErrVersionTooOld
	}
	c.Propose([]placement.Change{change}, now)
	return nil
}

// DeclaredLost reports whether this runner is lost according to the table. It then has to rejoin in a
// new incarnation.
func (c *Participant) DeclaredLost() bool {
	m := c.table.Member(c.cfg.Name)
	return m != nil && m.Incarnation == 0
}

// Ready returns the messages to send and the record that must be on disk before they are sent. The
// record is nil if nothing has to be written.
func (c *Participant) Ready() ([]Message, *DurableRecord, error) {
	if c.rawNode != nil {
		c.requestReadIndex()
	}
	record, err := c.advanceRaft()
	c.sendConfirmations()
	messages := c.outbox
	c.outbox = nil
	return messages, record, err
}

func (c *Participant) send(m Message) {
	m.From = c.cfg.Name
	c.outbox = append(c.outbox, m)
}

// Propose proposes changes of the table, by a message to the leader unless this runner is the leader.
// A proposal may be lost: the caller repeats it until the table has the change.
func (c *Participant) Propose(changes []placement.Change, now time.Duration) {
	c.now = max(c.now, now)
	switch {
	case len(changes) == 0:
	case c.isLeader:
		c.proposeAsLeader(changes)
	case c.leader != "":
		c.send(Message{Type: MsgPropose, To: c.leader, Changes: changes})
	}
}

// Tick advances the clock of the Raft library, does the leader's periodic work and sends heartbeats
// when they are due.
func (c *Participant) Tick(now time.Duration) {
	c.now = max(c.now, now)
	if c.rawNode != nil {
		c.tickRaft()
		c.runLeader()
	}
	if c.now < c.nextHeartbeat {
		return
	}
	c.nextHeartbeat = c.now + HeartbeatInterval
	c.sendHeartbeat()
}

// Receive handles a message from another runner.
func (c *Participant) Receive(m *Message, now time.Duration) {
	c.now = max(c.now, now)
	switch m.Type {
	case MsgRaft:
		c.stepRaft(m)
	case MsgHeartbeat:
		c.handleHeartbeat(m)
	case MsgHeartbeatResp:
		c.handleHeartbeatResponse(m)
	case MsgPropose:
		if c.isLeader {
			c.proposeAsLeader(m.Changes)
		}
	}
}

// stepRaft passes a message to the Raft library if its Raft sender is the voter that sent it and its
// Raft receiver is this voter under its current ID.
func (c *Participant) stepRaft(m *Message) {
	if c.rawNode == nil || m.From == "" {
		return
	}
	r := &raftpb.Message{}
	if proto.Unmarshal(m.Raft, r) != nil || c.voterName(r.GetFrom()) != m.From || r.GetTo() != c.voterID {
		return
	}
	_ = c.rawNode.Step(r) // fails for a message that the library does not accept in its current state
}
