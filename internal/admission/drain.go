package admission

import "time"

// stopMargin is the time between the latest deadline of a request and the stop of a draining
// process.
const stopMargin = 200 * time.Millisecond

// drainState is the state of a graceful shutdown.
type drainState struct {
	active    bool
	startedAt time.Duration
	stopAt    time.Duration // when the process is stopped from outside; 0: unknown
}

// onDrain starts the graceful shutdown: health checks fail, callers get no credit, requests that
// arrive after Settings.DrainGrace are rejected, and all requests are answered before the stop.
func (c *Controller) onDrain(e *Event) {
	if c.drain.active {
		return
	}
	c.drain = drainState{active: true, startedAt: c.now, stopAt: e.Deadline}
	c.log("drain: started, requests that arrive after the grace period are rejected")
	c.emit(Action{Kind: ActionSetHealth, Static: true, Healthy: false})
	c.advertise()
	for _, r := range c.requests {
		c.capDeadline(r)
	}
}

// arrivedAfterDrain reports whether r arrived later than Settings.DrainGrace after the start of a
// drain and must not start. A repeat of a request that may have run is exempt, since answering it
// starts no run.
func (c *Controller) arrivedAfterDrain(r *request) bool {
	return c.drain.active && !r.mayHaveRun && r.arrivedAt > c.drain.startedAt+c.settings.DrainGrace
}

// capDeadline limits a request's deadline and objective to before the stop of a draining process.
func (c *Controller) capDeadline(r *request) {
	if c.drain.active && c.drain.stopAt > 0 {
		r.deadline = min(r.deadline, c.drain.stopAt-stopMargin)
		r.objectiveAt = min(r.objectiveAt, r.deadline)
	}
}
