package config

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"ryepaddle/internal/balancer/picker"
)

// Routing is how requests find their servers. Halls are those of the inventory.
type Routing struct {
	Zones  []string `yaml:"halls"`  // the nearest first
	Subset int      `yaml:"subset"` // servers of each hall that this instance uses; 0: all
	// a key goes to one server, whichever instance it comes through
	Affinity         bool             `yaml:"affinity"`
	WarmUpS          float64          `yaml:"warm_s"` // that a new server takes to get its whole part
	WarmUpFrom       float64          `yaml:"warm_from"`
	SlowStart        SlowStart        `yaml:"cold"`
	OutlierEjection  OutlierEjection  `yaml:"eject"`
	HealthCheck      HealthCheck      `yaml:"check"`
	Retries          RetryBudget      `yaml:"retries"`
	ConcurrencyLimit ConcurrencyLimit `yaml:"limit"`
}

// SlowStart is what a server that has just started bears of all processes together; it grows with its
// part while it warms up.
type SlowStart struct {
	Calls  float64 `yaml:"calls"` // within over_ms; 0: it goes by what its peers get alone
	OverMs int64   `yaml:"over_ms"`
	// that send to it; 0: as many as peers or the platform's settings name
	Processes int `yaml:"processes"`
}

// OutlierEjection is when a server gets no more work, and for how long.
type OutlierEjection struct {
	ConsecutiveFailures int     `yaml:"fails"`   // in a row
	FailureRate         float64 `yaml:"rate"`    // of its requests that fail, where its peers' do not
	LatencyFactor       float64 `yaml:"slow"`    // times the latency of its peers; 0: never for that
	BaseTimeS           float64 `yaml:"first_s"` // for so long, and twice as long each time
	MaxTimeS            float64 `yaml:"most_s"`
	MaxRatio            float64 `yaml:"share"` // of all servers of a group at once, at the most
}

// HealthCheck is how servers are asked whether they are well.
type HealthCheck struct {
	Path               string `yaml:"path"` // empty: they are not
	IntervalMs         int64  `yaml:"every_ms"`
	TimeoutMs          int64  `yaml:"within_ms"`
	UnhealthyThreshold int    `yaml:"fails"`
	HealthyThreshold   int    `yaml:"passes"`
}

// RetryBudget is what may be tried again, beside limits.tries for one request.
type RetryBudget struct {
	Ratio float64 `yaml:"share"` // of the first tries
	Burst float64 `yaml:"spare"` // that may be saved up
}

// ConcurrencyLimit is that of a server, which follows what it gets done, up to limits.server_connections.
type ConcurrencyLimit struct {
	First   int `yaml:"first"`
	Minimum int `yaml:"least"`
}

func defaultRouting() Routing {
	c := picker.DefaultConfig(1)
	return Routing{
		WarmUpS:    10,
		WarmUpFrom: c.Health.WarmUpMinShare,
		SlowStart:  SlowStart{OverMs: c.SlowStart.Window.Milliseconds()},
		OutlierEjection: OutlierEjection{ConsecutiveFailures: c.Health.ConsecutiveFailures, FailureRate: c.Health.FailureRateThreshold, LatencyFactor: c.Health.LatencyFactor,
			BaseTimeS: 5, MaxTimeS: 60, MaxRatio: c.Health.MaxEjectedShare},
		HealthCheck:      HealthCheck{IntervalMs: 2000, TimeoutMs: 1000, UnhealthyThreshold: 3, HealthyThreshold: 2},
		Retries:          RetryBudget{c.Retry.Ratio, c.Retry.MinTokens},
		ConcurrencyLimit: ConcurrencyLimit{First: 8, Minimum: 2},
	}
}

// PickerConfig is how a router is to decide, where the platform's settings name so many servers like this
// one.
func (o *Operator) PickerConfig(servers int) picker.Config {
	r, c := &o.Routing, picker.DefaultConfig(o.Limits.ServerConnections)
	seconds := func(s float64) time.Duration { return time.Duration(s*1e6) * time.Microsecond }
	c.Zones, c.SubsetSize, c.KeyAffinity = r.Zones, r.Subset, r.Affinity
	m := &c.Health
	m.WarmUpWindow, m.WarmUpMinShare = seconds(r.WarmUpS), r.WarmUpFrom
	m.ConsecutiveFailures, m.FailureRateThreshold, m.LatencyFactor, m.MaxEjectedShare = r.OutlierEjection.ConsecutiveFailures, r.OutlierEjection.FailureRate, r.OutlierEjection.LatencyFactor, r.OutlierEjection.MaxRatio
	m.BaseEjectionTime, m.MaxEjectionTime = seconds(r.OutlierEjection.BaseTimeS), seconds(r.OutlierEjection.MaxTimeS)
	m.HealthChecks.UnhealthyThreshold, m.HealthChecks.HealthyThreshold = r.HealthCheck.UnhealthyThreshold, r.HealthCheck.HealthyThreshold
	if r.HealthCheck.Path != "" {
		m.HealthChecks.Interval = time.Duration(r.HealthCheck.IntervalMs) * time.Millisecond
	}
	c.SlowStart.InitialRequests, c.SlowStart.Window = r.SlowStart.Calls, time.Duration(r.SlowStart.OverMs)*time.Millisecond
	c.SlowStart.Processes = cmp.Or(r.SlowStart.Processes, len(o.Peers.Members), servers, c.SlowStart.Processes)
	c.Retry.Ratio, c.Retry.MinTokens = r.Retries.Ratio, r.Retries.Burst
	c.ConcurrencyLimit.Initial, c.ConcurrencyLimit.Min = min(
		r.ConcurrencyLimit.First,
		o.Limits.ServerConnections,
	), min(
		r.ConcurrencyLimit.Minimum,
		o.Limits.ServerConnections,
	)
	return c
}

func (o *Operator) checkRouting(*Platform) error {
	r := &o.Routing
	if r.OutlierEjection.MaxTimeS < r.OutlierEjection.BaseTimeS {
		return o.document.Errorf("routing.eject.most_s", "%v is under first_s, %v", r.OutlierEjection.MaxTimeS, r.OutlierEjection.BaseTimeS)
	}
	if r.ConcurrencyLimit.Minimum > r.ConcurrencyLimit.First {
		return o.document.Errorf("routing.limit.least", "%d is over first, %d", r.ConcurrencyLimit.Minimum, r.ConcurrencyLimit.First)
	}
	if r.HealthCheck.Path != "" && (!strings.HasPrefix(r.HealthCheck.Path, "/") || len(r.HealthCheck.Path) > 1000) {
		return o.document.Errorf(
			"routing.check.path",
			"%q does not begin with /, or is over 1000 characters",
			r.HealthCheck.Path,
		)
	}
	for i, hall := range r.Zones {
		at := "routing.halls." + strconv.Itoa(i)
		if slices.Contains(r.Zones[:i], hall) {
			return o.document.Errorf(at, "%s stands twice", hall)
		}
	}
	return nil
}
