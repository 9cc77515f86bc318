package lifecycle

import (
	"testing"
	"time"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/testing/scenario"
)

// A request that is queued for longer than its idempotency window keeps its key: it runs, and
// duplicates that arrive meanwhile wait for it.
func TestKeyOutlivesQueueingBeyondWindow(t *testing.T) {
	c := newTestManagerWith(
		t,
		func(s *admission.Settings) {
			s.Cores, s.MaxRunningPerCore, s.Classes[1].IdempotencyWindow = 1, 1, time.Second
		},
	)
	scenario.Play(t, `
		manager send ask 1 check
		manager expect run 1
		manager send ask 2 hand-in key
		manager send pass 1010
		manager send ask 3 hand-in key
		manager send pass 140
		manager send ask 4 hand-in key
		manager send end 1 fine checked
		manager expect answer 1 served checked
		manager expect run 2
		manager send end 2 fine graded
		manager expect answer 3 served graded
		manager expect answer 4 served graded
		manager expect answer 2 served graded
		manager expect nothing`, map[string]scenario.Actor{"manager": c})
}

// A change of the settings during a drain does not change the grace of the drain.
func TestDrainGraceIsKeptOverSettingsChange(t *testing.T) {
	c := newTestManagerWith(t, func(s *admission.Settings) { s.DrainGrace = time.Second })
	c.Drain(5 * time.Second)
	set := c.settings
	set.DrainGrace = 4 * time.Second
	if _, err := c.Configure(set); err != nil {
		t.Fatal(err)
	}
	scenario.Play(t, `
		manager send pass 900
		manager send ask 1 check
		manager expect run 1
		manager send pass 200
		manager send ask 2 check
		manager expect answer 2 refused`, map[string]scenario.Actor{"manager": c})
}

// requestsAreAnsweredOnceCases are the cases of TestRequestsAreAnsweredOnce.
var requestsAreAnsweredOnceCases = map[string]struct {
	maxAttempts int
	script      string
}{
	"one answer": {1, `
			manager send ask 1 check
			manager expect run 1
			manager send end 1 fine ok
			manager expect answer 1 served ok
			manager send end 1 fine again
			manager send gone 1
			manager expect nothing`},
	"answered by its deadline though it runs on": {1, `
			manager send ask 1 check
			manager expect run 1
			manager send pass 3000
			manager expect answer 1 late
			manager send end 1 fine ok
			manager expect nothing`},
	// The shorter deadline is not passed to the admission controller, which would take the request for
	// an old retry.
	"a shorter deadline of the frontend is enforced": {1, `
			manager send ask 1 check - 500
			manager expect run 1
			manager send pass 400
			manager expect nothing
			manager send pass 100
			manager expect answer 1 late
			manager send end 1 fine ok
			manager send ask 2 hand-in k 500
			manager expect run 2
			manager send pass 500
			manager expect answer 2 late
			manager send ask 3 hand-in k 500
			manager send end 2 fine ok
			manager expect answer 3 served ok
			manager expect nothing`},
	// The window counts from the arrival of the request that ran, not from its end.
	"a key is remembered for its window and no longer": {1, `
			manager send ask 1 hand-in k
			manager expect run 1
			manager send end 1 fine ok
			manager expect answer 1 served ok
			manager send pass 13000
			manager send ask 2 hand-in k
			manager expect answer 2 served ok
			manager send pass 11000
			manager send ask 3 hand-in k
			manager expect run 3`},
	"a failed run is remembered too": {1, `
			manager send ask 1 hand-in k
			manager expect run 1
			manager send ask 2 hand-in k
			manager send end 1 fault
			manager expect answer 2 failed
			manager expect answer 1 failed
			manager send ask 3 hand-in k
			manager expect answer 3 failed`},
	"the result of an abandoned run is sent to its duplicates": {1, `
			manager send ask 1 hand-in k
			manager expect run 1
			manager send gone 1
			manager send pass 2000
			manager send ask 2 hand-in k
			manager send end 1 fine ok
			manager expect answer 2 served ok`},
	"an abandoned duplicate is not answered": {1, `
			manager send ask 1 hand-in k
			manager expect run 1
			manager send ask 2 hand-in k
			manager send gone 2
			manager send end 1 fine ok
			manager expect answer 1 served ok
			manager expect nothing`},
	"a key whose run never began may be used again": {1, `
			manager send ask 1 hand-in k
			manager expect run 1
			manager send ask 2 hand-in k
			manager send end 1 refused
			manager expect answer 2 refused
			manager expect answer 1 refused
			manager send ask 3 hand-in k
			manager expect run 3`},
	"an interrupted attempt is retried only if it is idempotent": {3, `
			manager send ask 1 hand-in k
			manager expect run 1
			manager send end 1 refused
			manager expect run 1
			manager send end 1 broken
			manager expect answer 1 failed
			manager send ask 2 check
			manager expect run 2
			manager send end 2 broken
			manager expect run 2
			manager send end 2 broken
			manager expect run 2
			manager send end 2 broken
			manager expect answer 2 failed
			manager expect nothing`},
	"a call is cancelled with its request": {1, `
			manager send ask 1 check
			manager expect run 1
			manager send need 1
			manager expect call 1
			manager send gone 1
			manager expect give-up 1
			manager send called 1 fine
			manager send end 1 stopped
			manager expect nothing`},
	"a request that arrives late in a drain is rejected": {1, `
			manager send ask 1 check
			manager expect run 1
			manager send drain 3200
			manager send pass 1700
			manager send ask 2 check
			manager expect run 2
			manager send pass 200
			manager send ask 3 check
			manager expect answer 3 refused
			manager send end 2 fine ok
			manager expect answer 2 served ok
			manager send pass 1100
			manager expect answer 1 late
			manager expect nothing`},
}

func TestRequestsAreAnsweredOnce(t *testing.T) {
	for name, s := range requestsAreAnsweredOnceCases {
		t.Run(name, func(t *testing.T) {
			c := newTestManager(t, s.maxAttempts)
			scenario.Play(t, s.script, map[string]scenario.Actor{"manager": c})
			open := 0
			for _, r := range c.requests {
				if !r.answered {
					open++
				}
			}
			// Beside the timer of the manager, each request has at most one timer, for its deadline.
			if len(c.timers) > 1+len(c.requests) || len(c.openIDs) != len(c.requests) {
				t.Errorf("%d timers and %d open IDs for %d requests, want at most one more timer and as many IDs",
					len(c.timers), len(c.openIDs), len(c.requests))
			}
			if open != c.OpenRequests() {
				t.Errorf("%d requests are not answered, but OpenRequests() = %d", open, c.OpenRequests())
			}
		})
	}
}

// Settings for features that this program does not support are accepted, and the features stay off:
// runs that may be cancelled or suspended, calls that may be omitted, and shared results of reads.
func TestSettingsThatAllowMoreAreAccepted(t *testing.T) {
	for name, change := range map[string]func(*admission.Settings){
		"runs may be cancelled": func(s *admission.Settings) { s.Cancel = admission.CancelDiscard },
		"runs may be suspended": func(s *admission.Settings) { s.Cancel = admission.CancelSuspend },
		"calls may be omitted": func(s *admission.Settings) {
			s.Classes[0].DegradedWeightFraction, s.Classes[1].DegradedWeightFraction = 0.5, 0.5
		},
		"reads share results": func(s *admission.Settings) { s.ResultMaxAge = time.Second },
		"no tenants":          func(s *admission.Settings) { s.Tenants = nil },
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestManagerWith(t, change)
			scenario.Play(t, `
				manager send ask 1 check
				manager send ask 2 hand-in k
				manager expect run 1
				manager expect run 2
				manager send need 1
				manager expect call 1
				manager send called 1 fault
				manager send pass 60
				manager expect call 1
				manager send called 1 fine
				manager send end 1 fine one
				manager expect answer 1 served one
				manager send ask 3 hand-in k
				manager send end 2 fine two
				manager expect answer 3 served two
				manager expect answer 2 served two
				manager send ask 4 check
				manager expect run 4
				manager send pass 3000
				manager expect answer 4 late
				manager send end 4 fine ok
				manager expect nothing`, map[string]scenario.Actor{"manager": c})
		})
	}
}

// Duplicates of runs in earlier processes are answered from the restored keys: with the result, as a
// run without a result, or as in doubt. Keys of unknown classes and tenants are left out, and a table
// that is full accepts no new keys.
func TestRestoredKeysAreAnsweredFromMemory(t *testing.T) {
	c := newTestManager(t, 1)
	c.keys.limits.Keys = 4
	key := func(class, name string) KeyRecord {
		return KeyRecord{
			Class:     class,
			Key:       name,
			ExpiresAt: c.unix().Add(5 * time.Second),
			BodyHash:  hashBody(&Request{}),
		}
	}
	served, failed, doubt := key("hand-in", "served"), key("hand-in", "failed"), key("hand-in", "doubt")
	served.Ended, served.Result = true, &Result{Status: 200, Body: []byte("cached")}
	failed.Ended, failed.Status = true, Expired
	unknownTenant := key("hand-in", "x")
	unknownTenant.Tenant = "nobody"
	stored := []KeyRecord{served, failed, doubt, key("gone", "x"), unknownTenant, key("hand-in", "fourth")}
	if unknown := c.Restore(stored); unknown != 2 {
		t.Errorf("Restore() = %d unknown keys, want 2", unknown)
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
				Responder: responderFunc(func(a Answer) { got = a }),
			},
		)
		if got.Status != want.kind || got.Reason != want.reason ||
			got.Status == Served && string(got.Result.Body) != "cached" {
			t.Errorf("key %s: answer = %+v, want status %d, reason %q and, if served, the cached result",
				want.key, got, want.kind, want.reason)
		}
	}
}

// A timeout of the frontend and the timer of the server's run expire at the same time. Whichever fires
// first, the trace has the same cause.
func TestFrontendDeadlineIsCauseOfTimeout(t *testing.T) {
	for _, script := range []string{"manager send pass 500", "manager send end 1 out-of-time"} {
		c := newTestManager(t, 1)
		scenario.Play(
			t,
			"manager send ask 1 check - 500\nmanager expect run 1\n"+script+"\nmanager expect answer 1 late",
			map[string]scenario.Actor{"manager": c},
		)
		if len(c.traces) != 1 || c.traces[0].Cause != CauseDeadline ||
			c.traces[0].Attempts[0].Outcome != TimedOut {
			t.Errorf("%s: traces = %+v, want one with CauseDeadline and an attempt that timed out", script, c.traces)
		}
	}
}

// A request that arrives after the grace of a drain is rejected, and its trace has the cause.
func TestRejectionInDrainHasCause(t *testing.T) {
	c := newTestManager(t, 1)
	scenario.Play(
		t,
		"manager send drain 5000\nmanager send pass 1900\nmanager send ask 1 check\nmanager expect answer 1 refused",
		map[string]scenario.Actor{"manager": c},
	)
	if len(c.traces) != 1 || c.traces[0].Cause != Cause(admission.CauseDraining) ||
		c.traces[0].Value <= c.traces[0].Limit {
		t.Errorf("traces = %+v, want one with CauseDraining and a value above its limit", c.traces)
	}
}
