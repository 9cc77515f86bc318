package endpointhealth

import (
	"fmt"
	"time"
)

// DueHealthChecks appends to due the endpoints whose health check is due. The caller checks each of
// them, and then calls HealthCheckDone once for it. The first checks of endpoints that are in service
// already are spread over the interval.
func (m *Monitor) DueHealthChecks(now time.Duration, due []*Endpoint) []*Endpoint {
	interval := m.cfg.HealthChecks.Interval
	if interval == 0 {
		return due
	}
	count := time.Duration(len(m.list.Endpoints))
	for i, e := range m.list.Endpoints {
		switch {
		case e.checkInFlight || e.State == Ejected:
		case e.nextCheckAt == 0 && e.State == InService:
			e.nextCheckAt = now + (interval * time.Duration(i) / count).Truncate(time.Microsecond)
		case now >= e.nextCheckAt:
			e.nextCheckAt = now + interval
			e.checkInFlight = true
			due = append(due, e)
		}
	}
	return due
}

// HealthCheckDone records the result of a health check, and makes the state change that follows from it.
func (m *Monitor) HealthCheckDone(e *Endpoint, passed bool, now time.Duration) {
	e.checkInFlight = false
	if e.unlisted {
		return
	}
	if passed {
		e.checkStreak = max(e.checkStreak, 0) + 1
	} else {
		e.checkStreak = min(e.checkStreak, 0) - 1
	}
	checks := &m.cfg.HealthChecks
	isHealthy := e.checkStreak >= checks.HealthyThreshold
	isUnhealthy := -e.checkStreak >= checks.UnhealthyThreshold
	switch {
	case e.State == Checking && isHealthy:
		m.setState(e, WarmingUp, now, fmt.Sprintf("%d checks passed", e.checkStreak))
	case e.State == Probing && !e.probeSent && isHealthy:
		m.startRecovery(e, now, fmt.Sprintf("%d checks passed", e.checkStreak))
	case e.State == Probing && !e.probeSent && !passed:
		e.failedProbes++
		m.eject(e, now, "a check failed")
	case e.State.takesRequests() && isUnhealthy && m.mayEject():
		m.eject(e, now, fmt.Sprintf("%d checks failed", -e.checkStreak))
	}
}
