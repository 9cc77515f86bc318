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

// Routing configures which server of a group gets a request.
type Routing struct {
	// Zones holds names of the inventory's zones, the nearest first; zones that are not listed follow
	// by name.
	Zones []string `yaml:"halls"`
	// Subset is how many servers of each zone this runner uses; default 0: all. With Affinity it has no
	// effect.
	Subset int `yaml:"subset"`
	// Affinity makes all runners send requests with the same idempotency key to the same server.
	Affinity bool `yaml:"affinity"`
	// WarmUpS is the time in s over which a new server ramps up to its full weight; default 10.
	WarmUpS float64 `yaml:"warm_s"`
	// WarmUpFrom is the share of its full weight that a new server starts with; default 0.1.
	WarmUpFrom       float64          `yaml:"warm_from"`
	SlowStart        SlowStart        `yaml:"cold"`
	OutlierEjection  OutlierEjection  `yaml:"eject"`
	HealthCheck      HealthCheck      `yaml:"check"`
	Retries          RetryBudget      `yaml:"retries"`
	ConcurrencyLimit ConcurrencyLimit `yaml:"limit"`
}

// SlowStart bounds the requests that all processes together send to a server that has just started.
// The bound grows with the server's weight while it warms up.
type SlowStart struct {
	// Calls is the most requests within OverMs at first; default 0: the server is bounded only
	// by the rate of requests to its warm peers.
	Calls float64 `yaml:"calls"`
	// OverMs is the window of the bound in ms; default 1000.
	OverMs int64 `yaml:"over_ms"`
	// Processes is the number of processes that send to the server; default 0: the number of members of peers,
	// else the number of runners in the platform's settings, else 30.
	Processes int `yaml:"processes"`
}

// OutlierEjection configures when a server is ejected, and for how long.
type OutlierEjection struct {
	// ConsecutiveFailures is the number of failures in a row that ejects a server; default 3.
	ConsecutiveFailures int `yaml:"fails"`
	// FailureRate is the share of failed requests that ejects a server whose peers fail less;
	// default 0.3.
	FailureRate float64 `yaml:"rate"`
	// LatencyFactor is the multiple of the latency of its peers that ejects a server; default 4, 0: off.
	LatencyFactor float64 `yaml:"slow"`
	// BaseTimeS is the time in s of the first ejection, doubled at each further one; default 5.
	BaseTimeS float64 `yaml:"first_s"`
	// MaxTimeS is the longest ejection in s; default 60.
	MaxTimeS float64 `yaml:"most_s"`
	// MaxRatio is the largest share of a group that may be ejected at the same time;
	// default 0.5.
	MaxRatio float64 `yaml:"share"`
}

// HealthCheck configures active health checks of servers.
type HealthCheck struct {
	// Path is the path that is requested; empty: off.
	Path string `yaml:"path"`
	// IntervalMs is the time in ms between two checks of a server; default 2000.
	IntervalMs int64 `yaml:"every_ms"`
	// TimeoutMs is the time in ms after which a check has failed; default 1000.
	TimeoutMs int64 `yaml:"within_ms"`
	// UnhealthyThreshold is the number of failed checks in a row that ejects a server; default 3.
	UnhealthyThreshold int `yaml:"fails"`
	// HealthyThreshold is the number of passed checks in a row after which a server is used again;
	// default 2.
	HealthyThreshold int `yaml:"passes"`
}

// maxHealthPathBytes is the largest length of the path of health checks.
const maxHealthPathBytes = 1000

// RetryBudget bounds the retries of all requests together; limits.tries bounds those of each request.
type RetryBudget struct {
	// Ratio is the number of retries that each first attempt adds to the budget; default 0.2.
	Ratio float64 `yaml:"share"`
	// Burst is the number of retries that are in the budget at the start and do not expire;
	// default 20.
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

// defaultRouting returns the defaults of the routing.
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

// PickerConfig returns the configuration of the picker of a group. runners is the number of runners
// in the platform's settings; 0: not known.
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

// setHealth sets the parameters of warm-up, ejection and health checks.
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

// checkRouting checks values that depend on each other, the path of health checks and the zones.
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
			"%q does not begin with /, or is over %d bytes",
			path,
			maxHealthPathBytes,
		)
	}
	for i, zone := range r.Zones {
		at := "routing.halls." + strconv.Itoa(i)
		if slices.Contains(r.Zones[:i], zone) {
			return o.document.Errorf(at, "%s is listed twice", zone)
		}
	}
	return nil
}
