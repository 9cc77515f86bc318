package lease

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"ryepaddle/internal/peers/placement"
	"ryepaddle/internal/wallclock"
)

// Granter decides, at the consensus group's leader, which member is granted which lease.
type Granter struct {
	rules        Rules
	startedAt    uint64                   // when this process started, in Unix seconds
	unheldSince  map[string]observation   // by lease; the value is the lease's newest token
	expiredSince map[string]observation   // by lease and member; the value is the count of expirations
	proposed     map[string]proposedGrant // by lease
}

// observation is a value of the table and the time since which this leader has seen it.
type observation struct {
	value uint64
	since time.Duration
}

// proposedGrant is a grant that may not be committed yet. The observation has the lease's token before
// the grant and the time of the proposal.
type proposedGrant struct {
	member string
	observation
}

// NewGranter returns a granter for a process that started at startedAt, in Unix seconds.
func NewGranter(rules Rules, startedAt uint64) *Granter {
	g := &Granter{rules: rules, startedAt: startedAt}
	g.Reset()
	return g
}

// Reset discards all observations and proposals. It is called when the runner becomes the leader.
func (g *Granter) Reset() {
	g.unheldSince = map[string]observation{}
	g.expiredSince = map[string]observation{}
	g.proposed = map[string]proposedGrant{}
}

// SetRules replaces the rules.
func (g *Granter) SetRules(rules Rules) { g.rules = rules }

// observedSince returns the time since which the value of a key has been the same, and records now for
// a new value.
func observedSince(seen map[string]observation, key string, value uint64, now time.Duration) time.Duration {
	if o, ok := seen[key]; ok && o.value == value {
		return o.since
	}
	seen[key] = observation{value, now}
	return now
}

// Grants returns the changes that grant the leases without a holder. While the table has no bootstrap
// time, which is part of all tokens, it returns only the change that sets it. AskedAt returns when a
// member last asked for leases, by its own lease clock; 0: not known.
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
		for _, e := range l.Expirations { // the backoff runs also while another member holds the lease
			observedSince(g.expiredSince, expirationKey(r.Name, e.Name), uint64(e.Count), now)
		}
		if _, ok := g.proposed[r.Name]; ok || l.Holder != "" {
			continue
		}
		unheldSince := observedSince(g.unheldSince, r.Name, l.Token, now)
		// An earlier incarnation of the last holder may still rely on the lease.
		if l.Abrupt && now-unheldSince < TTL+ClockMargin {
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

// leaseCounts returns how many leases each member holds or has been proposed as the holder of. It
// first drops proposed grants that were committed, or not committed within resendInterval.
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

// bestMember returns the member that is to be granted a lease, or nil if none may hold it at present.
// In this order it prefers a member that is not the one that released the lease, the most preferred
// zone, the fewest leases, the fewest expirations of this lease, and the rank by rendezvous hashing.
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
		if m.Name == l.ReleasedBy { // the member may be about to stop
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

// mayHold reports whether a member is neither lost nor leaving, announces that it takes the lease, may
// hold it by the rules and holds fewer than Rules.MaxPerMember leases.
func (g *Granter) mayHold(m *placement.Member, r *Rule, held map[string]int) bool {
	return m.Incarnation != 0 && !m.Leaving && r.Allows(m.Name) && slices.Contains(m.LeaseNames, r.Name) &&
		held[m.Name] < g.rules.MaxPerMember
}

// expirationCount returns how many times in a row a member lost a lease without releasing it.
func expirationCount(l *placement.Lease, member string) int {
	i := slices.IndexFunc(l.Expirations, func(e placement.Expiration) bool { return e.Name == member })
	if i < 0 {
		return 0
	}
	return l.Expirations[i].Count
}

// expirationKey returns the key of a lease and a member in Granter.expiredSince.
func expirationKey(lease, member string) string { return lease + "\x00" + member }

// hashRank returns the rank of a member for a lease by rendezvous hashing, which is the same at all
// runners. The FNV hash is mixed afterwards, as the hashes of names that differ only in their last
// letter differ little in the high bits.
func hashRank(lease, member string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(lease + "\x00" + member)) // Write of a hash.Hash never returns an error
	x := h.Sum64()
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	return x ^ x>>27
}
