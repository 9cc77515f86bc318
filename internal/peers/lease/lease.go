// Package lease decides who does what only one runner may do at a time, for how long a runner may
// believe that it is the one, and what comes of what a former one still does. It is free of I/O:
// tables, words of the consensus group's leader and times come in; grants, changes and refusals
// come out.
//
// Times are microseconds. A holder's are those of a clock that also counts the time for which its
// machine was suspended.
package lease

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"

	"ryepaddle/internal/peers/placement"
)

// Times of a lease. A holder believes for Lease from the instant before it asked, less Margin:
// clocks go apart by less than one part in a hundred. Whoever grants anew after a holder that may
// still believe waits for Lease and Margin from when it learned of that.
const (
	TTL            = 600_000
	ClockMargin    = 50_000 + TTL/100
	resendInterval = 300_000 // after which a change that is not in the table is said again
)

// Rule is what the file says of a duty.
type Rule struct {
	Name    string
	Zones   []string // preferred ones, the best first; members of others come after them
	Members []string // who may have it; empty: all
}

// Allows tells whether the file lets a member have it.
func (r *Rule) Allows(name string) bool {
	return len(r.Members) == 0 || slices.Contains(r.Members, name)
}

// Rules are what the file says of all duties.
type Rules struct {
	MaxPerMember int // that one member may hold
	// for so long who lost a duty without giving it back does not have it again; twice as long each
	// further time in a row
	ExpiryBackoff int64
	Rules         []Rule
}

// maxBackoffDoublings bounds the doubling of Again.
const maxBackoffDoublings = 7

// NamesFor are the duties that a member would take.
func (r *Rules) NamesFor(member string) (names []string) {
	for i := range r.Rules {
		if r.Rules[i].Allows(member) {
			names = append(names, r.Rules[i].Name)
		}
	}
	return names
}

// Granter is the part of the consensus group's leader.
type Granter struct {
	rules        Rules
	startedAt    uint64 // Unix seconds when this process began
	unheldSince  map[string]observation
	expiredSince map[string]observation   // by duty and member
	proposed     map[string]proposedGrant // grants that may be under way
}

// proposedGrant is a grant that was proposed.
type proposedGrant struct {
	member string
	observation
}

// observation is since when something stands so, as this leader knows.
type observation struct {
	value uint64
	since int64
}

// NewGranter is one that knows nothing of the past.
func NewGranter(rules Rules, born uint64) *Granter {
	g := &Granter{rules: rules, startedAt: born}
	g.Reset()
	return g
}

// Reset has it know nothing of the past, as when its runner begins to lead.
func (g *Granter) Reset() {
	g.unheldSince, g.expiredSince, g.proposed = map[string]observation{}, map[string]observation{}, map[string]proposedGrant{}
}

// SetRules takes those of another file.
func (g *Granter) SetRules(r Rules) { g.rules = r }

// observedSince notes in marks what stands now, and tells since when it has.
func observedSince(marks map[string]observation, name string, what uint64, now int64) int64 {
	if m, ok := marks[name]; ok && m.value == what {
		return m.since
	}
	marks[name] = observation{what, now}
	return now
}

// Grants are the changes by which duties that nobody holds come to members. Asked tells when a
// member asked last, by its own clock.
func (g *Granter) Grants(
	t *placement.Table,
	now int64,
	asked func(name string) int64,
) (changes []placement.Change) {
	if len(g.rules.Rules) == 0 {
		return nil
	}
	if t.BootstrapTime == 0 {
		return []placement.Change{{Kind: placement.ChangeBootstrap, Token: max(g.startedAt, 1)}}
	}
	does := map[string]int{}
	for _, m := range t.Members {
		does[m.Name] = t.LeaseCount(m.Name)
	}
	maps.DeleteFunc(g.proposed, func(name string, s proposedGrant) bool {
		d := t.Lease(name)
		return now-s.since >= resendInterval || d != nil && d.Token != s.value
	})
	for _, s := range g.proposed {
		does[s.member]++
	}
	for i := range g.rules.Rules {
		r := &g.rules.Rules[i]
		d := cmp.Or(t.Lease(r.Name), &placement.Lease{})
		for _, l := range d.Expirations { // noted while somebody else holds it, too
			observedSince(g.expiredSince, r.Name+"\x00"+l.Name, uint64(l.Count), now)
		}
		if _, ok := g.proposed[r.Name]; ok || d.Holder != "" {
			continue
		}
		if at := observedSince(g.unheldSince, r.Name, d.Token, now); d.Abrupt && now-at < TTL+ClockMargin {
			continue
		}
		if m := g.bestMember(t, r, d, does, now); m != nil {
			does[m.Name]++
			g.proposed[r.Name] = proposedGrant{m.Name, observation{d.Token, now}}
			changes = append(
				changes,
				placement.Change{
					Kind:    placement.ChangeGrantLease,
					Member:  placement.Member{Name: m.Name, Incarnation: m.Incarnation},
					Lease:   r.Name,
					Token:   d.Token,
					AskedAt: asked(m.Name),
				},
			)
		}
	}
	return changes
}

// bestMember is who is to have a duty; nil: nobody may now.
func (g *Granter) bestMember(
	t *placement.Table,
	r *Rule,
	d *placement.Lease,
	does map[string]int,
	now int64,
) (best *placement.Member) {
	var rank [5]uint64
	for i := range t.Members {
		m := &t.Members[i]
		if m.Incarnation == 0 || m.Leaving || !r.Allows(m.Name) || !slices.Contains(m.LeaseNames, r.Name) ||
			does[m.Name] >= g.rules.MaxPerMember {
			continue
		}
		times := 0
		if j := slices.IndexFunc(d.Expirations, func(l placement.Expiration) bool { return l.Name == m.Name }); j >= 0 {
			times = d.Expirations[j].Count
			if at := observedSince(g.expiredSince, r.Name+"\x00"+m.Name, uint64(times), now); now-at < g.rules.ExpiryBackoff<<min(
				times-1,
				maxBackoffDoublings,
			) {
				continue
			}
		}
		hall := slices.Index(r.Zones, m.Zone)
		if hall < 0 {
			hall = len(r.Zones)
		}
		left := uint64(0)
		if m.Name == d.ReleasedBy { // it may be about to go
			left = 1
		}
		k := [5]uint64{left, uint64(hall), uint64(does[m.Name]), uint64(times), hashRank(r.Name, m.Name)}
		if best == nil || slices.Compare(k[:], rank[:]) < 0 {
			best, rank = m, k
		}
	}
	return best
}

// hashRank is a number of a duty and a member, the same everywhere.
func hashRank(duty, member string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(duty + "\x00" + member)) // a hash takes all
	x := h.Sum64()
	// a hash of names that differ in their last letter differs little above
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	return x ^ x>>27
}

// Grant is a duty that a runner may do until a time of its clock.
type Grant struct {
	Lease     string
	Token     uint64
	ExpiresAt int64
	Handover  []byte // what the one before left
}

// Holder is the part of a runner that may hold duties.
type Holder struct {
	name        string
	incarnation uint64
	table       *placement.Table
	// asked then, and confirmed by a leader that knew no newer table than this runner does
	confirmedAt   int64
	confirmations []confirmation    // confirmed by one that did
	released      map[string]uint64 // tokens under which it does nothing any more
	pending       map[string]*pendingChange
	seq           uint64 // of the last change that it said
}

// confirmation is that of a leader which knew a version of the table when it confirmed what was asked at a
// time.
type confirmation struct {
	askedAt      int64
	tableVersion uint64
}

// maxConfirmations bounds the words that wait for their table.
const maxConfirmations = 8

// pendingChange is a change that is said until the table has it.
type pendingChange struct {
	change placement.Change
	sentAt int64
	done   func(ok bool) // called once it is agreed on, or can't be any more
}

// NewHolder is a runner in one life of its membership.
func NewHolder(name string, life uint64) *Holder {
	return &Holder{name: name, incarnation: life, confirmedAt: never, released: map[string]uint64{}, pending: map[string]*pendingChange{}}
}

// never is a time before all times.
const never = -1 << 62

// Renew is another life of this runner's membership.
func (h *Holder) Renew(life uint64) {
	h.incarnation, h.confirmedAt, h.confirmations = life, never, nil
	h.SetTable(h.table)
}

// ConfirmLeader takes the word of a leader that the consensus group still goes by it: what this runner
// asked at a time of its clock holds, if it knows the table that the leader knew by then. One that
// knows an older table may have lost its duties since.
func (h *Holder) ConfirmLeader(asked int64, version uint64) {
	if h.confirmations = append(h.confirmations, confirmation{asked, version}); len(h.confirmations) > maxConfirmations {
		h.confirmations = h.confirmations[1:]
	}
	h.applyConfirmations()
}

func (h *Holder) applyConfirmations() {
	h.confirmations = slices.DeleteFunc(h.confirmations, func(w confirmation) bool {
		known := h.table != nil && w.tableVersion <= h.table.Version
		if known {
			h.confirmedAt = max(h.confirmedAt, w.askedAt)
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
		d := t.Lease(name)
		return d == nil || d.Token != token || d.Holder != h.name
	})
	for _, name := range slices.Sorted(maps.Keys(h.pending)) {
		s := h.pending[name]
		d := t.Lease(name)
		mine := d != nil && d.Token == s.change.Token && d.Holder == h.name && d.Incarnation == h.incarnation
		if mine && d.Seq < s.change.Epoch {
			continue // still on its way
		}
		if s.change.Kind == placement.ChangeReleaseLease { // somebody may have it already; who lost it is noted
			mine = d != nil && (d.Token != s.change.Token || d.Holder == "") &&
				!slices.ContainsFunc(d.Expirations, func(l placement.Expiration) bool { return l.Name == h.name })
		}
		delete(h.pending, name)
		if s.done != nil {
			s.done(mine)
		}
	}
}

// HeldLeases are the duties that this runner may do now, by name.
func (h *Holder) HeldLeases(now int64) (grants []Grant) {
	if h.table == nil {
		return nil
	}
	for i := range h.table.Leases {
		d := &h.table.Leases[i]
		if d.Holder != h.name || d.Incarnation != h.incarnation || h.released[d.Name] == d.Token {
			continue
		}
		asked := h.confirmedAt
		if d.AskedAt > 0 {
			asked = max(asked, d.AskedAt)
		}
		if until := asked + TTL - ClockMargin; now < until {
			grants = append(grants, Grant{d.Name, d.Token, until, d.Handover})
		}
	}
	return grants
}

// Release has this runner do nothing more under a grant, and give the duty back with what the next
// one is to know. Done is told whether that was agreed on before somebody else had it; it may be
// nil.
func (h *Holder) Release(name string, check []byte, done func(ok bool)) {
	d := h.ownLease(name, check, done)
	if d == nil {
		return
	}
	h.released[name] = d.Token
	h.enqueue(placement.ChangeReleaseLease, d, check, done)
}

// SetHandover leaves what the next one is to know if this one is lost. Done is told whether it was agreed
// on while the duty was this runner's. A note takes the place of one that is still on its way,
// which is told that it was not agreed on: it may have been.
func (h *Holder) SetHandover(name string, check []byte, done func(ok bool)) {
	d := h.ownLease(name, check, done)
	if d == nil {
		return
	}
	if h.released[name] == d.Token {
		if done != nil {
			done(false)
		}
		return
	}
	h.enqueue(placement.ChangeSetHandover, d, check, done)
}

// ownLease is a duty that the table says is this runner's; nil: it is not, or what is left for it is too
// large, and done was told.
func (h *Holder) ownLease(name string, check []byte, done func(bool)) *placement.Lease {
	if h.table != nil && len(check) <= placement.MaxHandoverBytes {
		if d := h.table.Lease(name); d != nil && d.Holder == h.name && d.Incarnation == h.incarnation {
			return d
		}
	}
	if done != nil {
		done(false)
	}
	return nil
}

func (h *Holder) enqueue(kind placement.ChangeKind, d *placement.Lease, check []byte, done func(bool)) {
	if s := h.pending[d.Name]; s != nil && s.done != nil {
		s.done(false)
	}
	h.seq++
	h.pending[d.Name] = &pendingChange{
		placement.Change{
			Kind:     kind,
			Member:   placement.Member{Name: h.name, Incarnation: h.incarnation},
			Lease:    d.Name,
			Token:    d.Token,
			Handover: check,
			Epoch:    h.seq,
		},
		never,
		done,
	}
}

// PendingChanges are those that are to be said to the consensus group's leader now.
func (h *Holder) PendingChanges(now int64) (changes []placement.Change) {
	for _, name := range slices.Sorted(maps.Keys(h.pending)) {
		if s := h.pending[name]; now-s.sentAt >= resendInterval {
			s.sentAt = now
			changes = append(changes, s.change)
		}
	}
	return changes
}

// HasUnsentChanges tells whether there is a change that was not said yet.
func (h *Holder) HasUnsentChanges() bool {
	for _, s := range h.pending {
		if s.sentAt == never {
			return true
		}
	}
	return false
}

// HasPendingChanges tells whether any change is on its way.
func (h *Holder) HasPendingChanges() bool { return len(h.pending) > 0 }
