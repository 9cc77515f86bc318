package config

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"ryepaddle/internal/balancer/endpointhealth"
	"ryepaddle/internal/balancer/picker"
)

// Routing decides which server of a group gets a request.
type Routing struct {
	// Zones are names of the inventory's zones, the nearest first; others follow by name.
	Zones []string `yaml:"halls"`
	// Subset is how many servers of each zone this runner uses; default 0: all.
	Subset int `yaml:"subset"`
	// Affinity sends all requests with one idempotency key to one server, from every runner.
	Affinity bool `yaml:"affinity"`
	// WarmUpS is the time in s in which a new server ramps up to its full weight; default 10.
	WarmUpS float64 `yaml:"warm_s"`
	// WarmUpFrom is the share of its weight that a new server begins with.
	WarmUpFrom       float64          `yaml:"warm_from"`
	SlowStart        SlowStart        `yaml:"cold"`
	OutlierEjection  OutlierEjection  `yaml:"eject"`
	HealthCheck      HealthCheck      `yaml:"check"`
	Retries          RetryBudget      `yaml:"retries"`
	ConcurrencyLimit ConcurrencyLimit `yaml:"limit"`
}

// SlowStart bounds what all processes together send to a server that has just started. The bound
// grows with the server's weight while it warms up.
type SlowStart struct {
	// Calls is the most requests within OverMs; default 0: the rate that its peers get.
	Calls float64 `yaml:"calls"`
	// OverMs is the window of the bound in ms.
	OverMs int64 `yaml:"over_ms"`
	// Processes is how many processes send to the server; default 0: as many as the peers or the
	// platform's settings name.
	Processes int `yaml:"processes"`
}

// OutlierEjection decides when a server is ejected, and for how long.
type OutlierEjection struct {
	// ConsecutiveFailures is how many failures in a row eject a server.
	ConsecutiveFailures int `yaml:"fails"`
	// FailureRate is the share of failed requests that ejects a server whose peers fail less.
	FailureRate float64 `yaml:"rate"`
	// LatencyFactor is how many times the latency of its peers ejects a server; 0: off.
	LatencyFactor float64 `yaml:"slow"`
	// BaseTimeS is the time in s of the first ejection, doubled at each further one; default 5.
	BaseTimeS float64 `yaml:"first_s"`
	// MaxTimeS is the longest ejection in s; default 60.
	MaxTimeS float64 `yaml:"most_s"`
	// MaxRatio is the largest share of a group that is ejected at once.
	MaxRatio float64 `yaml:"share"`
}

// HealthCheck sends active health checks to servers.
type HealthCheck struct {
	// Path is the path that is requested; empty: off.
	Path string `yaml:"path"`
	// IntervalMs is the time in ms between two checks of a server; default 2000.
	IntervalMs int64 `yaml:"every_ms"`
	// TimeoutMs is the time in ms after which a check has failed; default 1000.
	TimeoutMs int64 `yaml:"within_ms"`
	// UnhealthyThreshold is how many failed checks in a row eject a server; default 3.
	UnhealthyThreshold int `yaml:"fails"`
	// HealthyThreshold is how many passed checks in a row take it back; default 2.
	HealthyThreshold int `yaml:"passes"`
}

// maxHealthPathBytes bounds the path of health checks.
const maxHealthPathBytes = 1000

// RetryBudget bounds retries over all requests, beside limits.tries for each of them.
type RetryBudget struct {
	// Ratio is the most retries for each first attempt.
	Ratio float64 `yaml:"share"`
	// Burst is the most retries that are saved up.
	Burst float64 `yaml:"spare"`
}

// ConcurrencyLimit is the adaptive limit of requests in flight at one server. Its upper bound is
// limits.server_connections.
type ConcurrencyLimit struct {
	// First is the limit of a new server; default 8.
	First int `yaml:"first"`
	// Minimum is the lower bound; default 2.
	Minimum int `yaml:"least"`
}

// defaultRouting returns the routing where a file is silent.
func defaultRouting() Routing {
	c := picker.DefaultConfig(1)
	return Routing{
		WarmUpS:    10,
		WarmUpFrom: c.Health.WarmUpMinShare,
		SlowStart:  SlowStart{OverMs: c.SlowStart.Window.Milliseconds()},
		OutlierEjection: OutlierEjection{
			ConsecutiveFailures: c.Health.ConsecutiveFailures,
			FailureRate:         c.Health.FailureRateThreshold,
			LatencyFactor:       c.Health.LatencyFactor,
			BaseTimeS:           5,
			MaxTimeS:            60,
			MaxRatio:            c.Health.MaxEjectedShare,
		},
		HealthCheck: HealthCheck{
			IntervalMs:         2000,
			TimeoutMs:          1000,
			UnhealthyThreshold: 3,
			HealthyThreshold:   2,
		},
		Retries:          RetryBudget{Ratio: c.Retry.Ratio, Burst: c.Retry.MinTokens},
		ConcurrencyLimit: ConcurrencyLimit{First: 8, Minimum: 2},
	}
}

// PickerConfig returns the configuration of the picker of a group. runners is how many runners the
// platform's settings name.
func (o *Operator) PickerConfig(runners int) picker.Config {
	r := &o.Routing
	c := picker.DefaultConfig(o.Limits.ServerConnections)
	c.Zones = r.Zones
	c.SubsetSize = r.Subset
	c.KeyAffinity = r.Affinity
	o.setHealth(&c.Health)
	c.SlowStart.InitialRequests = r.SlowStart.Calls
	c.SlowStart.Window = time.Duration(r.SlowStart.OverMs) * time.Millisecond
	c.SlowStart.Processes = cmp.Or(
		r.SlowStart.Processes,
		len(o.Peers.Members),
		runners,
		c.SlowStart.Processes,
	)
	c.Retry.Ratio = r.Retries.Ratio
	c.Retry.MinTokens = r.Retries.Burst
	c.ConcurrencyLimit.Initial = min(r.ConcurrencyLimit.First, o.Limits.ServerConnections)
	c.ConcurrencyLimit.Min = min(r.ConcurrencyLimit.Minimum, o.Limits.ServerConnections)
	return c
}

// setHealth sets the rules of warm-up, ejection and health checks.
func (o *Operator) setHealth(health *endpointhealth.Config) {
	r := &o.Routing
	health.WarmUpWindow = secondsOf(r.WarmUpS)
	health.WarmUpMinShare = r.WarmUpFrom
	health.ConsecutiveFailures = r.OutlierEjection.ConsecutiveFailures
	health.FailureRateThreshold = r.OutlierEjection.FailureRate
	health.LatencyFactor = r.OutlierEjection.LatencyFactor
	health.MaxEjectedShare = r.OutlierEjection.MaxRatio
	health.BaseEjectionTime = secondsOf(r.OutlierEjection.BaseTimeS)
	health.MaxEjectionTime = secondsOf(r.OutlierEjection.MaxTimeS)
	health.HealthChecks.UnhealthyThreshold = r.HealthCheck.UnhealthyThreshold
	health.HealthChecks.HealthyThreshold = r.HealthCheck.HealthyThreshold
	if r.HealthCheck.Path != "" {
		health.HealthChecks.Interval = time.Duration(r.HealthCheck.IntervalMs) * time.Millisecond
	}
}

// secondsOf returns a number of seconds as a duration, in whole microseconds.
func secondsOf(seconds float64) time.Duration {
	return time.Duration(seconds*1e6) * time.Microsecond
}

// checkRouting checks the values that depend on each other.
func (o *Operator) checkRouting(*Platform) error {
	r := &o.Routing
	if r.OutlierEjection.MaxTimeS < r.OutlierEjection.BaseTimeS {
		return o.document.Errorf(
			"routing.eject.most_s",
			"%v is under first_s, %v",
			r.OutlierEjection.MaxTimeS,
			r.OutlierEjection.BaseTimeS,
		)
	}
	if r.ConcurrencyLimit.Minimum > r.ConcurrencyLimit.First {
		return o.document.Errorf(
			"routing.limit.least",
			"%d is over first, %d",
			r.ConcurrencyLimit.Minimum,
			r.ConcurrencyLimit.First,
		)
	}
	path := r.HealthCheck.Path
	if path != "" && (!strings.HasPrefix(path, "/") || len(path) > maxHealthPathBytes) {
		return o.document.Errorf(
			"routing.check.path",
			"%q does not begin with /, or is over %d characters",
			path,
			maxHealthPathBytes,
		)
	}
	for i, zone := range r.Zones {
		at := "routing.halls." + strconv.Itoa(i)
		if slices.Contains(r.Zones[:i], zone) {
			return o.document.Errorf(at, "%s stands twice", zone)
		}
	}
	return nil
}
