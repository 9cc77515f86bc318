package picker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ryepaddle/internal/balancer/endpointhealth"
)

// subset returns the servers that an instance uses, at most size of them (0: all), by rendezvous
// (highest random weight) hashing. A server that joins or leaves changes at most one of them.
// Instances need not know of each other; in return, by chance some servers are in more subsets than
// others.
func subset(instance string, specs []endpointhealth.EndpointSpec, size int) []endpointhealth.EndpointSpec {
	if size <= 0 || len(specs) <= size {
		return specs
	}
	instanceHash := xxhash.Sum64String(instance)
	rank := func(spec endpointhealth.EndpointSpec) uint64 { return mix(instanceHash ^ hashOf(spec.ID)) }
	ranked := slices.Clone(specs)
	slices.SortFunc(ranked, func(a, b endpointhealth.EndpointSpec) int {
		return cmp.Or(cmp.Compare(rank(b), rank(a)), cmp.Compare(a.Name, b.Name))
	})
	return ranked[:size]
}
