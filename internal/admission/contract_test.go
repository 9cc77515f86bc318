package admission

import (
	"strings"
	"testing"
	"time"
)

// TestContract checks the actions for random valid events against the rules of the service.
func TestContract(t *testing.T) {
	for name, change := range settingsVariants() {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(4) {
				s := testSettings()
				change(&s)
				k := newChecker(t, s, seed)
				k.runLifetime()
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
					t.Fatalf("seed %d: %d requests reused a result, want at least 20", seed, k.reused)
				}
				if started < 20 {
					t.Fatalf("seed %d: %d of %d requests ran, want at least 20", seed, started, len(k.all))
				}
			}
		})
	}
}

// mutation changes the actions of a controller so that they break a rule.
type mutation func(*checker, []Action) []Action

// dropActions drops all actions of a kind.
func dropActions(kind ActionKind) mutation {
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

// rejectInsteadOfFailing turns failures into rejections, which promise that nothing ran.
func rejectInsteadOfFailing(_ *checker, out []Action) []Action {
	for i := range out {
		if out[i].Kind == ActionFail {
			out[i].Kind = ActionReject
		}
	}
	return out
}

// startRejectedInDrain starts the requests that are rejected during a drain.
func startRejectedInDrain(k *checker, out []Action) []Action {
	for i := range out {
		if k.drainAt > 0 && out[i].Kind == ActionReject {
			out[i].Kind = ActionStart
		}
	}
	return out
}

// startAll starts all queued requests at once.
func startAll(k *checker, out []Action) []Action {
	for _, s := range k.live {
		if s.state == queued {
			out = append(out, Action{Kind: ActionStart, Request: s.id})
		}
	}
	return out
}

// placeAllCalls places all waiting calls at once.
func placeAllCalls(k *checker, out []Action) []Action {
	for _, s := range k.live {
		if s.state == awaitingCall && !s.answered && !s.callMayHaveRun {
			out = append(out, Action{Kind: ActionPlaceCall, Request: s.id, Duration: time.Millisecond})
		}
	}
	return out
}

// TestCheckerCatches checks that the checker reports each rule that a mutation breaks.
func TestCheckerCatches(t *testing.T) {
	for name, c := range map[string]struct {
		want   rule
		mutate mutation
	}{
		"answers dropped":       {ruleOneAnswer, dropActions(ActionFail)},
		"keys not remembered":   {ruleNoDuplicate, dropActions(ActionRememberKey)},
		"rejected after it ran": {ruleNoDuplicate, rejectInsteadOfFailing},
		"late start":            {ruleDrain, startRejectedInDrain},
		"all started":           {ruleCapacity, startAll},
		"calls past the quota":  {ruleCapacity, placeAllCalls},
	} {
		t.Run(name, func(t *testing.T) {
			s := testSettings()
			s.CallQuota = 2 // low, so that calls soon exceed it
			k := newChecker(t, s, 1)
			k.mutate = c.mutate
			k.runLifetime()
			if all := strings.Join(k.problems, "\n"); !strings.Contains(all, string(c.want)+":") {
				t.Fatalf("want a violation of rule %q, got:\n%s", c.want, all)
			}
		})
	}
}
