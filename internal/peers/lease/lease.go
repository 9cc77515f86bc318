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
	TTL         = 600_000
	ClockMargin = 50_000 + TTL/100
	resend      = 300_000 // after which a change that is not in the table is said again
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

// mostTimes bounds the doubling of Again.
const mostTimes = 7

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
	rules Rules
	born  uint64 // Unix seconds when this process began
	free  map[string]mark
	lost  map[string]mark // by duty and member
	said  map[string]said // grants that may be under way
}

// said is a grant that was proposed.
type said struct {
	member string
	mark
}

// mark is since when something stands so, as this leader knows.
type mark struct {
	what uint64
	at   int64
}

// NewGranter is one that knows nothing of the past.
func NewGranter(rules Rules, born uint64) *Granter {
	g := &Granter{rules: rules, born: born}
	g.Reset()
	return g
}

// Reset has it know nothing of the past, as when its runner begins to lead.
func (g *Granter) Reset() {
	g.free, g.lost, g.said = map[string]mark{}, map[string]mark{}, map[string]said{}
}

// SetRules takes those of another file.
func (g *Granter) SetRules(r Rules) { g.rules = r }

// since notes in marks what stands now, and tells since when it has.
func since(marks map[string]mark, name string, what uint64, now int64) int64 {
	if m, ok := marks[name]; ok && m.what == what {
		return m.at
	}
	marks[name] = mark{what, now}
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
	if t.Born == 0 {
		return []placement.Change{{Kind: placement.ChangeBootstrap, Token: max(g.born, 1)}}
	}
	does := map[string]int{}
	for _, m := range t.Members {
		does[m.Name] = t.LeaseCount(m.Name)
	}
	maps.DeleteFunc(g.said, func(name string, s said) bool {
		d := t.Lease(name)
		return now-s.at >= resend || d != nil && d.Token != s.what
	})
	for _, s := range g.said {
		does[s.member]++
	}
	for i := range g.rules.Rules {
		r := &g.rules.Rules[i]
		d := cmp.Or(t.Lease(r.Name), &placement.Lease{})
		for _, l := range d.Lapses { // noted while somebody else holds it, too
			since(g.lost, r.Name+"\x00"+l.Name, uint64(l.Times), now)
		}
		if _, ok := g.said[r.Name]; ok || d.Holder != "" {
			continue
		}
		if at := since(g.free, r.Name, d.Token, now); d.Abrupt && now-at < TTL+ClockMargin {
			continue
		}
		if m := g.best(t, r, d, does, now); m != nil {
			does[m.Name]++
			g.said[r.Name] = said{m.Name, mark{d.Token, now}}
			changes = append(
				changes,
				placement.Change{
					Kind:   placement.ChangeGrantLease,
					Member: placement.Member{Name: m.Name, Life: m.Life},
					Duty:   r.Name,
					Token:  d.Token,
					Asked:  asked(m.Name),
				},
			)
		}
	}
	return changes
}

// best is who is to have a duty; nil: nobody may now.
func (g *Granter) best(
	t *placement.Table,
	r *Rule,
	d *placement.Lease,
	does map[string]int,
	now int64,
) (best *placement.Member) {
	var rank [5]uint64
	for i := range t.Members {
		m := &t.Members[i]
		if m.Life == 0 || m.Leaving || !r.Allows(m.Name) || !slices.Contains(m.Duties, r.Name) ||
			does[m.Name] >= g.rules.MaxPerMember {
			continue
		}
		times := 0
		if j := slices.IndexFunc(d.Lapses, func(l placement.Expiration) bool { return l.Name == m.Name }); j >= 0 {
			times = d.Lapses[j].Times
			if at := since(g.lost, r.Name+"\x00"+m.Name, uint64(times), now); now-at < g.rules.ExpiryBackoff<<min(
				times-1,
				mostTimes,
			) {
				continue
			}
		}
		hall := slices.Index(r.Zones, m.Hall)
		if hall < 0 {
			hall = len(r.Zones)
		}
		left := uint64(0)
		if m.Name == d.Left { // it may be about to go
			left = 1
		}
		k := [5]uint64{left, uint64(hall), uint64(does[m.Name]), uint64(times), draw(r.Name, m.Name)}
		if best == nil || slices.Compare(k[:], rank[:]) < 0 {
			best, rank = m, k
		}
	}
	return best
}

// draw is a number of a duty and a member, the same everywhere.
func draw(duty, member string) uint64 {
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
	name  string
	life  uint64
	table *placement.Table
	// asked then, and confirmed by a leader that knew no newer table than this runner does
	sure  int64
	words []word            // confirmed by one that did
	gone  map[string]uint64 // tokens under which it does nothing any more
	said  map[string]*saying
	seq   uint64 // of the last change that it said
}

// word is that of a leader which knew a version of the table when it confirmed what was asked at a
// time.
type word struct {
	asked   int64
	version uint64
}

// mostWords bounds the words that wait for their table.
const mostWords = 8

// saying is a change that is said until the table has it.
type saying struct {
	change placement.Change
	at     int64
	done   func(ok bool) // called once it is agreed on, or can't be any more
}

// NewHolder is a runner in one life of its membership.
func NewHolder(name string, life uint64) *Holder {
	return &Holder{name: name, life: life, sure: never, gone: map[string]uint64{}, said: map[string]*saying{}}
}

// never is a time before all times.
const never = -1 << 62

// Renew is another life of this runner's membership.
func (h *Holder) Renew(life uint64) {
	h.life, h.sure, h.words = life, never, nil
	h.SetTable(h.table)
}

// ConfirmLeader takes the word of a leader that the consensus group still goes by it: what this runner
// asked at a time of its clock holds, if it knows the table that the leader knew by then. One that
// knows an older table may have lost its duties since.
func (h *Holder) ConfirmLeader(asked int64, version uint64) {
	if h.words = append(h.words, word{asked, version}); len(h.words) > mostWords {
		h.words = h.words[1:]
	}
	h.look()
}

func (h *Holder) look() {
	h.words = slices.DeleteFunc(h.words, func(w word) bool {
		known := h.table != nil && w.version <= h.table.Version
		if known {
			h.sure = max(h.sure, w.asked)
		}
		return known
	})
}

// SetTable takes a newer table.
func (h *Holder) SetTable(t *placement.Table) {
	h.table = t
	h.look()
	if t == nil {
		return
	}
	maps.DeleteFunc(h.gone, func(name string, token uint64) bool {
		d := t.Lease(name)
		return d == nil || d.Token != token || d.Holder != h.name
	})
	for _, name := range slices.Sorted(maps.Keys(h.said)) {
		s := h.said[name]
		d := t.Lease(name)
		mine := d != nil && d.Token == s.change.Token && d.Holder == h.name && d.Life == h.life
		if mine && d.Seq < s.change.Epoch {
			continue // still on its way
		}
		if s.change.Kind == placement.ChangeReleaseLease { // somebody may have it already; who lost it is noted
			mine = d != nil && (d.Token != s.change.Token || d.Holder == "") &&
				!slices.ContainsFunc(d.Lapses, func(l placement.Expiration) bool { return l.Name == h.name })
		}
		delete(h.said, name)
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
	for i := range h.table.Duties {
		d := &h.table.Duties[i]
		if d.Holder != h.name || d.Life != h.life || h.gone[d.Name] == d.Token {
			continue
		}
		asked := h.sure
		if d.Asked > 0 {
			asked = max(asked, d.Asked)
		}
		if until := asked + TTL - ClockMargin; now < until {
			grants = append(grants, Grant{d.Name, d.Token, until, d.Check})
		}
	}
	return grants
}

// Release has this runner do nothing more under a grant, and give the duty back with what the next
// one is to know. Done is told whether that was agreed on before somebody else had it; it may be
// nil.
func (h *Holder) Release(name string, check []byte, done func(ok bool)) {
	d := h.own(name, check, done)
	if d == nil {
		return
	}
	h.gone[name] = d.Token
	h.say(placement.ChangeReleaseLease, d, check, done)
}

// SetHandover leaves what the next one is to know if this one is lost. Done is told whether it was agreed
// on while the duty was this runner's. A note takes the place of one that is still on its way,
// which is told that it was not agreed on: it may have been.
func (h *Holder) SetHandover(name string, check []byte, done func(ok bool)) {
	d := h.own(name, check, done)
	if d == nil {
		return
	}
	if h.gone[name] == d.Token {
		if done != nil {
			done(false)
		}
		return
	}
	h.say(placement.ChangeSetHandover, d, check, done)
}

// own is a duty that the table says is this runner's; nil: it is not, or what is left for it is too
// large, and done was told.
func (h *Holder) own(name string, check []byte, done func(bool)) *placement.Lease {
	if h.table != nil && len(check) <= placement.MaxHandoverBytes {
		if d := h.table.Lease(name); d != nil && d.Holder == h.name && d.Life == h.life {
			return d
		}
	}
	if done != nil {
		done(false)
	}
	return nil
}

func (h *Holder) say(kind placement.ChangeKind, d *placement.Lease, check []byte, done func(bool)) {
	if s := h.said[d.Name]; s != nil && s.done != nil {
		s.done(false)
	}
	h.seq++
	h.said[d.Name] = &saying{
		placement.Change{
			Kind:   kind,
			Member: placement.Member{Name: h.name, Life: h.life},
			Duty:   d.Name,
			Token:  d.Token,
			Check:  check,
			Epoch:  h.seq,
		},
		never,
		done,
	}
}

// PendingChanges are those that are to be said to the consensus group's leader now.
func (h *Holder) PendingChanges(now int64) (changes []placement.Change) {
	for _, name := range slices.Sorted(maps.Keys(h.said)) {
		if s := h.said[name]; now-s.at >= resend {
			s.at = now
			changes = append(changes, s.change)
		}
	}
	return changes
}

// HasUnsentChanges tells whether there is a change that was not said yet.
func (h *Holder) HasUnsentChanges() bool {
	for _, s := range h.said {
		if s.at == never {
			return true
		}
	}
	return false
}

// HasPendingChanges tells whether any change is on its way.
func (h *Holder) HasPendingChanges() bool { return len(h.said) > 0 }
