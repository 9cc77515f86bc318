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
	// maxKnownServers bounds the servers of which reports are remembered.
	maxKnownServers = 4096
	// freshChecks is for how many checks a report of a healthy server counts.
	freshChecks = 2
)

// HealthReport is what the holder of a lease saw of servers, for runners that did not check them.
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
	Age     wallclock.Micros `cbor:"4,keyasint,omitempty"` // as the report is sent
}

// HealthChecks decides which runner checks the health of which servers. The holder of a zone's lease
// checks all servers of the zone, and reports to the others. A runner with a recent report of a
// healthy server does not check it. One without a report, or with a report of an unhealthy server,
// checks by itself: a report never takes a server out of service, so that a false or an old one
// costs no more than none.
type HealthChecks struct {
	leases   map[string]string // by zone
	fence    Fence
	reported map[serverKey]observedHealth
	unsent   map[string][]observedHealth // by lease, for the next report
	tokens   map[string]uint64           // by lease, under which unsent was observed

	Performed int64 // checks by this runner
	Skipped   int64 // checks that a report made needless
	Stale     int64 // reports by runners that had lost the lease
}

// serverKey is a server of a group.
type serverKey struct{ group, server string }

// observedHealth is a server's health at a time.
type observedHealth struct {
	ServerHealth
	at time.Duration
}

// HealthCheckLease returns the name of the lease to check a zone's servers.
func HealthCheckLease(zone string) string { return "checks-" + zone }

// NewHealthChecks returns the checks for the zones whose servers one runner checks.
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

// SetZones replaces the zones whose servers one runner checks.
func (c *HealthChecks) SetZones(zones []string) {
	clear(c.leases)
	for _, zone := range zones {
		c.leases[zone] = HealthCheckLease(zone)
	}
}

// ShouldCheck reports whether this runner is to check a server now, and the lease and token of the
// check; the lease is "" for a zone whose servers each runner checks. Interval is the time between
// two checks. A server that is not in full service is checked by each runner, over its own link.
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

// RecordResult notes the result of a check under a lease, for the next report.
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

// TakeReports returns the reports to send to the other runners, and forgets them. Those under a
// lease that this runner does not hold any more are dropped.
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

// Receive takes a report. One by a runner that lost the lease meanwhile is rejected.
func (c *HealthChecks) Receive(report *HealthReport, now time.Duration) error {
	if len(report.Servers) > maxReportServers {
		return kindFenced.New("lease: a report of %d servers is over %d", len(report.Servers), maxReportServers)
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
