package replication

import (
	"slices"

	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/peers/placement"
)

// Times are microseconds.
const (
	readGrace        = 10_000_000 // how long after its window a key may be asked for
	resendInterval   = 100_000    // after which what had no answer is said again
	retryInterval    = 20_000     // after which a primary that could not yet is asked again
	sweepInterval    = 1_000_000
	memoryRetryAfter = 1_000_000 // after which a key that found no room may come again
	maxAppendBytes   = 256 << 10 // bytes of records in one message
)

// Errors of an ask.
var (
	ErrTimeout     error = kindTimeout.New("replication: its copies were not to be had in time")
	ErrUnavailable error = kindUnavailable.New("replication: nothing new is taken")
	ErrConflict    error = kindConflict.New("replication: another try of the key is kept")
)

// Config is what a holder is.
type Config struct {
	Name          string
	Incarnation   uint64 // of its membership
	KeyWindow     int64  // the longest of all classes
	QuorumTimeout int64  // for so long after the consensus group was heard new keys are taken
	MaxBytes      int    // bytes of records, from which on no new key is taken; 0: any number
	CatchUpRate   int64  // bytes a second that go to those who are joining; 0: any number
}

// Result is what an ask came to.
type Result struct {
	Outcome    Outcome
	Record     *store.Record // OutcomeOwnedByOther: what is known; its Until and At stand for nothing, Left does
	Remaining  int64
	InDoubt    bool
	RetryAfter int64
	Err        error
}

// pendingPut is an ask that is under way.
type pendingPut struct {
	id        uint64
	slot      int
	record    *store.Record
	expiresAt int64 // of the record's window
	deadline  int64 // when its asker gives up
	abandonAt int64 // when it is not said any more
	nextSend  int64 // when it is said again
	answered  bool  // its asker has had an answer
	watching  bool  // for the end of another's run
	done      func(Result)
}

// Replica is one runner's part.
type Replica struct {
	cfg              Config
	table            *placement.Table
	slots            []*slot // nil: it is not held
	pending          map[uint64]*pendingPut
	lastRequestID    uint64
	lastSerial       uint64
	quorumContact    int64 // the consensus group
	lastSweep        int64
	now              int64
	HeldBytes        int   // of the records that are held, about, as of the last tick
	CatchUpBytes     int64 // bytes of records that were sent to bring holders up
	catchUpBudget    int64 // bytes that may go to those who are joining now
	budgetRefilledAt int64 // when that was looked at last
	outbox           []Message
	loopback         []Message // to itself
	changes          []placement.Change
}

// New is a holder that knows no table yet. Saved is what its disk has, if anything: it counts for
// nothing, and saves sending.
func New(cfg Config, saved []SlotSnapshot, now int64) *Replica {
	// Asks of another life of this name may still be answered: no number is used in two lives.
	h := &Replica{
		cfg:           cfg,
		lastRequestID: cfg.Incarnation * 0x9e3779b97f4a7c15,
		pending:       map[uint64]*pendingPut{},
		quorumContact: now - cfg.QuorumTimeout - 1,
		now:           now,
	}
	for _, v := range saved {
		*h.slotAt(v.Slot) = v.restore(now)
	}
	return h
}

// slotAt is where a slot is held.
func (h *Replica) slotAt(i int) **slot {
	for len(h.slots) <= i {
		h.slots = append(h.slots, nil)
	}
	return &h.slots[i]
}

// TakeMessages gives what is to be sent, and Changes what is to be said to the consensus group.
func (h *Replica) TakeMessages() []Message {
	out := h.outbox
	h.outbox = nil
	return out
}

// TakeChanges are what the consensus group is to be told. They may be told more than once.
func (h *Replica) TakeChanges() []placement.Change {
	c := h.changes
	h.changes = nil
	return c
}

// Rejoin is another life of the membership of a process that was held for lost and goes on. What it
// held is not known to be all any more; what it asked for goes on.
func (h *Replica) Rejoin(life uint64) {
	h.cfg.Incarnation = life
	for _, s := range h.slots {
		if s != nil {
			s.isPrimary, s.followers, s.commitWaiters = false, nil, nil
		}
	}
}

// IsMember tells whether the table has this runner, in this life.
func (h *Replica) IsMember() bool { return h.table != nil && h.self() != nil }

// RecordQuorumContact tells that the consensus group was heard.
func (h *Replica) RecordQuorumContact(now int64) { h.quorumContact = max(h.quorumContact, now) }

// Unavailable tells why no new keys are taken, and for how long at the least; 0: they are.
func (h *Replica) Unavailable(now int64) (back int64, why string) {
	switch {
	case h.table == nil || h.self() == nil:
		return h.cfg.QuorumTimeout, "this runner is in no table yet"
	case now-h.quorumContact > h.cfg.QuorumTimeout:
		return h.cfg.QuorumTimeout, "the consensus group is not heard"
	}
	return 0, ""
}

// self is this runner's place in the table, in this life; nil: it has none.
func (h *Replica) self() *placement.Member {
	if m := h.table.Member(h.cfg.Name); m != nil && m.Incarnation == h.cfg.Incarnation {
		return m
	}
	return nil
}

// Lookup tells the slot of a name, for how long that takes nothing new, whether it is held here, and
// what is held of the name.
func (h *Replica) Lookup(
	name store.KeyName,
	now int64,
) (slot int, quiet int64, held bool, r *store.Record, left int64) {
	if h.table == nil {
		return 0, 0, false, nil, 0
	}
	slot = h.table.SlotOf(name.Class + "\x00" + name.Tenant + "\x00" + name.Key)
	s := *h.slotAt(slot)
	if s == nil || !h.table.Slots[slot].Holds(h.cfg.Name) {
		return slot, 0, false, nil, 0
	}
	if quiet = s.quarantine.until - now; s.quarantine.epoch == 0 {
		quiet = 0
	}
	if it := s.items[name]; it != nil {
		return slot, max(quiet, 0), true, &it.record, it.expiresAt - now
	}
	return slot, max(quiet, 0), true, nil, 0
}

// ownerAlive tells whether the process that began a run is there.
func (h *Replica) ownerAlive(r *store.Record) bool {
	return h.table.ProcessAlive(uint32(r.Owner >> 32))
}

// drainLoopback has what a holder says to itself heard, and what is kept told.
func (h *Replica) drainLoopback(now int64) {
	h.now = max(h.now, now)
	for len(h.loopback) > 0 {
		m := h.loopback[0]
		h.loopback = h.loopback[1:]
		h.dispatch(&m)
	}
}

func (h *Replica) send(m Message) {
	h.lastSerial++
	m.From, m.Incarnation, m.Serial = h.cfg.Name, h.cfg.Incarnation, h.lastSerial
	if m.To == h.cfg.Name {
		h.loopback = append(h.loopback, m)
		return
	}
	h.outbox = append(h.outbox, m)
}

// SetTable takes a newer table.
func (h *Replica) SetTable(t *placement.Table, now int64) {
	if h.table != nil && t.Version <= h.table.Version {
		return
	}
	h.now = max(h.now, now)
	h.table = t
	in := h.self()
	for i := range t.Slots {
		h.applySlot(i, &t.Slots[i], in != nil)
	}
	for _, a := range h.pending { // whoever was asked may not be the one any more
		a.nextSend = min(a.nextSend, h.now)
	}
	h.sendPending()
	h.drainLoopback(now)
}

// applySlot takes what a table says of a slot.
func (h *Replica) applySlot(i int, t *placement.Slot, in bool) {
	s := *h.slotAt(i)
	if !in || !t.Holds(h.cfg.Name) {
		// What it held is not asked for any more; if it is to hold the slot again it is brought up.
		// A word of a primary of a later epoch may have come before this table.
		if s != nil && s.epoch <= t.Epoch && in {
			*h.slotAt(i) = nil
		} else if s != nil {
			s.isPrimary = false
		}
		return
	}
	if s == nil {
		s = newSlot()
		*h.slotAt(i) = s
	}
	leads := t.Primary() == h.cfg.Name
	if t.EmptyEpoch != s.quarantine.epoch {
		s.quarantine.epoch = t.EmptyEpoch
		s.quarantine.until = h.now + h.cfg.KeyWindow + readGrace
		// it begins with nothing: what a disk of its had is not known to be all
		if t.EmptyEpoch == t.Epoch && leads {
			s.reset()
		}
	}
	if t.Epoch < s.epoch {
		return
	}
	if t.Epoch > s.epoch || leads != s.isPrimary {
		s.epoch = t.Epoch
		s.followers = map[string]*follower{}
		if !leads {
			s.commitWaiters = nil
		}
	}
	if s.isPrimary = leads; !leads {
		return
	}
	for name := range s.followers {
		if !t.Holds(name) {
			delete(s.followers, name)
		}
	}
	for _, names := range [][]string{t.Replicas, t.Joining} {
		for _, name := range names {
			if life := h.table.Member(name).Incarnation; name != h.cfg.Name &&
				(s.followers[name] == nil || s.followers[name].incarnation != life) {
				s.followers[name] = &follower{incarnation: life, lastActive: h.now}
				h.send(Message{Type: MsgProbe, To: name, Slot: i, Epoch: s.epoch})
			}
		}
	}
	for _, it := range s.watchedItems() { // its process may be gone
		h.notifyWatchers(i, it)
	}
	h.advance(i, s)
}

// Receive takes a message of a peer.
func (h *Replica) Receive(m *Message, now int64) {
	h.now = max(h.now, now)
	h.dispatch(m)
	h.drainLoopback(now)
}

func (h *Replica) dispatch(m *Message) {
	// it holds nothing in this life yet
	if h.table == nil || m.Slot < 0 || m.Slot >= len(h.table.Slots) || h.self() == nil {
		return
	}
	switch m.Type {
	case MsgPut:
		h.handlePut(m)
	case MsgPutResp:
		h.handlePutResponse(m)
	case MsgProbe, MsgAppend:
		h.handleAppend(m)
	case MsgProbeResp, MsgAppendResp:
		h.handleFollowerResponse(m)
	}
}

// handleAppend hears a primary. An older epoch's is not answered.
func (h *Replica) handleAppend(m *Message) {
	t, s := &h.table.Slots[m.Slot], *h.slotAt(m.Slot)
	if m.Epoch < t.Epoch || s != nil && m.Epoch < s.epoch {
		return
	}
	if s == nil {
		s = newSlot()
		*h.slotAt(m.Slot) = s
	}
	if m.Epoch > s.epoch { // the table that says so is on its way
		s.epoch, s.isPrimary, s.commitWaiters = m.Epoch, false, nil
	}
	if s.isPrimary || m.Epoch == t.Epoch && t.Primary() != m.From ||
		s.newest.from == m.From && s.newest.life == m.Incarnation && s.newest.no >= m.Serial {
		return
	}
	s.newest.from, s.newest.life, s.newest.no = m.From, m.Incarnation, m.Serial
	if m.Type == MsgProbe || !m.Reset && m.Base > s.lastSeq { // there is a gap
		h.send(
			Message{Type: MsgProbeResp, To: m.From, Slot: m.Slot, Epoch: s.epoch, Base: s.lastEpoch, Seq: s.lastSeq},
		)
		return
	}
	if m.Reset {
		s.reset()
	}
	s.quarantine.until = h.now + m.Quarantine
	for _, e := range m.Entries {
		if e.Seq > s.lastSeq {
			s.store(e, h.now+e.Remaining)
		}
	}
	if m.EpochStarts != nil { // records that were made and are over leave no other trace of their epochs
		s.epochStarts, s.lastEpoch = slices.Clone(m.EpochStarts), m.EpochStarts[len(m.EpochStarts)-1].Epoch
	}
	s.lastSeq = max(s.lastSeq, m.Seq)
	h.send(Message{Type: MsgAppendResp, To: m.From, Slot: m.Slot, Epoch: s.epoch, Seq: s.lastSeq})
}

// handleFollowerResponse hears a holder, as the primary.
func (h *Replica) handleFollowerResponse(m *Message) {
	s := *h.slotAt(m.Slot)
	if s == nil || !s.isPrimary || m.Epoch != s.epoch {
		return
	}
	p := s.followers[m.From]
	if p == nil || p.incarnation != m.Incarnation { // its disk may have gone with its life
		return
	}
	p.lastActive = h.now
	if m.Type == MsgProbeResp {
		first := !p.probed
		reset := !s.isPrefix(m.Base, m.Seq)
		if p.ackedSeq = m.Seq; reset {
			p.ackedSeq = 0
		}
		p.probed, p.sentSeq = true, p.ackedSeq
		p.needsReset, p.needsAppend = p.needsReset || reset, p.needsAppend || first
		h.catchUp(m.Slot, s, m.From, p)
	} else if p.probed {
		p.ackedSeq = max(p.ackedSeq, min(m.Seq, s.lastSeq))
		h.catchUp(m.Slot, s, m.From, p)
	}
	h.advance(m.Slot, s)
}

// catchUp sends a holder what it lacks, a chunk at a time. Who is joining counts for nothing and
// waits for its turn; without all others nothing is kept, and they are sent theirs at once.
func (h *Replica) catchUp(i int, s *slot, name string, p *follower) {
	if p.sentSeq >= s.lastSeq && !p.needsReset && !p.needsAppend {
		return
	}
	joins := h.cfg.CatchUpRate > 0 && !p.caughtUp && slices.Contains(h.table.Slots[i].Joining, name)
	most := maxAppendBytes
	if joins {
		if h.catchUpBudget <= 0 {
			p.needsAppend = true
			return
		}
		most = int(min(h.catchUpBudget, maxAppendBytes))
	}
	entries, upTo := s.entriesAfter(p.sentSeq, h.now, most)
	m := Message{
		Type:       MsgAppend,
		To:         name,
		Slot:       i,
		Epoch:      s.epoch,
		Base:       p.sentSeq,
		Seq:        upTo,
		Reset:      p.needsReset,
		Entries:    entries,
		Quarantine: max(s.quarantine.until-h.now, 0),
	}
	for _, e := range s.epochStarts {
		if e.FirstSeq <= upTo {
			m.EpochStarts = append(m.EpochStarts, e)
		}
	}
	for _, e := range entries {
		size := int64(recordSize(e.Record))
		if h.CatchUpBytes += size; joins {
			h.catchUpBudget -= size
		}
	}
	p.sentSeq, p.lastActive, p.needsReset, p.needsAppend = upTo, h.now, false, false
	h.send(m)
}

// refillCatchUpBudget lets more go to those who are joining: what came of the time that went by, and not more
// than a quarter of a second is good for.
func (h *Replica) refillCatchUpBudget() {
	h.catchUpBudget = min(h.catchUpBudget+h.cfg.CatchUpRate*(h.now-h.budgetRefilledAt)/1_000_000, h.cfg.CatchUpRate/4)
	h.budgetRefilledAt = h.now
}

// advance tells who waits what is kept, and the consensus group who has all.
func (h *Replica) advance(i int, s *slot) {
	t := &h.table.Slots[i]
	if !s.isPrimary || t.Epoch != s.epoch {
		return
	}
	others := slices.ContainsFunc(s.requiredFollowers(t), func(p *follower) bool { return !p.probed })
	for name, p := range s.sortedFollowers() {
		if m := h.table.Member(name); slices.Contains(t.Joining, name) && p.probed && p.ackedSeq >= s.lastSeq &&
			!others {
			p.caughtUp = true
			h.changes = append(
				h.changes,
				placement.Change{Kind: placement.ChangeCaughtUp, Member: *m, Slot: i, Epoch: s.epoch},
			)
		}
	}
	seq, open := s.committed(t)
	if !open {
		return
	}
	rest := s.commitWaiters[:0]
	var due []commitWaiter
	for _, w := range s.commitWaiters {
		if w.seq <= seq {
			due = append(due, w)
		} else {
			rest = append(rest, w)
		}
	}
	s.commitWaiters = rest
	for _, w := range due {
		w.fn()
	}
}

// Tick says again what had no answer, gives up what is late, and forgets what is over.
func (h *Replica) Tick(now int64) {
	h.now = max(h.now, now)
	if h.table == nil {
		return
	}
	h.refillCatchUpBudget()
	h.HeldBytes = 0
	for _, s := range h.slots {
		if s != nil {
			h.HeldBytes += s.bytes
		}
	}
	for i, s := range h.slots {
		if s == nil || !s.isPrimary {
			continue
		}
		for name, p := range s.sortedFollowers() {
			switch {
			case p.probed && p.needsAppend:
				h.catchUp(i, s, name, p)
			case h.now-p.lastActive < resendInterval:
			case !p.probed:
				p.lastActive = h.now
				h.send(Message{Type: MsgProbe, To: name, Slot: i, Epoch: s.epoch})
			case p.ackedSeq < s.lastSeq:
				p.sentSeq = p.ackedSeq
				h.catchUp(i, s, name, p)
			}
		}
		h.advance(i, s)
	}
	if h.now >= h.lastSweep+sweepInterval {
		h.lastSweep = h.now
		for _, s := range h.slots {
			if s != nil {
				s.removeExpired(h.now-readGrace, h.ownerAlive)
			}
		}
	}
	h.sendPending()
	h.drainLoopback(now)
}
