package usagereplica

import (
	"errors"
	"maps"
	"slices"

	"ryepaddle/internal/peers/placement"
	"ryepaddle/internal/usage/ledger"
)

// ErrDiverged is that of an account that came to something else than its runner's did. It is asked
// for anew.
var ErrDiverged = errors.New("accounts: it differs from its runner's")

// replicatedLedger is an account of another runner.
type replicatedLedger struct {
	owner      string
	process    uint32
	ledger     *ledger.Ledger // nil: it is still on its way
	seq        uint64
	parts      [][]byte
	partsID    uint64 // which giving of it they are of
	snapshotID uint64 // which giving it was, or was found to be
	lostSince  int64  // since when its runner is; 0: it is there
}

// OwnedStatement is a statement that is to be written, and the process whose it was.
type OwnedStatement struct {
	Owner   string
	Process uint32
	*ledger.Statement
}

// Replica knows accounts of others.
type Replica struct {
	name        string
	incarnation uint64
	table       *placement.Table
	ledgers     map[string]*replicatedLedger // by the names of the accounts
	outbox      []Message
	statements  []OwnedStatement
	errs        []error
}

// NewReplica is one that knows none yet.
func NewReplica(name string) *Replica {
	return &Replica{name: name, ledgers: map[string]*replicatedLedger{}}
}

// SetTable takes a newer table, and the life of this runner's membership.
func (h *Replica) SetTable(t *placement.Table, life uint64, now int64) {
	h.table, h.incarnation = t, life
	h.markLost(now)
}

// markLost notes whose process is not in the table. A word of it may have come after that.
func (h *Replica) markLost(now int64) {
	if h.table == nil {
		return
	}
	for _, e := range h.ledgers {
		if m := h.table.Member(e.owner); m != nil && m.Incarnation != 0 && m.Process == e.process {
			e.lostSince = 0
		} else if e.lostSince == 0 {
			e.lostSince = now
		}
	}
}

// Receive takes the word of a runner.
func (h *Replica) Receive(m *Message) {
	switch m.Type {
	case MsgSnapshot:
		h.receiveSnapshotPart(m)
	case MsgAppend:
		h.applyOperations(m)
	case MsgStatement:
		s, err := ledger.ParseStatement(m.Name, m.Bytes)
		if err == nil && s.FileName() != m.Name {
			err = errors.New("accounts: " + m.Name + " is " + s.FileName())
		}
		if err != nil {
			h.errs = append(h.errs, err)
			return
		}
		h.statements = append(h.statements, OwnedStatement{m.From, m.Process, s})
	case MsgDrop:
		if e := h.ledgers[m.Ledger]; e != nil && e.owner == m.From && e.lostSince == 0 {
			delete(h.ledgers, m.Ledger)
		}
		h.sendProgress(m, 0, 0, 0)
	}
}

func (h *Replica) sendProgress(m *Message, seq uint64, part, parts int) {
	h.outbox = append(
		h.outbox,
		Message{
			Type:        MsgProgress,
			From:        h.name,
			To:          m.From,
			Ledger:      m.Ledger,
			Incarnation: h.incarnation,
			Seq:         seq,
			Part:        part,
			Parts:       parts,
			SnapshotID:  m.SnapshotID,
		},
	)
}

// operations plays what is new. Where something is missing in between, or the account is not known, it
// says so.
func (h *Replica) applyOperations(m *Message) {
	e := h.ledgers[m.Ledger]
	if e == nil || e.owner != m.From || e.ledger == nil || e.snapshotID != m.SnapshotID {
		h.sendProgress(m, 0, 0, 0)
		return
	}
	if m.Seq <= e.seq {
		for _, s := range m.Operations[min(e.seq-m.Seq, uint64(len(m.Operations))):] {
			told, same := s.apply(e.ledger)
			if !same {
				h.errs = append(h.errs, ErrDiverged)
				delete(h.ledgers, m.Ledger)
				h.sendProgress(m, 0, 0, 0)
				return
			}
			if e.seq++; told != nil {
				h.statements = append(h.statements, OwnedStatement{e.owner, e.process, told})
			}
		}
	}
	h.sendProgress(m, e.seq, 0, 0)
}

// encodeLedger puts an account together that comes in pieces.
func (h *Replica) receiveSnapshotPart(m *Message) {
	if m.Parts < 1 || m.Parts > maxSnapshotParts || m.Part < 0 || m.Part >= m.Parts || len(m.Bytes) > snapshotPartBytes ||
		m.Settings.Period <= 0 ||
		m.Settings.Slice <= 0 {
		h.errs = append(h.errs, errors.New("accounts: a piece of an account that cannot be"))
		return
	}
	e := h.ledgers[m.Ledger]
	switch {
	case e == nil && h.countOf(m.From) >= maxLedgersPerRunner:
		return // those before it are ended soon
	case e == nil:
		e = &replicatedLedger{owner: m.From, process: m.Process}
		h.ledgers[m.Ledger] = e
	case e.owner != m.From:
		return
	}
	if e.ledger != nil && m.Seq <= e.seq { // it is said again, or what is here goes further
		e.snapshotID = m.SnapshotID
		h.sendProgress(m, e.seq, 0, 0)
		return
	}
	if e.partsID != m.SnapshotID || m.Part == 0 {
		e.parts, e.partsID = nil, m.SnapshotID
	}
	if m.Part == len(e.parts) {
		e.parts = append(e.parts, m.Bytes)
	}
	if len(e.parts) < m.Parts {
		h.sendProgress(m, m.Seq, len(e.parts), m.Parts)
		return
	}
	led, _, err := ledger.Decode(m.Settings, slices.Concat(e.parts...))
	e.parts = nil
	if err == nil && (led.Incarnation() != m.Ledger || m.Settings.Instance != m.From) {
		err = errors.New("accounts: an account of " + m.Settings.Instance + " from " + m.From)
	}
	if err != nil {
		h.errs = append(h.errs, err)
		return
	}
	e.ledger, e.seq, e.snapshotID = led, m.Seq, m.SnapshotID
	for s, _ := led.NextStatement(); s != nil; s, _ = led.NextStatement() { // they may not have their names there
		h.statements = append(h.statements, OwnedStatement{e.owner, e.process, s})
		led.MarkExported(s)
	}
	h.sendProgress(m, e.seq, 0, 0)
}

// countOf is how many accounts of a runner are known.
func (h *Replica) countOf(owner string) (n int) {
	for _, e := range h.ledgers {
		if e.owner == owner {
			n++
		}
	}
	return n
}

// Tick ends the accounts of those who have been lost for long enough.
func (h *Replica) Tick(now int64) {
	h.markLost(now)
	h.endLost(now - endDelay)
}

// Close ends the accounts of all who are lost, as this runner is about to go.
func (h *Replica) Close(now int64) { h.endLost(now) }

func (h *Replica) endLost(before int64) {
	for _, name := range slices.Sorted(maps.Keys(h.ledgers)) {
		e := h.ledgers[name]
		if e.lostSince == 0 || e.lostSince > before {
			continue
		}
		delete(h.ledgers, name)
		if e.ledger == nil {
			continue
		}
		if s := e.ledger.Finish(); s != nil {
			h.statements = append(h.statements, OwnedStatement{e.owner, e.process, s})
		}
	}
}

// TakeMessages gives what is to be sent.
func (h *Replica) TakeMessages() []Message {
	out := h.outbox
	h.outbox = nil
	return out
}

// TakeStatements gives the statements that are to be written.
func (h *Replica) TakeStatements() []OwnedStatement {
	told := h.statements
	h.statements = nil
	return told
}

// TakeErrors gives what went wrong.
func (h *Replica) TakeErrors() []error {
	errs := h.errs
	h.errs = nil
	return errs
}

// PendingEnds tells how many accounts are of runners that are lost, and are to be ended.
func (h *Replica) PendingEnds() (n int) {
	for _, e := range h.ledgers {
		if e.lostSince != 0 {
			n++
		}
	}
	return n
}

// Len tells how many accounts of others are known here.
func (h *Replica) Len() int { return len(h.ledgers) }
