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
	// endDelay is the time from the loss of a process until its ledgers are finished.
	endDelay = 2 * time.Second
	// maxSnapshotParts is the maximum number of parts of a snapshot.
	maxSnapshotParts = 256
	// maxLedgersPerRunner is the maximum number of ledgers of one runner: that of its current process,
	// and those of earlier processes that are not finished yet.
	maxLedgersPerRunner = 3
)

// replicatedLedger is the copy of another runner's ledger.
type replicatedLedger struct {
	owner      string
	process    uint32
	ledger     *ledger.Ledger // nil: the snapshot is not complete yet
	seq        uint64         // of the last applied operation
	snapshotID uint64         // newest snapshot that the ledger includes
	parts      [][]byte       // received parts of an incomplete snapshot
	partsID    uint64         // snapshot that the parts belong to
	lostSince  time.Duration  // 0: the primary's process is a member
}

// OwnedStatement is a statement to store, with the runner and process that it was received from or whose
// ledger it results from.
type OwnedStatement struct {
	Owner   string
	Process uint32
	*ledger.Statement
}

// Replica keeps copies of the ledgers of other runners.
type Replica struct {
	name        string
	incarnation uint64
	table       *placement.Table             // nil: none is known yet
	ledgers     map[string]*replicatedLedger // by incarnation of the ledger
	outbox      []Message
	statements  []OwnedStatement
	errs        []error
}

// NewReplica returns a replica without ledgers.
func NewReplica(name string) *Replica {
	return &Replica{name: name, ledgers: map[string]*replicatedLedger{}}
}

// SetTable replaces the table, and sets the incarnation of this runner's membership.
func (r *Replica) SetTable(t *placement.Table, incarnation uint64, now time.Duration) {
	r.table = t
	r.incarnation = incarnation
	r.markLost(now)
}

// markLost sets lostSince of the ledgers whose primary's process is not a member, and clears it of the
// others. A ledger may be added after the table that removed its process, by a late message.
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

// Receive handles a message of a primary or a statement of another runner.
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

func (r *Replica) recordError(err error) { r.errs = append(r.errs, err) }

func (r *Replica) receiveStatement(m *Message) {
	s, err := ledger.ParseStatement(m.Name, m.Bytes)
	if err == nil && s.FileName() != m.Name {
		err = fmt.Errorf("%w: sent as %s, is %s", ErrWrongName, m.Name, s.FileName())
	}
	if err != nil {
		r.recordError(err)
		return
	}
	r.statements = append(r.statements, OwnedStatement{m.From, m.Process, s})
}

// sendProgress answers a message with the sequence number of the last applied operation; 0: this replica
// does not have the ledger.
func (r *Replica) sendProgress(m *Message, seq uint64) { r.sendPartProgress(m, seq, 0, 0) }

// sendPartProgress answers a part of a snapshot with the number of parts received.
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

// applyOperations applies the operations that were not applied yet, and answers with the progress. If
// operations are missing before them, it applies none.
func (r *Replica) applyOperations(m *Message) {
	l := r.ledgers[m.Ledger]
	if l == nil || l.owner != m.From || l.ledger == nil || l.snapshotID != m.SnapshotID {
		r.sendProgress(m, 0)
		return
	}
	if m.Seq <= l.seq {
		alreadyApplied := min(l.seq-m.Seq, uint64(len(m.Operations)))
		for i := range m.Operations[alreadyApplied:] {
			sealed, same := m.Operations[alreadyApplied:][i].apply(l.ledger)
			if !same {
				r.recordError(ErrDiverged)
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

// isValidPart reports whether the values of a MsgSnapshot are within their bounds.
func isValidPart(m *Message) bool {
	return m.Parts >= 1 && m.Parts <= maxSnapshotParts && m.Part >= 0 && m.Part < m.Parts &&
		len(m.Bytes) <= snapshotPartBytes && m.Settings.Period > 0 && m.Settings.Slice > 0
}

// receiveSnapshotPart stores a part of a snapshot, and installs the snapshot with the last part.
func (r *Replica) receiveSnapshotPart(m *Message) {
	if !isValidPart(m) {
		r.recordError(ErrInvalidPart)
		return
	}
	l := r.ledgers[m.Ledger]
	switch {
	case l == nil && r.ledgerCount(m.From) >= maxLedgersPerRunner:
		return // the earlier ledgers are finished soon; the primary resends the part
	case l == nil:
		l = &replicatedLedger{owner: m.From, process: m.Process}
		r.ledgers[m.Ledger] = l
	case l.owner != m.From:
		return
	}
	if l.ledger != nil && m.Seq <= l.seq { // the ledger already includes the snapshot
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

// installSnapshot decodes a ledger from the parts of its snapshot. The primary may not have stored the
// statements within it yet, therefore they are stored here too.
func (r *Replica) installSnapshot(l *replicatedLedger, m *Message) {
	decoded, _, err := ledger.Decode(m.Settings, slices.Concat(l.parts...))
	l.parts = nil
	if err == nil && (decoded.Incarnation() != m.Ledger || m.Settings.Instance != m.From) {
		err = fmt.Errorf("%w: ledger of %s, sent by %s", ErrWrongOwner, m.Settings.Instance, m.From)
	}
	if err != nil {
		r.recordError(err)
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

// ledgerCount returns the number of ledgers of a runner.
func (r *Replica) ledgerCount(owner string) (n int) {
	for _, l := range r.ledgers {
		if l.owner == owner {
			n++
		}
	}
	return n
}

// Tick finishes the ledgers of processes that have been lost for endDelay.
func (r *Replica) Tick(now time.Duration) {
	r.markLost(now)
	r.finishLost(now - endDelay)
}

// Close finishes the ledgers of all lost processes. It is called before this runner stops.
func (r *Replica) Close(now time.Duration) { r.finishLost(now) }

// finishLost finishes the ledgers of processes that were lost at the given time or before.
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

// TakeMessages returns the messages to send and clears them.
func (r *Replica) TakeMessages() []Message {
	messages := r.outbox
	r.outbox = nil
	return messages
}

// TakeStatements returns the statements to store and clears them.
func (r *Replica) TakeStatements() []OwnedStatement {
	statements := r.statements
	r.statements = nil
	return statements
}

// TakeErrors returns the errors since the last call and clears them.
func (r *Replica) TakeErrors() []error {
	errs := r.errs
	r.errs = nil
	return errs
}

// OrphanedLedgers returns the number of ledgers of lost processes that are not finished yet.
func (r *Replica) OrphanedLedgers() (n int) {
	for _, l := range r.ledgers {
		if l.lostSince != 0 {
			n++
		}
	}
	return n
}

// Len returns the number of ledgers of other runners.
func (r *Replica) Len() int { return len(r.ledgers) }
