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
	// maxLateTicks is how many ticks a process makes up for after it was stopped.
	maxLateTicks = 20
	// electionTicks is the number of ticks without a leader before an election.
	electionTicks = 10
	// raftHeartbeatTicks is the number of ticks between two heartbeats of the Raft leader.
	raftHeartbeatTicks = 2
	// maxRaftMessageBytes bounds the entries in one message of the Raft library.
	maxRaftMessageBytes = 256 << 10
	// maxRaftInflight bounds the messages of the Raft library that one voter has not answered.
	maxRaftInflight = 64
	// maxVoters bounds the voters of a group.
	maxVoters = 7
	// maxVoterIDRequests bounds how often a process asks for another voter ID: the count is part of
	// the ID, so that no ID is asked for twice.
	maxVoterIDRequests = 15
)

// A voter ID has the voter's position in its last byte, the incarnation of its process above that,
// and in its highest bits how often the process has asked.
const (
	positionBits         = 8
	positionMask         = 1<<positionBits - 1
	voterIDRequestsShift = 60
	incarnationMask      = 1<<voterIDRequestsShift - 1
)

// restart begins with what a voter's disk has.
func (c *Participant) restart(disk []DurableRecord) error {
	c.storage = raft.NewMemoryStorage()
	c.requestedVoterID = c.self.Incarnation<<positionBits | c.voterPosition(c.cfg.Name)
	for i := range disk {
		if err := c.restoreRecord(&disk[i]); err != nil {
			return kindVoters.New("consensus: record %d of the disk: %w", i, err)
		}
	}
	if len(disk) > 0 && c.voterID == 0 {
		return kindVoters.New("consensus: the disk does not have this voter's number")
	}
	return c.tryStart()
}

// tryStart begins to vote without an ID from the others if enough voters are restarting.
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

// startedWithoutOthers reports whether this voter began without an ID from the others and may have
// no part in any decision yet, and whether its disk had a log.
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

// bootstrap forms the group of the voters of the operator's file.
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

// startRaft begins to vote under voterID.
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

// tickRaft advances the Raft library's clock. A process that was stopped for long does not make up
// for all of that.
func (c *Participant) tickRaft() {
	if c.now-c.lastTick > maxLateTicks*raftTickInterval {
		c.lastTick = c.now - raftTickInterval
	}
	for c.now-c.lastTick >= raftTickInterval {
		c.lastTick += raftTickInterval
		c.rawNode.Tick()
	}
}

// voterPosition returns a voter's place in the operator's file, from 1 on, or 0 for a runner that is
// no voter.
func (c *Participant) voterPosition(name string) uint64 {
	return uint64(slices.Index(c.cfg.Voters, name) + 1)
}

// voterName returns the name of the voter with an ID, or "" if there is none.
func (c *Participant) voterName(id uint64) string {
	if i := id & positionMask; i > 0 && i <= uint64(len(c.cfg.Voters)) {
		return c.cfg.Voters[i-1]
	}
	return ""
}

// currentVoterID returns the ID under which this voter votes, or 0 if it does not.
func (c *Participant) currentVoterID() uint64 {
	if c.rawNode == nil {
		return 0
	}
	return c.voterID
}

// takeVoterID begins to vote under the ID that the others gave this voter. It learns the log from
// them.
func (c *Participant) takeVoterID() {
	c.resetLog(c.requestedVoterID)
	c.voterIDUnsaved = true
	_ = c.startRaft() // it fails only for a configuration that is not valid
}

// resetLog begins an empty log under a voter ID.
func (c *Participant) resetLog(voterID uint64) {
	c.voterID = voterID
	c.appliedIndex = 0
	c.snapshotIndex = 0
	c.confState = nil
	c.storage = raft.NewMemoryStorage()
}

// replaceVoterID has this voter ask for another ID after the group has removed the one it has.
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

// proposeVoterID proposes the ID that a restarting voter asks for, after the removal of the one
// under which it may have voted. One change is under way at a time; the voter asks until it has the
// ID.
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
	_ = c.rawNode.ProposeConfChange(change) // an error says that another one is under way
}
