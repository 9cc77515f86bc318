package replication

import (
	"slices"

	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/peers/placement"
)

// Times are microseconds.
const (
	lateRead  = 10_000_000 // how long after its window a key may be asked for
	resend    = 100_000    // after which what had no answer is said again
	againIn   = 20_000     // after which a primary that could not yet is asked again
	sweepTime = 1_000_000
	fullFor   = 1_000_000 // after which a key that found no room may come again
	chunk     = 256 << 10 // bytes of records in one message
)

// Errors of an ask.
var (
	ErrTimeout     error = slow.New("replication: its copies were not to be had in time")
	ErrUnavailable error = shut.New("replication: nothing new is taken")
	ErrConflict    error = denied.New("replication: another try of the key is kept")
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

// asked is an ask that is under way.
type asked struct {
	id       uint64
	slot     int
	record   *store.Record
	until    int64 // of the record's window
	late     int64 // when its asker gives up
	lost     int64 // when it is not said any more
	next     int64 // when it is said again
	told     bool  // its asker has had an answer
	watching bool  // for the end of another's run
	done     func(Result)
}

// Replica is one runner's part.
type Replica struct {
	cfg          Config
	table        *placement.Table
	slots        []*slot // nil: it is not held
	asks         map[uint64]*asked
	next         uint64
	sent         uint64
	heard        int64 // the consensus group
	swept        int64
	now          int64
	HeldBytes    int   // of the records that are held, about, as of the last tick
	CatchUpBytes int64 // bytes of records that were sent to bring holders up
	room         int64 // bytes that may go to those who are joining now
	filled       int64 // when that was looked at last
	out          []Message
	inbox        []Message // to itself
	change       []placement.Change
}

// New is a holder that knows no table yet. Saved is what its disk has, if anything: it counts for
// nothing, and saves sending.
func New(cfg Config, saved []SlotSnapshot, now int64) *Replica {
	// Asks of another life of this name may still be answered: no number is used in two lives.
	h := &Replica{
		cfg:   cfg,
		next:  cfg.Incarnation * 0x9e3779b97f4a7c15,
		asks:  map[uint64]*asked{},
		heard: now - cfg.QuorumTimeout - 1,
		now:   now,
	}
	for _, v := range saved {
		*h.place(v.Slot) = v.slot(now)
	}
	return h
}

// place is where a slot is held.
func (h *Replica) place(i int) **slot {
	for len(h.slots) <= i {
		h.slots = append(h.slots, nil)
	}
	return &h.slots[i]
}

// TakeMessages gives what is to be sent, and Changes what is to be said to the consensus group.
func (h *Replica) TakeMessages() []Message {
	out := h.out
	h.out = nil
	return out
}

// TakeChanges are what the consensus group is to be told. They may be told more than once.
func (h *Replica) TakeChanges() []placement.Change {
	c := h.change
	h.change = nil
	return c
}

// Rejoin is another life of the membership of a process that was held for lost and goes on. What it
// held is not known to be all any more; what it asked for goes on.
func (h *Replica) Rejoin(life uint64) {
	h.cfg.Incarnation = life
	for _, s := range h.slots {
		if s != nil {
			s.leads, s.peers, s.waiters = false, nil, nil
		}
	}
}

// IsMember tells whether the table has this runner, in this life.
func (h *Replica) IsMember() bool { return h.table != nil && h.in() != nil }

// RecordQuorumContact tells that the consensus group was heard.
func (h *Replica) RecordQuorumContact(now int64) { h.heard = max(h.heard, now) }

// Unavailable tells why no new keys are taken, and for how long at the least; 0: they are.
func (h *Replica) Unavailable(now int64) (back int64, why string) {
	switch {
	case h.table == nil || h.in() == nil:
		return h.cfg.QuorumTimeout, "this runner is in no table yet"
	case now-h.heard > h.cfg.QuorumTimeout:
		return h.cfg.QuorumTimeout, "the consensus group is not heard"
	}
	return 0, ""
}

// in is this runner's place in the table, in this life; nil: it has none.
func (h *Replica) in() *placement.Member {
	if m := h.table.Member(h.cfg.Name); m != nil && m.Life == h.cfg.Incarnation {
		return m
	}
	return nil
}

// Lookup tells the slot of a name, for how long that takes nothing new, whether it is held here, and
// what is held of the name.
func (h *Replica) Lookup(
	name store.Name,
	now int64,
) (slot int, quiet int64, held bool, r *store.Record, left int64) {
	if h.table == nil {
		return 0, 0, false, nil, 0
	}
	slot = h.table.SlotOf(name.Class + "\x00" + name.Tenant + "\x00" + name.Key)
	s := *h.place(slot)
	if s == nil || !h.table.Slots[slot].Holds(h.cfg.Name) {
		return slot, 0, false, nil, 0
	}
	if quiet = s.quiet.until - now; s.quiet.epoch == 0 {
		quiet = 0
	}
	if it := s.items[name]; it != nil {
		return slot, max(quiet, 0), true, &it.record, it.until - now
	}
	return slot, max(quiet, 0), true, nil, 0
}

// lives tells whether the process that began a run is there.
func (h *Replica) lives(r *store.Record) bool { return h.table.ProcessAlive(uint32(r.Owner >> 32)) }

// step has what a holder says to itself heard, and what is kept told.
func (h *Replica) step(now int64) {
	h.now = max(h.now, now)
	for len(h.inbox) > 0 {
		m := h.inbox[0]
		h.inbox = h.inbox[1:]
		h.receive(&m)
	}
}

func (h *Replica) send(m Message) {
	h.sent++
	m.From, m.Life, m.No = h.cfg.Name, h.cfg.Incarnation, h.sent
	if m.To == h.cfg.Name {
		h.inbox = append(h.inbox, m)
		return
	}
	h.out = append(h.out, m)
}

// SetTable takes a newer table.
func (h *Replica) SetTable(t *placement.Table, now int64) {
	if h.table != nil && t.Version <= h.table.Version {
		return
	}
	h.now = max(h.now, now)
	h.table = t
	in := h.in()
	for i := range t.Slots {
		h.adopt(i, &t.Slots[i], in != nil)
	}
	for _, a := range h.asks { // whoever was asked may not be the one any more
		a.next = min(a.next, h.now)
	}
	h.say()
	h.step(now)
}

// adopt takes what a table says of a slot.
func (h *Replica) adopt(i int, t *placement.Slot, in bool) {
	s := *h.place(i)
	if !in || !t.Holds(h.cfg.Name) {
		// What it held is not asked for any more; if it is to hold the slot again it is brought up.
		// A word of a primary of a later epoch may have come before this table.
		if s != nil && s.epoch <= t.Epoch && in {
			*h.place(i) = nil
		} else if s != nil {
			s.leads = false
		}
		return
	}
	if s == nil {
		s = newSlot()
		*h.place(i) = s
	}
	leads := t.Primary() == h.cfg.Name
	if t.Quiet != s.quiet.epoch {
		s.quiet.epoch = t.Quiet
		s.quiet.until = h.now + h.cfg.KeyWindow + lateRead
		// it begins with nothing: what a disk of its had is not known to be all
		if t.Quiet == t.Epoch && leads {
			s.clear()
		}
	}
	if t.Epoch < s.epoch {
		return
	}
	if t.Epoch > s.epoch || leads != s.leads {
		s.epoch = t.Epoch
		s.peers = map[string]*peer{}
		if !leads {
			s.waiters = nil
		}
	}
	if s.leads = leads; !leads {
		return
	}
	for name := range s.peers {
		if !t.Holds(name) {
			delete(s.peers, name)
		}
	}
	for _, names := range [][]string{t.Set, t.Joining} {
		for _, name := range names {
			if life := h.table.Member(name).Life; name != h.cfg.Name &&
				(s.peers[name] == nil || s.peers[name].life != life) {
				s.peers[name] = &peer{life: life, at: h.now}
				h.send(Message{Kind: MsgProbe, To: name, Slot: i, Epoch: s.epoch})
			}
		}
	}
	for _, it := range s.awaited() { // its process may be gone
		h.tellWatchers(i, it)
	}
	h.settle(i, s)
}

// Receive takes a message of a peer.
func (h *Replica) Receive(m *Message, now int64) {
	h.now = max(h.now, now)
	h.receive(m)
	h.step(now)
}

func (h *Replica) receive(m *Message) {
	// it holds nothing in this life yet
	if h.table == nil || m.Slot < 0 || m.Slot >= len(h.table.Slots) || h.in() == nil {
		return
	}
	switch m.Kind {
	case MsgPut:
		h.asked(m)
	case MsgPutResp:
		h.told(m)
	case MsgProbe, MsgAppend:
		h.follow(m)
	case MsgProbeResp, MsgAppendResp:
		h.followed(m)
	}
}

// follow hears a primary. An older epoch's is not answered.
func (h *Replica) follow(m *Message) {
	t, s := &h.table.Slots[m.Slot], *h.place(m.Slot)
	if m.Epoch < t.Epoch || s != nil && m.Epoch < s.epoch {
		return
	}
	if s == nil {
		s = newSlot()
		*h.place(m.Slot) = s
	}
	if m.Epoch > s.epoch { // the table that says so is on its way
		s.epoch, s.leads, s.waiters = m.Epoch, false, nil
	}
	if s.leads || m.Epoch == t.Epoch && t.Primary() != m.From ||
		s.heard.from == m.From && s.heard.life == m.Life && s.heard.no >= m.No {
		return
	}
	s.heard.from, s.heard.life, s.heard.no = m.From, m.Life, m.No
	if m.Kind == MsgProbe || !m.Reset && m.Base > s.seq { // there is a gap
		h.send(
			Message{Kind: MsgProbeResp, To: m.From, Slot: m.Slot, Epoch: s.epoch, Base: s.last, Seq: s.seq},
		)
		return
	}
	if m.Reset {
		s.clear()
	}
	s.quiet.until = h.now + m.Quiet
	for _, e := range m.Entries {
		if e.Seq > s.seq {
			s.set(e, h.now+e.Left)
		}
	}
	if m.Eras != nil { // records that were made and are over leave no other trace of their epochs
		s.eras, s.last = slices.Clone(m.Eras), m.Eras[len(m.Eras)-1].Epoch
	}
	s.seq = max(s.seq, m.Seq)
	h.send(Message{Kind: MsgAppendResp, To: m.From, Slot: m.Slot, Epoch: s.epoch, Seq: s.seq})
}

// followed hears a holder, as the primary.
func (h *Replica) followed(m *Message) {
	s := *h.place(m.Slot)
	if s == nil || !s.leads || m.Epoch != s.epoch {
		return
	}
	p := s.peers[m.From]
	if p == nil || p.life != m.Life { // its disk may have gone with its life
		return
	}
	p.at = h.now
	if m.Kind == MsgProbeResp {
		first := !p.opened
		reset := !s.beginning(m.Base, m.Seq)
		if p.acked = m.Seq; reset {
			p.acked = 0
		}
		p.opened, p.sent = true, p.acked
		p.reset, p.owed = p.reset || reset, p.owed || first
		h.bringUp(m.Slot, s, m.From, p)
	} else if p.opened {
		p.acked = max(p.acked, min(m.Seq, s.seq))
		h.bringUp(m.Slot, s, m.From, p)
	}
	h.settle(m.Slot, s)
}

// bringUp sends a holder what it lacks, a chunk at a time. Who is joining counts for nothing and
// waits for its turn; without all others nothing is kept, and they are sent theirs at once.
func (h *Replica) bringUp(i int, s *slot, name string, p *peer) {
	if p.sent >= s.seq && !p.reset && !p.owed {
		return
	}
	joins := h.cfg.CatchUpRate > 0 && !p.whole && slices.Contains(h.table.Slots[i].Joining, name)
	most := chunk
	if joins {
		if h.room <= 0 {
			p.owed = true
			return
		}
		most = int(min(h.room, chunk))
	}
	entries, upTo := s.after(p.sent, h.now, most)
	m := Message{
		Kind:    MsgAppend,
		To:      name,
		Slot:    i,
		Epoch:   s.epoch,
		Base:    p.sent,
		Seq:     upTo,
		Reset:   p.reset,
		Entries: entries,
		Quiet:   max(s.quiet.until-h.now, 0),
	}
	for _, e := range s.eras {
		if e.First <= upTo {
			m.Eras = append(m.Eras, e)
		}
	}
	for _, e := range entries {
		size := int64(sizeOf(e.Record))
		if h.CatchUpBytes += size; joins {
			h.room -= size
		}
	}
	p.sent, p.at, p.reset, p.owed = upTo, h.now, false, false
	h.send(m)
}

// refill lets more go to those who are joining: what came of the time that went by, and not more
// than a quarter of a second is good for.
func (h *Replica) refill() {
	h.room = min(h.room+h.cfg.CatchUpRate*(h.now-h.filled)/1_000_000, h.cfg.CatchUpRate/4)
	h.filled = h.now
}

// settle tells who waits what is kept, and the consensus group who has all.
func (h *Replica) settle(i int, s *slot) {
	t := &h.table.Slots[i]
	if !s.leads || t.Epoch != s.epoch {
		return
	}
	others := slices.ContainsFunc(s.follows(t), func(p *peer) bool { return !p.opened })
	for name, p := range s.inOrder() {
		if m := h.table.Member(name); slices.Contains(t.Joining, name) && p.opened && p.acked >= s.seq &&
			!others {
			p.whole = true
			h.change = append(
				h.change,
				placement.Change{Kind: placement.ChangeCaughtUp, Member: *m, Slot: i, Epoch: s.epoch},
			)
		}
	}
	seq, open := s.kept(t)
	if !open {
		return
	}
	rest := s.waiters[:0]
	var due []waiter
	for _, w := range s.waiters {
		if w.seq <= seq {
			due = append(due, w)
		} else {
			rest = append(rest, w)
		}
	}
	s.waiters = rest
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
	h.refill()
	h.HeldBytes = 0
	for _, s := range h.slots {
		if s != nil {
			h.HeldBytes += s.bytes
		}
	}
	for i, s := range h.slots {
		if s == nil || !s.leads {
			continue
		}
		for name, p := range s.inOrder() {
			switch {
			case p.opened && p.owed:
				h.bringUp(i, s, name, p)
			case h.now-p.at < resend:
			case !p.opened:
				p.at = h.now
				h.send(Message{Kind: MsgProbe, To: name, Slot: i, Epoch: s.epoch})
			case p.acked < s.seq:
				p.sent = p.acked
				h.bringUp(i, s, name, p)
			}
		}
		h.settle(i, s)
	}
	if h.now >= h.swept+sweepTime {
		h.swept = h.now
		for _, s := range h.slots {
			if s != nil {
				s.expire(h.now-lateRead, h.lives)
			}
		}
	}
	h.say()
	h.step(now)
}
