package endpointhealth

import "time"

// Config holds the parameters of a monitor.
type Config struct {
	ConsecutiveFailures int           // failures in a row that eject an endpoint; default 3
	BaseEjectionTime    time.Duration // duration of the first ejection; default 5 s
	// MaxEjectionTime bounds the duration of an ejection, which doubles each time that an endpoint
	// recovers and fails again; default 60 s.
	MaxEjectionTime time.Duration
	// EjectionResetAfter is how long an endpoint must be in service for its next ejection to count
	// as the first; default 60 s.
	EjectionResetAfter time.Duration
	MaxEjectedShare    float64       // share of the listed endpoints that may be ejected at once; default 0.5
	WarmUpWindow       time.Duration // time in which the traffic share grows to 1; default 10 s
	WarmUpMinShare     float64       // traffic share at the start of the warm-up; default 0.1
	MinSuspectTime     time.Duration // minimum time for which an endpoint is suspected; default 5 s
	SuspectShare       float64       // traffic share of a suspected endpoint; default 0.5

	// An endpoint is compared with its peers once MinRequests (default 20) of its requests have
	// ended within the outlier window.
	MinRequests int
	// An endpoint is an outlier by failures if the rate of its failures (0 to 1) reaches
	// FailureRateThreshold (default 0.3) and FailureRateFactor (default 3) times that of its peers.
	FailureRateThreshold float64
	FailureRateFactor    float64
	// An endpoint is an outlier by latency if, at SlowIntervals (default 3) ticks in a row, its mean
	// latency is more than LatencyFactor (default 4; 0: latency is not compared) times the median of
	// the endpoints in service, and at least MinLatencyExcess (default 20 ms) above that median.
	LatencyFactor    float64
	MinLatencyExcess time.Duration
	SlowIntervals    int

	// MaxProbeWait is how long an endpoint waits to be probed by a request that may be retried.
	// After that any request may probe it; default 5 s.
	MaxProbeWait time.Duration
	HealthChecks HealthChecks // default: none
}

// HealthChecks holds the parameters of active health checks. Passed checks return an endpoint to
// service, and count for nothing else: an endpoint may answer checks and fail its requests.
type HealthChecks struct {
	Interval           time.Duration // time between two checks of an endpoint; 0, the default: no checks
	UnhealthyThreshold int           // failed checks in a row that eject an endpoint; default 3
	HealthyThreshold   int           // passed checks in a row before it gets requests; default 2
}

// DefaultConfig returns the default parameters.
func DefaultConfig() Config {
	return Config{
		ConsecutiveFailures:  3,
		BaseEjectionTime:     5 * time.Second,
		MaxEjectionTime:      60 * time.Second,
		EjectionResetAfter:   60 * time.Second,
		MaxEjectedShare:      0.5,
		WarmUpWindow:         10 * time.Second,
		WarmUpMinShare:       0.1,
		MinSuspectTime:       5 * time.Second,
		SuspectShare:         0.5,
		MinRequests:          20,
		FailureRateThreshold: 0.3,
		FailureRateFactor:    3,
		LatencyFactor:        4,
		MinLatencyExcess:     20 * time.Millisecond,
		SlowIntervals:        3,
		MaxProbeWait:         5 * time.Second,
		HealthChecks:         HealthChecks{UnhealthyThreshold: 3, HealthyThreshold: 2},
	}
}
