package replication

import (
	"time"

	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/peers/placement"
)

const (
	// readGrace is the time after the end of a key's window during which its record is kept for late
	// requests.
	readGrace = 10 * time.Second
	// resendInterval is the time after which an unanswered message is sent again.
	resendInterval = 100 * time.Millisecond
	// sweepInterval is the interval at which records whose windows are over are removed.
	sweepInterval = time.Second
)

// Config is the configuration of a replica.
type Config struct {
	Name        string
	Incarnation uint64        // of the runner's membership
	KeyWindow   time.Duration // the longest key window of all classes
	// QuorumTimeout is the time after the last contact with the consensus group during which the runner
	// accepts new keys. Without contact, the runner may have been replaced without learning of it.
	QuorumTimeout time.Duration
	MaxBytes      int   // size of all records at which new keys are rejected; 0: no bound
	CatchUpRate   int64 // bytes per second for all joining replicas together; 0: no bound
}

// Result is the result of a Put.
type Result struct {
	Outcome Outcome
	// Record is the record of the attempt that owns the key; it is set with OutcomeOwnedByOther only.
	// The times within it are not used.
	Record    *store.Record
	Remaining time.Duration // of the record's window
	InDoubt   bool          // the process that began the record's run is lost
	// RetryAfter is the delay before the earliest retry; 0: at once.
	RetryAfter time.Duration
	Err        error
}

// Replica is the replication state machine of one runner. It is primary of some slots and follower of
// others, and sends the runner's own requests to the primaries of their slots.
type Replica struct {
	cfg           Config
	table         *placement.Table       // nil: none is known yet
	slots         []*slot                // by slot number; nil: this runner has no state of the slot
	pending       map[uint64]*pendingPut // by request ID
	lastRequestID uint64
	lastSerial    uint64
	quorumContact time.Duration // time of the last contact with the consensus group
	lastSweep     time.Duration
	now           time.Duration

	// HeldBytes is the approximate size of all records in memory, as of the last tick.
	HeldBytes int
	// CatchUpBytes is the total size of the records sent to replicas that were catching up.
	CatchUpBytes int64

	catchUpBudget    int64 // bytes that may be sent now to replicas that are joining
	budgetRefilledAt time.Duration

	outbox   []Message
	loopback []Message // from this runner to itself
	changes  []placement.Change
}

// requestIDsPerIncarnation separates the request IDs of different incarnations (2^64 divided by the
// golden ratio): a response to an earlier incarnation of the same name may still be in flight.
const requestIDsPerIncarnation = 0x9e3779b97f4a7c15

// New returns a replica without a table. The saved slots only reduce the records that have to be sent:
// they do not count as replicas until a primary has brought them up to date.
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

// slotAt returns a pointer to the entry of a slot, which is nil if there is no state of the slot.
func (r *Replica) slotAt(i int) **slot {
	for len(r.slots) <= i {
		r.slots = append(r.slots, nil)
	}
	return &r.slots[i]
}

// slotOf returns the number of the slot of a key.
func (r *Replica) slotOf(name store.KeyName) int {
	return r.table.SlotOf(name.Class + "\x00" + name.Tenant + "\x00" + name.Key)
}

// TakeMessages returns the messages to send and clears them.
func (r *Replica) TakeMessages() []Message {
	messages := r.outbox
	r.outbox = nil
	return messages
}

// TakeChanges returns the changes to propose to the consensus group and clears them. A later call may
// return the same change again.
func (r *Replica) TakeChanges() []placement.Change {
	changes := r.changes
	r.changes = nil
	return changes
}

// Rejoin begins a new incarnation of the membership of a process that was declared lost. The runner
// stops being primary of any slot, as its records may no longer be complete. Its own requests continue.
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

// IsMember reports whether this runner is in the table with its current incarnation.
func (r *Replica) IsMember() bool { return r.table != nil && r.self() != nil }

// self returns the table's member of this runner, or nil if it is not in the table with its current
// incarnation.
func (r *Replica) self() *placement.Member {
	if m := r.table.Member(r.cfg.Name); m != nil && m.Incarnation == r.cfg.Incarnation {
		return m
	}
	return nil
}

// RecordQuorumContact records a contact with the consensus group.
func (r *Replica) RecordQuorumContact(at time.Duration) {
	r.quorumContact = max(r.quorumContact, at)
}

// quorumLost reports whether the last contact with the consensus group is longer ago than
// QuorumTimeout. This runner may have been replaced by then, and its replacement may have begun
// without records.
func (r *Replica) quorumLost(now time.Duration) bool {
	return now-r.quorumContact > r.cfg.QuorumTimeout
}

// Unavailable returns the delay before the earliest retry and the reason if this runner accepts no new
// keys, and zero values if it accepts them.
func (r *Replica) Unavailable(now time.Duration) (retryAfter time.Duration, reason string) {
	switch {
	case !r.IsMember():
		return r.cfg.QuorumTimeout, "this runner is in no table yet"
	case r.quorumLost(now):
		return r.cfg.QuorumTimeout, "the consensus group is not heard"
	}
	return 0, ""
}

// KeyInfo is the state of a key at one replica.
type KeyInfo struct {
	Slot       int
	Quarantine time.Duration // remaining time during which the slot accepts no new keys, as known here
	Held       bool          // this runner is a replica of the slot
	Record     *store.Record // nil: this replica has no record of the key
	Remaining  time.Duration // of the record's window
}

// Lookup returns the state of a key at this replica.
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

// ownerAlive reports whether the process that began the record's run is a member.
func (r *Replica) ownerAlive(record *store.Record) bool {
	return r.table.ProcessAlive(uint32(record.Owner >> 32))
}

// send queues a message. Messages to this runner itself are handled by drainLoopback.
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

// Receive handles a message from a peer.
func (r *Replica) Receive(m *Message, now time.Duration) {
	r.now = max(r.now, now)
	r.dispatch(m)
	r.drainLoopback(now)
}

// dispatch handles a message. A runner that is not a member with its current incarnation ignores all
// messages.
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

// Tick resends unanswered messages, fails requests past their deadlines and removes records whose
// windows are over.
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
