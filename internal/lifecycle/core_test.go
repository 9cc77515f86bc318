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
	"ryepaddle/internal/testing/scenario"
	"ryepaddle/internal/wallclock"
)

// table is a core with a clock, a back end and callers of the test's own. It sends `ask ID CLASS
// [KEY [DUE-MS]]`, `gone ID`, `end ID OUTCOME [RESULT]`, `need ID`, `called ID OUTCOME`, `drain MS`
// and `pass MS`; it sees `run ID`, `answer ID KIND [RESULT]`, `call ID` and `give-up ID`.
type table struct {
	*Manager
	now       time.Duration
	timers    []timer
	lastTimer int
	runs      map[string]*Attempt
	ids       map[string]Ticket
	seen      []string
	trails    []*Trace
}

type timer struct {
	at time.Duration
	fn func()
	n  int
}

type asker struct {
	t  *table
	id string
}

var kinds = map[Status]string{Served: "served", Rejected: "refused", Failed: "failed", Expired: "late"}

func (a asker) Answer(v Answer) {
	text := ""
	if v.Result != nil {
		text = string(v.Result.Body)
	}
	a.t.note("answer %s %s %s", a.id, kinds[v.Status], text)
}

func (t *table) note(format string, v ...any) {
	t.seen = append(t.seen, strings.TrimSpace(fmt.Sprintf(format, v...)))
}

func (t *table) Run(a *Attempt) {
	t.runs[a.Request.ID] = a
	t.note("run %s", a.Request.ID)
}
func (t *table) Abandon(*Attempt)                           {}
func (t *table) Resume(*Attempt, []byte)                    {}
func (t *table) Call(a *Attempt, _ []byte, _ time.Duration) { t.note("call %s", a.Request.ID) }
func (t *table) CancelCall(a *Attempt)                      { t.note("give-up %s", a.Request.ID) }

// Next implements scenario.Actor. All happens at once here, so nothing is waited for.
func (t *table) Next(time.Duration) (string, bool) {
	if len(t.seen) == 0 {
		return "", false
	}
	s := t.seen[0]
	t.seen = t.seen[1:]
	return s, true
}

func (t *table) Close() error { return nil }

var outcomes = map[string]Outcome{"fine": Succeeded, "fault": Faulted, "broken": Interrupted, "out-of-time": TimedOut,
	"stopped": Cancelled, "not-run": NotStarted, "away": CallRejected, "refused": Unreachable}

// Send implements scenario.Actor.
func (t *table) Send(w []string) error {
	w = append(w, "", "", "")
	switch w[0] {
	case "ask":
		class, _ := t.Class(w[2])
		due, _ := strconv.Atoi(w[4]) // none is 0: the class's
		tenant, ok := t.Tenant("north")
		if !ok {
			return fmt.Errorf("no tenant north")
		}
		t.ids[w[1]] = t.Submit(
			&Request{
				ID:        w[1],
				Class:     class,
				Tenant:    tenant,
				ArrivedAt: t.unix(),
				SizeKB:    1,
				Key:       w[3],
				Timeout:   time.Duration(due) * time.Millisecond,
				Responder: asker{t, w[1]},
			},
		)
	case "gone":
		t.Manager.Abandon(t.ids[w[1]])
	case "end":
		t.AttemptEnded(t.runs[w[1]], outcomes[w[2]], &Result{Body: []byte(w[3])})
	case "need":
		t.NeedsCall(t.runs[w[1]], []byte("body"))
	case "called":
		t.CallEnded(t.runs[w[1]], outcomes[w[2]], nil, time.Millisecond)
	case "drain", "pass":
		var ms time.Duration
		if _, err := fmt.Sscan(w[1], &ms); err != nil {
			return err
		}
		if w[0] == "drain" {
			t.Drain(ms * time.Millisecond)
			return nil
		}
		t.pass(ms * time.Millisecond)
	}
	return nil
}

// unix is a wall clock that began with the monotonic one.
func (t *table) unix() wallclock.UnixMicro { return wallclock.UnixMicro(t.now.Microseconds()) }

func (t *table) after(d time.Duration, fn func()) (stop func()) {
	t.lastTimer++
	n := t.lastTimer
	t.timers = append(t.timers, timer{t.now + d, fn, n})
	return func() { t.timers = slices.DeleteFunc(t.timers, func(v timer) bool { return v.n == n }) }
}

func (t *table) pass(d time.Duration) {
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

func newTable(t *testing.T, tries int) *table {
	t.Helper()
	return newTableBeside(t, tries, nil, 0)
}

// newTableAt is the table of a deployment that is told something else.
func newTableAt(t *testing.T, change func(*admission.Settings)) *table {
	t.Helper()
	return tableOf(t, 1, nil, 0, change)
}

// A keyed request that is held for longer than its window has kept its key: it runs, and a repeat
// that comes meanwhile waits for it.
func TestHeldLongerThanItsWindow(t *testing.T) {
	c := newTableAt(
		t,
		func(s *admission.Settings) {
			s.Cores, s.MaxRunningPerCore, s.Classes[1].IdempotencyWindow = 1, 1, time.Second
		},
	)
	scenario.Play(t, `
		core send ask 1 check
		core expect run 1
		core send ask 2 hand-in key
		core send pass 1010
		core send ask 3 hand-in key
		core send pass 140
		core send ask 4 hand-in key
		core send end 1 fine checked
		core expect answer 1 served checked
		core expect run 2
		core send end 2 fine graded
		core expect answer 3 served graded
		core expect answer 4 served graded
		core expect answer 2 served graded
		core expect nothing`, map[string]scenario.Actor{"core": c})
}

// A HUP during a drain does not lengthen the grace under which the notice was given.
func TestSettingsChangeDuringADrain(t *testing.T) {
	c := newTableAt(t, func(s *admission.Settings) { s.DrainGrace = time.Second })
	c.Drain(5 * time.Second)
	set := c.settings
	set.DrainGrace = 4 * time.Second
	if _, err := c.Configure(set); err != nil {
		t.Fatal(err)
	}
	scenario.Play(t, `
		core send pass 900
		core send ask 1 check
		core expect run 1
		core send pass 200
		core send ask 2 check
		core expect answer 2 refused`, map[string]scenario.Actor{"core": c})
}

// newTableBeside is the table of one of several processes of a runner.
func newTableBeside(t *testing.T, tries int, claims Reservations, life uint64) *table {
	t.Helper()
	return tableOf(t, tries, claims, life, func(*admission.Settings) {})
}

func tableOf(t *testing.T, tries int, claims Reservations, life uint64, change func(*admission.Settings)) *table {
	t.Helper()
	s := admission.Settings{
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
	change(&s)
	c := &table{now: time.Second, runs: map[string]*Attempt{}, ids: map[string]Ticket{}}
	clock := func() time.Duration { return c.now }
	var err error
	c.Manager, err = New(
		s,
		1,
		Environment{Now: clock, Unix: c.unix, SetHealth: func(_, _ bool) {}, Advertise: func(float64) {}, CloseIdle: func(time.Duration) {},
			After:   c.after,
			Measure: func(fn func(Gauges)) { fn(UnknownGauges()) },
			Route:   func(int) Runner { return c }, ShouldRetry: func(t RetryCandidate) bool { return t.Attempts < tries && t.Remaining > 0 }, Dependency: c, Log: func(e *logging.Event, values ...any) { t.Log(e.FormatLine(values...)) },
			Reservations: claims, Incarnation: life,
			OnAnswered: func(tr *Trace) { c.trails = append(c.trails, tr) }},
	)
	if err != nil {
		t.Fatal(err)
	}
	c.Start()
	return c
}

func TestRequestTable(t *testing.T) {
	for name, s := range map[string]struct {
		tries  int
		script string
	}{
		"one answer": {1, `
			core send ask 1 check
			core expect run 1
			core send end 1 fine ok
			core expect answer 1 served ok
			core send end 1 fine again
			core send gone 1
			core expect nothing`},
		"answered by its due time though it runs on": {1, `
			core send ask 1 check
			core expect run 1
			core send pass 3000
			core expect answer 1 late
			core send end 1 fine ok
			core expect nothing`},
		// Told of it, the module took such requests for old further tries, and gave them up early
		// under load.
		"a front's shorter deadline is kept by the core": {1, `
			core send ask 1 check - 500
			core expect run 1
			core send pass 400
			core expect nothing
			core send pass 100
			core expect answer 1 late
			core send end 1 fine ok
			core send ask 2 hand-in k 500
			core expect run 2
			core send pass 500
			core expect answer 2 late
			core send ask 3 hand-in k 500
			core send end 2 fine ok
			core expect answer 3 served ok
			core expect nothing`},
		// The window runs from the arrival of the try that ran, not from its end.
		"a key is remembered for its window and no longer": {1, `
			core send ask 1 hand-in k
			core expect run 1
			core send end 1 fine ok
			core expect answer 1 served ok
			core send pass 13000
			core send ask 2 hand-in k
			core expect answer 2 served ok
			core send pass 11000
			core send ask 3 hand-in k
			core expect run 3`},
		"a failed run is remembered too": {1, `
			core send ask 1 hand-in k
			core expect run 1
			core send ask 2 hand-in k
			core send end 1 fault
			core expect answer 2 failed
			core expect answer 1 failed
			core send ask 3 hand-in k
			core expect answer 3 failed`},
		"a late run still serves its repeats": {1, `
			core send ask 1 hand-in k
			core expect run 1
			core send gone 1
			core send pass 2000
			core send ask 2 hand-in k
			core send end 1 fine ok
			core expect answer 2 served ok`},
		"a repeat that nobody waits for is not answered": {1, `
			core send ask 1 hand-in k
			core expect run 1
			core send ask 2 hand-in k
			core send gone 2
			core send end 1 fine ok
			core expect answer 1 served ok
			core expect nothing`},
		"what never ran may be tried again, by the same key": {1, `
			core send ask 1 hand-in k
			core expect run 1
			core send ask 2 hand-in k
			core send end 1 refused
			core expect answer 2 refused
			core expect answer 1 refused
			core send ask 3 hand-in k
			core expect run 3`},
		"what may have had its effect is sent again only where that is safe": {3, `
			core send ask 1 hand-in k
			core expect run 1
			core send end 1 refused
			core expect run 1
			core send end 1 broken
			core expect answer 1 failed
			core send ask 2 check
			core expect run 2
			core send end 2 broken
			core expect run 2
			core send end 2 broken
			core expect run 2
			core send end 2 broken
			core expect answer 2 failed
			core expect nothing`},
		"a call is given up with its request": {1, `
			core send ask 1 check
			core expect run 1
			core send need 1
			core expect call 1
			core send gone 1
			core expect give-up 1
			core send called 1 fine
			core send end 1 stopped
			core expect nothing`},
		"nothing runs that comes late in a drain": {1, `
			core send ask 1 check
			core expect run 1
			core send drain 3200
			core send pass 1700
			core send ask 2 check
			core expect run 2
			core send pass 200
			core send ask 3 check
			core expect answer 3 refused
			core send end 2 fine ok
			core expect answer 2 served ok
			core send pass 1100
			core expect answer 1 late
			core expect nothing`},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTable(t, s.tries)
			scenario.Play(t, s.script, map[string]scenario.Actor{"core": c})
			open := 0
			for _, r := range c.requests {
				if !r.answered {
					open++
				}
			}
			// Each request has a timer of the front's deadline at most, beside the one look round.
			if len(c.timers) > 1+len(c.requests) || len(c.openIDs) != len(c.requests) {
				t.Errorf("%d timers, %d names, %d requests", len(c.timers), len(c.openIDs), len(c.requests))
			}
			if open != c.OpenRequests() {
				t.Errorf("%d requests are open, %d by the count", open, c.OpenRequests())
			}
		})
	}
}

// Such settings were turned down: no runner of a deployment started whose engine could stop work,
// or whose calls might be left out.
func TestSettingsThatAllowMore(t *testing.T) {
	for name, change := range map[string]func(*admission.Settings){
		"work may be stopped": func(s *admission.Settings) { s.Cancel = admission.CancelDiscard },
		"and goes on later":   func(s *admission.Settings) { s.Cancel = admission.CancelSuspend },
		"calls may be left out": func(s *admission.Settings) {
			s.Classes[0].DegradedWeightFraction, s.Classes[1].DegradedWeightFraction = 0.5, 0.5
		},
		"reads share results": func(s *admission.Settings) { s.ResultMaxAge = time.Second },
		"no tenants":          func(s *admission.Settings) { s.Tenants = nil },
	} {
		t.Run(name, func(t *testing.T) {
			c := newTableAt(t, change)
			scenario.Play(t, `
				core send ask 1 check
				core send ask 2 hand-in k
				core expect run 1
				core expect run 2
				core send need 1
				core expect call 1
				core send called 1 fault
				core send pass 60
				core expect call 1
				core send called 1 fine
				core send end 1 fine one
				core expect answer 1 served one
				core send ask 3 hand-in k
				core send end 2 fine two
				core expect answer 3 served two
				core expect answer 2 served two
				core send ask 4 check
				core expect run 4
				core send pass 3000
				core expect answer 4 late
				core send end 4 fine ok
				core expect nothing`, map[string]scenario.Actor{"core": c})
		})
	}
}

// What earlier lives kept is answered from memory, whatever the module thinks: a result, an end
// without one, and doubt. Keys of classes and tenants that there are not any more are left out, and
// more keys than the table holds keep new ones out.
func TestRestore(t *testing.T) {
	c := newTable(t, 1)
	c.keys.limits.Keys = 4
	key := func(class, name string) KeyRecord {
		return KeyRecord{Class: class, Key: name, ExpiresAt: c.unix().Add(5 * time.Second), BodyHash: hashBody(&Request{})}
	}
	served, failed, doubt := key("hand-in", "served"), key("hand-in", "failed"), key("hand-in", "doubt")
	served.Ended, served.Result = true, &Result{Status: 200, Body: []byte("kept")}
	failed.Ended, failed.Status = true, Expired
	stranger := key("hand-in", "x")
	stranger.Tenant = "nobody"
	if strange := c.Restore([]KeyRecord{served, failed, doubt, key("gone", "x"), stranger, key("hand-in", "fourth")}); strange != 2 {
		t.Errorf("%d are strange", strange)
	}
	for _, want := range []struct {
		key    string
		kind   Status
		reason Reason
	}{{"served", Served, 0}, {"failed", Expired, 0}, {"doubt", Failed, InDoubt}, {"new", Rejected, 0}} {
		var got Answer
		class, _ := c.Class("hand-in")
		c.Submit(
			&Request{
				ID:        want.key,
				Class:     class,
				Tenant:    -1,
				ArrivedAt: c.unix(),
				Key:       want.key,
				Responder: told(func(a Answer) { got = a }),
			},
		)
		if got.Status != want.kind || got.Reason != want.reason ||
			got.Status == Served && string(got.Result.Body) != "kept" {
			t.Errorf("%s: %+v", want.key, got)
		}
	}
}

type told func(Answer)

func (fn told) Answer(a Answer) { fn(a) }

// A server's clock and that of its front are set to one time: whichever comes first, the same is
// told.
func TestDeadlineCause(t *testing.T) {
	for _, script := range []string{"core send pass 500", "core send end 1 out-of-time"} {
		c := newTable(t, 1)
		scenario.Play(
			t,
			"core send ask 1 check - 500\ncore expect run 1\n"+script+"\ncore expect answer 1 late",
			map[string]scenario.Actor{"core": c},
		)
		if len(c.trails) != 1 || c.trails[0].Cause != CauseDeadline ||
			c.trails[0].Attempts[0].Outcome != TimedOut {
			t.Errorf("%s: %+v", script, c.trails)
		}
	}
}

// On sockets the front leaves a moment after the grace.
func TestDrainCause(t *testing.T) {
	c := newTable(t, 1)
	scenario.Play(
		t,
		"core send drain 5000\ncore send pass 1900\ncore send ask 1 check\ncore expect answer 1 refused",
		map[string]scenario.Actor{"core": c},
	)
	if len(c.trails) != 1 || c.trails[0].Cause != Cause(admission.CauseDraining) ||
		c.trails[0].Value <= c.trails[0].Limit {
		t.Errorf("%+v", c.trails)
	}
}
