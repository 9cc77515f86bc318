package lifecycle

import "time"

// A request whose answer depends on something outside this process waits without the admission
// controller, which therefore neither fails it at its deadline nor before the stop of a drain. Such a
// wait is for the run of the key in another process, for replicas, or for the key store.

// waitStopMargin is how long before the stop of a draining process such a wait ends.
const waitStopMargin = 300 * time.Millisecond

// waitEnd returns the monotonic time at which a request that waits without the admission controller
// must be answered: shortly before its deadline, and before the process is stopped.
func (m *Manager) waitEnd(r *request) time.Duration {
	end := r.deadline - deadlineMargin
	if m.drainingSince != 0 {
		end = min(end, m.stopAt-waitStopMargin)
	}
	return end
}

// boundWait calls giveUp, which must answer the request, at waitEnd, unless the request has been
// answered by then. As a drain changes waitEnd, Drain calls boundWait again for all such requests.
func (m *Manager) boundWait(r *request, giveUp func(*request)) {
	m.env.After(max(m.waitEnd(r)-m.env.Now(), 0), func() {
		if r.answered {
			return
		}
		giveUp(r)
		m.removeIfDone(r)
	})
}
