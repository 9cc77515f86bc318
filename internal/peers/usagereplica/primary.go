package usagereplica

import (
	"maps"
	"slices"
	"time"

	"ryepaddle/internal/peers/placement"
	"ryepaddle/internal/usage/ledger"
)

const (
	// resendInterval is the time after which an unanswered message is resent.
	resendInterval = 200 * time.Millisecond
	// dropInterval is the interval of MsgDrop to a former replica.
	dropInterval = 5 * resendInterval
	// dropAttempts is the maximum number of MsgDrop sent to a former replica.
	dropAttempts = 5
	// snapshotPartBytes is the maximum size of a snapshot part in one message.
	snapshotPartBytes = 128 << 10
	// maxOperationsPerMessage is the maximum number of operations in one message.
	maxOperationsPerMessage = 256
	// maxInFlight is the number of unacknowledged operations at which no more are sent to a replica.
	maxInFlight = 4096
	// maxRetainedOperations is the maximum number of operations that are retained for replicas that are
	// behind. A replica that is further behind is sent a snapshot.
	maxRetainedOperations = 1 << 14
)

// replicaProgress is the primary's view of the progress of one replica.
type replicaProgress struct {
	incarnation uint64
	ackedSeq    uint64 // the replica has all operations up to this one
	sentSeq     uint64 // all operations up to this one were sent
	lastSent    time.Duration
	caughtUp    bool   // the replica has the snapshot and is sent operations
	snapshot    []byte // the encoded ledger while it is being sent
	snapshotSeq uint64 // last operation in the snapshot
	nextPart    int    // index of the snapshot's next part
	snapshotID  uint64
}

// Primary replicates one ledger, which the caller modifies. Sequence number 1 stands for the ledger as
// it began, and 0 for the progress of a replica that does not have it. Operations are numbered from 2.
type Primary struct {
	name           string
	ledger         string
	process        uint32
	settings       ledger.Settings
	encodeLedger   func() []byte // encodes the ledger's current state
	operations     []Operation   // retained operations, which follow baseSeq
	baseSeq        uint64
	replicas       map[string]*replicaProgress
	replicaNames   []string       // sorted, so that the same events send the same messages
	former         map[string]int // number of MsgDrop still to send, by name
	tableVersion   uint64
	lastSnapshotID uint64 // ID of the last snapshot sent to any replica
	lastDrop       time.Duration
	outbox         []Message
}

// NewPrimary returns the primary of a ledger without replicas.
func NewPrimary(
	name, ledgerName string,
	process uint32,
	settings ledger.Settings,
	encode func() []byte,
) *Primary {
	return &Primary{
		name:         name,
		ledger:       ledgerName,
		process:      process,
		settings:     settings,
		encodeLedger: encode,
		baseSeq:      1,
		replicas:     map[string]*replicaProgress{},
		former:       map[string]int{},
	}
}

// Append adds an operation that was already applied to the ledger, and returns its sequence number.
func (p *Primary) Append(op Operation) uint64 {
	p.operations = append(p.operations, op)
	return p.LastSeq()
}

// LastSeq returns the sequence number of the last operation.
func (p *Primary) LastSeq() uint64 { return p.baseSeq + uint64(len(p.operations)) }

// ReplicatedSeq returns the sequence number up to which all replicas have applied the operations, or 0
// if one of them does not have the ledger. Without replicas it returns LastSeq.
func (p *Primary) ReplicatedSeq() uint64 {
	seq := p.LastSeq()
	for _, r := range p.replicas {
		if !r.caughtUp {
			return 0
		}
		seq = min(seq, r.ackedSeq)
	}
	return seq
}

// SetTable replaces the table by a newer one. A replica with a new incarnation may have lost the ledger
// and is sent a snapshot.
func (p *Primary) SetTable(t *placement.Table, now time.Duration) {
	if t.Version <= p.tableVersion {
		return
	}
	p.tableVersion = t.Version
	want := map[string]uint64{}
	for _, m := range ReplicasOf(t, p.name) {
		want[m.Name] = m.Incarnation
	}
	for name := range p.replicas {
		if _, ok := want[name]; !ok {
			delete(p.replicas, name)
			p.former[name] = dropAttempts
		}
	}
	p.replicaNames = slices.Sorted(maps.Keys(want))
	for _, name := range p.replicaNames {
		delete(p.former, name)
		if r := p.replicas[name]; r == nil || r.incarnation != want[name] {
			p.replicas[name] = &replicaProgress{incarnation: want[name]}
			p.sendSnapshot(name, p.replicas[name], now)
		}
	}
	p.trim()
}

// sendSnapshot starts sending a replica the ledger's current state.
func (p *Primary) sendSnapshot(name string, r *replicaProgress, now time.Duration) {
	p.lastSnapshotID++
	r.snapshot, r.snapshotSeq, r.snapshotID = p.encodeLedger(), p.LastSeq(), p.lastSnapshotID
	r.caughtUp = false
	r.nextPart = 0
	r.ackedSeq = 0
	p.sendSnapshotPart(name, r, now)
}

// parts returns the number of parts of the snapshot.
func (r *replicaProgress) parts() int {
	return max((len(r.snapshot)+snapshotPartBytes-1)/snapshotPartBytes, 1)
}

func (p *Primary) sendSnapshotPart(name string, r *replicaProgress, now time.Duration) {
	r.lastSent = now
	from := r.nextPart * snapshotPartBytes
	to := min(from+snapshotPartBytes, len(r.snapshot))
	p.send(Message{
		Type:       MsgSnapshot,
		To:         name,
		Seq:        r.snapshotSeq,
		Part:       r.nextPart,
		Parts:      r.parts(),
		Bytes:      r.snapshot[from:to],
		Settings:   p.settings,
		SnapshotID: r.snapshotID,
	})
}

func (p *Primary) send(m Message) {
	m.From = p.name
	m.Ledger = p.ledger
	m.Process = p.process
	p.outbox = append(p.outbox, m)
}

// Receive handles the progress of a replica. Progress of an earlier incarnation or with an earlier
// snapshot is ignored: the replica may have lost that copy of the ledger.
func (p *Primary) Receive(m *Message, now time.Duration) {
	if m.Type != MsgProgress || m.Ledger != p.ledger {
		return
	}
	r := p.replicas[m.From]
	if r == nil {
		if m.Seq == 0 {
			delete(p.former, m.From)
		}
		return
	}
	if m.Incarnation != r.incarnation || m.SnapshotID != r.snapshotID {
		return
	}
	switch {
	case !r.caughtUp && m.Seq == r.snapshotSeq && m.Part > r.nextPart && m.Part < r.parts():
		r.nextPart = m.Part
		p.sendSnapshotPart(m.From, r, now)
	case !r.caughtUp && m.Parts == 0 && m.Seq >= r.snapshotSeq && m.Seq <= p.LastSeq():
		r.caughtUp = true
		r.snapshot = nil
		r.ackedSeq = m.Seq
		r.sentSeq = m.Seq
	case r.caughtUp && m.Seq > r.ackedSeq && m.Seq <= p.LastSeq():
		r.ackedSeq = m.Seq
	case r.caughtUp && m.Seq == 0: // the replica does not have the ledger
		p.sendSnapshot(m.From, r, now)
	}
	p.trim()
	p.Flush(now)
}

// Flush sends the replicas the operations that were not sent yet, up to maxInFlight.
func (p *Primary) Flush(now time.Duration) {
	for _, name := range p.replicaNames {
		r := p.replicas[name]
		for r.caughtUp && r.sentSeq < p.LastSeq() && r.sentSeq-r.ackedSeq < maxInFlight {
			if r.sentSeq < p.baseSeq {
				p.sendSnapshot(name, r, now)
				break
			}
			p.sendOperations(name, r, now)
		}
	}
}

// sendOperations sends a replica the next operations, as many as one message may contain.
func (p *Primary) sendOperations(name string, r *replicaProgress, now time.Duration) {
	ops := p.operations[r.sentSeq-p.baseSeq:]
	ops = ops[:min(len(ops), maxOperationsPerMessage)]
	p.send(Message{
		Type:       MsgAppend,
		To:         name,
		Seq:        r.sentSeq,
		Operations: slices.Clone(ops),
		SnapshotID: r.snapshotID,
	})
	r.sentSeq += uint64(len(ops))
	r.lastSent = now
}

// Tick resends unanswered messages, and sends MsgDrop to former replicas.
func (p *Primary) Tick(now time.Duration) {
	for _, name := range p.replicaNames {
		switch r := p.replicas[name]; {
		case now-r.lastSent < resendInterval:
		case !r.caughtUp:
			p.sendSnapshotPart(name, r, now)
		case r.ackedSeq < r.sentSeq:
			r.sentSeq = r.ackedSeq
		}
	}
	if now-p.lastDrop >= dropInterval {
		p.lastDrop = now
		p.sendDrops()
	}
	p.Flush(now)
}

// sendDrops sends MsgDrop to former replicas once the current replicas have all operations. Before that
// a former replica may have the only other copy of the ledger.
func (p *Primary) sendDrops() {
	if p.ReplicatedSeq() < p.LastSeq() {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(p.former)) {
		p.send(Message{Type: MsgDrop, To: name})
		if p.former[name]--; p.former[name] <= 0 {
			delete(p.former, name)
		}
	}
}

// trim removes the operations that all replicas have, and the oldest ones beyond maxRetainedOperations.
func (p *Primary) trim() {
	last := p.LastSeq()
	needed := last
	for _, r := range p.replicas {
		if r.caughtUp {
			needed = min(needed, r.ackedSeq)
		} else {
			needed = min(needed, r.snapshotSeq)
		}
	}
	if last > maxRetainedOperations {
		needed = max(needed, last-maxRetainedOperations)
	}
	if needed > p.baseSeq {
		p.operations = slices.Clone(p.operations[needed-p.baseSeq:])
		p.baseSeq = needed
	}
}

// TakeMessages returns the messages to send and clears them.
func (p *Primary) TakeMessages() []Message {
	messages := p.outbox
	p.outbox = nil
	return messages
}

// FullyReplicated reports whether there are replicas and each of them has a snapshot of the ledger and
// is sent operations.
func (p *Primary) FullyReplicated() bool {
	for _, r := range p.replicas {
		if !r.caughtUp {
			return false
		}
	}
	return len(p.replicas) > 0
}

// Lag returns the number of unacknowledged operations by the name of the replica.
func (p *Primary) Lag() map[string]uint64 {
	lag := map[string]uint64{}
	for name, r := range p.replicas {
		lag[name] = p.LastSeq() - r.ackedSeq
	}
	return lag
}
