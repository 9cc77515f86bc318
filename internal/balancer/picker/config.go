package picker

import (
	"ryepaddle/internal/balancer/concurrencylimit"
	"ryepaddle/internal/balancer/endpointhealth"
	"ryepaddle/internal/balancer/retry"
	"ryepaddle/internal/balancer/slowstart"
)

// defaultOverprovisioning is that of Envoy.
const defaultOverprovisioning = 1.4

// Config holds the parameters of a picker.
type Config struct {
	Health           endpointhealth.Config
	ConcurrencyLimit concurrencylimit.Config
	Retry            retry.Config
	SlowStart        slowstart.Config
	Zones            []string // the nearest first; zones that are not named follow in order of name
	SubsetSize       int      // servers of each zone that this instance uses; 0, the default: all
	KeyAffinity      bool     // a key goes to one server, whichever instance it comes through
	MaxRequests      int      // in flight at one server, whatever its concurrency limit
	// Overprovisioning is the factor by which the healthy weight of a zone may be below its whole
	// weight before the zone passes requests on to the next one; default 1.4.
	Overprovisioning float64
}

// DefaultConfig returns the default parameters, with a bound on the requests in flight at one
// server.
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
