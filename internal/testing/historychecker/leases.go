package historychecker

import (
	"fmt"
	"slices"
	"time"
)

// LeaseEffect is an action of a lease holder, such as a health check, as a server received it.
type LeaseEffect struct {
	Server   string // receiver of the effect
	At       time.Time
	Lease    string
	Token    uint64
	Holder   string
	Accepted bool // whether the server accepted it
}

// leaseStart is the first accepted effect under the highest token of a lease.
type leaseStart struct {
	token uint64
	at    time.Time
}

// leaseCheck is the state of CheckLeases after the effects so far.
type leaseCheck struct {
	holders  map[uint64]string    // by token
	accepted map[[2]string]uint64 // highest accepted token by server and lease
	started  map[string]leaseStart
}

// CheckLeases returns the violations among the effects of lease holders: a token that two runners used, an
// effect that a server accepted after one under a higher token, and holders whose effects overlap at
// different servers by more than delay, the longest time that an effect may be in flight.
func CheckLeases(effects []LeaseEffect, delay time.Duration) (v Verdict) {
	ordered := slices.Clone(effects)
	slices.SortFunc(ordered, func(a, b LeaseEffect) int { return a.At.Compare(b.At) })
	check := leaseCheck{
		holders:  map[uint64]string{},
		accepted: map[[2]string]uint64{},
		started:  map[string]leaseStart{},
	}
	for i := range ordered {
		v = append(v, check.add(&ordered[i], delay)...)
	}
	return v
}

// add checks the next effect in the order of time.
func (c *leaseCheck) add(e *LeaseEffect, delay time.Duration) (v Verdict) {
	if holder, ok := c.holders[e.Token]; ok && holder != e.Holder {
		v = append(v, fmt.Sprintf("token %d of %s was used by %s and by %s", e.Token, e.Lease, holder, e.Holder))
	}
	c.holders[e.Token] = e.Holder
	if !e.Accepted {
		return v
	}
	at := [2]string{e.Server, e.Lease}
	if highest := c.accepted[at]; e.Token < highest {
		v = append(v, fmt.Sprintf("%s took an effect of %s under %d after one under %d",
			e.Server, e.Lease, e.Token, highest))
	} else {
		c.accepted[at] = e.Token
	}
	start := c.started[e.Lease]
	late := e.At.Sub(start.at)
	switch {
	case e.Token > start.token:
		c.started[e.Lease] = leaseStart{token: e.Token, at: e.At}
	case e.Token < start.token && late > delay:
		v = append(v, fmt.Sprintf("%s: %s acted under %d for %v after %d had begun",
			e.Lease, e.Holder, e.Token, late, start.token))
	}
	return v
}
