package replication

import (
	"time"

	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/peers/placement"
)

const (
	// readGrace is how long after the end of its window a key may still be asked for.
	readGrace = 10 * time.Second
	// resendInterval is the time after which an unanswered message is sent again.
	resendInterval = 100 * time.Millisecond
	// sweepInterval is the time between two looks for records whose windows are over.
	sweepInterval = time.Second
)

// Config is the configuration of a replica.
type Config struct {
	Name        string
	Incarnation uint64        // of the runner's membership
	KeyWindow   time.Duration // the longest window of all classes of keys
	// QuorumTimeout is how long after the last contact with the consensus group the runner accepts
	// new keys: one that was replaced may not know it.
	QuorumTimeout time.Duration
	MaxBytes      int   // of records, from which on no new keys are accepted; 0: no bound
	CatchUpRate   int64 // bytes a second sent to replicas that are catching up; 0: no bound
}

// Result is the outcome of a request.
type Result struct {
	Outcome Outcome
	// Record is that of the attempt which owns the key, with OutcomeOwnedByOther only. Its own times
	// are not used.
	Record    *store.Record
	Remaining time.Duration // of the record's window
	InDoubt   bool          // the process of the record's run is lost
	// RetryAfter is the earliest time for a retry; 0: at any time.
	RetryAfter time.Duration
	Err        error
}

// Replica is one runner's part in the replication of keys.
type Replica struct {
	cfg           Config
	table         *placement.Table // nil: none is known yet
	slots         []*slot          // nil: this runner has nothing of it
	pending       map[uint64]*pendingPut
	lastRequestID uint64
	lastSerial    uint64
	quorumContact time.Duration // when the consensus group was last heard
	lastSweep     time.Duration
	now           time.Duration

	// HeldBytes is about how many bytes the records take, as of the last tick.
	HeldBytes int
	// CatchUpBytes counts the bytes of records that were sent to bring replicas up to date.
	CatchUpBytes int64

	catchUpBudget    int64 // bytes that may be sent now to replicas that are catching up
	budgetRefilledAt time.Duration

	outbox   []Message
	loopback []Message // from this runner to itself
	changes  []placement.Change
}

// requestIDsPerIncarnation spreads the numbers of requests of two incarnations apart (2^64 divided
// by the golden ratio): a response to an earlier incarnation of the name may still be on its way.
const requestIDsPerIncarnation = 0x9e3779b97f4a7c15

// New returns a replica that knows no table yet. What its disk has of slots counts for nothing until
// a primary has brought it up to date; it only saves sending.
func New(cfg Config, saved []SlotSnapshot, now time.Duration) *Replica {
	r := &Replica{
		cfg:           cfg,
		lastRequestID: cfg.Incarnation * requestIDsPerIncarnation,
		pending:       map[uint64]*pendingPut{},
		quorumContact: now - cfg.QuorumTimeout - time.Microsecond,
		now:           now,
	}
	for _, v := range saved {
		*r.slotAt(v.Slot) = v.restore(now)
	}
	return r
}

// slotAt returns where a slot is kept.
func (r *Replica) slotAt(i int) **slot {
	for len(r.slots) <= i {
		r.slots = append(r.slots, nil)
	}
	return &r.slots[i]
}

// slotOf returns the slot of a key.
func (r *Replica) slotOf(name store.KeyName) int {
	return r.table.SlotOf(name.Class + "\x00" + name.Tenant + "\x00" + name.Key)
}

// TakeMessages returns the messages to send, and forgets them.
func (r *Replica) TakeMessages() []Message {
	messages := r.outbox
	r.outbox = nil
	return messages
}

// TakeChanges returns the changes to propose to the consensus group, and forgets them. A change may
// be returned more than once.
func (r *Replica) TakeChanges() []placement.Change {
	changes := r.changes
	r.changes = nil
	return changes
}

// Rejoin begins another incarnation of the membership of a process that was declared lost. Its
// records may not be complete any more; its own requests go on.
func (r *Replica) Rejoin(incarnation uint64) {
	r.cfg.Incarnation = incarnation
	for _, s := range r.slots {
		if s != nil {
			s.isPrimary = false
			s.followers = nil
			s.commitWaiters = nil
		}
	}
}

// IsMember reports whether the table has this runner in its present incarnation.
func (r *Replica) IsMember() bool { return r.table != nil && r.self() != nil }

// self returns this runner's member in its present incarnation, or nil.
func (r *Replica) self() *placement.Member {
	if m := r.table.Member(r.cfg.Name); m != nil && m.Incarnation == r.cfg.Incarnation {
		return m
	}
	return nil
}

// RecordQuorumContact notes that the consensus group was heard at that time.
func (r *Replica) RecordQuorumContact(at time.Duration) {
	r.quorumContact = max(r.quorumContact, at)
}

// quorumLost reports whether the consensus group was not heard for too long: this runner may have
// been replaced, and its replacement may have begun with nothing.
func (r *Replica) quorumLost(now time.Duration) bool {
	return now-r.quorumContact > r.cfg.QuorumTimeout
}

// Unavailable returns why no new keys are accepted and the earliest time for a retry, or zero if
// they are accepted.
func (r *Replica) Unavailable(now time.Duration) (retryAfter time.Duration, reason string) {
	switch {
	case !r.IsMember():
		return r.cfg.QuorumTimeout, "this runner is in no table yet"
	case r.quorumLost(now):
		return r.cfg.QuorumTimeout, "the consensus group is not heard"
	}
	return 0, ""
}

// KeyInfo is what a replica knows of a key.
type KeyInfo struct {
	Slot       int
	Quarantine time.Duration // for how long the slot accepts no new keys, as far as is known here
	Held       bool          // this runner is a replica of the slot
	Record     *store.Record // nil: none is stored here
	Remaining  time.Duration // of the record's window
}

// Lookup returns what this replica knows of a key.
func (r *Replica) Lookup(name store.KeyName, now time.Duration) KeyInfo {
	if r.table == nil {
		return KeyInfo{}
	}
	info := KeyInfo{Slot: r.slotOf(name)}
	s := *r.slotAt(info.Slot)
	if s == nil || !r.table.Slots[info.Slot].Holds(r.cfg.Name) {
		return info
	}
	info.Held, info.Quarantine = true, max(s.remainingQuarantine(now), 0)
	if it := s.items[name]; it != nil {
		info.Record = &it.record
		info.Remaining = it.expiresAt - now
	}
	return info
}

// ownerAlive reports whether the process that began a run is a member.
func (r *Replica) ownerAlive(record *store.Record) bool {
	return r.table.ProcessAlive(uint32(record.Owner >> 32))
}

// send sends a message. One to this runner itself is handled by drainLoopback.
func (r *Replica) send(m Message) {
	r.lastSerial++
	m.From = r.cfg.Name
	m.Incarnation = r.cfg.Incarnation
	m.Serial = r.lastSerial
	if m.To == r.cfg.Name {
		r.loopback = append(r.loopback, m)
		return
	}
	r.outbox = append(r.outbox, m)
}

// drainLoopback handles the messages of this runner to itself.
func (r *Replica) drainLoopback(now time.Duration) {
	r.now = max(r.now, now)
	for len(r.loopback) > 0 {
		m := r.loopback[0]
		r.loopback = r.loopback[1:]
		r.dispatch(&m)
	}
}

// Receive handles a message of a peer.
func (r *Replica) Receive(m *Message, now time.Duration) {
	r.now = max(r.now, now)
	r.dispatch(m)
	r.drainLoopback(now)
}

// dispatch handles a message. A runner that is not a member in its present incarnation has nothing
// to answer with.
func (r *Replica) dispatch(m *Message) {
	if !r.IsMember() || m.Slot < 0 || m.Slot >= len(r.table.Slots) {
		return
	}
	switch m.Type {
	case MsgPut:
		r.handlePut(m)
	case MsgPutResp:
		r.handlePutResponse(m)
	case MsgProbe, MsgAppend:
		r.handleAppend(m)
	case MsgProbeResp, MsgAppendResp:
		r.handleFollowerResponse(m)
	}
}

// Tick resends what had no answer, fails requests that are late, and drops records whose windows
// are over.
func (r *Replica) Tick(now time.Duration) {
	r.now = max(r.now, now)
	if r.table == nil {
		return
	}
	r.refillCatchUpBudget()
	r.HeldBytes = 0
	for _, s := range r.slots {
		if s != nil {
			r.HeldBytes += s.bytes
		}
	}
	for i, s := range r.slots {
		if s != nil && s.isPrimary {
			r.tickFollowers(i, s)
			r.advance(i, s)
		}
	}
	if r.now >= r.lastSweep+sweepInterval {
		r.lastSweep = r.now
		for _, s := range r.slots {
			if s != nil {
				s.removeExpired(r.now-readGrace, r.ownerAlive)
			}
		}
	}
	r.sendPending()
	r.drainLoopback(now)
}
