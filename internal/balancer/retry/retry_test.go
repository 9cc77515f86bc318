package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestRequestsThatMustNotBeRetriedAreRefused(t *testing.T) {
	retryable := FailedAttempt{
		NeverRan:    true,
		Attempts:    1,
		MaxAttempts: 3,
		TimeLeft:    time.Millisecond,
		TimeNeeded:  100 * time.Microsecond,
	}
	for _, c := range []struct {
		change func(*FailedAttempt)
		want   Decision
	}{
		{func(*FailedAttempt) {}, Allowed},
		{func(a *FailedAttempt) { a.HasSideEffects = true }, Allowed},
		{func(a *FailedAttempt) { a.NeverRan = false }, Allowed},
		{func(a *FailedAttempt) { a.HasSideEffects, a.NeverRan = true, false }, MayHaveRun},
		{func(a *FailedAttempt) { a.Attempts = 3 }, AttemptsExhausted},
		{func(a *FailedAttempt) { a.TimeLeft = 99 * time.Microsecond }, TooLittleTime},
		{func(a *FailedAttempt) { a.TimeLeft, a.TimeNeeded = 0, 0 }, TooLittleTime},
	} {
		attempt := retryable
		c.change(&attempt)
		if got := New(DefaultConfig(), 1).Allow(attempt, time.Microsecond); got != c.want {
			t.Errorf("Allow(%+v) = %v, want %v", attempt, got, c.want)
		}
	}
}

// failedAttempt returns a failed attempt that only the budget can keep from being retried.
func failedAttempt(class int) FailedAttempt {
	return FailedAttempt{Class: class, NeverRan: true, MaxAttempts: 9, TimeLeft: time.Microsecond}
}

func TestRetriesStayWithinTheBudgetOfTheClassAndTheTotal(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := Config{
			Ratio:     rapid.Float64Range(0, 1).Draw(rt, "ratio"),
			MinTokens: rapid.Float64Range(1, 30).Draw(rt, "min tokens"),
			DecayTime: 10 * time.Second,
		}
		b := New(cfg, 2)
		var firsts, granted [2]float64
		now := time.Microsecond
		for range 500 {
			now += time.Duration(rapid.Int64Range(0, 1_000_000).Draw(rt, "wait")) * time.Microsecond
			class := rapid.IntRange(0, 1).Draw(rt, "class")
			if rapid.Bool().Draw(rt, "first") {
				b.RecordFirstAttempt(class, now)
				firsts[class]++
				continue
			}
			b.Allow(FailedAttempt{Class: class}, now) // is refused, but lets the tokens decay up to now
			left := b.TokensLeft()
			switch decision := b.Allow(failedAttempt(class), now); decision {
			case Allowed:
				granted[class]++
			case ClassBudgetExhausted, TotalBudgetExhausted:
				if b.TokensLeft() != left {
					rt.Fatal("a refused retry took a token from the total budget")
				}
			default:
				rt.Fatal("decision is neither Allowed nor an exhausted budget: ", decision)
			}
			const rounding = 1e-6
			for c := range granted {
				if granted[c] > cfg.MinTokens+cfg.Ratio*firsts[c]+rounding {
					rt.Fatalf("class %d: %v retries allowed after %v first attempts, more than its budget",
						c, granted[c], firsts[c])
				}
			}
			if granted[0]+granted[1] > cfg.MinTokens+cfg.Ratio*(firsts[0]+firsts[1])+rounding {
				rt.Fatalf("retries allowed by class: %v after %v first attempts, more than the total budget",
					granted, firsts)
			}
		}
	})
}

func TestBudgetIsExhaustedByFailuresAndTakesANewClass(t *testing.T) {
	now := time.Microsecond
	b := New(Config{Ratio: 0.1, MinTokens: 10, DecayTime: 10 * time.Second}, 2)
	for range 100 {
		b.RecordFirstAttempt(0, now)
		b.Allow(failedAttempt(0), now)
	}
	if got := b.Allow(failedAttempt(0), now); got != ClassBudgetExhausted && got != TotalBudgetExhausted {
		t.Errorf("Allow() after 100 failures = %v, want an exhausted budget", got)
	}
	b.Configure(Config{Ratio: 0.5, MinTokens: 2}, 3)
	b.RecordFirstAttempt(2, now)
}

func TestTokensAreSavedForTheDecayTime(t *testing.T) {
	b := New(DefaultConfig(), 1)
	now := time.Microsecond
	for range 60_000 { // one minute with 1,000 requests per second
		now += time.Millisecond
		b.RecordFirstAttempt(0, now)
	}
	if got := b.TokensLeft(); got < 1900 || got > 2100 {
		t.Errorf("TokensLeft() after a minute = %.0f, want about 2000, those earned in 10 s", got)
	}
	now += 100 * time.Second
	b.RecordFirstAttempt(0, now)
	if got := b.TokensLeft(); got > 21 {
		t.Errorf("TokensLeft() after 100 s without requests = %.1f, want about 20", got)
	}
}
