package consensus

import (
	"encoding/binary"
	"errors"
	"math"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"ryepaddle/internal/peers/placement"
)

// compactAfterEntries is the number of applied entries after which the log is replaced by a
// snapshot.
const compactAfterEntries = 1000

// readIndexIDBytes is the length of the context by which a read index is known again.
const readIndexIDBytes = 8

// restoreRecord applies a record of the disk.
func (c *Participant) restoreRecord(record *DurableRecord) error {
	if record.VoterID != 0 {
		c.resetLog(record.VoterID)
	}
	if record.Snapshot != nil {
		s := &raftpb.Snapshot{}
		if err := proto.Unmarshal(record.Snapshot, s); err != nil {
			return err
		}
		if err := c.applySnapshot(s); err != nil {
			return err
		}
	}
	entries := make([]*raftpb.Entry, 0, len(record.Entries))
	for _, data := range record.Entries {
		e := &raftpb.Entry{}
		if err := proto.Unmarshal(data, e); err != nil {
			return err
		}
		entries = append(entries, e)
	}
	if err := c.storage.Append(entries); err != nil {
		return err
	}
	if record.HardState == nil {
		return nil
	}
	state := &raftpb.HardState{}
	if err := proto.Unmarshal(record.HardState, state); err != nil {
		return err
	}
	return c.storage.SetHardState(state)
}

// applySnapshot takes the table of a snapshot in place of the entries up to it. An older snapshot is
// ignored.
func (c *Participant) applySnapshot(s *raftpb.Snapshot) error {
	err := c.storage.ApplySnapshot(s)
	if errors.Is(err, raft.ErrSnapOutOfDate) {
		return nil
	}
	if err != nil {
		return err
	}
	if len(s.GetData()) > 0 {
		t := &placement.Table{}
		if err := cbor.Unmarshal(s.GetData(), t); err != nil {
			return err
		}
		c.table = t
	}
	c.appliedIndex, c.confState = s.GetMetadata().GetIndex(), s.GetMetadata().GetConfState()
	c.snapshotIndex = c.appliedIndex
	return nil
}

// advanceRaft does all work that the Raft library has ready, and returns what has to be durable
// before its messages are sent, or nil.
func (c *Participant) advanceRaft() (*DurableRecord, error) {
	if c.rawNode == nil || !c.rawNode.HasReady() {
		return nil, nil
	}
	record := &DurableRecord{}
	for c.rawNode.HasReady() {
		if err := c.advanceOnce(record); err != nil {
			return nil, kindConsensusFailed.Wrap(err)
		}
	}
	if err := c.compactLog(record); err != nil {
		return nil, kindConsensusFailed.Wrap(err)
	}
	if record.isEmpty() {
		return nil, nil
	}
	return record, nil
}

func (r *DurableRecord) isEmpty() bool {
	return r.VoterID == 0 && r.HardState == nil && r.Entries == nil && r.Snapshot == nil
}

// advanceOnce does one round of the Raft library's work.
func (c *Participant) advanceOnce(record *DurableRecord) error {
	ready := c.rawNode.Ready()
	if err := c.persistVoterID(record); err != nil {
		return err
	}
	if err := c.persist(record, &ready); err != nil {
		return err
	}
	if err := c.sendRaftMessages(ready.Messages); err != nil {
		return err
	}
	for _, e := range ready.CommittedEntries {
		c.applyEntry(e)
	}
	if c.leaseReleased && c.isLeader { // the next holder begins without another tick
		c.leaseReleased = false
		c.proposeAsLeader(c.leaseGrants())
	}
	for _, state := range ready.ReadStates {
		id := state.RequestCtx
		if len(id) == readIndexIDBytes && binary.BigEndian.Uint64(id) == c.readIndexID {
			c.readIndex = state.Index
		}
	}
	c.rawNode.Advance(ready)
	return nil
}

// sendRaftMessages sends messages of the Raft library to their voters.
func (c *Participant) sendRaftMessages(messages []*raftpb.Message) error {
	for _, m := range messages {
		data, err := proto.Marshal(m)
		if err != nil {
			return kindConsensusFailed.New("consensus: encode a message: %w", err)
		}
		if to := c.voterName(m.GetTo()); to != "" {
			c.send(Message{Type: MsgRaft, To: to, Raft: data})
		}
	}
	return nil
}

// persistVoterID adds a new voter ID to a record, with what a voter that formed the group began
// with.
func (c *Participant) persistVoterID(record *DurableRecord) error {
	if !c.voterIDUnsaved {
		return nil
	}
	c.voterIDUnsaved = false
	record.VoterID = c.voterID
	if c.bootstrapSnapshot == nil {
		return nil
	}
	data, err := proto.Marshal(c.bootstrapSnapshot)
	if err != nil {
		return err
	}
	record.Snapshot = data
	return nil
}

// persist adds what the Raft library wants durable to the storage in memory and to a record.
func (c *Participant) persist(record *DurableRecord, ready *raft.Ready) error {
	if ready.Snapshot != nil && !raft.IsEmptySnap(ready.Snapshot) {
		data, err := proto.Marshal(ready.Snapshot)
		if err != nil {
			return err
		}
		record.Snapshot = data
		record.Entries = nil
		if err := c.applySnapshot(ready.Snapshot); err != nil {
			return kindConsensusFailed.New("consensus: apply a snapshot: %w", err)
		}
	}
	if err := record.appendEntries(ready.Entries); err != nil {
		return err
	}
	if err := c.storage.Append(ready.Entries); err != nil {
		return kindConsensusFailed.New("consensus: append to the log: %w", err)
	}
	if ready.HardState == nil || raft.IsEmptyHardState(ready.HardState) {
		return nil
	}
	data, err := proto.Marshal(ready.HardState)
	if err != nil {
		return err
	}
	record.HardState = data
	return c.storage.SetHardState(ready.HardState)
}

func (r *DurableRecord) appendEntries(entries []*raftpb.Entry) error {
	for _, e := range entries {
		data, err := proto.Marshal(e)
		if err != nil {
			return err
		}
		r.Entries = append(r.Entries, data)
	}
	return nil
}

// applyEntry applies a committed entry to the table. A change of a newer version, which cannot be
// decoded here, changes nothing.
func (c *Participant) applyEntry(e *raftpb.Entry) {
	c.appliedIndex = e.GetIndex()
	if e.GetType() == raftpb.EntryConfChange {
		change := &raftpb.ConfChange{}
		if proto.Unmarshal(e.GetData(), change) == nil {
			c.confState = c.rawNode.ApplyConfChange(change)
			c.snapshotDue = true // the library rejects a snapshot that does not have a new voter
		}
		return
	}
	if e.GetType() != raftpb.EntryNormal || len(e.GetData()) == 0 {
		return
	}
	delete(c.pendingProposals, string(e.GetData()))
	var change placement.Change
	if cbor.Unmarshal(e.GetData(), &change) != nil {
		return
	}
	table := c.table.Clone()
	table.Apply(change)
	c.table = table
	if change.Kind == placement.ChangeReleaseLease {
		c.leaseReleased = true
	}
}

// compactLog replaces the applied entries by a snapshot of the table once there are enough of them
// or the set of voters has changed. The disk begins anew with the record.
func (c *Participant) compactLog(record *DurableRecord) error {
	if c.appliedIndex-c.snapshotIndex < compactAfterEntries && !c.snapshotDue {
		return nil
	}
	c.snapshotDue = false
	data, err := cbor.Marshal(c.table)
	if err != nil {
		return err
	}
	snapshot, err := c.storage.CreateSnapshot(c.appliedIndex, c.confState, data)
	if err != nil {
		return kindConsensusFailed.New("consensus: create a snapshot: %w", err)
	}
	c.snapshotIndex = c.appliedIndex
	if err := c.storage.Compact(c.appliedIndex); err != nil {
		return kindConsensusFailed.New("consensus: compact the log: %w", err)
	}
	record.Snapshot, err = proto.Marshal(snapshot)
	if err != nil {
		return err
	}
	record.VoterID = c.voterID
	record.Entries = nil
	return c.persistUnapplied(record)
}

// persistUnapplied adds the entries after a snapshot, and with them the hard state, to a record.
func (c *Participant) persistUnapplied(record *DurableRecord) error {
	last, err := c.storage.LastIndex()
	if err != nil || last <= c.appliedIndex {
		return err
	}
	rest, err := c.storage.Entries(c.appliedIndex+1, last+1, math.MaxUint64)
	if err != nil {
		return err
	}
	if err := record.appendEntries(rest); err != nil {
		return err
	}
	state, _, err := c.storage.InitialState()
	if err != nil || state == nil {
		return err
	}
	record.HardState, err = proto.Marshal(state)
	return err
}
