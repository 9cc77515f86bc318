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

// compactAfterEntries is the number of entries applied since the last snapshot after which the log is
// replaced by a new snapshot.
const compactAfterEntries = 1000

// readIndexIDBytes is the length of the request context that identifies a read index request.
const readIndexIDBytes = 8

// restoreRecord applies a record that was read from the disk.
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

// applySnapshot replaces the table and the entries up to the snapshot's index by the snapshot. A
// snapshot older than the present one is ignored.
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

// advanceRaft processes everything that the Raft library has ready. It returns the record that must
// be durable before the resulting messages are sent, or nil if there is none.
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

// advanceOnce processes one raft.Ready and adds its durable parts to record.
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
	if c.leaseReleased && c.isLeader { // grant released leases now instead of at the next tick
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

// sendRaftMessages queues messages of the Raft library for the voters that they are addressed to.
func (c *Participant) sendRaftMessages(messages []*raftpb.Message) error {
	for _, m := range messages {
		data, err := proto.Marshal(m)
		if err != nil {
			return kindConsensusFailed.New("consensus: encode a Raft message: %w", err)
		}
		if to := c.voterName(m.GetTo()); to != "" {
			c.send(Message{Type: MsgRaft, To: to, Raft: data})
		}
	}
	return nil
}

// persistVoterID adds a voter ID that is not durable yet to record, together with the first snapshot
// if this voter took part in forming the group.
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

// persist adds the snapshot, entries and hard state of ready to the in-memory storage and to record.
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

// applyEntry applies a committed entry to the Raft configuration or to the table. An entry that cannot
// be decoded, such as one written by a newer version, is skipped.
func (c *Participant) applyEntry(e *raftpb.Entry) {
	c.appliedIndex = e.GetIndex()
	if e.GetType() == raftpb.EntryConfChange {
		change := &raftpb.ConfChange{}
		if proto.Unmarshal(e.GetData(), change) == nil {
			c.confState = c.rawNode.ApplyConfChange(change)
			c.snapshotDue = true // a new voter rejects a snapshot whose configuration lacks it
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

// compactLog replaces the applied entries by a snapshot of the table if there are at least
// compactAfterEntries of them or the set of voters has changed. The log on disk then starts anew with
// record.
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

// persistUnapplied adds the entries after the snapshot to record, together with the hard state, if
// there are any.
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
