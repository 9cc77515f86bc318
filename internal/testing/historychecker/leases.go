package historychecker

import (
	"fmt"
	"slices"
	"time"
)

// LeaseEffect is something that was done for a duty, as a far end saw it.
type LeaseEffect struct {
	Server   string // who saw it
	At       time.Time
	Lease    string
	Token    uint64
	Holder   string
	Accepted bool // the far end took it
}

// CheckLeases is what is wrong with the effects of duties: a token that two runners used, an effect that
// was taken by a far end after one under a higher token, and holders whose effects cross at
// different far ends, which no far end can see, by more than a while that effects are on their way.
func CheckLeases(effects []LeaseEffect, way time.Duration) (v Verdict) {
	all := slices.Clone(effects)
	slices.SortFunc(all, func(a, b LeaseEffect) int { return a.At.Compare(b.At) })
	holders := map[uint64]string{}
	newest := map[[2]string]uint64{}
	type first struct {
		token uint64
		at    time.Time
	}
	begun := map[string]first{}
	for _, e := range all {
		if h, ok := holders[e.Token]; ok && h != e.Holder {
			v = append(
				v,
				fmt.Sprintf("token %d of %s was used by %s and by %s", e.Token, e.Lease, h, e.Holder),
			)
		}
		holders[e.Token] = e.Holder
		if !e.Accepted {
			continue
		}
		if at := [2]string{e.Server, e.Lease}; e.Token < newest[at] {
			v = append(
				v,
				fmt.Sprintf(
					"%s took an effect of %s under %d after one under %d",
					e.Server,
					e.Lease,
					e.Token,
					newest[at],
				),
			)
		} else {
			newest[at] = e.Token
		}
		switch b := begun[e.Lease]; {
		case e.Token > b.token:
			begun[e.Lease] = first{e.Token, e.At}
		case e.Token < b.token && e.At.Sub(b.at) > way:
			v = append(
				v,
				fmt.Sprintf(
					"%s: %s acted under %d for %v after %d had begun",
					e.Lease,
					e.Holder,
					e.Token,
					e.At.Sub(b.at),
					b.token,
				),
			)
		}
	}
	return v
}
