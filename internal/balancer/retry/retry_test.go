package retry

import (
	"testing"

	"pgregory.net/rapid"
)

func TestWhatIsNeverTriedAgain(t *testing.T) {
	fine := FailedAttempt{Class: 0, NeverRan: true, Attempts: 1, MaxAttempts: 3, TimeLeft: 1000, TimeNeeded: 100}
	for _, c := range []struct {
		change func(*FailedAttempt)
		want   Decision
	}{
		{func(*FailedAttempt) {}, Allowed},
		{func(q *FailedAttempt) { q.HasSideEffects = true }, Allowed},
		{func(q *FailedAttempt) { q.NeverRan = false }, Allowed},
		{func(q *FailedAttempt) { q.HasSideEffects, q.NeverRan = true, false }, MayHaveRun},
		{func(q *FailedAttempt) { q.Attempts = 3 }, AttemptsExhausted},
		{func(q *FailedAttempt) { q.TimeLeft = 99 }, TooLittleTime},
		{func(q *FailedAttempt) { q.TimeLeft, q.TimeNeeded = 0, 0 }, TooLittleTime},
	} {
		q := fine
		c.change(&q)
		if got := New(DefaultConfig(), 1).Allow(q, 1); got != c.want {
			t.Errorf("%+v: %v, want %v", q, got, c.want)
		}
	}
}

// Whatever is asked, the retries of a class and of all stay within the budget at any time, a class
// that is quiet has its own, and a refusal costs nothing.
func TestTheBudgetHolds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := Config{
			Ratio:     rapid.Float64Range(0, 1).Draw(rt, "share"),
			MinTokens: rapid.Float64Range(1, 30).Draw(rt, "spare"),
			DecayTime: 10_000_000,
		}
		b := New(cfg, 2)
		var firsts, granted [2]float64
		now := int64(1)
		for range 500 {
			now += rapid.Int64Range(0, 1_000_000).Draw(rt, "wait")
			class := rapid.IntRange(0, 1).Draw(rt, "class")
			if rapid.Bool().Draw(rt, "first") {
				b.RecordFirstAttempt(class, now)
				firsts[class]++
				continue
			}
			b.Allow(FailedAttempt{Class: class}, now) // what time takes off is off
			left := b.TokensLeft()
			switch r := b.Allow(FailedAttempt{Class: class, NeverRan: true, MaxAttempts: 9, TimeLeft: 1}, now); r {
			case Allowed:
				granted[class]++
			case ClassBudgetExhausted, TotalBudgetExhausted:
				if b.TokensLeft() != left {
					rt.Fatal("a refusal costs something")
				}
			default:
				rt.Fatal(r)
			}
			const rounding = 1e-6
			for c := range granted {
				if granted[c] > cfg.MinTokens+cfg.Ratio*firsts[c]+rounding {
					rt.Fatalf("class %d: %v retries of %v first tries", c, granted[c], firsts[c])
				}
			}
			if granted[0]+granted[1] > cfg.MinTokens+cfg.Ratio*(firsts[0]+firsts[1])+rounding {
				rt.Fatalf("%v retries of %v first tries", granted, firsts)
			}
		}
	})
	now := int64(1)
	ask := func(b *Budget, class int) Decision {
		return b.Allow(FailedAttempt{Class: class, NeverRan: true, MaxAttempts: 9, TimeLeft: 1}, now)
	}
	b := New(Config{Ratio: 0.1, MinTokens: 10, DecayTime: 10_000_000}, 2)
	for range 100 {
		b.RecordFirstAttempt(0, now)
		ask(b, 0)
	}
	if got := ask(b, 0); got != ClassBudgetExhausted && got != TotalBudgetExhausted {
		t.Errorf("after 100 failures: %v", got)
	}
	b.Configure(Config{Ratio: 0.5, MinTokens: 2}, 3)
	b.RecordFirstAttempt(2, now) // a class that is new
}

// What a busy hour earned is there when many servers die at once, and a day later it is not.
func TestWhatIsSavedUp(t *testing.T) {
	b := New(DefaultConfig(), 1)
	now := int64(1)
	for range 60_000 { // a minute, a thousand a second
		now += 1000
		b.RecordFirstAttempt(0, now)
	}
	if got := b.TokensLeft(); got < 1900 || got > 2100 {
		t.Errorf("%.0f retries are saved up, want those of 10 s, 2000", got)
	}
	now += 100_000_000
	b.RecordFirstAttempt(0, now)
	if got := b.TokensLeft(); got > 21 {
		t.Errorf("%.1f are left after a quiet while, want about 20", got)
	}
}
