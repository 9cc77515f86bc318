package usagereplica

import (
	"maps"
	"slices"
	"time"

	"ryepaddle/internal/peers/placement"
	"ryepaddle/internal/usage/ledger"
)

const (
	// resendInterval is the time after which an unanswered message is sent again.
	resendInterval = 200 * time.Millisecond
	// dropInterval is the time between two MsgDrop to a former replica.
	dropInterval = 5 * resendInterval
	// dropAttempts is how often a former replica is told to forget the ledger.
	dropAttempts = 5
	// snapshotPartBytes bounds the bytes of a ledger in one message.
	snapshotPartBytes = 128 << 10
	// maxOperationsPerMessage bounds the operations in one message.
	maxOperationsPerMessage = 256
	// maxInFlight bounds the operations that were sent to a replica and not acknowledged.
	maxInFlight = 4096
	// maxRetainedOperations bounds the operations that are kept for replicas that are behind. One
	// that is further behind is sent the ledger.
	maxRetainedOperations = 1 << 14
)

// replicaProgress is what the primary knows of one replica.
type replicaProgress struct {
	incarnation uint64
	ackedSeq    uint64 // it has all operations up to this one
	sentSeq     uint64 // all operations up to this one were sent
	lastSent    time.Duration
	caughtUp    bool   // it has the ledger, and is sent operations
	snapshot    []byte // the ledger that it is sent
	snapshotSeq uint64 // the last operation of that
	nextPart    int    // of the snapshot
	snapshotID  uint64
}

// Primary replicates one ledger, which its owner changes. Operations are numbered from 2 on: 1 is
// the ledger as it began, and 0 the progress of a replica that does not know it.
type Primary struct {
	name         string
	ledger       string
	process      uint32
	settings     ledger.Settings
	encodeLedger func() []byte // the ledger as it stands
	operations   []Operation   // the newest ones, after baseSeq
	baseSeq      uint64
	replicas     map[string]*replicaProgress
	order        []string       // names of the replicas, sorted: the same events send the same messages
	former       map[string]int // how often former replicas are still told to forget the ledger
	tableVersion uint64
	snapshots    uint64 // how often the ledger was sent to any replica
	lastDrop     time.Duration
	outbox       []Message
}

// NewPrimary returns the primary of a ledger that nobody else has.
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

// Append adds an operation that the ledger has applied already, and returns its number.
func (p *Primary) Append(op Operation) uint64 {
	p.operations = append(p.operations, op)
	return p.LastSeq()
}

// LastSeq returns the number of the last operation.
func (p *Primary) LastSeq() uint64 { return p.baseSeq + uint64(len(p.operations)) }

// ReplicatedSeq returns the number up to which all replicas have the ledger, or 0 if one of them does
// not have it. Without replicas there is nobody to wait for.
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

// SetTable takes a newer table. A replica in another incarnation may have lost the ledger.
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
	p.order = slices.Sorted(maps.Keys(want))
	for _, name := range p.order {
		delete(p.former, name)
		if r := p.replicas[name]; r == nil || r.incarnation != want[name] {
			p.replicas[name] = &replicaProgress{incarnation: want[name]}
			p.sendSnapshot(name, p.replicas[name], now)
		}
	}
	p.trim()
}

// sendSnapshot begins to send a replica the ledger as it stands.
func (p *Primary) sendSnapshot(name string, r *replicaProgress, now time.Duration) {
	p.snapshots++
	r.snapshot, r.snapshotSeq, r.snapshotID = p.encodeLedger(), p.LastSeq(), p.snapshots
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

// Receive handles the progress of a replica. Progress of an earlier incarnation, or with an earlier
// snapshot, may be of a ledger that the replica does not have any more.
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
	case r.caughtUp && m.Seq == 0: // it does not know the ledger
		p.sendSnapshot(m.From, r, now)
	}
	p.trim()
	p.Flush(now)
}

// Flush sends replicas the operations that they were not sent yet.
func (p *Primary) Flush(now time.Duration) {
	for _, name := range p.order {
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

// sendOperations sends a replica the next operations, as many as one message takes.
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

// Tick resends what had no answer, and has former replicas forget the ledger.
func (p *Primary) Tick(now time.Duration) {
	for _, name := range p.order {
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

// sendDrops tells former replicas to forget the ledger, once the present ones have all of it: before
// that a former one may be the only one.
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

// trim forgets the operations that all replicas have, and the oldest ones beyond
// maxRetainedOperations.
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

// TakeMessages returns the messages to send, and forgets them.
func (p *Primary) TakeMessages() []Message {
	messages := p.outbox
	p.outbox = nil
	return messages
}

// FullyReplicated reports whether there are replicas and each of them has the ledger and is sent
// operations.
func (p *Primary) FullyReplicated() bool {
	for _, r := range p.replicas {
		if !r.caughtUp {
			return false
		}
	}
	return len(p.replicas) > 0
}

// Lag returns the number of operations that each replica has not acknowledged, by its name.
func (p *Primary) Lag() map[string]uint64 {
	lag := map[string]uint64{}
	for name, r := range p.replicas {
		lag[name] = p.LastSeq() - r.ackedSeq
	}
	return lag
}
