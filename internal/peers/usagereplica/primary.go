package usagereplica

import (
	"maps"
	"slices"

	"ryepaddle/internal/peers/placement"
	"ryepaddle/internal/usage/ledger"
)

// replicaProgress is one of those who are told, as the runner sees it.
type replicaProgress struct {
	incarnation uint64
	ackedSeq    uint64 // it knows all up to this step
	sentSeq     uint64 // and all up to this one is on its way
	lastSent    int64  // when it was last said anything
	caughtUp    bool   // it has the account, and is told steps
	snapshot    []byte // that it is sent
	snapshotSeq uint64 // up to which step that goes
	nextPart    int    // pieces of it that it has
	snapshotID  uint64 // which giving of the account that is
}

// Primary tells one account to its heirs. The account itself is its owner's.
type Primary struct {
	name         string
	ledger       string
	process      uint32
	settings     ledger.Settings
	encodeLedger func() []byte // the account as it stands
	operations   []Operation
	base         uint64 // the number before the first of them
	replicas     map[string]*replicaProgress
	order        []string       // their names, sorted: the same messages are to come of the same
	former       map[string]int // and how often they are still told to let go
	version      uint64
	snapshots    uint64 // how often the account was given to anybody
	lastDrop     int64
	outbox       []Message
}

// NewPrimary begins to tell an account that nobody else knows. Its steps count from 1, so that 0 is
// the word of who does not know it.
func NewPrimary(name, account string, process uint32, set ledger.Settings, state func() []byte) *Primary {
	return &Primary{
		name:         name,
		ledger:       account,
		process:      process,
		settings:     set,
		encodeLedger: state,
		base:         1,
		replicas:     map[string]*replicaProgress{},
		former:       map[string]int{},
	}
}

// Append has a step told, and gives its number. The account has taken it already.
func (w *Primary) Append(s Operation) uint64 {
	w.operations = append(w.operations, s)
	return w.seq()
}

// LastSeq is the number of the last step.
func (w *Primary) LastSeq() uint64 { return w.seq() }

func (w *Primary) seq() uint64 { return w.base + uint64(len(w.operations)) }

// ReplicatedSeq is up to which step all heirs know the account. Where there is nobody else there is nobody
// to wait for.
func (w *Primary) ReplicatedSeq() uint64 {
	seq := w.seq()
	for _, h := range w.replicas {
		if !h.caughtUp {
			return 0
		}
		seq = min(seq, h.ackedSeq)
	}
	return seq
}

// SetTable takes a newer table.
func (w *Primary) SetTable(t *placement.Table, now int64) {
	if t.Version <= w.version {
		return
	}
	w.version = t.Version
	want := map[string]uint64{}
	for _, m := range ReplicasOf(t, w.name) {
		want[m.Name] = m.Incarnation
	}
	for name := range w.replicas {
		if _, ok := want[name]; !ok {
			delete(w.replicas, name)
			w.former[name] = dropAttempts
		}
	}
	w.order = slices.Sorted(maps.Keys(want))
	for _, name := range w.order {
		delete(w.former, name)
		// what an earlier life knew may have gone with it
		if h := w.replicas[name]; h == nil || h.incarnation != want[name] {
			w.replicas[name] = &replicaProgress{incarnation: want[name]}
			w.sendSnapshot(name, w.replicas[name], now)
		}
	}
	w.trim()
}

// sendSnapshot sends the account as it stands, the first piece of it.
func (w *Primary) sendSnapshot(name string, h *replicaProgress, now int64) {
	w.snapshots++
	h.caughtUp, h.snapshot, h.snapshotSeq, h.nextPart, h.ackedSeq, h.snapshotID = false, w.encodeLedger(), w.seq(), 0, 0, w.snapshots
	w.sendSnapshotPart(name, h, now)
}

func (h *replicaProgress) parts() int {
	return max((len(h.snapshot)+snapshotPartBytes-1)/snapshotPartBytes, 1)
}

func (w *Primary) sendSnapshotPart(name string, h *replicaProgress, now int64) {
	h.lastSent = now
	from := h.nextPart * snapshotPartBytes
	w.send(
		Message{
			Type:       MsgSnapshot,
			To:         name,
			Seq:        h.snapshotSeq,
			Part:       h.nextPart,
			Parts:      h.parts(),
			Bytes:      h.snapshot[from:min(from+snapshotPartBytes, len(h.snapshot))],
			Settings:   w.settings,
			SnapshotID: h.snapshotID,
		},
	)
}

func (w *Primary) send(m Message) {
	m.From, m.Ledger, m.Process = w.name, w.ledger, w.process
	w.outbox = append(w.outbox, m)
}

// Receive takes the word of an heir.
func (w *Primary) Receive(m *Message, now int64) {
	h := w.replicas[m.From]
	if m.Type != MsgProgress || m.Ledger != w.ledger {
		return
	}
	if h == nil {
		if m.Seq == 0 {
			delete(w.former, m.From)
		}
		return
	}
	if m.Incarnation != h.incarnation || m.SnapshotID != h.snapshotID { // it may have forgotten what it says
		return
	}
	switch {
	case !h.caughtUp && m.Seq == h.snapshotSeq && m.Part > h.nextPart && m.Part < h.parts():
		h.nextPart = m.Part
		w.sendSnapshotPart(m.From, h, now)
	case !h.caughtUp && m.Parts == 0 && m.Seq >= h.snapshotSeq && m.Seq <= w.seq():
		h.caughtUp, h.snapshot, h.ackedSeq, h.sentSeq = true, nil, m.Seq, m.Seq
	case h.caughtUp && m.Seq > h.ackedSeq && m.Seq <= w.seq():
		h.ackedSeq = m.Seq
	case h.caughtUp && m.Seq == 0: // it does not know the account
		w.sendSnapshot(m.From, h, now)
	}
	w.trim()
	w.Flush(now)
}

// Flush tells heirs what they have not been told.
func (w *Primary) Flush(now int64) {
	for _, name := range w.order {
		h := w.replicas[name]
		for h.caughtUp && h.sentSeq < w.seq() && h.sentSeq-h.ackedSeq < maxInFlight {
			if h.sentSeq < w.base {
				w.sendSnapshot(name, h, now)
				break
			}
			steps := w.operations[h.sentSeq-w.base:]
			steps = steps[:min(len(steps), maxOperationsPerMessage)]
			w.send(Message{Type: MsgAppend, To: name, Seq: h.sentSeq, Operations: slices.Clone(steps), SnapshotID: h.snapshotID})
			h.sentSeq += uint64(len(steps))
			h.lastSent = now
		}
	}
}

// Tick says again what had no answer.
func (w *Primary) Tick(now int64) {
	for _, name := range w.order {
		switch h := w.replicas[name]; {
		case now-h.lastSent < resendInterval:
		case !h.caughtUp:
			w.sendSnapshotPart(name, h, now)
		case h.ackedSeq < h.sentSeq:
			h.sentSeq = h.ackedSeq
		}
	}
	if now-w.lastDrop >= 5*resendInterval {
		w.lastDrop = now
		for _, name := range slices.Sorted(maps.Keys(w.former)) {
			if w.ReplicatedSeq() < w.seq() { // it may still be the only one
				break
			}
			w.send(Message{Type: MsgDrop, To: name})
			if w.former[name]--; w.former[name] <= 0 {
				delete(w.former, name)
			}
		}
	}
	w.Flush(now)
}

// trim forgets the steps that nobody needs any more.
func (w *Primary) trim() {
	least := w.seq()
	for _, h := range w.replicas {
		if h.caughtUp {
			least = min(least, h.ackedSeq)
		} else {
			least = min(least, h.snapshotSeq)
		}
	}
	if w.seq() > maxRetainedOperations {
		least = max(least, w.seq()-maxRetainedOperations)
	}
	if least > w.base {
		w.operations = slices.Clone(w.operations[least-w.base:])
		w.base = least
	}
}

// TakeMessages gives what is to be sent.
func (w *Primary) TakeMessages() []Message {
	out := w.outbox
	w.outbox = nil
	return out
}

// FullyReplicated tells whether there are heirs, and each has the account and is told what is new.
func (w *Primary) FullyReplicated() bool {
	for _, h := range w.replicas {
		if !h.caughtUp {
			return false
		}
	}
	return len(w.replicas) > 0
}

// ReplicasOf tells who knows the account, and how many steps each is behind.
func (w *Primary) Lag() map[string]uint64 {
	all := map[string]uint64{}
	for name, h := range w.replicas {
		all[name] = w.seq() - h.ackedSeq
	}
	return all
}
