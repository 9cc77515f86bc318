package picker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ryepaddle/internal/balancer/endpointhealth"
)

// subset chooses k of the servers for one instance: those whose names rank highest with its own
// (rendezvous, or highest random weight, hashing). A server that comes or goes changes at most one
// of them. Instances need not know of each other; the price is that a server is in more subsets
// than the mean by chance.
func subset(self string, list []endpointhealth.EndpointSpec, k int) []endpointhealth.EndpointSpec {
	if k <= 0 || len(list) <= k {
		return list
	}
	own := xxhash.Sum64String(self)
	rank := func(l endpointhealth.EndpointSpec) uint64 { return mix(own ^ hashOf(l.ID)) }
	out := slices.Clone(list)
	slices.SortFunc(out, func(a, b endpointhealth.EndpointSpec) int {
		return cmp.Or(cmp.Compare(rank(b), rank(a)), cmp.Compare(a.Name, b.Name))
	})
	return out[:k]
}
