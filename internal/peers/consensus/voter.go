package consensus

import (
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	// raftTickInterval is the time between two ticks of the Raft library.
	raftTickInterval = 50 * time.Millisecond
	// maxLateTicks is the number of overdue ticks up to which a paused process catches up.
	maxLateTicks = 20
	// electionTicks is the election timeout in ticks.
	electionTicks = 10
	// raftHeartbeatTicks is the number of ticks between two heartbeats of the Raft leader.
	raftHeartbeatTicks = 2
	// maxRaftMessageBytes bounds the entries in one append message, and the leader's uncommitted entries.
	maxRaftMessageBytes = 256 << 10
	// maxRaftInflight bounds the append messages to one voter that it has not answered yet.
	maxRaftInflight = 64
	// maxVoters bounds the voters of a group.
	maxVoters = 7
	// maxVoterIDRequests bounds how often a process requests another voter ID. The count is part of the
	// ID, in its four highest bits, so that no ID is requested twice.
	maxVoterIDRequests = 15
)

// A voter ID has the voter's position in its lowest byte, the incarnation of its process above it,
// and in its four highest bits how often the process has requested another ID.
const (
	positionBits         = 8
	positionMask         = 1<<positionBits - 1
	voterIDRequestsShift = 60
	incarnationMask      = 1<<voterIDRequestsShift - 1
)

// restart restores a voter from the records of its disk and starts voting if that is already allowed.
func (c *Participant) restart(disk []DurableRecord) error {
	c.storage = raft.NewMemoryStorage()
	c.requestedVoterID = c.self.Incarnation<<positionBits | c.voterPosition(c.cfg.Name)
	for i := range disk {
		if err := c.restoreRecord(&disk[i]); err != nil {
			return kindVoters.New("consensus: restore log record %d from disk: %w", i, err)
		}
	}
	if len(disk) > 0 && c.voterID == 0 {
		return kindVoters.New("consensus: the log on disk does not contain a voter ID")
	}
	return c.tryStart()
}

// tryStart starts voting without an ID from the other voters if that is allowed: with a log, if more
// than half of all voters, this one included, are restarting with a log; without a log, if all other
// voters are restarting without one.
func (c *Participant) tryStart() error {
	withLog := 0
	for _, hasLog := range c.restartingVoters {
		if hasLog {
			withLog++
		}
	}
	switch all := len(c.cfg.Voters); {
	case c.voterID != 0 && withLog+1 > all/2:
		c.restartedFromDisk = true
		return c.startRaft()
	case c.voterID == 0 && withLog == 0 && len(c.restartingVoters) == all-1:
		return c.bootstrap()
	}
	return nil
}

// startedWithoutOthers reports whether this voter started without an ID from the other voters and may
// not have taken part in a decision yet: a voter that formed the group has not voted, a voter that
// resumed from its log knows no leader. HasLog tells whether its disk had a log.
func (c *Participant) startedWithoutOthers() (hasLog, ok bool) {
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

// bootstrap starts a new Raft group of all voters in the operator's file, whose IDs are their
// positions.
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
	c.voterID = c.voterPosition(c.cfg.Name)
	c.bootstrapSnapshot = first
	c.voterIDUnsaved = true
	return c.startRaft()
}

// startRaft starts voting under voterID.
func (c *Participant) startRaft() error {
	c.requestedVoterID = 0
	c.lastTick = c.now
	node, err := raft.NewRawNode(
		&raft.Config{
			ID:                        c.voterID,
			ElectionTick:              electionTicks,
			HeartbeatTick:             raftHeartbeatTicks,
			Storage:                   c.storage,
			Applied:                   c.appliedIndex,
			MaxSizePerMsg:             maxRaftMessageBytes,
			MaxInflightMsgs:           maxRaftInflight,
			MaxUncommittedEntriesSize: maxRaftMessageBytes,
			CheckQuorum:               true,
			PreVote:                   true,
			Logger:                    silentLogger{},
		},
	)
	c.rawNode = node
	return err
}

// tickRaft advances the Raft library's clock. A process that was paused for more than maxLateTicks
// does one tick instead of catching up.
func (c *Participant) tickRaft() {
	if c.now-c.lastTick > maxLateTicks*raftTickInterval {
		c.lastTick = c.now - raftTickInterval
	}
	for c.now-c.lastTick >= raftTickInterval {
		c.lastTick += raftTickInterval
		c.rawNode.Tick()
	}
}

// voterPosition returns a voter's position in the operator's file, starting at 1, or 0 if the runner
// is no voter.
func (c *Participant) voterPosition(name string) uint64 {
	return uint64(slices.Index(c.cfg.Voters, name) + 1)
}

// voterName returns the name of the voter that an ID belongs to, or "" if there is none.
func (c *Participant) voterName(id uint64) string {
	if i := id & positionMask; i > 0 && i <= uint64(len(c.cfg.Voters)) {
		return c.cfg.Voters[i-1]
	}
	return ""
}

// currentVoterID returns the ID under which this runner votes, or 0 if it does not vote.
func (c *Participant) currentVoterID() uint64 {
	if c.rawNode == nil {
		return 0
	}
	return c.voterID
}

// takeVoterID starts voting under the requested ID, which the group has accepted. The log starts
// empty, and the leader sends its content.
func (c *Participant) takeVoterID() {
	c.resetLog(c.requestedVoterID)
	c.voterIDUnsaved = true
	_ = c.startRaft() // fails only if the Raft configuration is invalid
}

// resetLog starts an empty log under a voter ID.
func (c *Participant) resetLog(voterID uint64) {
	c.voterID = voterID
	c.appliedIndex = 0
	c.snapshotIndex = 0
	c.confState = nil
	c.storage = raft.NewMemoryStorage()
}

// replaceVoterID makes this voter stop voting and request another ID after the group has removed the
// one it has.
func (c *Participant) replaceVoterID(removed uint64) {
	if c.rawNode == nil || c.voterID != removed || c.voterIDRequests == maxVoterIDRequests {
		return
	}
	c.voterIDRequests++
	c.rawNode = nil
	c.isLeader = false
	c.bootstrapSnapshot = nil
	c.restartedFromDisk = false
	c.requestedVoterID = uint64(c.voterIDRequests)<<voterIDRequestsShift |
		c.self.Incarnation<<positionBits&incarnationMask |
		c.voterPosition(c.cfg.Name)
}

// proposeVoterID proposes to add the voter ID that a restarting voter requests, or first to remove
// the ID under which the voter may have voted before. The Raft library accepts one configuration
// change at a time; the voter repeats its request until it has the ID.
func (c *Participant) proposeVoterID(m *Message) {
	position := c.voterPosition(m.From)
	if position == 0 || m.RequestedID&positionMask != position {
		return
	}
	ids := c.confState.GetVoters()
	if slices.Contains(ids, m.RequestedID) {
		c.send(Message{Type: MsgHeartbeatResp, To: m.From, RequestedID: m.RequestedID})
		return
	}
	change := &raftpb.ConfChange{Type: raftpb.ConfChangeAddNode.Enum(), NodeId: proto.Uint64(m.RequestedID)}
	for _, id := range ids {
		if c.voterName(id) == m.From {
			change = &raftpb.ConfChange{Type: raftpb.ConfChangeRemoveNode.Enum(), NodeId: proto.Uint64(id)}
		}
	}
	_ = c.rawNode.ProposeConfChange(change) // dropped proposals are repeated on the voter's next request
}
