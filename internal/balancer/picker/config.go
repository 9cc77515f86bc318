package picker

import (
	"ryepaddle/internal/balancer/concurrencylimit"
	"ryepaddle/internal/balancer/endpointhealth"
	"ryepaddle/internal/balancer/retry"
	"ryepaddle/internal/balancer/slowstart"
)

// defaultOverprovisioning is Envoy's default.
const defaultOverprovisioning = 1.4

// Config holds the parameters of a picker.
type Config struct {
	Health           endpointhealth.Config
	ConcurrencyLimit concurrencylimit.Config
	Retry            retry.Config
	SlowStart        slowstart.Config
	Zones            []string // names, the nearest zone first; other zones follow, sorted by name
	SubsetSize       int      // number of servers of each zone that this instance uses; 0, the default: all
	KeyAffinity      bool     // requests with the same key go to the same server, from any instance
	MaxRequests      int      // maximum in flight at one server, whatever its concurrency limit
	// Overprovisioning is the factor by which the healthy weight of a zone may be below its total
	// weight before the zone passes requests on to the next one; default 1.4.
	Overprovisioning float64
}

// DefaultConfig returns the default parameters. maxRequests bounds the requests in flight at one server.
func DefaultConfig(maxRequests int) Config {
	return Config{
		Health:           endpointhealth.DefaultConfig(),
		ConcurrencyLimit: concurrencylimit.DefaultConfig(maxRequests),
		Retry:            retry.DefaultConfig(),
		SlowStart:        slowstart.DefaultConfig(),
		MaxRequests:      maxRequests,
		Overprovisioning: defaultOverprovisioning,
	}
}
