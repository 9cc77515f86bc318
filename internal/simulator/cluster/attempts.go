package cluster

import (
	"fmt"
	"time"

	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/simulator/virtualclock"
)

// inFlightAttempt is the state of an attempt from its sending to its end.
type inFlightAttempt struct {
	request   *serverRequest
	server    string // name
	startedAt time.Duration
	timer     virtualclock.Timer // of the attempt's timeout
}

// Run implements lifecycle.Runner.
func (s *simulation) Run(a *lifecycle.Attempt) {
	now := s.scheduler.Now()
	name, ok := s.picker.Pick(a, now)
	if !ok {
		s.scheduler.After(0, func() { s.reportEnd(a, lifecycle.NotStarted, nil) })
		return
	}
	a.Server = name
	s.stats.attempts++
	attempt := &inFlightAttempt{server: name, startedAt: now}
	s.inFlight[a] = attempt
	attempt.request = &serverRequest{
		work:  workOf(a),
		key:   a.Request.Key,
		onEnd: func(o lifecycle.Outcome) { s.endAttempt(a, o) },
	}
	attempt.timer = s.scheduler.After(a.Deadline-now, func() { s.attemptTimedOut(a) })
	s.byName[name].accept(attempt.request)
}

// workOf returns the work of a request, which clientRequest.submit puts into the first metadata field.
func workOf(a *lifecycle.Attempt) (work float64) {
	_, _ = fmt.Sscan(a.Request.Metadata[0].Value, &work)
	return work
}

// attemptTimedOut ends an attempt at its deadline. An attempt that is not idempotent gets as much time again
// after its deadline, so that a retry with its idempotency key gets its result.
func (s *simulation) attemptTimedOut(a *lifecycle.Attempt) {
	attempt := s.inFlight[a]
	if attempt == nil {
		return
	}
	deadline := a.Deadline.Truncate(virtualclock.Resolution)
	extended := deadline + (deadline - attempt.startedAt)
	if now := s.scheduler.Now(); !a.Idempotent && now < extended {
		attempt.timer = s.scheduler.After(extended-now, func() { s.attemptTimedOut(a) })
		return
	}
	s.endAttempt(a, lifecycle.TimedOut)
}

// Abandon implements lifecycle.Runner. It cancels idempotent attempts. Others go on, so that a retry with their
// idempotency key gets their result.
func (s *simulation) Abandon(a *lifecycle.Attempt) {
	if a.Idempotent {
		s.scheduler.After(0, func() { s.endAttempt(a, lifecycle.Cancelled) })
	}
}

// endAttempt ends an attempt with an outcome. It does nothing if the attempt has already ended.
func (s *simulation) endAttempt(a *lifecycle.Attempt, outcome lifecycle.Outcome) {
	attempt := s.inFlight[a]
	if attempt == nil {
		return
	}
	delete(s.inFlight, a)
	attempt.timer.Stop()
	attempt.request.closed = true
	attempt.request.timer.Stop()
	now := s.scheduler.Now()
	s.picker.Done(attempt.server, a.Request.Class, outcome, now-attempt.startedAt, now)
	var result *lifecycle.Result
	if outcome == lifecycle.Succeeded {
		result = &lifecycle.Result{Status: 200}
	}
	s.reportEnd(a, outcome, result)
}

// reportEnd reports the end of an attempt to the queue with bulkheads or, without one, to the request
// lifecycle.
func (s *simulation) reportEnd(a *lifecycle.Attempt, o lifecycle.Outcome, result *lifecycle.Result) {
	if s.queue != nil {
		s.queue.AttemptEnded(a, o, result)
		return
	}
	s.manager.AttemptEnded(a, o, result)
}
