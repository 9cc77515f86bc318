package lifecycle

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/telemetry/logging"
	"ryepaddle/internal/wallclock"
)

// testManager is a scenario.Actor: a manager with a simulated clock, runner, back end and callers.
// Scripts send it the commands `ask ID CLASS [KEY [TIMEOUT-MS]]`, `gone ID`, `end ID OUTCOME [RESULT]`,
// `need ID`, `called ID OUTCOME`, `drain MS` and `pass MS`, and expect the events `run ID`, `answer ID
// STATUS [RESULT]`, `call ID` and `give-up ID`.
type testManager struct {
	*Manager
	now       time.Duration
	timers    []timer
	lastTimer int
	runs      map[string]*Attempt
	tickets   map[string]Ticket
	seen      []string
	traces    []*Trace
}

func (t *testManager) note(format string, v ...any) {
	t.seen = append(t.seen, strings.TrimSpace(fmt.Sprintf(format, v...)))
}

func (t *testManager) Run(a *Attempt) {
	t.runs[a.Request.ID] = a
	t.note("run %s", a.Request.ID)
}

func (t *testManager) Abandon(*Attempt) {}

func (t *testManager) Resume(*Attempt, []byte) {}

func (t *testManager) Call(a *Attempt, _ []byte, _ time.Duration) { t.note("call %s", a.Request.ID) }

func (t *testManager) CancelCall(a *Attempt) { t.note("give-up %s", a.Request.ID) }

// Next implements scenario.Actor. It never waits, as all events of a command occur during Send.
func (t *testManager) Next(time.Duration) (string, bool) {
	if len(t.seen) == 0 {
		return "", false
	}
	s := t.seen[0]
	t.seen = t.seen[1:]
	return s, true
}

func (t *testManager) Close() error { return nil }

// Send implements scenario.Actor.
func (t *testManager) Send(w []string) error {
	w = append(w, "", "", "")
	switch w[0] {
	case "ask":
		class, _ := t.Class(w[2])
		timeoutMs, _ := strconv.Atoi(w[4]) // 0 if it is not given: the timeout of the class
		tenant, ok := t.Tenant("north")
		if !ok {
			return fmt.Errorf("the settings have no tenant named north")
		}
		t.tickets[w[1]] = t.Submit(
			&Request{
				ID:        w[1],
				Class:     class,
				Tenant:    tenant,
				ArrivedAt: t.unix(),
				SizeKB:    1,
				Key:       w[3],
				Timeout:   time.Duration(timeoutMs) * time.Millisecond,
				Responder: testResponder{t, w[1]},
			},
		)
	case "gone":
		t.Manager.Abandon(t.tickets[w[1]])
	case "end":
		t.AttemptEnded(t.runs[w[1]], outcomeWords[w[2]], &Result{Body: []byte(w[3])})
	case "need":
		t.NeedsCall(t.runs[w[1]], []byte("body"))
	case "called":
		t.CallEnded(t.runs[w[1]], outcomeWords[w[2]], nil, time.Millisecond)
	case "drain", "pass":
		var ms time.Duration
		if _, err := fmt.Sscan(w[1], &ms); err != nil {
			return err
		}
		if w[0] == "drain" {
			t.Drain(ms * time.Millisecond)
			return nil
		}
		t.advance(ms * time.Millisecond)
	}
	return nil
}

// unix is a wall clock that started together with the monotonic clock.
func (t *testManager) unix() wallclock.UnixMicro { return wallclock.UnixMicro(t.now.Microseconds()) }

func (t *testManager) after(d time.Duration, fn func()) (stop func()) {
	t.lastTimer++
	n := t.lastTimer
	t.timers = append(t.timers, timer{t.now + d, fn, n})
	return func() { t.timers = slices.DeleteFunc(t.timers, func(v timer) bool { return v.n == n }) }
}

// advance advances the clock and calls the timers that are due, in order.
func (t *testManager) advance(d time.Duration) {
	for end := t.now + d; ; {
		next := -1
		for i := range t.timers {
			if t.timers[i].at <= end && (next < 0 || t.timers[i].at < t.timers[next].at) {
				next = i
			}
		}
		if next < 0 {
			t.now = end
			return
		}
		due := t.timers[next]
		t.timers = append(t.timers[:next], t.timers[next+1:]...)
		t.now = max(t.now, due.at)
		due.fn()
	}
}

type timer struct {
	at time.Duration
	fn func()
	n  int
}

type testResponder struct {
	manager *testManager
	id      string
}

func (a testResponder) Answer(v Answer) {
	text := ""
	if v.Result != nil {
		text = string(v.Result.Body)
	}
	a.manager.note("answer %s %s %s", a.id, statusWords[v.Status], text)
}

// The words that scripts use for statuses and outcomes.
var statusWords = map[Status]string{Served: "served", Rejected: "refused", Failed: "failed", Expired: "late"}

var outcomeWords = map[string]Outcome{
	"fine":        Succeeded,
	"fault":       Faulted,
	"broken":      Interrupted,
	"out-of-time": TimedOut,
	"stopped":     Cancelled,
	"not-run":     NotStarted,
	"away":        CallRejected,
	"refused":     Unreachable,
}

// testSettings returns settings with an idempotent class and a class that is idempotent with a key.
func testSettings() admission.Settings {
	return admission.Settings{
		Cores:                 4,
		MemoryKB:              50_000,
		RunningMemoryFactor:   8,
		KeyMemoryKB:           100,
		MaxRunningPerCore:     6,
		WarmUpInitialShare:    0.2,
		Dependency:            admission.DependencyShared,
		CallQuota:             20,
		CallQuotaWindow:       5 * time.Second,
		AbandonedCallTime:     200 * time.Millisecond,
		ReportsAbandoned:      true,
		DrainGrace:            1800 * time.Millisecond,
		Servers:               3,
		IdleConnectionTimeout: 30 * time.Second,
		Tenants:               []admission.Tenant{{Name: "north"}},
		Classes: []admission.Class{
			{
				Name:               "check",
				LatencyObjective:   time.Second,
				Timeout:            3 * time.Second,
				PriorityWeight:     1,
				LateWeightFraction: 0.2,
				CallsDependency:    true,
			},
			{
				Name:               "hand-in",
				LatencyObjective:   time.Second,
				Timeout:            2500 * time.Millisecond,
				PriorityWeight:     3,
				LateWeightFraction: 0.2,
				Idempotency:        admission.IdempotentWithKey,
				IdempotencyWindow:  13020 * time.Millisecond,
				CallsDependency:    true,
			}},
	}
}

// newTestManager returns a started manager that gives each request up to maxAttempts attempts.
func newTestManager(t *testing.T, maxAttempts int) *testManager {
	t.Helper()
	return newTestProcess(t, maxAttempts, nil, 0)
}

// newTestManagerWith returns a started manager with changed settings.
func newTestManagerWith(t *testing.T, change func(*admission.Settings)) *testManager {
	t.Helper()
	return newTestManagerOf(t, 1, nil, 0, change)
}

// newTestProcess returns the started manager of one of several processes of a runner.
func newTestProcess(
	t *testing.T,
	maxAttempts int,
	reservations Reservations,
	incarnation uint64,
) *testManager {
	t.Helper()
	return newTestManagerOf(t, maxAttempts, reservations, incarnation, func(*admission.Settings) {})
}

func newTestManagerOf(
	t *testing.T,
	maxAttempts int,
	reservations Reservations,
	incarnation uint64,
	change func(*admission.Settings),
) *testManager {
	t.Helper()
	settings := testSettings()
	change(&settings)
	c := &testManager{now: time.Second, runs: map[string]*Attempt{}, tickets: map[string]Ticket{}}
	clock := func() time.Duration { return c.now }
	var err error
	c.Manager, err = New(
		settings,
		1,
		Environment{
			Now:       clock,
			Unix:      c.unix,
			After:     c.after,
			Measure:   func(fn func(Gauges)) { fn(UnknownGauges()) },
			SetHealth: func(_, _ bool) {},
			Advertise: func(float64) {},
			CloseIdle: func(time.Duration) {},
			Route:     func(int) Runner { return c },
			ShouldRetry: func(r RetryCandidate) bool {
				return r.Attempts < maxAttempts && r.Remaining > 0
			},
			Dependency:   c,
			Log:          func(e *logging.Event, values ...any) { t.Log(e.FormatLine(values...)) },
			Reservations: reservations,
			Incarnation:  incarnation,
			OnAnswered:   func(tr *Trace) { c.traces = append(c.traces, tr) },
		},
	)
	if err != nil {
		t.Fatal(err)
	}
	c.Start()
	return c
}

type responderFunc func(Answer)

func (fn responderFunc) Answer(a Answer) { fn(a) }
