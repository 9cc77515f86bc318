package lease

import (
	"maps"
	"math"
	"slices"
	"time"

	"ryepaddle/internal/peers/placement"
)

const (
	// maxConfirmations bounds the confirmations whose table is not here yet.
	maxConfirmations = 8
	// never is before all instants of a clock, and far enough from the lowest one for differences.
	never time.Duration = math.MinInt64 / 2
)

// Grant is a lease that a runner may rely on until a time of its clock.
type Grant struct {
	Lease     string
	Token     uint64
	ExpiresAt time.Duration
	Handover  []byte // from the holder before
}

// Holder is the part of a runner that may hold leases.
type Holder struct {
	name        string
	incarnation uint64
	table       *placement.Table // nil: none is known yet
	// confirmedAt is the newest time at which this runner asked a leader that was confirmed with no
	// newer table than is known here.
	confirmedAt   time.Duration
	confirmations []confirmation // whose tables are not known here yet
	released      map[string]uint64
	pending       map[string]*pendingChange // by lease
	seq           uint64                    // of the last change
}

// confirmation says that the leader was confirmed after this runner asked, with that version of the
// table.
type confirmation struct {
	askedAt      time.Duration
	tableVersion uint64
}

// pendingChange is a change that is proposed until the table has it.
type pendingChange struct {
	change placement.Change
	sentAt time.Duration
	done   func(ok bool) // is called once it is committed, or cannot be any more; may be nil
}

// finish reports whether the change was committed.
func (p *pendingChange) finish(ok bool) {
	if p.done != nil {
		p.done(ok)
	}
}

// NewHolder returns the holder of a runner in one incarnation of its membership.
func NewHolder(name string, incarnation uint64) *Holder {
	return &Holder{
		name:        name,
		incarnation: incarnation,
		confirmedAt: never,
		released:    map[string]uint64{},
		pending:     map[string]*pendingChange{},
	}
}

// Renew begins another incarnation of this runner's membership.
func (h *Holder) Renew(incarnation uint64) {
	h.incarnation = incarnation
	h.confirmedAt = never
	h.confirmations = nil
	h.SetTable(h.table)
}

// ConfirmLeader notes that the leader was confirmed after this runner asked at askedAt, with that
// version of the table. Leases are renewed once the runner knows that table: it may have lost them
// by a change that it does not know yet.
func (h *Holder) ConfirmLeader(askedAt time.Duration, tableVersion uint64) {
	h.confirmations = append(h.confirmations, confirmation{askedAt, tableVersion})
	if len(h.confirmations) > maxConfirmations {
		h.confirmations = h.confirmations[1:]
	}
	h.applyConfirmations()
}

func (h *Holder) applyConfirmations() {
	h.confirmations = slices.DeleteFunc(h.confirmations, func(c confirmation) bool {
		known := h.table != nil && c.tableVersion <= h.table.Version
		if known {
			h.confirmedAt = max(h.confirmedAt, c.askedAt)
		}
		return known
	})
}

// SetTable takes a newer table.
func (h *Holder) SetTable(t *placement.Table) {
	h.table = t
	h.applyConfirmations()
	if t == nil {
		return
	}
	maps.DeleteFunc(h.released, func(name string, token uint64) bool {
		l := t.Lease(name)
		return l == nil || l.Token != token || l.Holder != h.name
	})
	for _, name := range slices.Sorted(maps.Keys(h.pending)) {
		p := h.pending[name]
		if committed, settled := h.outcome(t.Lease(name), &p.change); settled {
			delete(h.pending, name)
			p.finish(committed)
		}
	}
}

// outcome reports whether a change was committed, once that is settled by the table.
func (h *Holder) outcome(l *placement.Lease, c *placement.Change) (committed, settled bool) {
	holds := l != nil && l.Token == c.Token && l.Holder == h.name && l.Incarnation == h.incarnation
	if holds && l.Seq < c.Epoch {
		return false, false
	}
	if c.Kind != placement.ChangeReleaseLease {
		return holds, true
	}
	// Another member may hold the lease already. One that lost it has an expiration.
	gone := l != nil && (l.Token != c.Token || l.Holder == "")
	return gone && expirationCount(l, h.name) == 0, true
}

// HeldLeases returns the leases that this runner may rely on now, by name.
func (h *Holder) HeldLeases(now time.Duration) (grants []Grant) {
	if h.table == nil {
		return nil
	}
	for i := range h.table.Leases {
		l := &h.table.Leases[i]
		if l.Holder != h.name || l.Incarnation != h.incarnation || h.released[l.Name] == l.Token {
			continue
		}
		askedAt := h.confirmedAt
		if l.AskedAt > 0 {
			askedAt = max(askedAt, l.AskedAt.Duration())
		}
		if expiresAt := askedAt + TTL - ClockMargin; now < expiresAt {
			grants = append(grants, Grant{l.Name, l.Token, expiresAt, l.Handover})
		}
	}
	return grants
}

// Release stops relying on a lease and proposes its release, with a handover for the next holder.
// Done is called with whether that was committed before another member held the lease; it may be
// nil.
func (h *Holder) Release(name string, handover []byte, done func(ok bool)) {
	l := h.ownLease(name, handover)
	if l == nil {
		reject(done)
		return
	}
	h.released[name] = l.Token
	h.enqueue(placement.ChangeReleaseLease, l, handover, done)
}

// SetHandover proposes a handover for the next holder, should this one be lost. Done is called with
// whether it was committed while this runner held the lease. It replaces a change that is pending;
// that one's done is called with false, though it may be committed.
func (h *Holder) SetHandover(name string, handover []byte, done func(ok bool)) {
	l := h.ownLease(name, handover)
	if l == nil || h.released[name] == l.Token {
		reject(done)
		return
	}
	h.enqueue(placement.ChangeSetHandover, l, handover, done)
}

// reject tells the caller of a change that it was not committed.
func reject(done func(ok bool)) {
	if done != nil {
		done(false)
	}
}

// ownLease returns a lease that this runner holds by the table, or nil if it does not or the
// handover is too large.
func (h *Holder) ownLease(name string, handover []byte) *placement.Lease {
	if h.table == nil || len(handover) > placement.MaxHandoverBytes {
		return nil
	}
	if l := h.table.Lease(name); l != nil && l.Holder == h.name && l.Incarnation == h.incarnation {
		return l
	}
	return nil
}

func (h *Holder) enqueue(kind placement.ChangeKind, l *placement.Lease, handover []byte, done func(bool)) {
	if p := h.pending[l.Name]; p != nil {
		p.finish(false)
	}
	h.seq++
	change := placement.Change{
		Kind:     kind,
		Member:   placement.Member{Name: h.name, Incarnation: h.incarnation},
		Lease:    l.Name,
		Token:    l.Token,
		Handover: handover,
		Epoch:    h.seq,
	}
	h.pending[l.Name] = &pendingChange{change, never, done}
}

// PendingChanges returns the changes that are to be proposed now, and notes them as sent.
func (h *Holder) PendingChanges(now time.Duration) (changes []placement.Change) {
	for _, name := range slices.Sorted(maps.Keys(h.pending)) {
		if p := h.pending[name]; now-p.sentAt >= resendInterval {
			p.sentAt = now
			changes = append(changes, p.change)
		}
	}
	return changes
}

// HasUnsentChanges reports whether a change was not returned by PendingChanges yet.
func (h *Holder) HasUnsentChanges() bool {
	for _, p := range h.pending {
		if p.sentAt == never {
			return true
		}
	}
	return false
}

// HasPendingChanges reports whether a change is not settled yet.
func (h *Holder) HasPendingChanges() bool { return len(h.pending) > 0 }
