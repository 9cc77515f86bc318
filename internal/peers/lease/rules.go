package lease

import (
	"slices"
	"time"
)

const (
	// TTL is how long after it asked a holder relies on a lease, less ClockMargin.
	TTL = 600 * time.Millisecond
	// ClockMargin covers clocks that run apart by up to one part in a hundred, and the time between a
	// holder's look at its clock and its act.
	ClockMargin = 50*time.Millisecond + TTL/100
	// resendInterval is the time after which a change that is not in the table is proposed again.
	resendInterval = 300 * time.Millisecond
	// maxBackoffDoublings bounds the doubling of Rules.ExpiryBackoff.
	maxBackoffDoublings = 7
)

// Rule is what the operator's file says of a lease.
type Rule struct {
	Name    string
	Zones   []string // preferred ones, the best first; members of other zones come after them
	Members []string // that may hold it; empty: all
}

// Allows reports whether a member may hold the lease.
func (r *Rule) Allows(name string) bool {
	return len(r.Members) == 0 || slices.Contains(r.Members, name)
}

// zoneRank returns the place of a zone among the preferred ones; all others come last.
func (r *Rule) zoneRank(zone string) int {
	if i := slices.Index(r.Zones, zone); i >= 0 {
		return i
	}
	return len(r.Zones)
}

// Rules are what the operator's file says of all leases.
type Rules struct {
	MaxPerMember int // leases that one member may hold
	// ExpiryBackoff is how long a member that lost a lease without releasing it is not granted it
	// again. It doubles with each time in a row.
	ExpiryBackoff time.Duration
	Rules         []Rule
}

// NamesFor returns the leases that a member may hold.
func (r *Rules) NamesFor(member string) (names []string) {
	for i := range r.Rules {
		if r.Rules[i].Allows(member) {
			names = append(names, r.Rules[i].Name)
		}
	}
	return names
}

// backoff returns how long a member that lost a lease that often in a row is not granted it.
func (r *Rules) backoff(expirations int) time.Duration {
	return r.ExpiryBackoff << min(expirations-1, maxBackoffDoublings)
}
