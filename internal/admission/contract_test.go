package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// testSettings are settings in the middle of what sites use.
func testSettings() Settings {
	return Settings{
		Classes: []Class{
			{
				Name:                   "read",
				LatencyObjective:       time.Second,
				Timeout:                3 * time.Second,
				PriorityWeight:         1,
				CallsDependency:        true,
				DegradedWeightFraction: 0.5,
			},
			{Name: "keyed", LatencyObjective: time.Second, Timeout: 3 * time.Second, PriorityWeight: 3, Idempotency: IdempotentWithKey,
				IdempotencyWindow: 5 * time.Second, CallsDependency: true},
			{
				Name:               "unsafe",
				LatencyObjective:   time.Second,
				Timeout:            2 * time.Second,
				PriorityWeight:     4,
				Idempotency:        NonIdempotent,
				CallsDependency:    true,
				LateWeightFraction: 0.2,
			},
		},
		Tenants: []Tenant{{Name: "a", QuotaRate: 50}, {Name: "b", QuotaRate: 5}},
		Servers: 2, Callers: 3, Cores: 4, MemoryKB: 20000, RunningMemoryFactor: 8, KeyMemoryKB: 20,
		CreditMode: CreditPerCaller, CreditLifetime: time.Second, Dependency: DependencyShared, CallQuota: 5,
		CallQuotaWindow: 5 * time.Second, AbandonedCallTime: 200 * time.Millisecond, MaxRetryAfter: time.Second, EndpointListFollowsHealth: true,
		IdleConnectionTimeout: 30 * time.Second, DeadlineGrace: 60 * time.Millisecond, DrainGrace: time.Second, MaxRunningPerCore: 5,
		MaxRunningWindow: 2 * time.Second, WarmUpInitialShare: 0.2, WarmUpTime: 10 * time.Second, ReportsAbandoned: true, MarksRetries: true,
	}
}

// seen is what the checker knows of one request.
type seen struct {
	id                   uint64
	class                int
	subject              uint64
	arrived, due         time.Duration
	size                 float64
	state                requestState
	answered, gone, ran  bool
	finished             bool
	called, callUnproven bool
	halted               bool
	endedOK              bool
	ended                time.Duration
	prior                uint64
}

// checker feeds a controller legal events and holds its actions against the contract. It has no
// speeds, queues or scores: what ends, and when, is drawn at random.
type checker struct {
	set      Settings
	ctl      *Controller
	rng      *rand.Rand
	now      time.Duration
	nextID   uint64
	all      map[uint64]*seen
	live     []*seen
	ranKeys  map[uint64]time.Duration // subject to arrival of the try that ran
	kept     map[uint64]uint64        // subject to the request in the table
	keptEnd  map[uint64]time.Duration
	timers   []time.Duration
	drainAt  time.Duration
	stopAt   time.Duration
	linger   []time.Duration
	fresh    map[uint64]uint64 // subject to the first request of the batch, which links later ones
	mutate   func(k *checker, out []Action) []Action
	problems []string
	reused   int
}

func newChecker(t testing.TB, s Settings, seed uint64) *checker {
	t.Helper()
	ctl, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	return &checker{
		set:     s,
		ctl:     ctl,
		rng:     rand.New(rand.NewPCG(seed, 7)),
		now:     time.Hour,
		all:     map[uint64]*seen{},
		ranKeys: map[uint64]time.Duration{},
		kept:    map[uint64]uint64{},
		keptEnd: map[uint64]time.Duration{},
	}
}

func (k *checker) bad(format string, a ...any) {
	if len(k.problems) < 500 {
		k.problems = append(k.problems, fmt.Sprintf("%v: ", k.now-time.Hour)+fmt.Sprintf(format, a...))
	}
}

// ask draws one arrival.
func (k *checker) ask() Event {
	k.nextID++
	class := k.rng.IntN(len(k.set.Classes))
	queued := time.Duration(k.rng.IntN(200)) * time.Millisecond
	s := &seen{id: k.nextID, class: class, subject: uint64(k.rng.IntN(40)) + 1, arrived: k.now - queued,
		size: 1 + 60*k.rng.Float64()}
	wait := time.Duration(k.rng.Int64N(int64(k.set.Classes[class].Timeout)))
	s.due = s.arrived + wait
	e := Event{
		Kind:          EventRequest,
		Request:       s.id,
		Class:         class,
		Tenant:        k.rng.IntN(3),
		Caller:        uint32(k.rng.IntN(max(k.set.Callers, 5))),
		Deadline:      s.due,
		SizeKB:        s.size,
		QueueingDelay: queued,
		Retry:         k.rng.IntN(4) == 0,
	}
	if !k.set.ReportsAbandoned { // such a server is told no deadline either
		e.Deadline, s.due = 0, s.arrived+k.set.Classes[class].Timeout
	}
	s.due = max(s.due, k.now)
	switch k.rng.IntN(12) {
	case 0:
		e.ExpectedWork = time.Duration(k.rng.Int64())
	case 1, 2, 3:
		e.ExpectedWork = time.Duration(k.rng.IntN(500)) * time.Millisecond
	}
	if k.set.Classes[class].Idempotency == Idempotent && k.set.ResultMaxAge > 0 {
		s.subject = 1000 + uint64(k.rng.IntN(10)) // few subjects, popular ones
		e.Key, s.prior = s.subject, k.kept[s.subject]
		if o := k.all[s.prior]; o != nil && k.keptEnd[s.subject] >= s.arrived && k.mayShare(o) {
			e.PriorRequest = s.prior
		}
	}
	if k.set.Classes[class].Idempotency == IdempotentWithKey {
		if prior, ok := k.kept[s.subject]; ok && k.keptEnd[s.subject] >= s.arrived {
			e.PriorRequest = prior
		} else if first, ok := k.fresh[s.subject]; ok {
			e.PriorRequest = first
		} else {
			k.fresh[s.subject] = s.id
		}
	}
	k.all[s.id] = s
	k.live = append(k.live, s)
	return e
}

// mayShare reports whether the result of a kept read can be had, now or later.
func (k *checker) mayShare(o *seen) bool {
	return !o.finished || o.endedOK && k.now <= o.ended+k.set.ResultMaxAge
}

// updateCredit moves the time by one tick and plays a batch.
func (k *checker) step(rate int) {
	k.now += time.Duration(1+k.rng.IntN(8)) * time.Millisecond
	var events []Event
	kept := k.timers[:0]
	for _, at := range k.timers {
		if at > k.now {
			kept = append(kept, at)
			continue
		}
		g := Gauges{
			CPU:         k.rng.Float64() * 1.2,
			Runnable:    float64(k.onCores()),
			Memory:      0.5,
			Connections: math.NaN(),
		}
		if k.rng.IntN(50) == 0 {
			g = Gauges{CPU: math.NaN(), Runnable: math.Inf(1), Memory: math.Inf(-1), Connections: -3}
		}
		events = append(events, Event{Kind: EventTimer, Gauges: g})
	}
	k.timers = kept
	for _, s := range k.live {
		if e, ok := k.happen(s); ok {
			events = append(events, e)
		}
	}
	k.fresh = map[uint64]uint64{}
	for k.rng.IntN(100) < rate {
		events = append(events, k.ask())
	}
	if k.rng.IntN(40) == 0 { // unknown and finished requests
		events = append(
			events,
			Event{Kind: EventKind(2 + k.rng.IntN(4)), Request: uint64(k.rng.IntN(int(k.nextID)+9)) << 40},
		)
	}
	k.play(events)
}

func (k *checker) onCores() (n int) {
	for _, s := range k.live {
		if s.state == running && !s.finished {
			n++
		}
	}
	return n
}

// happen draws what happens to a request by itself.
func (k *checker) happen(s *seen) (Event, bool) {
	e := Event{Request: s.id}
	if s.finished {
		return e, false
	}
	end := func(o Outcome) (Event, bool) {
		s.finished, s.endedOK, s.ended = true, o == OutcomeOK && s.state == running, k.now
		if (o == OutcomeOK || o == OutcomeFailed) && !s.gone && !s.answered {
			k.answered(s, false)
		}
		e.Kind, e.Outcome = EventCompleted, o
		return e, true
	}
	switch p := k.rng.IntN(1000); {
	case s.state == running && s.halted:
		return end(OutcomeCancelled)
	case s.state == running && s.answered && p < 100, s.state == awaitingCall && (s.answered || s.gone):
		return end(OutcomeCancelled)
	case s.state == running && p < 10:
		return end(OutcomeOK)
	case s.state == running && p < 12:
		return end(OutcomeFailed)
	case s.state == running && !s.called && p < 40 && !s.answered:
		s.state, s.callUnproven = awaitingCall, false
		e.Kind = EventBlocked
		return e, true
	case s.state == reusingResult && p < 30:
		return end([]Outcome{OutcomeOK, OutcomeOK, OutcomeFailed}[k.rng.IntN(3)])
	case s.state == inCall && p < 60:
		e.Kind, e.Outcome = EventCallCompleted, []Outcome{OutcomeOK, OutcomeOK, OutcomeOK, OutcomeFailed, OutcomeRejected, OutcomeTimedOut, OutcomeUnreachable, OutcomeConnectionLost}[k.rng.IntN(8)]
		e.Elapsed = time.Duration(k.rng.IntN(100)) * time.Millisecond
		s.state = awaitingCall
		if e.Outcome == OutcomeOK {
			s.state, s.called = running, true
		}
		if e.Outcome == OutcomeTimedOut { // what broke was dropped by the dependency itself
			k.linger = append(k.linger, k.now+k.set.AbandonedCallTime)
		}
		s.callUnproven = e.Outcome == OutcomeTimedOut || e.Outcome == OutcomeConnectionLost || e.Outcome == OutcomeFailed
		return e, true
	case p == 999 && !s.answered && !s.gone && k.set.ReportsAbandoned:
		s.gone = true
		e.Kind = EventAbandoned
		if s.state == queued || s.state == reusingResult {
			s.finished = true
		} else if s.state == inCall {
			s.state = awaitingCall
			k.linger = append(k.linger, k.now+k.set.AbandonedCallTime)
		}
		return e, true
	}
	return e, false
}

func (k *checker) answered(s *seen, refuse bool) {
	if s.answered {
		k.bad("lost: request %d answered twice", s.id)
	}
	if !s.gone && k.now > s.due+k.set.DeadlineGrace {
		k.bad("lost: request %d answered %v after its due time", s.id, k.now-s.due)
	}
	if refuse && s.ran && k.set.Classes[s.class].Idempotency != Idempotent {
		k.bad("duplicate: request %d refused after it ran", s.id)
	}
	s.answered = true
}

// play hands a batch over and checks every action.
func (k *checker) play(events []Event) {
	out := k.ctl.Handle(k.now, events, nil)
	if k.mutate != nil {
		out = k.mutate(k, out)
	}
	for _, a := range out {
		k.action(a)
	}
	k.audit()
}

func (k *checker) action(a Action) {
	s := k.all[a.Request]
	switch a.Kind {
	case ActionTimer:
		k.timers = append(k.timers, k.now+a.Duration)
		return
	case ActionSetHealth, ActionCloseIdle, ActionLog:
		return
	case ActionAdvertise:
		if k.set.CreditMode == CreditNone || !(a.Value >= 0) || math.IsInf(a.Value, 0) {
			k.bad("fault: value %v", a.Value)
		}
		return
	}
	if s == nil {
		k.bad("fault: action %d names unknown request %d", a.Kind, a.Request)
		return
	}
	class := k.set.Classes[s.class]
	switch a.Kind {
	case ActionStart:
		if s.finished || s.state != queued {
			return
		}
		if k.drainAt > 0 && s.arrived > k.drainAt+k.set.DrainGrace {
			k.bad("drain: request %d started, %v too late", s.id, s.arrived-k.drainAt-k.set.DrainGrace)
		}
		if at, ok := k.ranKeys[s.subject]; ok && class.Idempotency == IdempotentWithKey && s.arrived <= at+class.IdempotencyWindow {
			k.bad("duplicate: key %d run again after %v", s.subject, s.arrived-at)
		}
		if class.Idempotency == IdempotentWithKey {
			if k.kept[s.subject] != s.id {
				k.bad("duplicate: request %d started without being kept", s.id)
			}
			k.ranKeys[s.subject] = s.arrived
		}
		if s.ran && class.Idempotency != Idempotent {
			k.bad("duplicate: request %d started twice", s.id)
		}
		s.state, s.ran = running, true
	case ActionReject, ActionFail:
		if s.finished && s.answered || s.gone {
			return
		}
		k.answered(s, a.Kind == ActionReject)
		switch s.state {
		case queued, reusingResult:
			s.finished = true
		case inCall:
			k.linger = append(k.linger, k.now+k.set.AbandonedCallTime)
			s.state = awaitingCall
		}
	case ActionCancel:
		if k.set.Cancel == CancelNone {
			k.bad("fault: halt where nothing can be stopped")
		}
		s.halted = true
	case ActionPlaceCall:
		if s.state != awaitingCall {
			return
		}
		if s.callUnproven && class.Idempotency != Idempotent {
			k.bad("duplicate: call of request %d repeated without proof", s.id)
		}
		if a.Duration <= 0 || k.now+a.Duration > s.due+k.set.DeadlineGrace {
			k.bad("lost: call of request %d outlives its due time", s.id)
		}
		s.state = inCall
	case ActionOmitCall:
		if class.DegradedWeightFraction == 0 {
			k.bad("fault: call of request %d omitted", s.id)
		}
		if s.state == awaitingCall {
			s.state, s.called = running, true
		}
	case ActionRememberKey:
		k.kept[s.subject], k.keptEnd[s.subject] = s.id, k.now+a.Duration
		if a.Duration < class.IdempotencyWindow {
			k.bad("duplicate: key %d kept for %v only", s.subject, a.Duration)
		}
	case ActionForgetKey:
		if k.kept[s.subject] == s.id {
			if s.ran && class.Idempotency == IdempotentWithKey {
				k.bad("duplicate: key %d forgotten after it ran", s.subject)
			}
			delete(k.kept, s.subject)
		}
	case ActionReuseResult:
		if s.state != queued {
			k.bad("fault: request %d reused in state %d", s.id, s.state)
		}
		if o := k.all[s.prior]; class.Idempotency == Idempotent &&
			(o == nil || !o.endedOK || k.now > o.ended+k.set.ResultMaxAge) {
			k.bad("lost: request %d is answered from a result that is not there", s.id)
		}
		k.reused++
		s.state = reusingResult
	}
}

// audit checks the state that the actions left.
func (k *checker) audit() {
	memory, cores, calls := 0.0, 0, 0
	live := k.live[:0]
	for _, s := range k.live {
		if !s.finished {
			live = append(live, s)
			switch s.state {
			case queued, reusingResult:
				memory += s.size
				if s.state == reusingResult && k.set.Classes[s.class].Idempotency == Idempotent {
					cores++ // its result is there, so that it is on the cores
				}
			case running:
				cores++
				memory += s.size * k.set.RunningMemoryFactor
			default:
				memory += s.size * k.set.RunningMemoryFactor
				if s.state == inCall {
					calls++
				}
			}
		}
		if !s.answered && !s.gone && k.now > s.due+k.set.DeadlineGrace {
			k.bad("lost: request %d unanswered %v after its due time", s.id, k.now-s.due)
			s.answered = true
		}
		if !s.answered && !s.gone && k.stopAt > 0 && k.now >= k.stopAt {
			k.bad("drain: request %d unanswered at the stop", s.id)
			s.answered = true
		}
	}
	k.live = live
	for subject, end := range k.keptEnd {
		if end >= k.now && k.kept[subject] != 0 {
			memory += k.set.KeyMemoryKB
		}
	}
	for len(k.linger) > 0 && k.linger[0] <= k.now {
		k.linger = k.linger[1:]
	}
	if memory > k.set.MemoryKB {
		k.bad("fall-over: %.0f kB of %.0f", memory, k.set.MemoryKB)
	}
	share := 1.0
	if k.set.WarmingUp {
		share = min(k.set.WarmUpInitialShare+(1-k.set.WarmUpInitialShare)*float64(k.now-time.Hour)/float64(k.set.WarmUpTime), 1)
	}
	if limit := float64(k.set.Cores) * (1 + (k.set.MaxRunningPerCore-1)*share); float64(cores) > limit {
		k.bad("fall-over: %d on the cores, %.1f is the limit", cores, limit)
	}
	if k.set.Dependency == DependencyShared && float64(calls+len(k.linger)) > max(k.set.CallQuota, 1) &&
		calls > 0 &&
		float64(calls) > k.set.CallQuota {
		k.bad("fall-over: %d calls in hand of %.1f", calls, k.set.CallQuota)
	}
}

// day plays a whole life: load, more load, a drain and the stop.
func (k *checker) day() {
	for range 1500 {
		k.step(20)
	}
	for range 1500 {
		k.step(70)
	}
	k.drainAt, k.stopAt = k.now, k.now+3*time.Second
	k.play([]Event{{Kind: EventDrain, Deadline: k.stopAt}})
	for k.now < k.stopAt {
		k.step(40)
		if k.now > k.stopAt-100*time.Millisecond {
			k.now = k.stopAt
			k.audit()
		}
	}
}

func variants() map[string]func(*Settings) {
	return map[string]func(*Settings){
		"plain":       func(*Settings) {},
		"cold":        func(s *Settings) { s.WarmingUp = true },
		"discard":     func(s *Settings) { s.Cancel = CancelDiscard },
		"freeze":      func(s *Settings) { s.Cancel = CancelSuspend },
		"silent":      func(s *Settings) { s.CreditMode = CreditNone },
		"level":       func(s *Settings) { s.CreditMode = CreditRankThreshold },
		"weight":      func(s *Settings) { s.CreditMode = CreditWeight },
		"no tenants":  func(s *Settings) { s.Tenants = nil },
		"no calls":    func(s *Settings) { s.Dependency = DependencyNone },
		"tier":        func(s *Settings) { s.Dependency = DependencyTier; s.CallQuota = 0 },
		"fresh reads": func(s *Settings) { s.ResultMaxAge = time.Second },
		"fresh reads, short memory": func(s *Settings) {
			s.ResultMaxAge, s.MemoryKB, s.KeyMemoryKB, s.WarmingUp, s.Cancel = time.Second, 6000, 100, true, CancelSuspend
		},
		"no told deadline": func(s *Settings) { s.ReportsAbandoned = false; s.Cancel = CancelNone },
		"small":            func(s *Settings) { s.MemoryKB = 3000; s.Cores = 1 },
		"many callers": func(s *Settings) {
			s.Cores, s.Callers, s.Servers, s.CallQuota = 2, 1000, 300, 0.4
		},
		"no advice": func(s *Settings) { s.MaxRetryAfter = 0; s.MarksRetries = false },
	}
}

// TestContract holds the actions for random legal events against the four rules.
func TestContract(t *testing.T) {
	for name, change := range variants() {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(4) {
				s := testSettings()
				change(&s)
				k := newChecker(t, s, seed)
				k.day()
				if len(k.problems) > 0 {
					t.Fatalf("seed %d:\n%s", seed, strings.Join(k.problems[:min(len(k.problems), 12)], "\n"))
				}
				started := 0
				for _, r := range k.all {
					if r.ran {
						started++
					}
				}
				if s.ResultMaxAge > 0 && k.reused < 20 {
					t.Fatalf("seed %d: only %d reads shared a run", seed, k.reused)
				}
				if started < 20 {
					t.Fatalf("seed %d: only %d of %d requests ran", seed, started, len(k.all))
				}
			}
		})
	}
}

// TestCheckerCatches breaks each rule on purpose.
func TestCheckerCatches(t *testing.T) {
	drop := func(kind ActionKind) func(*checker, []Action) []Action {
		return func(_ *checker, out []Action) []Action {
			kept := out[:0]
			for _, a := range out {
				if a.Kind != kind {
					kept = append(kept, a)
				}
			}
			return kept
		}
	}
	cases := map[string]struct {
		want   string
		mutate func(*checker, []Action) []Action
	}{
		"answers dropped": {"lost", drop(ActionFail)},
		"keys not kept":   {"duplicate", drop(ActionRememberKey)},
		"refused after it ran": {"duplicate", func(_ *checker, out []Action) []Action {
			for i := range out {
				if out[i].Kind == ActionFail {
					out[i].Kind = ActionReject
				}
			}
			return out
		}},
		"late start": {"drain", func(k *checker, out []Action) []Action {
			for i := range out {
				if k.drainAt > 0 && out[i].Kind == ActionReject {
					out[i].Kind = ActionStart
				}
			}
			return out
		}},
		"all started": {"fall-over", func(k *checker, out []Action) []Action {
			for _, s := range k.live {
				if s.state == queued {
					out = append(out, Action{Kind: ActionStart, Request: s.id})
				}
			}
			return out
		}},
		"calls past the share": {"fall-over", func(k *checker, out []Action) []Action {
			for _, s := range k.live {
				if s.state == awaitingCall && !s.answered && !s.callUnproven {
					out = append(out, Action{Kind: ActionPlaceCall, Request: s.id, Duration: time.Millisecond})
				}
			}
			return out
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := testSettings()
			s.CallQuota = 2 // so few that calls past it are soon made
			k := newChecker(t, s, 1)
			k.mutate = c.mutate
			k.day()
			if all := strings.Join(k.problems, "\n"); !strings.Contains(all, c.want+":") {
				t.Fatalf("want a %q, got:\n%s", c.want, all)
			}
		})
	}
}
