package lease

import (
	"slices"
	"time"
)

const (
	// TTL is the duration of a lease. A holder relies on it for TTL less ClockMargin after it asked.
	TTL = 600 * time.Millisecond
	// ClockMargin covers clocks whose rates differ by up to one percent, and the time between a holder's
	// reading of its clock and its operation.
	ClockMargin = 50*time.Millisecond + TTL/100
	// resendInterval is the time after which a change that is not in the table yet is proposed again.
	resendInterval = 300 * time.Millisecond
	// maxBackoffDoublings bounds how often Rules.ExpiryBackoff is doubled.
	maxBackoffDoublings = 7
)

// Rule is the configuration of one lease in the operator's file.
type Rule struct {
	Name    string
	Zones   []string // preferred zones, the best first; members in other zones come after them
	Members []string // the members that may hold the lease; empty: all
}

// Allows reports whether a member may hold the lease.
func (r *Rule) Allows(name string) bool {
	return len(r.Members) == 0 || slices.Contains(r.Members, name)
}

// zoneRank returns the position of a zone among the preferred ones, or a number above all positions
// for any other zone.
func (r *Rule) zoneRank(zone string) int {
	if i := slices.Index(r.Zones, zone); i >= 0 {
		return i
	}
	return len(r.Zones)
}

// Rules is the configuration of all leases in the operator's file.
type Rules struct {
	MaxPerMember int // how many leases one member may hold
	// ExpiryBackoff is the time for which a member that lost a lease without releasing it is not granted
	// that lease again. It doubles each further time in a row.
	ExpiryBackoff time.Duration
	Rules         []Rule
}

// NamesFor returns the names of the leases that a member may hold, in the order of the rules.
func (r *Rules) NamesFor(member string) (names []string) {
	for i := range r.Rules {
		if r.Rules[i].Allows(member) {
			names = append(names, r.Rules[i].Name)
		}
	}
	return names
}

// backoff returns the time for which a member is not granted a lease that it lost expirations times in
// a row without releasing it.
func (r *Rules) backoff(expirations int) time.Duration {
	return r.ExpiryBackoff << min(expirations-1, maxBackoffDoublings)
}
