package picker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ryepaddle/internal/balancer/endpointhealth"
)

// subset returns the size servers that an instance uses (0: all), by rendezvous (highest random
// weight) hashing. A server that comes or goes changes at most one of them. Instances need not know
// of each other; the price is that by chance a server is in more subsets than the mean.
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
