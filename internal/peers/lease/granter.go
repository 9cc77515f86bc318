package lease

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"ryepaddle/internal/peers/placement"
	"ryepaddle/internal/wallclock"
)

// Granter decides which member is granted which lease, at the consensus group's leader.
type Granter struct {
	rules        Rules
	startedAt    uint64                   // Unix seconds at which this process began
	unheldSince  map[string]observation   // by lease; the value is the newest token
	expiredSince map[string]observation   // by lease and member; the value is the count of expirations
	proposed     map[string]proposedGrant // by lease
}

// observation is since when this leader has seen a value.
type observation struct {
	value uint64
	since time.Duration
}

// proposedGrant is a grant that may not be committed yet; the observed value is the newest token.
type proposedGrant struct {
	member string
	observation
}

// NewGranter returns a granter of a process that began at startedAt, in Unix seconds.
func NewGranter(rules Rules, startedAt uint64) *Granter {
	g := &Granter{rules: rules, startedAt: startedAt}
	g.Reset()
	return g
}

// Reset forgets what was observed, as when its runner begins to lead.
func (g *Granter) Reset() {
	g.unheldSince = map[string]observation{}
	g.expiredSince = map[string]observation{}
	g.proposed = map[string]proposedGrant{}
}

// SetRules replaces the rules.
func (g *Granter) SetRules(rules Rules) { g.rules = rules }

// observedSince returns since when a value has been seen, which is now if it is new.
func observedSince(seen map[string]observation, key string, value uint64, now time.Duration) time.Duration {
	if o, ok := seen[key]; ok && o.value == value {
		return o.since
	}
	seen[key] = observation{value, now}
	return now
}

// Grants returns the changes that grant the leases which nobody holds. AskedAt returns when a member
// last asked, by its own clock.
func (g *Granter) Grants(
	t *placement.Table,
	now time.Duration,
	askedAt func(name string) time.Duration,
) (changes []placement.Change) {
	if len(g.rules.Rules) == 0 {
		return nil
	}
	if t.BootstrapTime == 0 {
		return []placement.Change{{Kind: placement.ChangeBootstrap, Token: max(g.startedAt, 1)}}
	}
	held := g.leaseCounts(t, now)
	for i := range g.rules.Rules {
		r := &g.rules.Rules[i]
		l := t.Lease(r.Name)
		if l == nil {
			l = &placement.Lease{}
		}
		for _, e := range l.Expirations { // also while another member holds the lease
			observedSince(g.expiredSince, expirationKey(r.Name, e.Name), uint64(e.Count), now)
		}
		if _, ok := g.proposed[r.Name]; ok || l.Holder != "" {
			continue
		}
		unheldSince := observedSince(g.unheldSince, r.Name, l.Token, now)
		if l.Abrupt && now-unheldSince < TTL+ClockMargin { // an earlier incarnation may rely on it
			continue
		}
		m := g.bestMember(t, r, l, held, now)
		if m == nil {
			continue
		}
		held[m.Name]++
		g.proposed[r.Name] = proposedGrant{m.Name, observation{l.Token, now}}
		changes = append(changes, placement.Change{
			Kind:    placement.ChangeGrantLease,
			Member:  placement.Member{Name: m.Name, Incarnation: m.Incarnation},
			Lease:   r.Name,
			Token:   l.Token,
			AskedAt: wallclock.MicrosOf(askedAt(m.Name)),
		})
	}
	return changes
}

// leaseCounts returns how many leases each member holds or is about to be granted. Grants that were
// not committed in time, or were, are not under way any more.
func (g *Granter) leaseCounts(t *placement.Table, now time.Duration) map[string]int {
	counts := map[string]int{}
	for _, m := range t.Members {
		counts[m.Name] = t.LeaseCount(m.Name)
	}
	maps.DeleteFunc(g.proposed, func(name string, p proposedGrant) bool {
		l := t.Lease(name)
		return now-p.since >= resendInterval || l != nil && l.Token != p.value
	})
	for _, p := range g.proposed {
		counts[p.member]++
	}
	return counts
}

// bestMember returns the member that is granted a lease, or nil if none may hold it now: one that
// did not release it just now, then in the best zone, then with the fewest leases, then with the
// fewest expirations of this one, then by rendezvous hashing.
func (g *Granter) bestMember(
	t *placement.Table,
	r *Rule,
	l *placement.Lease,
	held map[string]int,
	now time.Duration,
) (best *placement.Member) {
	var bestRank [5]uint64
	for i := range t.Members {
		m := &t.Members[i]
		if !g.mayHold(m, r, held) {
			continue
		}
		expirations := expirationCount(l, m.Name)
		if expirations > 0 {
			since := observedSince(g.expiredSince, expirationKey(r.Name, m.Name), uint64(expirations), now)
			if now-since < g.rules.backoff(expirations) {
				continue
			}
		}
		released := uint64(0)
		if m.Name == l.ReleasedBy { // it may be about to stop
			released = 1
		}
		rank := [5]uint64{
			released,
			uint64(r.zoneRank(m.Zone)),
			uint64(held[m.Name]),
			uint64(expirations),
			hashRank(r.Name, m.Name),
		}
		if best == nil || slices.Compare(rank[:], bestRank[:]) < 0 {
			best = m
			bestRank = rank
		}
	}
	return best
}

// mayHold reports whether a member takes a lease, may hold it and holds fewer than the bound.
func (g *Granter) mayHold(m *placement.Member, r *Rule, held map[string]int) bool {
	return m.Incarnation != 0 && !m.Leaving && r.Allows(m.Name) && slices.Contains(m.LeaseNames, r.Name) &&
		held[m.Name] < g.rules.MaxPerMember
}

// expirationCount returns how often in a row a member lost a lease without releasing it.
func expirationCount(l *placement.Lease, member string) int {
	i := slices.IndexFunc(l.Expirations, func(e placement.Expiration) bool { return e.Name == member })
	if i < 0 {
		return 0
	}
	return l.Expirations[i].Count
}

// expirationKey is the key of Granter.expiredSince.
func expirationKey(lease, member string) string { return lease + "\x00" + member }

// hashRank returns a number of a lease and a member, the same everywhere (rendezvous hashing). It is
// mixed after the hash: names that differ in their last letter hash to numbers that differ little in
// the high bits.
func hashRank(lease, member string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(lease + "\x00" + member)) // a hash returns no error
	x := h.Sum64()
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	return x ^ x>>27
}
