package usagereplica

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"ryepaddle/internal/peers/placement"
	"ryepaddle/internal/usage/ledger"
)

const (
	// endDelay is the time after the loss of a runner before its ledgers are finished.
	endDelay = 2 * time.Second
	// maxSnapshotParts bounds the parts of a ledger.
	maxSnapshotParts = 256
	// maxLedgersPerRunner bounds the ledgers of one runner: one that goes on, and those of earlier
	// processes that are about to be finished.
	maxLedgersPerRunner = 3
)

// replicatedLedger is the ledger of another runner.
type replicatedLedger struct {
	owner      string
	process    uint32
	ledger     *ledger.Ledger // nil: its snapshot is not complete yet
	seq        uint64         // of the last operation
	snapshotID uint64         // the newest snapshot that it was, or was found to be
	parts      [][]byte       // of a snapshot that is not complete
	partsID    uint64         // the snapshot that they are of
	lostSince  time.Duration  // 0: its process is a member
}

// OwnedStatement is a statement to store, and the runner and process whose ledger made it.
type OwnedStatement struct {
	Owner   string
	Process uint32
	*ledger.Statement
}

// Replica has the ledgers of other runners.
type Replica struct {
	name        string
	incarnation uint64
	table       *placement.Table             // nil: none is known yet
	ledgers     map[string]*replicatedLedger // by the incarnations of the ledgers
	outbox      []Message
	statements  []OwnedStatement
	errs        []error
}

// NewReplica returns a replica without ledgers.
func NewReplica(name string) *Replica {
	return &Replica{name: name, ledgers: map[string]*replicatedLedger{}}
}

// SetTable takes a newer table, and the incarnation of this runner's membership.
func (r *Replica) SetTable(t *placement.Table, incarnation uint64, now time.Duration) {
	r.table = t
	r.incarnation = incarnation
	r.markLost(now)
}

// markLost notes the ledgers whose processes are no members. A message of such a process may come
// after the table.
func (r *Replica) markLost(now time.Duration) {
	if r.table == nil {
		return
	}
	for _, l := range r.ledgers {
		if m := r.table.Member(l.owner); m != nil && m.Incarnation != 0 && m.Process == l.process {
			l.lostSince = 0
		} else if l.lostSince == 0 {
			l.lostSince = now
		}
	}
}

// Receive handles a message of a primary, or a statement of another runner.
func (r *Replica) Receive(m *Message) {
	switch m.Type {
	case MsgSnapshot:
		r.receiveSnapshotPart(m)
	case MsgAppend:
		r.applyOperations(m)
	case MsgStatement:
		r.receiveStatement(m)
	case MsgDrop:
		if l := r.ledgers[m.Ledger]; l != nil && l.owner == m.From && l.lostSince == 0 {
			delete(r.ledgers, m.Ledger)
		}
		r.sendProgress(m, 0)
	}
}

func (r *Replica) fail(err error) { r.errs = append(r.errs, err) }

func (r *Replica) receiveStatement(m *Message) {
	s, err := ledger.ParseStatement(m.Name, m.Bytes)
	if err == nil && s.FileName() != m.Name {
		err = fmt.Errorf("%w: %s is %s", ErrWrongName, m.Name, s.FileName())
	}
	if err != nil {
		r.fail(err)
		return
	}
	r.statements = append(r.statements, OwnedStatement{m.From, m.Process, s})
}

// sendProgress answers a message with the last operation that is here; 0: the ledger is not known.
func (r *Replica) sendProgress(m *Message, seq uint64) { r.sendPartProgress(m, seq, 0, 0) }

// sendPartProgress answers a part of a snapshot with the number of parts that are here.
func (r *Replica) sendPartProgress(m *Message, seq uint64, part, parts int) {
	r.outbox = append(r.outbox, Message{
		Type:        MsgProgress,
		From:        r.name,
		To:          m.From,
		Ledger:      m.Ledger,
		Incarnation: r.incarnation,
		Seq:         seq,
		Part:        part,
		Parts:       parts,
		SnapshotID:  m.SnapshotID,
	})
}

// applyOperations applies the operations that are new. If there is a gap before them, or the ledger
// is not known, the answer says so.
func (r *Replica) applyOperations(m *Message) {
	l := r.ledgers[m.Ledger]
	if l == nil || l.owner != m.From || l.ledger == nil || l.snapshotID != m.SnapshotID {
		r.sendProgress(m, 0)
		return
	}
	if m.Seq <= l.seq {
		known := min(l.seq-m.Seq, uint64(len(m.Operations)))
		for i := range m.Operations[known:] {
			sealed, same := m.Operations[known:][i].apply(l.ledger)
			if !same {
				r.fail(ErrDiverged)
				delete(r.ledgers, m.Ledger)
				r.sendProgress(m, 0)
				return
			}
			if l.seq++; sealed != nil {
				r.statements = append(r.statements, OwnedStatement{l.owner, l.process, sealed})
			}
		}
	}
	r.sendProgress(m, l.seq)
}

// isValidPart reports whether the numbers of a MsgSnapshot are possible.
func isValidPart(m *Message) bool {
	return m.Parts >= 1 && m.Parts <= maxSnapshotParts && m.Part >= 0 && m.Part < m.Parts &&
		len(m.Bytes) <= snapshotPartBytes && m.Settings.Period > 0 && m.Settings.Slice > 0
}

// receiveSnapshotPart takes a part of a ledger, and the ledger with the last one.
func (r *Replica) receiveSnapshotPart(m *Message) {
	if !isValidPart(m) {
		r.fail(ErrInvalidPart)
		return
	}
	l := r.ledgers[m.Ledger]
	switch {
	case l == nil && r.countOf(m.From) >= maxLedgersPerRunner:
		return // earlier ones are finished soon; the primary sends it again
	case l == nil:
		l = &replicatedLedger{owner: m.From, process: m.Process}
		r.ledgers[m.Ledger] = l
	case l.owner != m.From:
		return
	}
	if l.ledger != nil && m.Seq <= l.seq { // the ledger here has all of the snapshot
		l.snapshotID = m.SnapshotID
		r.sendProgress(m, l.seq)
		return
	}
	if l.partsID != m.SnapshotID || m.Part == 0 {
		l.parts = nil
		l.partsID = m.SnapshotID
	}
	if m.Part == len(l.parts) {
		l.parts = append(l.parts, m.Bytes)
	}
	if len(l.parts) < m.Parts {
		r.sendPartProgress(m, m.Seq, len(l.parts), m.Parts)
		return
	}
	r.installSnapshot(l, m)
}

// installSnapshot takes a ledger whose parts are all here. Its statements may not be stored by its
// runner, and are stored here too.
func (r *Replica) installSnapshot(l *replicatedLedger, m *Message) {
	decoded, _, err := ledger.Decode(m.Settings, slices.Concat(l.parts...))
	l.parts = nil
	if err == nil && (decoded.Incarnation() != m.Ledger || m.Settings.Instance != m.From) {
		err = fmt.Errorf("%w: of %s from %s", ErrWrongOwner, m.Settings.Instance, m.From)
	}
	if err != nil {
		r.fail(err)
		return
	}
	l.ledger = decoded
	l.seq = m.Seq
	l.snapshotID = m.SnapshotID
	for s, _ := decoded.NextStatement(); s != nil; s, _ = decoded.NextStatement() {
		r.statements = append(r.statements, OwnedStatement{l.owner, l.process, s})
		decoded.MarkExported(s)
	}
	r.sendProgress(m, l.seq)
}

// countOf returns how many ledgers of a runner are here.
func (r *Replica) countOf(owner string) (n int) {
	for _, l := range r.ledgers {
		if l.owner == owner {
			n++
		}
	}
	return n
}

// Tick finishes the ledgers of the processes that have been lost for endDelay.
func (r *Replica) Tick(now time.Duration) {
	r.markLost(now)
	r.finishLost(now - endDelay)
}

// Close finishes the ledgers of all lost processes, as this runner is about to stop.
func (r *Replica) Close(now time.Duration) { r.finishLost(now) }

// finishLost finishes the ledgers of the processes that were lost by then.
func (r *Replica) finishLost(by time.Duration) {
	for _, name := range slices.Sorted(maps.Keys(r.ledgers)) {
		l := r.ledgers[name]
		if l.lostSince == 0 || l.lostSince > by {
			continue
		}
		delete(r.ledgers, name)
		if l.ledger == nil {
			continue
		}
		if s := l.ledger.Finish(); s != nil {
			r.statements = append(r.statements, OwnedStatement{l.owner, l.process, s})
		}
	}
}

// TakeMessages returns the messages to send, and forgets them.
func (r *Replica) TakeMessages() []Message {
	messages := r.outbox
	r.outbox = nil
	return messages
}

// TakeStatements returns the statements to store, and forgets them.
func (r *Replica) TakeStatements() []OwnedStatement {
	statements := r.statements
	r.statements = nil
	return statements
}

// TakeErrors returns what went wrong, and forgets it.
func (r *Replica) TakeErrors() []error {
	errs := r.errs
	r.errs = nil
	return errs
}

// PendingEnds returns how many ledgers are of lost processes and not finished yet.
func (r *Replica) PendingEnds() (n int) {
	for _, l := range r.ledgers {
		if l.lostSince != 0 {
			n++
		}
	}
	return n
}

// Len returns the number of ledgers of other runners.
func (r *Replica) Len() int { return len(r.ledgers) }
