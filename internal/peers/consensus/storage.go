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

// restore takes a record of the disk.
func (c *Participant) restore(k *DurableRecord) error {
	if k.ID != 0 {
		c.raftID, c.applied, c.cut, c.conf = k.ID, 0, 0, nil
		c.store = raft.NewMemoryStorage()
	}
	if k.Snapshot != nil {
		s := &raftpb.Snapshot{}
		if err := proto.Unmarshal(k.Snapshot, s); err != nil {
			return err
		}
		if err := c.snapshot(s); err != nil {
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
	if err := c.store.Append(entries); err != nil {
		return err
	}
	if k.State == nil {
		return nil
	}
	state := &raftpb.HardState{}
	if err := proto.Unmarshal(k.State, state); err != nil {
		return err
	}
	return c.store.SetHardState(state)
}

// snapshot takes a table in place of the entries up to it.
func (c *Participant) snapshot(s *raftpb.Snapshot) error {
	if err := c.store.ApplySnapshot(s); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
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
	c.applied, c.conf = s.GetMetadata().GetIndex(), s.GetMetadata().GetConfState()
	c.cut = c.applied
	return nil
}

// advanceRaft does what the library asks for.
func (c *Participant) advanceRaft() (*DurableRecord, error) {
	if c.node == nil {
		return nil, nil
	}
	var kept *DurableRecord
	for c.node.HasReady() {
		rd := c.node.Ready()
		if kept == nil {
			kept = &DurableRecord{}
		}
		if c.first {
			if c.first, kept.ID = false, c.raftID; c.seed != nil {
				data, err := proto.Marshal(c.seed)
				if err != nil {
					return nil, err
				}
				kept.Snapshot = data
			}
		}
		if err := c.keep(kept, &rd); err != nil {
			return nil, err
		}
		for _, m := range rd.Messages {
			data, err := proto.Marshal(m)
			if err != nil {
				return nil, failed.New("consensus: %w", err)
			}
			if to := c.voter(m.GetTo()); to != "" {
				c.send(Message{Kind: MsgRaft, To: to, Raft: data})
			}
		}
		for _, e := range rd.CommittedEntries {
			c.apply(e)
		}
		if c.freed && c.leads { // who is next begins with the same round
			c.freed = false
			c.proposeAsLeader(c.grants())
		}
		for _, r := range rd.ReadStates {
			if len(r.RequestCtx) == 8 && binary.BigEndian.Uint64(r.RequestCtx) == c.readNo {
				c.readTo = r.Index
			}
		}
		c.node.Advance(rd)
	}
	if err := c.compact(kept); err != nil {
		return nil, err
	}
	if kept != nil && kept.ID == 0 && kept.State == nil && kept.Entries == nil && kept.Snapshot == nil {
		kept = nil
	}
	return kept, nil
}

// keep puts what the library wants kept into its storage, and among what is for the disk.
func (c *Participant) keep(k *DurableRecord, rd *raft.Ready) error {
	if rd.Snapshot != nil && !raft.IsEmptySnap(rd.Snapshot) {
		data, err := proto.Marshal(rd.Snapshot)
		if err != nil {
			return err
		}
		k.Snapshot, k.Entries = data, nil
		if err := c.snapshot(rd.Snapshot); err != nil {
			return failed.New("consensus: %w", err)
		}
	}
	for _, e := range rd.Entries {
		data, err := proto.Marshal(e)
		if err != nil {
			return err
		}
		k.Entries = append(k.Entries, data)
	}
	if err := c.store.Append(rd.Entries); err != nil {
		return failed.New("consensus: %w", err)
	}
	if rd.HardState != nil && !raft.IsEmptyHardState(rd.HardState) {
		data, err := proto.Marshal(rd.HardState)
		if err != nil {
			return err
		}
		k.State = data
		return c.store.SetHardState(rd.HardState)
	}
	return nil
}

// apply takes a change that is agreed on.
func (c *Participant) apply(e *raftpb.Entry) {
	c.applied = e.GetIndex()
	if e.GetType() == raftpb.EntryConfChange {
		x := &raftpb.ConfChange{}
		if proto.Unmarshal(e.GetData(), x) == nil {
			c.conf = c.node.ApplyConfChange(x)
			c.renew = true // the library passes over a snapshot in whose voters a new one is not
		}
		return
	}
	if e.GetType() != raftpb.EntryNormal || len(e.GetData()) == 0 {
		return
	}
	delete(c.way, string(e.GetData()))
	var x placement.Change
	if cbor.Unmarshal(e.GetData(), &x) != nil {
		return // of a newer version: a change that is not known changes nothing here
	}
	t := c.table.Clone()
	t.Apply(x)
	c.table, c.freed = t, c.freed || x.Kind == placement.ChangeReleaseLease
}

// compact cuts the log by a snapshot of the table.
func (c *Participant) compact(k *DurableRecord) error {
	if k == nil || c.applied-c.cut < compact && !c.renew {
		return nil
	}
	c.renew = false
	data, err := cbor.Marshal(c.table)
	if err != nil {
		return err
	}
	s, err := c.store.CreateSnapshot(c.applied, c.conf, data)
	if err != nil {
		return failed.New("consensus: %w", err)
	}
	c.cut = c.applied
	if err := c.store.Compact(c.applied); err != nil {
		return failed.New("consensus: %w", err)
	}
	// The disk begins anew with it, and with what comes behind it.
	k.Snapshot, err = proto.Marshal(s)
	if err != nil {
		return err
	}
	k.ID, k.Entries = c.raftID, nil
	last, err := c.store.LastIndex()
	if err != nil || last <= c.applied {
		return err
	}
	rest, err := c.store.Entries(c.applied+1, last+1, 1<<62)
	for _, e := range rest {
		data, bad := proto.Marshal(e)
		if bad != nil {
			return bad
		}
		k.Entries = append(k.Entries, data)
	}
	if state, _, bad := c.store.InitialState(); bad == nil && state != nil {
		k.State, bad = proto.Marshal(state)
		if bad != nil {
			return bad
		}
	}
	return err
}
