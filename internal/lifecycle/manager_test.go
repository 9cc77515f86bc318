package lifecycle

import (
	"testing"
	"time"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/testing/scenario"
)

// A request that is queued for longer than its window keeps its key: it runs, and a duplicate that comes
// meanwhile waits for it.
func TestKeyOutlivesQueueingBeyondWindow(t *testing.T) {
	c := newTestManagerWith(
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

// Changed settings do not lengthen the grace under which a drain began.
func TestDrainGraceIsKeptOverSettingsChange(t *testing.T) {
	c := newTestManagerWith(t, func(s *admission.Settings) { s.DrainGrace = time.Second })
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

// requestsAreAnsweredOnceCases are cases of TestRequestsAreAnsweredOnce.
var requestsAreAnsweredOnceCases = map[string]struct {
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
	"answered by its deadline though it runs on": {1, `
			core send ask 1 check
			core expect run 1
			core send pass 3000
			core expect answer 1 late
			core send end 1 fine ok
			core expect nothing`},
	// The decision module does not know of the shorter deadline: it would take the request for an
	// old retry.
	"a shorter deadline of the frontend is enforced": {1, `
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
	// The window counts from the arrival of the request that ran, not from its end.
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
	"a late run still serves its duplicates": {1, `
			core send ask 1 hand-in k
			core expect run 1
			core send gone 1
			core send pass 2000
			core send ask 2 hand-in k
			core send end 1 fine ok
			core expect answer 2 served ok`},
	"an abandoned duplicate is not answered": {1, `
			core send ask 1 hand-in k
			core expect run 1
			core send ask 2 hand-in k
			core send gone 2
			core send end 1 fine ok
			core expect answer 1 served ok
			core expect nothing`},
	"a key whose run never began may be used again": {1, `
			core send ask 1 hand-in k
			core expect run 1
			core send ask 2 hand-in k
			core send end 1 refused
			core expect answer 2 refused
			core expect answer 1 refused
			core send ask 3 hand-in k
			core expect run 3`},
	"an interrupted attempt is retried only if it is idempotent": {3, `
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
	"a call is cancelled with its request": {1, `
			core send ask 1 check
			core expect run 1
			core send need 1
			core expect call 1
			core send gone 1
			core expect give-up 1
			core send called 1 fine
			core send end 1 stopped
			core expect nothing`},
	"a request that arrives late in a drain is rejected": {1, `
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
}

func TestRequestsAreAnsweredOnce(t *testing.T) {
	for name, s := range requestsAreAnsweredOnceCases {
		t.Run(name, func(t *testing.T) {
			c := newTestManager(t, s.tries)
			scenario.Play(t, s.script, map[string]scenario.Actor{"core": c})
			open := 0
			for _, r := range c.requests {
				if !r.answered {
					open++
				}
			}
			// Each request has at most a timer for its deadline, beside the one of the manager.
			if len(c.timers) > 1+len(c.requests) || len(c.openIDs) != len(c.requests) {
				t.Errorf("%d timers, %d IDs, %d requests", len(c.timers), len(c.openIDs), len(c.requests))
			}
			if open != c.OpenRequests() {
				t.Errorf("%d requests are open, %d by the count", open, c.OpenRequests())
			}
		})
	}
}

// Settings that allow more than this program can do are accepted: an engine that can stop work, and calls
// that may be omitted.
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

// Duplicates of runs in earlier processes are answered from memory: a result, an end without one, and
// doubt. Keys of unknown classes and tenants are left out, and a table with more keys than its limit
// accepts no new ones.
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
	served.Ended, served.Result = true, &Result{Status: 200, Body: []byte("kept")}
	failed.Ended, failed.Status = true, Expired
	stranger := key("hand-in", "x")
	stranger.Tenant = "nobody"
	stored := []KeyRecord{served, failed, doubt, key("gone", "x"), stranger, key("hand-in", "fourth")}
	if unknown := c.Restore(stored); unknown != 2 {
		t.Errorf("%d are unknown", unknown)
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
			got.Status == Served && string(got.Result.Body) != "kept" {
			t.Errorf("%s: %+v", want.key, got)
		}
	}
}

// The timers of the server and of the frontend are set to one time: whichever fires first, the cause is
// the same.
func TestFrontendDeadlineIsCauseOfTimeout(t *testing.T) {
	for _, script := range []string{"core send pass 500", "core send end 1 out-of-time"} {
		c := newTestManager(t, 1)
		scenario.Play(
			t,
			"core send ask 1 check - 500\ncore expect run 1\n"+script+"\ncore expect answer 1 late",
			map[string]scenario.Actor{"core": c},
		)
		if len(c.traces) != 1 || c.traces[0].Cause != CauseDeadline ||
			c.traces[0].Attempts[0].Outcome != TimedOut {
			t.Errorf("%s: %+v", script, c.traces)
		}
	}
}

// A request that arrives after the grace of a drain is rejected, and its trace says why.
func TestRejectionInDrainHasCause(t *testing.T) {
	c := newTestManager(t, 1)
	scenario.Play(
		t,
		"core send drain 5000\ncore send pass 1900\ncore send ask 1 check\ncore expect answer 1 refused",
		map[string]scenario.Actor{"core": c},
	)
	if len(c.traces) != 1 || c.traces[0].Cause != Cause(admission.CauseDraining) ||
		c.traces[0].Value <= c.traces[0].Limit {
		t.Errorf("%+v", c.traces)
	}
}
