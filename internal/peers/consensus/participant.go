// Package consensus agrees on the table of copies: a Raft group of the voters that the operator's
// file names, from go.etcd.io/raft/v3, and what the other runners say to it and hear of it. It is
// free of I/O: messages and ticks come in; messages, and what has to be on a disk before they go
// out, come out. Times are microseconds of a monotonic clock.
package consensus

import (
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"ryepaddle/internal/peers/lease"
	"ryepaddle/internal/peers/placement"
)

// Times are microseconds.
const (
	HeartbeatInterval     = 100_000   // between two words that a runner is there
	FailureTimeout        = 1_500_000 // after which one that is silent is held for lost
	QuorumTimeout         = 600_000   // for so long after it was heard the consensus group counts as heard
	raftTickInterval      = 50_000    // of the library's clock
	electionTicks         = 10        // ticks without a leader until there is an election
	compactAfterEntries   = 1000      // entries until the log is cut by a snapshot
	proposalRetryInterval = 500_000   // after which a change that does not come through is proposed again
	maxRaftMessageBytes   = 256 << 10 // of one message of the library
	maxPendingProposals   = 64        // changes under way
)

// The kinds of messages.
const (
	MsgRaft          MessageType = iota + 1 // of the library, among voters
	MsgHeartbeat                            // a runner is there
	MsgHeartbeatResp                        // the leader has heard that
	MsgPropose                              // a runner says a change
)

// Config is what a runner is.
type Config struct {
	Name         string
	Voters       []string // the same everywhere, in the same order
	KnownMembers []string // who is in the file; empty: it says nothing of that
	Slots        int
	Backups      int
	LeaseRules   lease.Rules
	StartedAt    uint64 // Unix seconds when this process began
	// that duties go by, which also counts the time for which the machine was suspended; nil: there
	// are none
	Clock func() int64
}

// Participant is one runner's part in it.
type Participant struct {
	cfg             Config
	self            placement.Member
	now             int64
	table           *placement.Table
	outbox          []Message
	leader          string // to whom it is said that this runner is there
	nextHeartbeat   int64
	lastContact     int64 // a word that the leader answered was sent then
	contactAttempts int   // voters that were tried since

	// Of a voter:
	rawNode           *raft.RawNode
	storage           *raft.MemoryStorage
	lastTick          int64
	appliedIndex      uint64
	snapshotIndex     uint64
	isLeader          bool
	lastHeard         map[string]int64 // when each runner was heard
	pendingProposals  map[string]int64 // changes under way, and since when
	confState         *raftpb.ConfState
	voterID           uint64
	voterIDRequests   int              // how often this process had to ask for another number
	snapshotDue       bool             // a snapshot is due for other voters
	voterIDUnsaved    bool             // its number is not on the disk yet
	bootstrapSnapshot *raftpb.Snapshot // of one that began with nothing: what it began with
	restartedFromDisk bool             // it went on from its disk
	// of a voter that has just started: the number that it asks for; 0: it votes
	requestedVoterID uint64
	// the other voters that have just started: whether their disks have something
	restartingVoters map[string]bool

	granter              *lease.Granter
	leaseReleased        bool             // a duty was given back
	snapshotPendingSince map[uint64]int64 // since when voters wait for a snapshot
	failedSnapshots      []uint64         // of those, whose snapshot may be lost
	newProcesses         map[string]newProcess
	proposedLost         map[string]uint64       // lives that this leader proposed to hold for lost
	leaseRequests        map[string]leaseRequest // when each runner said last that it is there, by its own clock
	// of those that hold duties, since the consensus group was asked last whether it goes by this
	// leader
	pendingConfirmations []leaseRequest
	readIndexRequests    []leaseRequest // those that it was asked for
	readIndexID          uint64
	readIndexAt          int64
	readIndex            uint64 // the library confirmed it, for the table that this entry leads to; 0: not yet
	leaderConfirmed      func(asked int64, version uint64)
}

// leaseRequest is a runner that said it was there.
type leaseRequest struct {
	name        string
	incarnation uint64
	askedAt     int64
}

// New begins. A voter that starts does not vote, whatever its disk has: the disk may be empty, or
// an old one that was put back, and it would contradict what it said before. The others give it
// another number. Only if more than half of all voters have just started, so that the others can
// agree on nothing, do those with something on their disks go on from that; and if all have nothing
// they begin as the file has them.
func New(cfg Config, me placement.Member, disk []DurableRecord, now int64) (*Participant, error) {
	me.NewestChange = placement.NewestChangeKind
	c := &Participant{
		cfg:              cfg,
		self:             me,
		now:              now,
		lastTick:         now,
		lastContact:      now - QuorumTimeout - 1,
		lastHeard:        map[string]int64{},
		pendingProposals: map[string]int64{},
		restartingVoters: map[string]bool{},
		granter: lease.NewGranter(
			cfg.LeaseRules,
			cfg.StartedAt,
		),
		leaseRequests:        map[string]leaseRequest{},
		snapshotPendingSince: map[uint64]int64{},
		newProcesses:         map[string]newProcess{},
		proposedLost:         map[string]uint64{},
		leaderConfirmed:      func(int64, uint64) {},
	}
	if c.self.LeaseNames = cfg.LeaseRules.NamesFor(cfg.Name); cfg.Clock == nil {
		c.cfg.Clock = func() int64 { return 0 }
	}
	var err error
	if c.table, err = placement.New(cfg.Slots, cfg.Backups); err != nil {
		return nil, err
	}
	place := c.voterPosition(cfg.Name)
	if len(cfg.Voters)%2 == 0 || len(cfg.Voters) > maxVoters {
		return nil, kindVoters.New(
			"consensus: %d voters: want an odd number up to %d",
			len(cfg.Voters),
			maxVoters,
		)
	}
	if place == 0 {
		return c, nil
	}
	c.storage = raft.NewMemoryStorage()
	c.requestedVoterID = me.Incarnation<<8 | place
	for i := range disk {
		if err := c.restoreRecord(&disk[i]); err != nil {
			return nil, kindVoters.New("consensus: record %d of the disk: %w", i, err)
		}
	}
	if len(disk) > 0 && c.voterID == 0 {
		return nil, kindVoters.New("consensus: the disk does not have this voter's number")
	}
	return c, c.tryStart()
}

// tryStart looks whether enough voters have just started for them to begin by themselves.
func (c *Participant) tryStart() error {
	rest := 0
	for _, has := range c.restartingVoters {
		if has {
			rest++
		}
	}
	switch all := len(c.cfg.Voters); {
	case c.voterID != 0 && rest+1 > all/2:
		c.restartedFromDisk = true
		return c.startRaft()
	case c.voterID == 0 && rest == 0 && len(c.restartingVoters) == all-1:
		return c.bootstrap()
	}
	return nil
}

const maxVoters = 7

// startedWithoutOthers tells whether a voter began by itself and has no part in any agreement yet.
func (c *Participant) startedWithoutOthers() (rests, ok bool) {
	if c.rawNode == nil {
		return false, false
	}
	switch s := c.rawNode.BasicStatus(); {
	case c.bootstrapSnapshot != nil:
		return false, s.HardState.GetVote() == 0 && s.HardState.GetTerm() <= 1
	case c.restartedFromDisk:
		return true, s.Lead == 0
	}
	return false, false
}

// bootstrap begins with the voters of the file.
func (c *Participant) bootstrap() error {
	voters := &raftpb.ConfState{}
	for i := range c.cfg.Voters {
		voters.Voters = append(voters.Voters, uint64(i+1))
	}
	first := &raftpb.Snapshot{
		Metadata: &raftpb.SnapshotMetadata{ConfState: voters, Index: proto.Uint64(1), Term: proto.Uint64(1)},
	}
	if err := c.applySnapshot(first); err != nil {
		return err
	}
	c.voterID, c.bootstrapSnapshot, c.voterIDUnsaved = c.voterPosition(c.cfg.Name), first, true
	return c.startRaft()
}

// startRaft begins to vote.
func (c *Participant) startRaft() (err error) {
	c.requestedVoterID, c.lastTick = 0, c.now
	c.rawNode, err = raft.NewRawNode(
		&raft.Config{
			ID:                        c.voterID,
			ElectionTick:              electionTicks,
			HeartbeatTick:             2,
			Storage:                   c.storage,
			Applied:                   c.appliedIndex,
			MaxSizePerMsg:             maxRaftMessageBytes,
			MaxInflightMsgs:           64,
			MaxUncommittedEntriesSize: maxRaftMessageBytes,
			CheckQuorum:               true,
			PreVote:                   true,
			Logger:                    silentLogger{},
		},
	)
	return err
}

// voterPosition is a voter's place in the file, from 1 on; 0: it is none. It is the last byte of each
// number that the voter ever has.
func (c *Participant) voterPosition(name string) uint64 {
	return uint64(slices.Index(c.cfg.Voters, name) + 1)
}

// voterName is the name that goes with a number.
func (c *Participant) voterName(id uint64) string {
	if i := id & 0xff; i > 0 && i <= uint64(len(c.cfg.Voters)) {
		return c.cfg.Voters[i-1]
	}
	return ""
}

// Table is the newest that is known. It is not changed any more.
func (c *Participant) Table() *placement.Table { return c.table }

// LastContact is when the newest word that the leader answered was sent: the consensus group was heard
// since then.
func (c *Participant) LastContact() int64 { return c.lastContact }

// IsVoter tells whether this runner has a vote now: a voter that has just started has none before the
// others gave it one.
func (c *Participant) IsVoter() bool { return c.rawNode != nil }

// IsLeader tells whether this runner is the consensus group's leader.
func (c *Participant) IsLeader() bool { return c.isLeader }

// Rejoin is another life of this runner's membership.
func (c *Participant) Rejoin(life uint64) { c.self.Incarnation = life }

// OnLeaderConfirmed names who hears that the consensus group went by its leader after this runner asked,
// and of which table the leader knew then.
func (c *Participant) OnLeaderConfirmed(fn func(asked int64, version uint64)) { c.leaderConfirmed = fn }

// SetLeaseRules takes the rules of another file.
func (c *Participant) SetLeaseRules(r lease.Rules) {
	c.cfg.LeaseRules = r
	c.self.LeaseNames = r.NamesFor(c.cfg.Name)
	c.granter.SetRules(r)
}

// StopTakingLeases has this runner take no duty any more. If it leads, it goes on to grant them to others.
func (c *Participant) StopTakingLeases() { c.self.LeaseNames = nil }

// SetKnownMembers takes another list of who is in the file.
func (c *Participant) SetKnownMembers(names []string) { c.cfg.KnownMembers = names }

// Errors of a member that is to leave or to stay.
var (
	ErrUnknownMember error = kindUnknownMember.New("consensus: no member has that name")
	ErrVersionTooOld error = kindVersionTooOld.New(
		"consensus: a voter is of an older version, which knows nothing of members that leave",
	)
	ErrTooFewMembers error = kindTooFewMembers.New("consensus: too few others are left to hold its copies")
)

// SetLeaving has a member hold nothing any more, or stay after all. It is done by and by: see
// Table.Holding.
func (c *Participant) SetLeaving(name string, leave bool, now int64) error {
	x := placement.Change{Kind: placement.ChangeLeave, Member: placement.Member{Name: name}}
	m := c.table.Member(name)
	switch {
	case m == nil:
		return ErrUnknownMember
	case !leave:
		x.Kind = placement.ChangeStay
	case !m.Leaving:
		after := c.table.Clone()
		after.Apply(x)
		if after.NeedsLeavingMembers() {
			return ErrTooFewMembers
		}
	}
	if !c.table.AllUnderstand(x.Kind, c.cfg.Voters) {
		return ErrVersionTooOld
	}
	c.Propose([]placement.Change{x}, now)
	return nil
}

// DeclaredLost tells whether the table holds this runner for lost, so that it has to come back in another
// life.
func (c *Participant) DeclaredLost() bool {
	m := c.table.Member(c.cfg.Name)
	return m != nil && m.Incarnation == 0
}

// Ready gives what is to be sent, and what has to be on the disk before that, if anything.
func (c *Participant) Ready() ([]Message, *DurableRecord, error) {
	if c.rawNode != nil {
		c.requestReadIndex()
	}
	kept, err := c.advanceRaft()
	c.sendConfirmations()
	out := c.outbox
	c.outbox = nil
	return out, kept, err
}

func (c *Participant) send(m Message) {
	m.From = c.cfg.Name
	c.outbox = append(c.outbox, m)
}

// Propose says changes to the leader.
func (c *Participant) Propose(changes []placement.Change, now int64) {
	c.now = max(c.now, now)
	switch {
	case len(changes) == 0:
	case c.isLeader:
		c.proposeAsLeader(changes)
	case c.leader != "":
		c.send(Message{Type: MsgPropose, To: c.leader, Changes: changes})
	}
}

// Tick looks at the clock.
func (c *Participant) Tick(now int64) {
	c.now = max(c.now, now)
	if c.rawNode != nil {
		if c.now-c.lastTick > 20*raftTickInterval { // it was stopped, and does not make up for that
			c.lastTick = c.now - raftTickInterval
		}
		for c.now-c.lastTick >= raftTickInterval {
			c.lastTick += raftTickInterval
			c.rawNode.Tick()
		}
		c.runLeader()
	}
	if c.now < c.nextHeartbeat {
		return
	}
	c.nextHeartbeat = c.now + HeartbeatInterval
	if c.requestedVoterID != 0 {
		for _, v := range c.cfg.Voters {
			if v != c.cfg.Name {
				c.send(
					Message{
						Type:        MsgHeartbeat,
						To:          v,
						Member:      c.self,
						RequestedID: c.requestedVoterID,
						HasLog:      c.voterID != 0,
						SentAt:      c.now,
						AskedAt:     c.cfg.Clock(),
					},
				)
			}
		}
		return
	}
	if c.isLeader {
		c.handleHeartbeat(
			Message{
				From:    c.cfg.Name,
				Member:  c.self,
				Version: c.table.Version,
				SentAt:  c.now,
				AskedAt: c.cfg.Clock(),
			},
		)
		return
	}
	if c.now-c.lastContact > QuorumTimeout { // whoever was asked does not answer
		c.leader = c.cfg.Voters[c.contactAttempts%len(c.cfg.Voters)]
		c.contactAttempts++
	}
	if c.leader != "" && c.leader != c.cfg.Name {
		c.send(
			Message{
				Type:    MsgHeartbeat,
				To:      c.leader,
				Member:  c.self,
				Version: c.table.Version,
				SentAt:  c.now,
				AskedAt: c.cfg.Clock(),
				VoterID: c.currentVoterID(),
			},
		)
	}
}

// currentVoterID is that under which this voter votes; 0: it has none.
func (c *Participant) currentVoterID() uint64 {
	if c.rawNode == nil {
		return 0
	}
	return c.voterID
}

// Receive takes a message.
func (c *Participant) Receive(m *Message, now int64) {
	c.now = max(c.now, now)
	switch m.Type {
	case MsgRaft:
		r := &raftpb.Message{}
		if c.rawNode != nil && proto.Unmarshal(m.Raft, r) == nil && c.voterName(r.GetFrom()) == m.From &&
			m.From != "" &&
			r.GetTo() == c.voterID {
			_ = c.rawNode.Step(r) // what does not fit is passed over
		}
	case MsgHeartbeat:
		c.handleHeartbeat(*m)
	case MsgPropose:
		if c.isLeader {
			c.proposeAsLeader(m.Changes)
		}
	case MsgHeartbeatResp:
		if m.Leader != "" {
			if c.voterPosition(m.Leader) != 0 {
				c.leader = m.Leader
			}
			return
		}
		if c.voterPosition(m.From) == 0 {
			return
		}
		// it is one of the voters again, and learns all from the others
		if m.RequestedID != 0 && m.RequestedID == c.requestedVoterID {
			c.voterID, c.voterIDUnsaved, c.appliedIndex, c.snapshotIndex, c.confState = c.requestedVoterID, true, 0, 0, nil
			c.storage = raft.NewMemoryStorage()
			_ = c.startRaft() // its figures are right
			return
		}
		if m.AskedAt != 0 {
			// else it is for the process before, whose clock may have been another
			if m.Member.Incarnation == c.self.Incarnation {
				c.leaderConfirmed(m.AskedAt, m.Version)
			}
			return
		}
		if m.VoterID != 0 {
			c.replaceVoterID(m.VoterID)
			return
		}
		if m.SentAt > c.now { // it is for the process before, whose clock had gone further
			return
		}
		// it knows less than was agreed on: a consensus group that began anew does not stand for
		// the one before it
		if m.Version < c.table.Version {
			return
		}
		c.leader, c.lastContact = m.From, max(c.lastContact, m.SentAt)
		if m.Table != nil && c.rawNode == nil && m.Table.Version > c.table.Version &&
			len(m.Table.Slots) == c.cfg.Slots {
			c.table = m.Table
		}
	}
}
