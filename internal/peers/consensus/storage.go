package consensus

import (
	"encoding/binary"
	"errors"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"ryepaddle/internal/peers/placement"
)

// restoreRecord takes a record of the disk.
func (c *Participant) restoreRecord(k *DurableRecord) error {
	if k.VoterID != 0 {
		c.voterID, c.appliedIndex, c.snapshotIndex, c.confState = k.VoterID, 0, 0, nil
		c.storage = raft.NewMemoryStorage()
	}
	if k.Snapshot != nil {
		s := &raftpb.Snapshot{}
		if err := proto.Unmarshal(k.Snapshot, s); err != nil {
			return err
		}
		if err := c.applySnapshot(s); err != nil {
			return err
		}
	}
	entries := make([]*raftpb.Entry, 0, len(k.Entries))
	for _, b := range k.Entries {
		e := &raftpb.Entry{}
		if err := proto.Unmarshal(b, e); err != nil {
			return err
		}
		entries = append(entries, e)
	}
	if err := c.storage.Append(entries); err != nil {
		return err
	}
	if k.HardState == nil {
		return nil
	}
	state := &raftpb.HardState{}
	if err := proto.Unmarshal(k.HardState, state); err != nil {
		return err
	}
	return c.storage.SetHardState(state)
}

// applySnapshot takes a table in place of the entries up to it.
func (c *Participant) applySnapshot(s *raftpb.Snapshot) error {
	if err := c.storage.ApplySnapshot(s); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
		return err
	} else if err != nil {
		return nil
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

// advanceRaft does what the library asks for.
func (c *Participant) advanceRaft() (*DurableRecord, error) {
	if c.rawNode == nil {
		return nil, nil
	}
	var kept *DurableRecord
	for c.rawNode.HasReady() {
		rd := c.rawNode.Ready()
		if kept == nil {
			kept = &DurableRecord{}
		}
		if c.voterIDUnsaved {
			if c.voterIDUnsaved, kept.VoterID = false, c.voterID; c.bootstrapSnapshot != nil {
				data, err := proto.Marshal(c.bootstrapSnapshot)
				if err != nil {
					return nil, err
				}
				kept.Snapshot = data
			}
		}
		if err := c.persist(kept, &rd); err != nil {
			return nil, err
		}
		for _, m := range rd.Messages {
			data, err := proto.Marshal(m)
			if err != nil {
				return nil, kindConsensusFailed.New("consensus: %w", err)
			}
			if to := c.voterName(m.GetTo()); to != "" {
				c.send(Message{Type: MsgRaft, To: to, Raft: data})
			}
		}
		for _, e := range rd.CommittedEntries {
			c.applyEntry(e)
		}
		if c.leaseReleased && c.isLeader { // who is next begins with the same round
			c.leaseReleased = false
			c.proposeAsLeader(c.leaseGrants())
		}
		for _, r := range rd.ReadStates {
			if len(r.RequestCtx) == 8 && binary.BigEndian.Uint64(r.RequestCtx) == c.readIndexID {
				c.readIndex = r.Index
			}
		}
		c.rawNode.Advance(rd)
	}
	if err := c.compactLog(kept); err != nil {
		return nil, err
	}
	if kept != nil && kept.VoterID == 0 && kept.HardState == nil && kept.Entries == nil && kept.Snapshot == nil {
		kept = nil
	}
	return kept, nil
}

// persist puts what the library wants kept into its storage, and among what is for the disk.
func (c *Participant) persist(k *DurableRecord, rd *raft.Ready) error {
	if rd.Snapshot != nil && !raft.IsEmptySnap(rd.Snapshot) {
		data, err := proto.Marshal(rd.Snapshot)
		if err != nil {
			return err
		}
		k.Snapshot, k.Entries = data, nil
		if err := c.applySnapshot(rd.Snapshot); err != nil {
			return kindConsensusFailed.New("consensus: %w", err)
		}
	}
	for _, e := range rd.Entries {
		data, err := proto.Marshal(e)
		if err != nil {
			return err
		}
		k.Entries = append(k.Entries, data)
	}
	if err := c.storage.Append(rd.Entries); err != nil {
		return kindConsensusFailed.New("consensus: %w", err)
	}
	if rd.HardState != nil && !raft.IsEmptyHardState(rd.HardState) {
		data, err := proto.Marshal(rd.HardState)
		if err != nil {
			return err
		}
		k.HardState = data
		return c.storage.SetHardState(rd.HardState)
	}
	return nil
}

// applyEntry takes a change that is agreed on.
func (c *Participant) applyEntry(e *raftpb.Entry) {
	c.appliedIndex = e.GetIndex()
	if e.GetType() == raftpb.EntryConfChange {
		x := &raftpb.ConfChange{}
		if proto.Unmarshal(e.GetData(), x) == nil {
			c.confState = c.rawNode.ApplyConfChange(x)
			c.snapshotDue = true // the library passes over a snapshot in whose voters a new one is not
		}
		return
	}
	if e.GetType() != raftpb.EntryNormal || len(e.GetData()) == 0 {
		return
	}
	delete(c.pendingProposals, string(e.GetData()))
	var x placement.Change
	if cbor.Unmarshal(e.GetData(), &x) != nil {
		return // of a newer version: a change that is not known changes nothing here
	}
	t := c.table.Clone()
	t.Apply(x)
	c.table, c.leaseReleased = t, c.leaseReleased || x.Kind == placement.ChangeReleaseLease
}

// compactAfterEntries cuts the log by a snapshot of the table.
func (c *Participant) compactLog(k *DurableRecord) error {
	if k == nil || c.appliedIndex-c.snapshotIndex < compactAfterEntries && !c.snapshotDue {
		return nil
	}
	c.snapshotDue = false
	data, err := cbor.Marshal(c.table)
	if err != nil {
		return err
	}
	s, err := c.storage.CreateSnapshot(c.appliedIndex, c.confState, data)
	if err != nil {
		return kindConsensusFailed.New("consensus: %w", err)
	}
	c.snapshotIndex = c.appliedIndex
	if err := c.storage.Compact(c.appliedIndex); err != nil {
		return kindConsensusFailed.New("consensus: %w", err)
	}
	// The disk begins anew with it, and with what comes behind it.
	k.Snapshot, err = proto.Marshal(s)
	if err != nil {
		return err
	}
	k.VoterID, k.Entries = c.voterID, nil
	last, err := c.storage.LastIndex()
	if err != nil || last <= c.appliedIndex {
		return err
	}
	rest, err := c.storage.Entries(c.appliedIndex+1, last+1, 1<<62)
	for _, e := range rest {
		data, bad := proto.Marshal(e)
		if bad != nil {
			return bad
		}
		k.Entries = append(k.Entries, data)
	}
	if state, _, bad := c.storage.InitialState(); bad == nil && state != nil {
		k.HardState, bad = proto.Marshal(state)
		if bad != nil {
			return bad
		}
	}
	return err
}
