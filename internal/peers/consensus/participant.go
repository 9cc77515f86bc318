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
	// HeartbeatInterval is the time between two heartbeats of a runner.
	HeartbeatInterval = 100 * time.Millisecond
	// FailureTimeout is the time without a heartbeat after which the leader declares a runner lost.
	FailureTimeout = 1500 * time.Millisecond
	// QuorumTimeout is the time after the last contact for which a runner may rely on the consensus
	// group going on without a newer table.
	QuorumTimeout = 600 * time.Millisecond
	// proposalRetryInterval is the time after which a proposal that was not committed, or a read
	// index that was not confirmed, is proposed again.
	proposalRetryInterval = 500 * time.Millisecond
	// maxPendingProposals bounds the proposals that are not committed yet.
	maxPendingProposals = 64
)

// Config is the configuration of a participant.
type Config struct {
	Name         string
	Voters       []string // the same in the same order at all runners
	KnownMembers []string // all members of the operator's file; empty: not known
	Slots        int      // of the table
	Backups      int      // replicas of a slot beside the primary
	LeaseRules   lease.Rules
	StartedAt    uint64 // Unix seconds at which this process began
	// Clock reads the clock that leases go by, which also counts the time for which the machine was
	// suspended. Without one the runner holds no leases.
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

	leader          string // where heartbeats go; empty: not known
	nextHeartbeat   time.Duration
	lastContact     time.Duration // when the newest heartbeat that the leader answered was sent
	contactAttempts int           // voters that were tried without a known leader
	leaderConfirmed func(askedAt time.Duration, tableVersion uint64)

	voterState
	leaderState
}

// voterState is what a voter knows of the Raft group and of its own part in it.
type voterState struct {
	rawNode       *raft.RawNode // nil: this runner does not vote now
	storage       *raft.MemoryStorage
	lastTick      time.Duration
	appliedIndex  uint64
	snapshotIndex uint64
	snapshotDue   bool // a changed set of voters is not in a snapshot yet
	confState     *raftpb.ConfState

	voterID           uint64
	voterIDUnsaved    bool   // voterID is not in a durable record yet
	voterIDRequests   int    // how often this process had to ask for another voter ID
	requestedVoterID  uint64 // the ID that a voter without one asks for; 0: it votes
	restartedFromDisk bool   // it went on from its disk, without an ID from the others
	// bootstrapSnapshot is what a voter began with that formed the group; nil: it did not
	bootstrapSnapshot *raftpb.Snapshot
	// restartingVoters are the other voters without an ID, and whether their disks have a log
	restartingVoters map[string]bool
}

// New returns a participant that begins with what its disk has.
//
// A voter that starts does not vote under the ID it had: its disk may be empty, or an older one that
// was put back, so that it would contradict votes that it gave before. The other voters replace the
// ID by a new one. If more than half of all voters are restarting, so that the rest cannot commit
// that, those with a log go on from it; if none of them has a log, they form the group.
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

// Table returns the newest table that is known. It is not changed any more.
func (c *Participant) Table() *placement.Table { return c.table }

// LastContact returns when the newest heartbeat that the leader answered was sent.
func (c *Participant) LastContact() time.Duration { return c.lastContact }

// IsVoter reports whether this runner votes now. A voter that has just started does not before the
// others gave it a voter ID.
func (c *Participant) IsVoter() bool { return c.rawNode != nil }

// IsLeader reports whether this runner leads the consensus group.
func (c *Participant) IsLeader() bool { return c.isLeader }

// Rejoin begins another incarnation of this runner's membership.
func (c *Participant) Rejoin(incarnation uint64) { c.self.Incarnation = incarnation }

// OnLeaderConfirmed sets the function that is called when a quorum has confirmed the leader after
// this runner's heartbeat at askedAt, with the version of the table that the leader had then.
func (c *Participant) OnLeaderConfirmed(fn func(askedAt time.Duration, tableVersion uint64)) {
	c.leaderConfirmed = fn
}

// SetLeaseRules replaces the rules of leases.
func (c *Participant) SetLeaseRules(rules lease.Rules) {
	c.cfg.LeaseRules = rules
	c.self.LeaseNames = rules.NamesFor(c.cfg.Name)
	c.granter.SetRules(rules)
}

// StopTakingLeases has this runner take no more leases. If it leads, it goes on granting them to
// others.
func (c *Participant) StopTakingLeases() { c.self.LeaseNames = nil }

// SetKnownMembers replaces the list of all members of the operator's file.
func (c *Participant) SetKnownMembers(names []string) { c.cfg.KnownMembers = names }

// SetLeaving proposes that a member gives up all its slots, or keeps them after all. It still holds
// slots until others have caught up: see placement.Table.SlotCount.
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

// DeclaredLost reports whether the table has this runner as lost, so that it has to come back in
// another incarnation.
func (c *Participant) DeclaredLost() bool {
	m := c.table.Member(c.cfg.Name)
	return m != nil && m.Incarnation == 0
}

// Ready returns the messages to send and the record that has to be on disk before that, or nil if
// there is none.
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

// Propose sends changes of the table to the leader. One that is not committed is lost; the caller
// proposes it again.
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

// Tick advances the Raft group's clock, the leader's work and the heartbeats.
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

// Receive handles a message.
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

// stepRaft hands a message to the Raft library if it is between the voters it names.
func (c *Participant) stepRaft(m *Message) {
	if c.rawNode == nil || m.From == "" {
		return
	}
	r := &raftpb.Message{}
	if proto.Unmarshal(m.Raft, r) != nil || c.voterName(r.GetFrom()) != m.From || r.GetTo() != c.voterID {
		return
	}
	_ = c.rawNode.Step(r) // an error says that the message does not fit the present term
}
