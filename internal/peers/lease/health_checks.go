package lease

import (
	"maps"
	"slices"
	"time"

	"ryepaddle/internal/wallclock"
)

const (
	// maxReportServers bounds the servers of one report.
	maxReportServers = 512
	// maxKnownServers bounds the servers whose reported health is remembered.
	maxKnownServers = 4096
	// freshChecks is the number of check intervals for which the report of a healthy server is used.
	freshChecks = 2
)

// HealthReport carries the results of health checks by the holder of a lease to another runner, which
// then need not check the servers itself.
type HealthReport struct {
	From    string         `cbor:"1,keyasint"`
	To      string         `cbor:"2,keyasint"`
	Lease   string         `cbor:"3,keyasint"`
	Token   uint64         `cbor:"4,keyasint"`
	Servers []ServerHealth `cbor:"5,keyasint"`
}

// ServerHealth is the result of one server's health check.
type ServerHealth struct {
	Group   string           `cbor:"1,keyasint"`
	Server  string           `cbor:"2,keyasint"`
	Healthy bool             `cbor:"3,keyasint,omitempty"`
	Age     wallclock.Micros `cbor:"4,keyasint,omitempty"` // of the result when the report was sent
}

// HealthChecks decides which servers this runner checks. The holder of a zone's lease checks all
// servers of the zone and reports the results to the other runners. A runner with a recent report of
// a healthy server does not check that server. Without a report, or with a report of an unhealthy
// server, it checks the server itself: a report never takes a server out of service, so that a wrong
// or outdated report does no more harm than a missing one.
type HealthChecks struct {
	leases   map[string]string // the name of the health check lease, by zone
	fence    Fence
	reported map[serverKey]observedHealth
	unsent   map[string][]observedHealth // results for the next report, by lease
	tokens   map[string]uint64           // the token under which the unsent results were observed, by lease

	Performed int64 // checks by this runner
	Skipped   int64 // checks that were not needed because of a report
	Stale     int64 // rejected reports, by runners that had lost the lease
}

// serverKey identifies a server by its group and its name in the group.
type serverKey struct{ group, server string }

// observedHealth is the result of a health check and the time of the check.
type observedHealth struct {
	ServerHealth
	at time.Duration
}

// HealthCheckLease returns the name of the lease whose holder checks a zone's servers for all runners.
func HealthCheckLease(zone string) string { return "checks-" + zone }

// NewHealthChecks returns the health checks of a runner. Zones are those whose servers one runner
// checks for all; in any other zone each runner checks the servers itself.
func NewHealthChecks(zones []string) *HealthChecks {
	c := &HealthChecks{
		leases:   map[string]string{},
		reported: map[serverKey]observedHealth{},
		unsent:   map[string][]observedHealth{},
		tokens:   map[string]uint64{},
	}
	c.SetZones(zones)
	return c
}

// SetZones replaces the zones whose servers one runner checks for all.
func (c *HealthChecks) SetZones(zones []string) {
	clear(c.leases)
	for _, zone := range zones {
		c.leases[zone] = HealthCheckLease(zone)
	}
}

// ShouldCheck reports whether this runner is to check a server now, and the lease and token for
// RecordResult. The lease is "" in a zone whose servers each runner checks itself; the token is 0 if
// this runner does not hold the lease. Interval is the time between two checks of a server. A server
// that is not in full service is checked by each runner over its own connection.
func (c *HealthChecks) ShouldCheck(
	group, server, zone string,
	interval, now time.Duration,
	inService bool,
	holds func(lease string) (token uint64, ok bool),
) (check bool, lease string, token uint64) {
	if lease = c.leases[zone]; lease != "" {
		if t, ok := holds(lease); ok {
			c.Performed++
			return true, lease, t
		}
		report, ok := c.reported[serverKey{group, server}]
		if ok && inService && report.Healthy && now-report.at <= freshChecks*interval {
			c.Skipped++
			return false, lease, 0
		}
	}
	c.Performed++
	return true, lease, 0
}

// RecordResult records the result of a check under a lease for the next report.
func (c *HealthChecks) RecordResult(
	lease string,
	token uint64,
	group, server string,
	healthy bool,
	now time.Duration,
) {
	if c.tokens[lease] != token {
		c.unsent[lease] = nil
		c.tokens[lease] = token
	}
	if len(c.unsent[lease]) >= maxReportServers {
		return
	}
	result := ServerHealth{Group: group, Server: server, Healthy: healthy}
	c.unsent[lease] = append(c.unsent[lease], observedHealth{result, now})
}

// TakeReports returns the results recorded since the last call as reports to the other runners, one
// for each lease. Results under a lease that this runner no longer holds are dropped.
func (c *HealthChecks) TakeReports(
	from string,
	now time.Duration,
	holds func(lease string) (token uint64, ok bool),
) (reports []HealthReport) {
	for _, lease := range slices.Sorted(maps.Keys(c.unsent)) {
		observed := c.unsent[lease]
		delete(c.unsent, lease)
		if token, ok := holds(lease); !ok || token != c.tokens[lease] || len(observed) == 0 {
			continue
		}
		report := HealthReport{From: from, Lease: lease, Token: c.tokens[lease]}
		for _, o := range observed {
			o.Age = wallclock.MicrosOf(now - o.at)
			report.Servers = append(report.Servers, o.ServerHealth)
		}
		reports = append(reports, report)
	}
	return reports
}

// Receive handles a report of another runner. It returns an error if the report is too large, or if
// its sender has lost the lease.
func (c *HealthChecks) Receive(report *HealthReport, now time.Duration) error {
	if len(report.Servers) > maxReportServers {
		return kindFenced.New("lease: health report has %d servers, limit %d", len(report.Servers), maxReportServers)
	}
	if err := c.fence.Check(report.Lease, report.Token); err != nil {
		c.Stale++
		return err
	}
	for _, s := range report.Servers {
		key := serverKey{s.Group, s.Server}
		if _, ok := c.reported[key]; !ok && len(c.reported) >= maxKnownServers {
			continue
		}
		if at := now - max(s.Age, 0).Duration(); c.reported[key].at <= at {
			c.reported[key] = observedHealth{s, at}
		}
	}
	return nil
}
