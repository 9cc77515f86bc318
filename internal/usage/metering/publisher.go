package metering

import (
	"time"

	"ryepaddle/internal/peers/usagereplica"
	"ryepaddle/internal/usage/ledger"
	"ryepaddle/internal/wallclock"
)

// publisher sends the operations of the account to its replicas. A nil publisher is that of an account
// that is not replicated, and publishes nothing. It is used by the goroutine of the account.
type publisher struct {
	primary *usagereplica.Primary
	seals   map[uint64]uint64 // number of the operation that sealed each statement, by the statement's number

	// Records that are not known to be replicated, oldest first.
	unreplicated []publishedRecord
	confirmed    uint64 // number of the last record that was reported as replicated

	waiting []pendingChange
}

// publishedRecord holds the number of a record and that of the operation which published it.
type publishedRecord struct{ record, operation uint64 }

// pendingChange is a change whose caller waits until it is replicated.
type pendingChange struct {
	operation uint64
	deadline  time.Duration // on the clock of Meter.elapsed
	done      func(error)
}

func (p *publisher) publish(op usagereplica.Operation) {
	if p != nil {
		p.primary.Append(op)
	}
}

func (p *publisher) publishRecord(r *ledger.Record, number uint64) {
	if p == nil {
		return
	}
	if len(p.unreplicated) >= maxWaitingRecords {
		// The oldest is confirmed together with a later one: records are replicated in order.
		p.unreplicated = p.unreplicated[1:]
	}
	operation := p.primary.Append(usagereplica.Operation{Use: r})
	p.unreplicated = append(p.unreplicated, publishedRecord{number, operation})
}

func (p *publisher) publishSeal(s *ledger.Statement, now wallclock.UnixMicro) {
	if p != nil {
		p.seals[s.Seq] = p.primary.Append(usagereplica.Operation{SealDigest: s.Digest(), At: now})
	}
}

// mayExport reports whether the file of a statement may get its final name: the replicas must know that
// its periods are sealed. A file that was collected earlier would supersede the statements that the
// replicas may write, and the records that only they have would be in no statement.
func (p *publisher) mayExport(s *ledger.Statement) bool {
	return p == nil || p.seals[s.Seq] <= p.primary.ReplicatedSeq()
}

// whenReplicated calls done once all operations published so far are replicated, or with
// ErrNotReplicated after the deadline. Without replication it calls done at once.
func (p *publisher) whenReplicated(deadline time.Duration, done func(error)) {
	if p == nil {
		done(nil)
		return
	}
	p.waiting = append(p.waiting, pendingChange{p.primary.LastSeq(), deadline, done})
}

// takeConfirmed returns the number of the last record that is known to be replicated, and whether it has
// changed since the last call.
func (p *publisher) takeConfirmed() (record uint64, changed bool) {
	replicated := p.primary.ReplicatedSeq()
	record = p.confirmed
	for len(p.unreplicated) > 0 && p.unreplicated[0].operation <= replicated {
		record = p.unreplicated[0].record
		p.unreplicated = p.unreplicated[1:]
	}
	changed = record > p.confirmed
	if changed {
		p.confirmed = record
	}
	return record, changed
}

// answerWaiting calls done for the changes that are replicated, or whose deadlines have passed.
func (p *publisher) answerWaiting(now time.Duration) {
	replicated := p.primary.ReplicatedSeq()
	rest := p.waiting[:0]
	for _, w := range p.waiting {
		switch {
		case w.operation <= replicated:
			w.done(nil)
		case now >= w.deadline:
			w.done(ErrNotReplicated)
		default:
			rest = append(rest, w)
		}
	}
	p.waiting = rest
}
