package app

import (
	"time"

	"ryepaddle/internal/balancer/endpointhealth"
	"ryepaddle/internal/upstream"
)

// checkCoordinator decides which servers this runner checks if the runners share the health checks: one
// runner checks a server under a lease and reports the result to the others.
type checkCoordinator struct{ program *Program }

// ShouldCheck implements upstream.HealthCheckCoordinator.
func (c checkCoordinator) ShouldCheck(
	group string,
	endpoint *endpointhealth.Endpoint,
	interval time.Duration,
) (upstream.CheckLease, bool) {
	leases := c.program.peers.Leases()
	available := endpoint.State == endpointhealth.InService || endpoint.State == endpointhealth.WarmingUp
	check, lease, token := leases.HealthChecks.ShouldCheck(
		group, endpoint.Name, endpoint.Zone, interval, c.program.loop.Now(), available, leases.Holds)
	return upstream.CheckLease{Name: lease, Token: token}, check
}

// CheckDone implements upstream.HealthCheckCoordinator.
func (c checkCoordinator) CheckDone(
	group string,
	endpoint *endpointhealth.Endpoint,
	lease upstream.CheckLease,
	passed bool,
) {
	c.program.peers.Leases().HealthChecks.RecordResult(
		lease.Name, lease.Token, group, endpoint.Name, passed, c.program.loop.Now())
}
