package lease

import (
	"maps"
	"math"
	"slices"
	"time"

	"ryepaddle/internal/peers/placement"
)

const (
	// maxConfirmations bounds the confirmations whose table this runner does not have yet.
	maxConfirmations = 8
	// never is earlier than all times of a clock. Its distance from the lowest duration lets differences
	// to it be computed without overflow.
	never time.Duration = math.MinInt64 / 2
)

// Grant is a lease that this runner may rely on until ExpiresAt by its own clock.
type Grant struct {
	Lease     string
	Token     uint64 // the fencing token
	ExpiresAt time.Duration
	Handover  []byte // what the previous holder left; nil: nothing
}

// Holder tracks the leases that a runner holds, and proposes their releases and handovers.
type Holder struct {
	name        string
	incarnation uint64
	table       *placement.Table // nil: none is known yet
	// confirmedAt is the newest time at which this runner asked a leader that was then confirmed, and
	// whose table was no newer than this runner's.
	confirmedAt   time.Duration
	confirmations []confirmation            // those whose table this runner does not have yet
	released      map[string]uint64         // the tokens under which leases were released, by lease
	pending       map[string]*pendingChange // by lease
	seq           uint64                    // the sequence number of this holder's last change
}

// confirmation tells that a quorum confirmed the leader after this runner had asked at askedAt, and
// which version the leader's table had.
type confirmation struct {
	askedAt      time.Duration
	tableVersion uint64
}

// pendingChange is a change that is proposed repeatedly until the table shows whether it was
// committed.
type pendingChange struct {
	change placement.Change
	sentAt time.Duration
	done   func(ok bool) // called once the change is committed or can no longer be; may be nil
}

// finish calls done, if there is one, with whether the change was committed.
func (p *pendingChange) finish(ok bool) {
	if p.done != nil {
		p.done(ok)
	}
}

// NewHolder returns the holder of a runner in the given incarnation of its membership.
func NewHolder(name string, incarnation uint64) *Holder {
	return &Holder{
		name:        name,
		incarnation: incarnation,
		confirmedAt: never,
		released:    map[string]uint64{},
		pending:     map[string]*pendingChange{},
	}
}

// Renew starts another incarnation of this runner's membership, which holds none of the leases of the
// earlier one.
func (h *Holder) Renew(incarnation uint64) {
	h.incarnation = incarnation
	h.confirmedAt = never
	h.confirmations = nil
	h.SetTable(h.table)
}

// ConfirmLeader records that a quorum confirmed the leader after this runner had asked at askedAt, and
// the version of the leader's table. Leases are renewed once this runner has that table: it may have
// lost them by a change that it does not have yet.
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

// SetTable replaces the table by a newer one, and finishes the pending changes whose outcome it shows.
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

// outcome reports whether a change was committed, and whether the table shows that yet.
func (h *Holder) outcome(l *placement.Lease, c *placement.Change) (committed, settled bool) {
	holds := l != nil && l.Token == c.Token && l.Holder == h.name && l.Incarnation == h.incarnation
	if holds && l.Seq < c.Epoch {
		return false, false
	}
	if c.Kind != placement.ChangeReleaseLease {
		return holds, true
	}
	// Another member may hold the lease already. If this runner lost the lease instead of releasing it,
	// the lease has an expiration of this runner.
	gone := l != nil && (l.Token != c.Token || l.Holder == "")
	return gone && expirationCount(l, h.name) == 0, true
}

// HeldLeases returns the leases that this runner may rely on now, sorted by name.
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
// Done, which may be nil, is called with whether the release was committed before the lease was lost.
func (h *Holder) Release(name string, handover []byte, done func(ok bool)) {
	l := h.ownLease(name, handover)
	if l == nil {
		reject(done)
		return
	}
	h.released[name] = l.Token
	h.enqueue(placement.ChangeReleaseLease, l, handover, done)
}

// SetHandover proposes the handover that the next holder finds if this runner is lost. Done, which may
// be nil, is called with whether the handover was committed while this runner held the lease. A
// pending change of the lease is replaced: its done is called with false, although the change may
// still be committed.
func (h *Holder) SetHandover(name string, handover []byte, done func(ok bool)) {
	l := h.ownLease(name, handover)
	if l == nil || h.released[name] == l.Token {
		reject(done)
		return
	}
	h.enqueue(placement.ChangeSetHandover, l, handover, done)
}

// reject calls done, if there is one, to report that a change was not committed.
func reject(done func(ok bool)) {
	if done != nil {
		done(false)
	}
}

// ownLease returns the lease of that name if this runner holds it according to the table and the
// handover is within MaxHandoverBytes, and nil otherwise.
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

// PendingChanges returns the pending changes that are due to be proposed (again), and records them as
// sent.
func (h *Holder) PendingChanges(now time.Duration) (changes []placement.Change) {
	for _, name := range slices.Sorted(maps.Keys(h.pending)) {
		if p := h.pending[name]; now-p.sentAt >= resendInterval {
			p.sentAt = now
			changes = append(changes, p.change)
		}
	}
	return changes
}

// HasUnsentChanges reports whether there is a change that PendingChanges has not returned yet.
func (h *Holder) HasUnsentChanges() bool {
	for _, p := range h.pending {
		if p.sentAt == never {
			return true
		}
	}
	return false
}

// HasPendingChanges reports whether there is a change that is not settled yet.
func (h *Holder) HasPendingChanges() bool { return len(h.pending) > 0 }
