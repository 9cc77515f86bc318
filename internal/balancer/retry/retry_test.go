package retry

import (
	"testing"

	"pgregory.net/rapid"
)

func TestWhatIsNeverTriedAgain(t *testing.T) {
	fine := Question{Class: 0, Proven: true, Tries: 1, Most: 3, Left: 1000, Need: 100}
	for _, c := range []struct {
		change func(*Question)
		want   Reason
	}{
		{func(*Question) {}, Granted},
		{func(q *Question) { q.Effect = true }, Granted},
		{func(q *Question) { q.Proven = false }, Granted},
		{func(q *Question) { q.Effect, q.Proven = true, false }, MayHaveRun},
		{func(q *Question) { q.Tries = 3 }, NoMore},
		{func(q *Question) { q.Left = 99 }, NoTime},
		{func(q *Question) { q.Left, q.Need = 0, 0 }, NoTime},
	} {
		q := fine
		c.change(&q)
		if got := New(Standard(), 1).Ask(q, 1); got != c.want {
			t.Errorf("%+v: %v, want %v", q, got, c.want)
		}
	}
}

// Whatever is asked, the retries of a class and of all stay within the budget at any time, a class
// that is quiet has its own, and a refusal costs nothing.
func TestTheBudgetHolds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := Config{
			Share: rapid.Float64Range(0, 1).Draw(rt, "share"),
			Spare: rapid.Float64Range(1, 30).Draw(rt, "spare"),
			Keep:  10_000_000,
		}
		b := New(cfg, 2)
		var firsts, granted [2]float64
		now := int64(1)
		for range 500 {
			now += rapid.Int64Range(0, 1_000_000).Draw(rt, "wait")
			class := rapid.IntRange(0, 1).Draw(rt, "class")
			if rapid.Bool().Draw(rt, "first") {
				b.First(class, now)
				firsts[class]++
				continue
			}
			b.Ask(Question{Class: class}, now) // what time takes off is off
			left := b.Left()
			switch r := b.Ask(Question{Class: class, Proven: true, Most: 9, Left: 1}, now); r {
			case Granted:
				granted[class]++
			case ClassSpent, WholeSpent:
				if b.Left() != left {
					rt.Fatal("a refusal costs something")
				}
			default:
				rt.Fatal(r)
			}
			const rounding = 1e-6
			for c := range granted {
				if granted[c] > cfg.Spare+cfg.Share*firsts[c]+rounding {
					rt.Fatalf("class %d: %v retries of %v first tries", c, granted[c], firsts[c])
				}
			}
			if granted[0]+granted[1] > cfg.Spare+cfg.Share*(firsts[0]+firsts[1])+rounding {
				rt.Fatalf("%v retries of %v first tries", granted, firsts)
			}
		}
	})
	now := int64(1)
	ask := func(b *Budget, class int) Reason {
		return b.Ask(Question{Class: class, Proven: true, Most: 9, Left: 1}, now)
	}
	b := New(Config{Share: 0.1, Spare: 10, Keep: 10_000_000}, 2)
	for range 100 {
		b.First(0, now)
		ask(b, 0)
	}
	if got := ask(b, 0); got != ClassSpent && got != WholeSpent {
		t.Errorf("after 100 failures: %v", got)
	}
	b.Configure(Config{Share: 0.5, Spare: 2}, 3)
	b.First(2, now) // a class that is new
}

// What a busy hour earned is there when many servers die at once, and a day later it is not.
func TestWhatIsSavedUp(t *testing.T) {
	b := New(Standard(), 1)
	now := int64(1)
	for range 60_000 { // a minute, a thousand a second
		now += 1000
		b.First(0, now)
	}
	if got := b.Left(); got < 1900 || got > 2100 {
		t.Errorf("%.0f retries are saved up, want those of 10 s, 2000", got)
	}
	now += 100_000_000
	b.First(0, now)
	if got := b.Left(); got > 21 {
		t.Errorf("%.1f are left after a quiet while, want about 20", got)
	}
}
