package historychecker

import (
	"fmt"
	"slices"
	"time"
)

// Effect is something that was done for a duty, as a far end saw it.
type Effect struct {
	Far    string // who saw it
	At     time.Time
	Duty   string
	Token  uint64
	Holder string
	Taken  bool // the far end took it
}

// Leases is what is wrong with the effects of duties: a token that two runners used, an effect that
// was taken by a far end after one under a higher token, and holders whose effects cross at
// different far ends, which no far end can see, by more than a while that effects are on their way.
func Leases(effects []Effect, way time.Duration) (v Verdict) {
	all := slices.Clone(effects)
	slices.SortFunc(all, func(a, b Effect) int { return a.At.Compare(b.At) })
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
				fmt.Sprintf("token %d of %s was used by %s and by %s", e.Token, e.Duty, h, e.Holder),
			)
		}
		holders[e.Token] = e.Holder
		if !e.Taken {
			continue
		}
		if at := [2]string{e.Far, e.Duty}; e.Token < newest[at] {
			v = append(
				v,
				fmt.Sprintf(
					"%s took an effect of %s under %d after one under %d",
					e.Far,
					e.Duty,
					e.Token,
					newest[at],
				),
			)
		} else {
			newest[at] = e.Token
		}
		switch b := begun[e.Duty]; {
		case e.Token > b.token:
			begun[e.Duty] = first{e.Token, e.At}
		case e.Token < b.token && e.At.Sub(b.at) > way:
			v = append(
				v,
				fmt.Sprintf(
					"%s: %s acted under %d for %v after %d had begun",
					e.Duty,
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
