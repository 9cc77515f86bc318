package admission

import (
	"math"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// hand drives one controller by hand.
type hand struct {
	t   testing.TB
	ctl *Controller
	now time.Duration
}

func newHand(t testing.TB, change func(*Settings)) *hand {
	t.Helper()
	s := testSettings()
	if change != nil {
		change(&s)
	}
	ctl, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	h := &hand{t: t, ctl: ctl, now: time.Hour}
	h.at(0)
	return h
}

// at moves the time on and plays events.
func (h *hand) at(after time.Duration, events ...Event) []Action {
	h.now += after
	return h.ctl.Handle(h.now, events, nil)
}

// age is the age that the retry detector estimates for a request with so much time left.
func (h *hand) age(class int, left time.Duration) time.Duration {
	return h.ctl.retries.age(left, h.ctl.settings.Classes[class].Timeout)
}

// gauges plays timers for a while with the same gauges.
func (h *hand) gauges(span time.Duration, cpu, runnable float64) (out []Action) {
	for ; span > 0; span -= tickInterval {
		out = append(out, h.at(tickInterval, timerEvent(cpu, runnable))...)
	}
	return out
}

// idle plays requests of so many callers in turn and returns for how long idle connections are kept
// at the end.
func (h *hand) idle(first, n uint64, callers uint32, queued time.Duration, cpu float64) time.Duration {
	last := h.ctl.idleTimeout
	for id := first; id < first+n; id++ {
		e := h.ask(id, 0)
		e.Caller, e.QueueingDelay = uint32(id)%callers, queued
		if a := find(h.at(50*ms, e, timerEvent(cpu, 0)), ActionCloseIdle, 0); a != nil {
			last = a.Duration
		}
	}
	return last
}

// calls plays n requests, one a period, with a call each that takes so long.
func (h *hand) calls(first, n uint64, took time.Duration) {
	for id := first; id < first+n; id++ {
		h.at(0, h.ask(id, 0))
		h.at(0, Event{Kind: EventBlocked, Request: id})
		h.at(ms, Event{Kind: EventCallCompleted, Request: id, Outcome: OutcomeOK, Elapsed: took})
		h.at(0, Event{Kind: EventCompleted, Request: id, Outcome: OutcomeOK})
		h.gauges(controlPeriod, 0.5, 1)
	}
}

func timerEvent(cpu, runnable float64) Event {
	return Event{Kind: EventTimer, Gauges: Gauges{CPU: cpu, Runnable: runnable}}
}

func (h *hand) ask(id uint64, class int) Event {
	return Event{
		Kind:     EventRequest,
		Request:  id,
		Class:    class,
		Deadline: h.now + h.ctl.settings.Classes[class].Timeout,
		SizeKB:   1,
		Caller:   1,
		Tenant:   -1,
	}
}

func find(out []Action, kind ActionKind, id uint64) *Action {
	for i := range out {
		if out[i].Kind == kind && (id == 0 || out[i].Request == id) {
			return &out[i]
		}
	}
	return nil
}

func (h *hand) want(out []Action, kind ActionKind, id uint64) *Action {
	h.t.Helper()
	a := find(out, kind, id)
	if a == nil {
		h.t.Fatalf("no action %d for request %d in %+v", kind, id, out)
	}
	return a
}

func TestNewNamesTheField(t *testing.T) {
	for field, change := range map[string]func(*Settings){
		"Cores":               func(s *Settings) { s.Cores = 0 },
		"MemoryKB":            func(s *Settings) { s.MemoryKB = math.NaN() },
		"RunningMemoryFactor": func(s *Settings) { s.RunningMemoryFactor = 0 },
		"MaxRunningPerCore":   func(s *Settings) { s.MaxRunningPerCore = 0 },
		"WarmUpInitialShare":  func(s *Settings) { s.WarmUpInitialShare = 2 },
		"CallQuota":           func(s *Settings) { s.CallQuota = 0 },
		"Classes":             func(s *Settings) { s.Classes = nil },
		"LatencyObjective":    func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
		"IdempotencyWindow":   func(s *Settings) { s.Classes[1].IdempotencyWindow = 0 },
		"Idempotency":         func(s *Settings) { s.Classes[2].Idempotency = 9 },
	} {
		s := testSettings()
		change(&s)
		if _, err := New(s, 0); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: got %v", field, err)
		}
	}
}

func TestSameEventsSameActions(t *testing.T) {
	run := func() (all [][]Action) {
		k := newChecker(t, testSettings(), 3)
		k.mutate = func(_ *checker, out []Action) []Action {
			all = append(all, append([]Action(nil), out...))
			return out
		}
		k.day()
		return all
	}
	if a, b := run(), run(); !reflect.DeepEqual(a, b) {
		t.Fatal("two runs of the same events differ")
	}
}

func TestPoolMovesByTheEquations(t *testing.T) {
	h := newHand(t, nil)
	before := h.ctl.credit.size
	h.gauges(controlPeriod, 0.1, 0)
	if got := h.ctl.credit.size; got != before+1 { // equation (1) with A = max(alpha n_c, 1)
		t.Fatalf("pool %v after one quiet period, want %v", got, before+1)
	}
	for id := uint64(1); id <= 40; id++ {
		h.at(0, h.ask(id, 2))
	}
	h.gauges(600*ms, 0.5, 8)
	grown := h.ctl.credit.size
	h.gauges(300*ms, 1, 8)
	if h.ctl.credit.size >= grown { // equation (2), only while the cpu gauge is over 0.9
		t.Fatalf("pool %v not cut from %v", h.ctl.credit.size, grown)
	}
	h.want(h.at(0, h.ask(99, 2)), ActionReject, 99)
}

// A quiet server must not turn large work away on a guess, however dear its runs have been so far.
func TestLargeWorkIsNotHopelessOnAQuietServer(t *testing.T) {
	h := newHand(t, nil)
	small := h.ask(1, 0)
	small.ExpectedWork = 10 * ms
	h.at(0, small)
	h.at(900*ms, Event{Kind: EventCompleted, Request: 1, Outcome: OutcomeOK})
	h.gauges(20*ms, 0.3, 0)
	large := h.ask(2, 0)
	large.ExpectedWork = 500 * ms
	h.want(h.at(0, large), ActionStart, 2)
}

// Slow calls leave the cores idle; the wait for a call must count as delay all the same.
func TestSlowDependencyIsOverload(t *testing.T) {
	h := newHand(t, func(s *Settings) { s.CallQuota = 2 })
	for id := uint64(1); id <= 8; id++ {
		h.at(ms, h.ask(id, 2))
		h.at(ms, Event{Kind: EventBlocked, Request: id})
	}
	out := h.gauges(900*ms, 0.1, 0)
	for id := uint64(50); id < 60; id++ {
		out = append(out, h.at(ms, h.ask(id, 2))...)
	}
	h.want(out, ActionReject, 0)
}

// CallsDependency that take longer the more there are must be held back. Where calls are short and many, the
// lowest mean was that of a lucky few, and lasted: the usual looked twice as slow.
func TestBestCallTimeIsForgottenByCalls(t *testing.T) {
	h := newHand(t, nil)
	h.calls(1, 20, 8*ms) // the lucky few
	most := h.ctl.calls.limit
	for id := uint64(100); id < 900; id++ { // 20 a period
		h.at(0, h.ask(id, 0))
		h.at(0, Event{Kind: EventBlocked, Request: id})
		h.at(0, Event{Kind: EventCallCompleted, Request: id, Outcome: OutcomeOK, Elapsed: 20 * ms})
		h.at(controlPeriod/20, Event{Kind: EventCompleted, Request: id, Outcome: OutcomeOK}, timerEvent(0.5, 1))
	}
	if h.ctl.calls.limit < most {
		t.Errorf("limit of calls %v, it was %v", h.ctl.calls.limit, most)
	}
}

// While calls stood in line the credit fell to a trickle, and what makes no calls was not sent
// either, to idle cores.
func TestJamRefusesWhatCallsAndLeavesRoomForTheRest(t *testing.T) {
	h := newHand(t, func(s *Settings) { s.CallQuota, s.Classes[2].CallsDependency = 1, false })
	h.calls(1, 20, 100*ms)
	for id := uint64(100); id < 104; id++ {
		h.at(0, h.ask(id, 0))
		h.at(0, Event{Kind: EventBlocked, Request: id})
	}
	out := h.at(ms, h.ask(200, 0), h.ask(201, 2))
	h.want(out, ActionStart, 201)
	if a := h.want(out, ActionReject, 200); !a.NoRetry || a.Duration > tickInterval {
		t.Errorf("refused with %+v: others are as jammed, and this one is not to be stayed away from", a)
	}
	h.gauges(900*ms, 0.1, 0)
	if h.ctl.credit.size < defaultParameters.IdleCreditPerCore*float64(h.ctl.settings.Cores) {
		t.Errorf("pool %v while the cores are idle", h.ctl.credit.size)
	}
}

// In the order in which they came, calls that wait for a crowded dependency were all late by their
// turn.
func TestCallsWaitByTheWorthThatIsStillToBeHad(t *testing.T) {
	h := newHand(t, func(s *Settings) { s.CallQuota, s.Classes[0].DegradedWeightFraction = 2, 0 })
	for id := uint64(1); id <= 4; id++ { // 1 takes the place
		h.at(ms, h.ask(id, 0))
		h.at(0, Event{Kind: EventBlocked, Request: id})
	}
	h.gauges(1020*ms, 0.1, 0) // 2 to 4 are past their aim
	for id, class := range []int{5: 0, 6: 1} {
		if id > 4 {
			h.at(0, h.ask(uint64(id), class))
			h.at(0, Event{Kind: EventBlocked, Request: uint64(id)})
		}
	}
	last := uint64(1)
	for _, id := range []uint64{6, 5, 4} {
		out := h.at(ms, Event{Kind: EventCallCompleted, Request: last, Outcome: OutcomeOK, Elapsed: ms})
		h.want(out, ActionPlaceCall, id)
		last = id
	}
}

// A call that was cut off after a long silence made the dependency look crowded, and the others
// stood in line.
func TestBrokenCallDoesNotLookLikeCrowding(t *testing.T) {
	h := newHand(t, nil)
	h.calls(1, 20, 30*ms)
	mean, limit := h.ctl.calls.times.meanSeconds, h.ctl.calls.limit
	h.at(0, h.ask(100, 0))
	h.want(h.at(0, Event{Kind: EventBlocked, Request: 100}), ActionPlaceCall, 100)
	h.at(800*ms, Event{Kind: EventCallCompleted, Request: 100, Outcome: OutcomeConnectionLost, Elapsed: 800 * ms})
	h.want(h.gauges(callBackoff+controlPeriod, 0.5, 1), ActionPlaceCall, 100)
	if h.ctl.calls.times.meanSeconds != mean || h.ctl.calls.limit < limit {
		t.Errorf("mean %v, limit %v; they were %v and %v", h.ctl.calls.times.meanSeconds, h.ctl.calls.limit, mean, limit)
	}
}

// A mean of the last ten calls is half of the true one by chance now and then, most easily in the
// first ten. Beside such a best the usual looked slow, and a runner with few calls a second held
// them back for the rest of its day, with idle cores.
func TestChanceLowsDoNotLookLikeTheBest(t *testing.T) {
	held := 0
	for seed := range uint64(40) {
		h, r := newHand(t, func(s *Settings) { s.CallQuota = 20 }), rand.New(rand.NewPCG(seed, 1))
		most := h.ctl.calls.limit
		for id := uint64(1); id <= 200; id++ {
			h.calls(id, 1, time.Duration(190*r.ExpFloat64())*ms)
		}
		if h.ctl.calls.limit < 0.9*most {
			held++
		}
	}
	if held > 1 {
		t.Errorf("in %d of 40 days calls are held back at their usual time", held)
	}
}

// The call of a request that is over goes on below until its end is reported. Taken for gone after
// its linger, calls of a slow dependency were counted at half of what it had in its hands, and it
// fell over.
func TestCallsOfRequestsThatAreOverStillCount(t *testing.T) {
	h := newHand(t, func(s *Settings) { s.CallQuota = 20 })
	for id := uint64(1); id <= 3; id++ {
		h.at(0, h.ask(id, 0))
		h.want(h.at(0, Event{Kind: EventBlocked, Request: id}), ActionPlaceCall, id)
	}
	h.at(
		ms,
		Event{Kind: EventAbandoned, Request: 1},
		Event{Kind: EventAbandoned, Request: 2},
		Event{Kind: EventAbandoned, Request: 3},
	)
	h.gauges(time.Second, 0.1, 0) // five times the linger
	if h.ctl.calls.inFlight != 3 {
		t.Errorf("%d calls in hand, 3 are", h.ctl.calls.inFlight)
	}
	h.at(
		0,
		Event{Kind: EventCallCompleted, Request: 1, Outcome: OutcomeOK, Elapsed: time.Second},
		Event{
			Kind:    EventCallCompleted,
			Request: 2,
			Outcome: OutcomeTimedOut,
			Elapsed: time.Second,
		},
		Event{Kind: EventCompleted, Request: 3, Outcome: OutcomeCancelled},
	)
	if h.ctl.calls.inFlight != 0 || len(h.ctl.calls.abandonedUntil) != 2 {
		t.Errorf("%d calls in hand, %d linger", h.ctl.calls.inFlight, len(h.ctl.calls.abandonedUntil))
	}
	h.at(
		0,
		Event{Kind: EventCompleted, Request: 1, Outcome: OutcomeCancelled},
		Event{Kind: EventCompleted, Request: 2, Outcome: OutcomeCancelled},
	)
	if h.ctl.occupancy.onCores != 0 || h.ctl.occupancy.atCalls != 0 || len(h.ctl.requests) != 0 {
		t.Errorf(
			"%d on the cores, %d at calls, %d requests",
			h.ctl.occupancy.onCores,
			h.ctl.occupancy.atCalls,
			len(h.ctl.requests),
		)
	}
}

func TestCrowdedDependencyGetsFewerCalls(t *testing.T) {
	h := newHand(t, func(s *Settings) { s.CallQuota = 20 })
	most := h.ctl.calls.limit
	h.calls(1, 10, 50*ms)
	h.calls(11, 50, 800*ms)
	if h.ctl.calls.limit > most/2 {
		t.Fatalf("call limit %v, was %v", h.ctl.calls.limit, most)
	}
}

// One short first call was taken for what calls usually take, and every later one for crowding: the
// limit fell to one call, runs stood in line with the cores idle, and the credit was cut to nothing
// for the whole day.
func TestShortFirstCallDoesNotLookLikeCrowding(t *testing.T) {
	h := newHand(t, func(s *Settings) { s.CallQuota = 20 })
	most := h.ctl.calls.limit
	h.calls(1, 1, ms)
	h.calls(2, 80, 30*ms)
	if h.ctl.calls.limit < most {
		t.Fatalf("call limit %v, was %v", h.ctl.calls.limit, most)
	}
}

// A request that is given up is answered at once; without advice its client would ask again at once
// too.
func TestGivenUpRequestIsToldWhenToComeBack(t *testing.T) {
	h := newHand(t, func(s *Settings) { s.MaxRetryAfter = time.Second })
	late := h.ask(1, 0)
	late.Deadline = h.now + ms
	if a := h.want(h.at(0, late), ActionReject, 1); a.Duration < tickInterval {
		t.Fatalf("advice to stay away for %v", a.Duration)
	}
}

// A dependency that is slow for a reason of its own still works on its slots at once.
func TestSlowDependencyKeepsItsSlotsBusy(t *testing.T) {
	h := newHand(t, func(s *Settings) { s.CallQuota = 20 })
	h.calls(1, 10, 50*ms)
	h.calls(11, 90, 800*ms)
	if want := defaultParameters.MinCallLimitShare * 20; h.ctl.calls.limit != want {
		t.Fatalf("call limit %v, want %v", h.ctl.calls.limit, want)
	}
}

// Callers that cut their tries short must not make fresh requests look old, and a walked one must
// be told, though no caller is ever heard twice and one class tells about another.
func TestAgeFromTheTimeLeft(t *testing.T) {
	h := newHand(t, func(s *Settings) { s.MarksRetries = false })
	if got := h.age(0, 700*ms); got != 0 {
		t.Fatalf("before any sample a try is %v old", got)
	}
	share := func(class int, part float64) time.Duration {
		return h.age(class, time.Duration(part*float64(h.ctl.settings.Classes[class].Timeout)))
	}
	for i := range 12 {
		if got := share(i%2, 0.5); got != 0 {
			t.Fatalf("a first try is %v old", got)
		}
		if got := share(0, 0.8); got != 0 { // callers of another habit
			t.Fatalf("a first try of the other habit is %v old", got)
		}
	}
	deadline := float64(h.ctl.settings.Classes[0].Timeout)
	for _, c := range []struct{ part, age float64 }{{0.3, 0.2}, {0.6, 0.2}, {0.9, 0.1}} {
		want := time.Duration(c.age * deadline)
		if got := share(0, c.part); got < want-ms || got > want+ms {
			t.Fatalf("with %v of the deadline left: age %v, want %v", c.part, got, want)
		}
	}
}

// Idle connections of a crowd of callers that seldom return are closed soon, those of a few are
// kept.
func TestIdleConnectionsOfSeldomCallers(t *testing.T) {
	for _, c := range []struct {
		callers uint32
		want    time.Duration
	}{{3, defaultIdleTimeout}, {1000, shortIdleTimeout}} {
		h := newHand(t, func(s *Settings) { s.IdleConnectionTimeout = 30 * time.Second })
		if last := h.idle(1, 100, c.callers, 0, 0); last != c.want {
			t.Fatalf("%d callers: idle connections are kept for %v, want %v", c.callers, last, c.want)
		}
	}
}

// Where many arrivals are further tries, others refuse too: then a refused first try may not walk
// on either.
func TestNoWalkAmongManyFurtherTries(t *testing.T) {
	last := func(share int) bool {
		h := newHand(t, nil)
		h.gauges(100*ms, 1, 4)
		for id := uint64(1); id <= 200; id++ {
			e := h.ask(id, 2)
			e.Retry = int(id%100) < share
			h.at(ms, e, Event{Kind: EventCompleted, Request: id, Outcome: OutcomeOK})
		}
		e := h.ask(500, 0)
		e.QueueingDelay = 1500 * ms // read far too late
		return h.want(h.at(0, e), ActionReject, 500).NoRetry
	}
	if last(2) || !last(60) {
		t.Fatalf(
			"a refused first try is asked not to walk on: %v among few further tries, %v among many",
			last(2),
			last(60),
		)
	}
}

// CallsDependency that are turned away at once say nothing of how long a call takes.
func TestCallTurnedAwayIsNoFastCall(t *testing.T) {
	h := newHand(t, nil)
	for id := uint64(1); id <= 20; id++ {
		h.at(0, h.ask(id, 0))
		h.at(0, Event{Kind: EventBlocked, Request: id})
		outcome, took := OutcomeOK, 400*ms
		if id > 2 {
			outcome, took = OutcomeRejected, ms
		}
		h.at(0, Event{Kind: EventCallCompleted, Request: id, Outcome: outcome, Elapsed: took})
		h.at(0, Event{Kind: EventAbandoned, Request: id}, Event{Kind: EventCompleted, Request: id, Outcome: OutcomeCancelled})
	}
	if h.ctl.calls.times.meanSeconds < 0.39 {
		t.Fatalf("a call takes %v s in the mean, 0.4 were seen", h.ctl.calls.times.meanSeconds)
	}
}

// A share of the dependency of less than one call is a share of the time, also while every call
// hangs until it is given up and lingers after that; and it is used.
func TestShareUnderOneCall(t *testing.T) {
	for share, linger := range map[float64]time.Duration{0.05: 10 * ms, 0.3: 100 * ms, 0.9: 200 * ms} {
		h := newHand(t, func(s *Settings) {
			s.CallQuota, s.AbandonedCallTime, s.Classes[0].DegradedWeightFraction = share, linger, 0
		})
		until, since, placed := map[uint64]time.Duration{}, map[uint64]time.Duration{}, 0
		var busy [6000]float64 // calls in hand, by step
		var note func(out []Action)
		note = func(out []Action) {
			for _, a := range out {
				switch a.Kind {
				case ActionPlaceCall:
					until[a.Request], since[a.Request] = h.now+a.Duration, h.now
					placed++
				case ActionStart:
					note(h.at(0, Event{Kind: EventBlocked, Request: a.Request}))
				case ActionFail: // a run that is over ends at its call
					note(h.at(0, Event{Kind: EventCompleted, Request: a.Request, Outcome: OutcomeCancelled}))
				}
			}
		}
		for i := range busy {
			id := uint64(i + 1)
			out := h.at(20*ms, h.ask(id, 0), timerEvent(0.3, 1))
			note(out)
			for r, end := range until {
				busy[i]++
				if h.now >= end && h.now < end+20*ms {
					note(
						h.at(
							0,
							Event{
								Kind:    EventCallCompleted,
								Request: r,
								Outcome: OutcomeTimedOut,
								Elapsed: h.now - since[r],
							},
						),
					)
				}
				if h.now >= end+h.ctl.settings.AbandonedCallTime {
					delete(until, r)
				}
			}
		}
		window, most := int(h.ctl.settings.CallQuotaWindow/(20*ms)), 0.0
		for i := range len(busy) - window {
			sum := 0.0
			for _, n := range busy[i : i+window] {
				sum += n
			}
			most = max(most, sum/float64(window))
		}
		if most > share || placed < 3 {
			t.Errorf("share %v: %v calls in hand in the mean, %d placed", share, most, placed)
		}
	}
}

// Where the share is under one call, a call must still have the time that a slow dependency takes:
// calls given up just before they end load it and bring nothing.
func TestSmallShareIsPatient(t *testing.T) {
	h := newHand(t, func(s *Settings) { s.CallQuota, s.Classes[0].LatencyObjective = 0.6, 2400*ms })
	h.at(0, h.ask(1, 1)) // keyed, no answer without the call
	if got := h.want(h.at(ms, Event{Kind: EventBlocked, Request: 1}), ActionPlaceCall, 1).Duration; got < time.Second {
		t.Fatalf("a call is given up after %v", got)
	}
}

// A call given up is paid for while it lingers, not for as long as no other call is asked for.
func TestLingerIsPaidOnce(t *testing.T) {
	h := newHand(t, func(s *Settings) { s.CallQuota = 0.4 })
	call := func(id uint64) []Action {
		h.at(0, h.ask(id, 2))
		return h.at(0, Event{Kind: EventBlocked, Request: id})
	}
	a := h.want(call(1), ActionPlaceCall, 1)
	h.at(a.Duration, Event{Kind: EventCallCompleted, Request: 1, Outcome: OutcomeTimedOut, Elapsed: a.Duration})
	h.gauges(30*time.Second, 0.1, 0)
	h.want(call(2), ActionPlaceCall, 2)
}

// With less than hopeShare runs left a start is a gamble: worth it only where the work can be
// stopped.
func TestShortTimeIsAGambleOnlyForStoppableWork(t *testing.T) {
	for halt, want := range map[CancelMode]ActionKind{CancelNone: ActionReject, CancelDiscard: ActionStart} {
		h := newHand(t, func(s *Settings) { s.Cancel = halt })
		h.at(0, h.ask(1, 0))
		h.at(500*ms, Event{Kind: EventCompleted, Request: 1, Outcome: OutcomeOK})
		h.gauges(100*ms, 1, 1)
		e := h.ask(2, 0)
		e.Deadline = h.now + 625*ms
		h.want(h.at(0, e), want, 2)
	}
}

// Credit grew to the ceiling while nobody used it, and was all drawn at once by whatever came next;
// it takes periods to cut.
func TestPoolStaysNearItsUse(t *testing.T) {
	h := newHand(t, func(s *Settings) { s.MaxRunningPerCore = 20 })
	most := 2 * float64(h.ctl.settings.Cores)
	h.gauges(10*time.Second, 0.1, 0)
	if h.ctl.credit.size > most {
		t.Errorf("nobody uses it, and the pool is %v", h.ctl.credit.size)
	}
	for id := uint64(1); id <= 8; id++ {
		h.at(0, h.ask(id, 0))
		h.at(0, Event{Kind: EventBlocked, Request: id})
	}
	if h.gauges(time.Second, 0.1, 0); !(h.ctl.credit.size > most) {
		t.Errorf("eight are at calls, and the pool is %v", h.ctl.credit.size)
	}
}

// What waits behind others until there is no hope could have gone to a server with room, had it
// been told at once.
func TestNoHopeBehindOthersIsToldAtOnce(t *testing.T) {
	for waiting, want := range map[int]ActionKind{0: ActionRememberKey, 12: ActionReject} {
		h := newHand(
			t,
			func(s *Settings) {
				s.Cores, s.Classes[2].Idempotency, s.Classes[2].IdempotencyWindow = 1, IdempotentWithKey, time.Second
			},
		)
		h.at(0, h.ask(1, 2))
		h.at(300*ms, Event{Kind: EventCompleted, Request: 1, Outcome: OutcomeOK})
		h.gauges(100*ms, 1, 1)
		for id := 2; id < 3+waiting; id++ { // one runs
			h.at(0, h.ask(uint64(id), 2))
		}
		if a := h.want(h.at(0, h.ask(100, 2)), want, 100); want == ActionReject &&
			(a.Cause != CauseObjectiveUnreachable || a.NoRetry) {
			t.Errorf("%+v", a)
		}
	}
}

// A slow server kept requests until there was no hope, and asked that they be tried nowhere else
// while fast ones were idle. Where much is turned away others are full too, and a further try only
// costs them the reading.
func TestNoHopeHereMayGoElsewhere(t *testing.T) {
	for name, c := range map[string]struct {
		turned float64
		after  time.Duration // of an aim of 2 s, at a server that takes 1 s
		last   bool
	}{"time for a usual run elsewhere": {0, 700 * ms, false}, "too little time left": {0, 1600 * ms, true}, "all turn away": {0.3, 700 * ms, true}} {
		h := newHand(t, func(s *Settings) {
			s.Cores, s.Cancel, s.Classes[2].LatencyObjective, s.Classes[2].Timeout, s.Classes[2].LateWeightFraction = 1, CancelNone, 2*time.Second, 5*time.Second, 0
		})
		h.at(0, h.ask(1, 2))
		h.at(time.Second, Event{Kind: EventCompleted, Request: 1, Outcome: OutcomeOK})
		h.at(0, h.ask(2, 2), h.ask(3, 2)) // one runs
		h.ctl.arrivals.rejectedShare = c.turned
		if a := h.want(h.at(c.after, timerEvent(1, 1)), ActionReject, 3); a.Cause != CauseObjectiveUnreachable ||
			a.NoRetry != c.last {
			t.Errorf("%s: %+v", name, a)
		}
	}
}

// A line that is cut short leads requests to servers with room; where all turn away it only adds
// reads.
func TestTargetEasesAsMoreIsTurnedAway(t *testing.T) {
	h := newHand(t, func(s *Settings) { s.Classes[2].LatencyObjective = 2 * time.Second })
	of := func(turned, cpu float64) time.Duration {
		h.ctl.arrivals.rejectedShare = turned
		h.at(0, timerEvent(cpu, 1))
		return h.ctl.delayTarget(2)
	}
	least, half, jam := of(0, 1), of(fullRejectedShare/2, 1), of(0, 0.1)
	if whole := of(1, 1); whole != 800*ms || jam != whole || least != 600*ms ||
		!(least < half && half < whole) {
		t.Errorf("targets %v, %v, %v", least, half, whole)
	}
}

// A server that alone reads too late leaves the list and comes back; where further tries tell that
// others are no better off, it stays.
func TestServerThatReadsTooLateLeavesTheList(t *testing.T) {
	for _, among := range []bool{false, true} {
		h := newHand(t, nil)
		out := h.gauges(200*ms, 1, 4)
		for id := uint64(1); id <= 150; id++ {
			e := h.ask(id, 0)
			if e.Retry = among && id%4 == 0; id > 50 {
				e.QueueingDelay = 2500 * ms
			}
			out = append(out, h.at(tickInterval, e, timerEvent(1, 4))...)
		}
		left := false
		for _, a := range out {
			left = left || a.Kind == ActionSetHealth && !a.Healthy
		}
		if left == among {
			t.Fatalf("among further tries %v: left the list %v", among, left)
		}
		if !among && !h.want(h.gauges(time.Minute, 0.1, 0), ActionSetHealth, 0).Healthy {
			t.Fatal("did not come back")
		}
	}
}

// A server that reads late because others have left the list, so that more comes to it than usual,
// stays.
func TestServerStaysOnTheListWhileMoreComesThanUsual(t *testing.T) {
	h := newHand(t, nil)
	var out []Action
	for id := uint64(1); id <= 1200; id++ {
		after, e := 5*tickInterval, h.ask(id, 0)
		if id > 200 { // five times the usual
			after, e.QueueingDelay = tickInterval, 2500*ms
		}
		out = append(
			out,
			h.at(after, e, timerEvent(1, 4), Event{Kind: EventCompleted, Request: id, Outcome: OutcomeOK})...)
		if h.now > time.Hour+28*time.Second {
			break
		}
	}
	for _, a := range out {
		if a.Kind == ActionSetHealth && !a.Healthy {
			t.Fatal("left the list")
		}
	}
}

// What waits starts by its wait and its worth: a dear request before a cheap one that came a little
// earlier, but not before one that has waited by so much longer as the other is dearer.
func TestOrderByWaitAndWorth(t *testing.T) {
	for cheapFirst, want := range map[time.Duration]uint64{20 * ms: 11, 400 * ms: 10} {
		h := newHand(t, nil)
		for id := uint64(1); id <= 4; id++ {
			h.at(0, h.ask(id, 0))
		}
		h.gauges(40*ms, 0.5, 4) // no core is free
		cheap, dear := h.ask(10, 0), h.ask(11, 2)
		cheap.QueueingDelay, dear.QueueingDelay = cheapFirst+50*ms, 50*ms
		h.at(0, cheap, dear)
		h.want(h.at(ms, Event{Kind: EventCompleted, Request: 1, Outcome: OutcomeOK}), ActionStart, want)
	}
}

// Where work can be stopped, what has run far over the mean gives way under overload.
func TestOverlongWorkGivesWay(t *testing.T) {
	h := newHand(t, func(s *Settings) { s.Cancel = CancelDiscard; s.Cores = 1 })
	h.at(0, h.ask(1, 0))
	h.at(50*ms, Event{Kind: EventCompleted, Request: 1, Outcome: OutcomeOK})
	h.at(0, h.ask(2, 0))
	for id := uint64(3); id < 9; id++ {
		h.at(0, h.ask(id, 0))
	}
	out := h.gauges(900*ms, 1, 2)
	h.want(out, ActionFail, 2)
	h.want(out, ActionCancel, 2)
}

// A storm of marked further tries must not crowd out first tries; a few of them are still served.
func TestRetryStorm(t *testing.T) {
	refused := func(share int) (n int) {
		h := newHand(t, nil)
		h.gauges(100*ms, 1, 4)
		for id := uint64(1); id <= 200; id++ {
			e := h.ask(id, 2)
			e.Retry, e.QueueingDelay = int(id%100) < share || id == 200, 30*ms
			if a := find(h.at(ms, e), ActionReject, id); a != nil && id == 200 {
				n++
			}
			h.at(ms, Event{Kind: EventCompleted, Request: id, Outcome: OutcomeOK})
		}
		return n
	}
	if refused(5) != 0 || refused(70) != 1 {
		t.Fatalf("a further try is refused %d times among few, %d times in a storm", refused(5), refused(70))
	}
}

// Runs stopped as overlong must count in the mean, or it falls and more are stopped.
func TestStoppedRunsCountInTheMean(t *testing.T) {
	h := newHand(t, func(s *Settings) { s.Cancel = CancelDiscard })
	h.at(0, h.ask(1, 0))
	h.at(50*ms, Event{Kind: EventCompleted, Request: 1, Outcome: OutcomeOK})
	before := h.ctl.queues[0].meanRunSeconds
	h.at(0, h.ask(2, 0))
	h.at(500*ms, Event{Kind: EventAbandoned, Request: 2})
	if h.ctl.queues[0].meanRunSeconds <= before {
		t.Fatalf("mean %v, was %v", h.ctl.queues[0].meanRunSeconds, before)
	}
}

func TestKeyedRepeatIsReused(t *testing.T) {
	h := newHand(t, nil)
	keep := h.want(h.at(0, h.ask(1, 1)), ActionRememberKey, 1)
	if keep.Duration < h.ctl.settings.Classes[1].IdempotencyWindow {
		t.Fatalf("kept for %v", keep.Duration)
	}
	again := h.ask(2, 1)
	again.PriorRequest = 1
	out := h.at(ms, again)
	h.want(out, ActionReuseResult, 2)
	if find(out, ActionStart, 2) != nil {
		t.Fatal("a repeat was started")
	}
	// also a waiting repeat is answered in time
	h.want(h.gauges(3*time.Second, 0.1, 0), ActionFail, 2)
}

// freshHand is a server whose reads may be shared; read asks for one subject.
func freshHand(t *testing.T, change func(*Settings)) (h *hand, read func(id, prior uint64) Event) {
	h = newHand(t, func(s *Settings) {
		s.ResultMaxAge, s.Cores = time.Second, 1
		s.Classes[0].CallsDependency = false
		if change != nil {
			change(s)
		}
	})
	return h, func(id, prior uint64) Event {
		e := h.ask(id, 0)
		e.Key, e.PriorRequest = 7, prior
		return e
	}
}

// Reads of one subject share a run: they wait for its result, also past the delay at which others
// are refused, and take it while it is fresh.
func TestReadsOfOneSubjectShareARun(t *testing.T) {
	h, read := freshHand(t, nil)
	h.want(h.at(0, read(1, 0)), ActionRememberKey, 1)
	for id := uint64(2); id < 5; id++ {
		if out := h.at(ms, read(id, 1)); find(out, ActionStart, id) != nil ||
			find(out, ActionReuseResult, id) != nil {
			t.Fatal("a read did not wait for the run that it shares")
		}
	}
	out := h.at(200*ms, Event{Kind: EventCompleted, Request: 1, Outcome: OutcomeOK})
	for id := uint64(2); id < 5; id++ {
		h.want(out, ActionReuseResult, id)
	}
	h.at(ms, Event{Kind: EventCompleted, Request: 2, Outcome: OutcomeOK})
	h.want(h.at(500*ms, read(9, 1)), ActionReuseResult, 9)
	h.want(h.gauges(1200*ms, 0.1, 0), ActionForgetKey, 1)
	h.want(h.at(0, read(10, 1)), ActionStart, 10) // the result is stale
	write := read(11, 0)
	write.Write = true
	if find(h.at(ms, write), ActionRememberKey, 11) != nil {
		t.Fatal("a write was kept to be shared")
	}
}

// A read that waits for another runs itself when that fails, is stopped at its call, or is dropped.
func TestReadRunsItselfWhereTheOtherDoesNot(t *testing.T) {
	for name, end := range map[string][]Event{
		"failed":  {{Kind: EventCompleted, Request: 1, Outcome: OutcomeFailed}},
		"stopped": {{Kind: EventCompleted, Request: 1, Outcome: OutcomeCancelled}},
		"gone":    {{Kind: EventAbandoned, Request: 1}, {Kind: EventCompleted, Request: 1, Outcome: OutcomeCancelled}},
	} {
		h, read := freshHand(t, nil)
		h.want(h.at(0, read(1, 0)), ActionStart, 1)
		h.at(ms, read(2, 1), read(3, 1))
		out := h.at(ms, end...)
		h.want(out, ActionForgetKey, 1)
		h.want(out, ActionRememberKey, 2)
		h.want(out, ActionStart, 2)
		if find(out, ActionReuseResult, 0) != nil {
			t.Fatalf("%s: reused what is not there", name)
		}
	}
	h, read := freshHand(t, nil)
	h.at(0, h.ask(50, 2)) // takes the core
	h.at(ms, read(1, 0))
	h.at(ms, read(2, 1))
	out := h.at(ms, Event{Kind: EventAbandoned, Request: 1})
	h.want(out, ActionRememberKey, 2)
	h.want(h.at(ms, Event{Kind: EventCompleted, Request: 50, Outcome: OutcomeOK}), ActionStart, 2)
}

// Many that wait for one result do not come onto the cores all at once.
func TestSharedResultsDoNotCrowdTheCores(t *testing.T) {
	h, read := freshHand(t, func(s *Settings) { s.WarmingUp = true })
	h.at(0, read(1, 0))
	for id := uint64(2); id < 60; id++ {
		h.at(0, read(id, 1))
	}
	n := 0
	for _, a := range h.at(ms, Event{Kind: EventCompleted, Request: 1, Outcome: OutcomeOK}) {
		if a.Kind == ActionReuseResult {
			n++
		}
	}
	if limit := float64(h.ctl.settings.Cores) * (1 + (h.ctl.settings.MaxRunningPerCore-1)*h.ctl.settings.WarmUpInitialShare); n < 1 ||
		float64(n) > limit {
		t.Fatalf("%d answered from the result at once, a cold server outlives %.1f", n, limit)
	}
}

// A slow dependency holds up only the classes that call it.
func TestJamHoldsUpOnlyWhatCalls(t *testing.T) {
	h := newHand(t, func(s *Settings) { s.CallQuota = 1; s.Classes[0].CallsDependency = false })
	for id := uint64(1); id <= 4; id++ {
		h.at(ms, h.ask(id, 2))
		h.at(ms, Event{Kind: EventBlocked, Request: id})
	}
	h.gauges(900*ms, 0.1, 0)
	h.want(h.at(0, h.ask(20, 2)), ActionReject, 20)
	h.want(h.at(0, h.ask(21, 0)), ActionStart, 21)

	h = newHand(t, func(s *Settings) { s.CallQuota = 1; s.Classes[0].CallsDependency = false })
	for id := uint64(1); id <= 4; id++ {
		h.at(0, h.ask(id, 2))
		h.at(0, Event{Kind: EventBlocked, Request: id})
	}
	h.at(0, h.ask(11, 0), h.ask(12, 0), h.ask(13, 0), h.ask(14, 0)) // takes the cores
	h.at(0, h.ask(25, 2), h.ask(26, 0))
	h.gauges(2*callCongestionDelay, 0.5, 4)
	h.want(h.at(ms, Event{Kind: EventCompleted, Request: 11, Outcome: OutcomeOK}), ActionStart, 26)
}

// What was expected to run long is not overlong for being longer than the class's mean.
func TestOverlongFollowsTheHint(t *testing.T) {
	h := newHand(t, func(s *Settings) { s.Cancel = CancelDiscard; s.Cores = 1 })
	ask := func(id uint64, hint time.Duration) Event {
		e := h.ask(id, 2)
		e.ExpectedWork = hint
		return e
	}
	h.at(0, ask(1, 50*ms))
	h.at(50*ms, Event{Kind: EventCompleted, Request: 1, Outcome: OutcomeOK})
	h.at(0, ask(2, 500*ms))
	h.at(0, ask(3, 50*ms), ask(4, 50*ms), ask(5, 50*ms))
	if out := h.gauges(750*ms, 1, 2); find(out, ActionCancel, 2) != nil {
		t.Fatal("stopped, though it ran as long as its hint told")
	}
}

// Where new connections have a price, idle ones stay while cores are free, however seldom callers
// return.
func TestIdleConnectionsStayWhereNewOnesHaveAPrice(t *testing.T) {
	for price, want := range map[float64]time.Duration{0: shortIdleTimeout, 0.03: 30 * time.Second} {
		h := newHand(t, func(s *Settings) { s.HandshakeCost = price })
		if last := h.idle(1, 100, 1000, 0, 0.3); last != want {
			t.Fatalf("price %v: idle connections are kept for %v, want %v", price, last, want)
		}
		if price == 0 {
			continue
		}
		if a := h.want(h.gauges(2*controlPeriod, 1, 4), ActionCloseIdle, 0); a.Duration != shortIdleTimeout {
			t.Fatalf("cores full: idle connections are kept for %v", a.Duration)
		}
	}
}

// While requests wait long to be read, a full table is better than more handshakes.
func TestIdleConnectionsStayWhileReadingIsLate(t *testing.T) {
	h := newHand(t, nil)
	for i, want := range []time.Duration{shortIdleTimeout, defaultIdleTimeout} { // read at once, then late
		if last := h.idle(1+uint64(i)*150, 150, 1000, time.Duration(i)*900*ms, 0); last != want {
			t.Fatalf("part %d: idle connections are kept for %v, want %v", i, last, want)
		}
	}
}

func TestCallRepeatedOnlyWhenProven(t *testing.T) {
	for outcome, again := range map[Outcome]bool{OutcomeRejected: true, OutcomeUnreachable: true, OutcomeNeverStarted: true, OutcomeFailed: false,
		OutcomeTimedOut: false, OutcomeConnectionLost: false, OutcomeUnknown: false} {
		h := newHand(t, nil)
		h.at(0, h.ask(1, 2))
		h.want(h.at(ms, Event{Kind: EventBlocked, Request: 1}), ActionPlaceCall, 1)
		out := h.at(ms, Event{Kind: EventCallCompleted, Request: 1, Outcome: outcome})
		out = append(out, h.gauges(200*ms, 0.1, 0)...)
		if got := find(out, ActionPlaceCall, 1) != nil; got != again {
			t.Errorf("outcome %d: call repeated %v, want %v", outcome, got, again)
		}
		if !again {
			h.want(out, ActionFail, 1)
		}
	}
}

func TestDrain(t *testing.T) {
	h := newHand(t, nil)
	for id := uint64(1); id < 20; id++ {
		h.at(0, h.ask(id, 0))
	}
	h.want(h.at(ms, Event{Kind: EventDrain, Deadline: h.now + 2*time.Second}), ActionSetHealth, 0)
	h.gauges(1100*ms, 1, 4)
	h.want(h.at(0, h.ask(90, 0)), ActionReject, 90)
	// of one that ran: nothing runs for it, and it was answered as failed in the last part of a
	// drain
	repeat := h.ask(91, 1)
	repeat.PriorRequest = 1
	h.want(h.at(0, repeat), ActionReuseResult, 91)
	h.gauges(900*ms, 1, 4)
	for id, r := range h.ctl.requests {
		if !r.answered {
			t.Fatalf("request %d unanswered at the stop", id)
		}
	}
}

func TestOddValues(t *testing.T) {
	nan, inf := math.NaN(), math.Inf(1)
	odd := []Event{
		{Kind: EventRequest, Request: 1, Deadline: time.Second, SizeKB: nan},
		{Kind: EventRequest, Request: 2, Class: 99, Tenant: 1 << 30, SizeKB: inf},
		{Kind: EventRequest, Request: 3, Class: -1, Tenant: -4, SizeKB: -5, QueueingDelay: -time.Hour},
		{Kind: EventRequest, Request: 4, ExpectedWork: math.MaxInt64, SizeKB: 1e300},
		{Kind: EventRequest, Request: 5, QueueingDelay: math.MaxInt64 / 4, SizeKB: 1},
		{Kind: EventCompleted, Request: 77}, {Kind: EventCallCompleted, Request: 4},
		{Kind: EventBlocked, Request: 5}, {Kind: EventAbandoned, Request: 78}, {Kind: 200, Request: 4},
		{Kind: EventTimer, Gauges: Gauges{CPU: nan, Runnable: inf, Memory: nan, Connections: nan}},
		{Kind: EventDrain}, {Kind: EventDrain, Deadline: -5},
	}
	h := newHand(t, nil)
	answered := map[uint64]int{}
	out := append(h.at(ms, odd...), h.gauges(4*time.Second, nan, nan)...)
	for _, a := range out {
		if a.Kind == ActionReject || a.Kind == ActionFail {
			answered[a.Request]++
		}
		if a.Kind == ActionAdvertise && !(a.Value >= 0 && a.Value < 1e9) {
			t.Errorf("value %v", a.Value)
		}
	}
	for id := uint64(1); id <= 5; id++ {
		if answered[id] != 1 {
			t.Errorf("request %d answered %d times", id, answered[id])
		}
	}
}

func BenchmarkHandle(b *testing.B) {
	h := newHand(b, nil)
	out, events := make([]Action, 0, 64), make([]Event, 1)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		h.now += ms
		events[0] = h.ask(uint64(i+1), 2)
		out = h.ctl.Handle(h.now, events, out[:0])
		events[0] = Event{Kind: EventCompleted, Request: uint64(i + 1), Outcome: OutcomeOK}
		out = h.ctl.Handle(h.now, events, out[:0])
	}
}

// Refused requests walk on to other servers and are read there, which costs a part of their work
// each time. Where half of what comes is turned away others have no room either, and callers are
// asked not to go on; one refusal among many served is no sign of that.
func TestRefusalsInAStormAskNotToWalk(t *testing.T) {
	for _, turnedAway := range []struct {
		share float64
		last  bool
	}{{0.2, false}, {0.6, true}} {
		h := newHand(t, nil)
		h.ctl.arrivals.rejectedShare = turnedAway.share
		h.at(tickInterval, timerEvent(1, 4))
		e := h.ask(3, 0)
		e.QueueingDelay = 1500 * ms // read far too late
		a := h.want(h.at(0, e), ActionReject, 3)
		if (a.Cause != CauseQueueingDelay && a.Cause != CauseObjectiveUnreachable) || a.NoRetry != turnedAway.last {
			t.Errorf("with %v turned away: %+v", turnedAway.share, a)
		}
	}
}

// A cold server offers all its callers no more than its pool in sum, also before it has heard them:
// each of thirty that asks for the first time was told the pool shared among the few before it,
// four times the pool together. Once warm none of it is kept back.
func TestColdCreditCountsCallersThatWereNotHeard(t *testing.T) {
	const callers = 30
	h := newHand(t, func(s *Settings) { s.WarmingUp, s.Callers = true, callers })
	told, said := 0.0, h.ctl.credit.advertised
	for id := uint64(1); id <= callers; id++ {
		e := h.ask(id, 0)
		e.Caller = uint32(id)
		if a := find(h.at(20*ms, e, timerEvent(0.1, 1), Event{Kind: EventCompleted, Request: id, Outcome: OutcomeOK}), ActionAdvertise, 0); a != nil {
			said = a.Value
		}
		told += said
	}
	if most := float64(h.ctl.settings.Cores) * 2; told > most {
		t.Errorf("thirty callers were told of %v together, and the pool began at %d", told, h.ctl.settings.Cores)
	}
	h.gauges(2*callerActiveTime, 0.1, 1)
	if v := h.ctl.credit.size / float64(max(h.ctl.callers.active, 1)); math.Abs(h.ctl.credit.advertised-v) > 2*h.ctl.parameters.AdvertiseStep*v {
		t.Errorf("warm it says %v, and could give %v", h.ctl.credit.advertised, v)
	}
}
