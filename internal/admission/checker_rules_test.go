package admission

import "math"

// handleBatch passes a batch of events to the controller and checks every action.
func (k *checker) handleBatch(events []Event) {
	out := k.ctl.Handle(k.now, events, nil)
	if k.mutate != nil {
		out = k.mutate(k, out)
	}
	for _, a := range out {
		k.checkAction(a)
	}
	k.audit()
}

// checkAction checks one action and carries it out.
func (k *checker) checkAction(a Action) {
	switch a.Kind {
	case ActionTimer:
		k.timers = append(k.timers, k.now+a.Duration)
		return
	case ActionSetHealth, ActionCloseIdle, ActionLog:
		return
	case ActionAdvertise:
		if k.settings.CreditMode == CreditNone || !(a.Value >= 0) || math.IsInf(a.Value, 0) {
			k.violate(ruleProtocol, "advertised value is %v, want none with CreditNone, otherwise 0 or more", a.Value)
		}
		return
	}
	s := k.all[a.Request]
	if s == nil {
		k.violate(ruleProtocol, "action %d names unknown request %d", a.Kind, a.Request)
		return
	}
	switch a.Kind {
	case ActionStart:
		k.checkStart(s)
	case ActionReject, ActionFail:
		k.checkFinalAnswer(s, a)
	case ActionCancel:
		if k.settings.Cancel == CancelNone {
			k.violate(ruleProtocol, "cancellation of a run with CancelNone")
		}
		s.cancelled = true
	case ActionPlaceCall:
		k.checkCall(s, a)
	case ActionOmitCall:
		if k.settings.Classes[s.class].DegradedWeightFraction == 0 {
			k.violate(ruleProtocol, "call of request %d omitted, but a degraded answer has no weight", s.id)
		}
		if s.state == awaitingCall {
			s.state, s.callDone = running, true
		}
	case ActionRememberKey, ActionForgetKey:
		k.checkKey(s, a)
	case ActionReuseResult:
		k.checkReuse(s)
	}
}

// checkStart checks the start of a run.
func (k *checker) checkStart(s *observedRequest) {
	if s.finished || s.state != queued {
		return
	}
	class := k.settings.Classes[s.class]
	if k.drainAt > 0 && s.arrivedAt > k.drainAt+k.settings.DrainGrace {
		late := s.arrivedAt - k.drainAt - k.settings.DrainGrace
		k.violate(ruleDrain, "request %d started, though it arrived %v after the drain grace", s.id, late)
	}
	if class.Idempotency == IdempotentWithKey {
		if at, ok := k.ranKeys[s.subject]; ok && s.arrivedAt <= at+class.IdempotencyWindow {
			k.violate(ruleNoDuplicate, "key %d ran again within its window, %v after the first attempt",
				s.subject, s.arrivedAt-at)
		}
		if k.keyOwner[s.subject] != s.id {
			k.violate(ruleNoDuplicate, "request %d started, but its key is not remembered", s.id)
		}
		k.ranKeys[s.subject] = s.arrivedAt
	}
	if s.ran && class.Idempotency != Idempotent {
		k.violate(ruleNoDuplicate, "request %d started twice", s.id)
	}
	s.state, s.ran = running, true
}

// checkFinalAnswer checks a rejection or a failure.
func (k *checker) checkFinalAnswer(s *observedRequest, a Action) {
	if s.finished && s.answered || s.abandoned {
		return
	}
	k.answered(s, a.Kind == ActionReject)
	switch s.state {
	case queued, reusingResult:
		s.finished = true
	case inCall:
		k.addAbandonedCall()
		s.state = awaitingCall
	}
}

// answered records the final answer of a request and checks that it is the first and in time.
func (k *checker) answered(s *observedRequest, rejected bool) {
	if s.answered {
		k.violate(ruleOneAnswer, "request %d answered twice", s.id)
	}
	if !s.abandoned && k.now > s.deadline+k.settings.DeadlineGrace {
		k.violate(ruleOneAnswer, "request %d answered %v after its deadline", s.id, k.now-s.deadline)
	}
	if rejected && s.ran && k.settings.Classes[s.class].Idempotency != Idempotent {
		k.violate(ruleNoDuplicate, "request %d rejected after it ran", s.id)
	}
	s.answered = true
}

// checkCall checks a call that is placed.
func (k *checker) checkCall(s *observedRequest, a Action) {
	if s.state != awaitingCall {
		return
	}
	if s.callMayHaveRun && k.settings.Classes[s.class].Idempotency != Idempotent {
		k.violate(ruleNoDuplicate, "call of request %d repeated without proof that it never ran", s.id)
	}
	if a.Duration <= 0 || k.now+a.Duration > s.deadline+k.settings.DeadlineGrace {
		k.violate(ruleOneAnswer, "timeout of the call of request %d is not positive or ends after the deadline", s.id)
	}
	s.state = inCall
}

// checkKey checks that a key is remembered or forgotten by the rules.
func (k *checker) checkKey(s *observedRequest, a Action) {
	class := k.settings.Classes[s.class]
	if a.Kind == ActionRememberKey {
		k.keyOwner[s.subject], k.keyExpiry[s.subject] = s.id, k.now+a.Duration
		if a.Duration < class.IdempotencyWindow {
			k.violate(ruleNoDuplicate, "key %d remembered for %v, which is less than its window",
				s.subject, a.Duration)
		}
		return
	}
	if k.keyOwner[s.subject] != s.id {
		return
	}
	if s.ran && class.Idempotency == IdempotentWithKey {
		k.violate(ruleNoDuplicate, "key %d forgotten after its request ran", s.subject)
	}
	delete(k.keyOwner, s.subject)
}

// checkReuse checks an answer from the result of another request.
func (k *checker) checkReuse(s *observedRequest) {
	if s.state != queued {
		k.violate(ruleProtocol, "request %d reuses a result in state %d, want queued", s.id, s.state)
	}
	if k.settings.Classes[s.class].Idempotency == Idempotent {
		prior := k.all[s.priorRequest]
		if prior == nil || !prior.succeeded || k.now > prior.finishedAt+k.settings.ResultMaxAge {
			k.violate(ruleOneAnswer, "request %d reuses a result that does not exist or has expired", s.id)
		}
	}
	k.reused++
	s.state = reusingResult
}

// audit checks deadlines and limits after the actions of a batch.
func (k *checker) audit() {
	k.checkDeadlines()
	usage := k.usage()
	for len(k.abandonedCalls) > 0 && k.abandonedCalls[0] <= k.now {
		k.abandonedCalls = k.abandonedCalls[1:]
	}
	if usage.memoryKB > k.settings.MemoryKB {
		k.violate(ruleCapacity, "memory in use is %.0f kB, limit %.0f kB", usage.memoryKB, k.settings.MemoryKB)
	}
	speed := 1.0
	if k.settings.WarmingUp {
		least := k.settings.WarmUpInitialShare
		speed = min(least+(1-least)*float64(k.now-checkerEpoch)/float64(k.settings.WarmUpTime), 1)
	}
	limit := float64(k.settings.Cores) * (1 + (k.settings.MaxRunningPerCore-1)*speed)
	if float64(usage.onCores) > limit {
		k.violate(ruleCapacity, "%d requests on the cores, limit %.1f", usage.onCores, limit)
	}
	if k.settings.Dependency == DependencyShared &&
		float64(usage.calls+len(k.abandonedCalls)) > max(k.settings.CallQuota, 1) &&
		usage.calls > 0 && float64(usage.calls) > k.settings.CallQuota {
		k.violate(ruleCapacity, "%d calls in flight, quota %.1f", usage.calls, k.settings.CallQuota)
	}
}

// checkDeadlines checks that requests are answered by their deadline and before the stop of a drain.
// It drops finished requests.
func (k *checker) checkDeadlines() {
	live := k.live[:0]
	for _, s := range k.live {
		if !s.finished {
			live = append(live, s)
		}
		if !s.answered && !s.abandoned && k.now > s.deadline+k.settings.DeadlineGrace {
			k.violate(ruleOneAnswer, "request %d unanswered %v after its deadline", s.id, k.now-s.deadline)
			s.answered = true
		}
		if !s.answered && !s.abandoned && k.stopAt > 0 && k.now >= k.stopAt {
			k.violate(ruleDrain, "request %d unanswered at the stop", s.id)
			s.answered = true
		}
	}
	k.live = live
}

// resourceUsage is the memory, cores and calls that live requests and remembered keys use.
type resourceUsage struct {
	memoryKB       float64
	onCores, calls int
}

func (k *checker) usage() (u resourceUsage) {
	for _, s := range k.live {
		switch s.state {
		case queued:
			u.memoryKB += s.sizeKB
		case reusingResult:
			u.memoryKB += s.sizeKB
			if k.settings.Classes[s.class].Idempotency == Idempotent {
				u.onCores++ // its result exists, so that it uses a core
			}
		case running:
			u.onCores++
			u.memoryKB += s.sizeKB * k.settings.RunningMemoryFactor
		default:
			u.memoryKB += s.sizeKB * k.settings.RunningMemoryFactor
			if s.state == inCall {
				u.calls++
			}
		}
	}
	for subject, end := range k.keyExpiry {
		if end >= k.now && k.keyOwner[subject] != 0 {
			u.memoryKB += k.settings.KeyMemoryKB
		}
	}
	return u
}
