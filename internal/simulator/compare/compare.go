package compare

import (
	"context"
	"fmt"
	"math"
	"sync"

	"ryepaddle/internal/simulator/day"
	"ryepaddle/internal/simulator/fleet"
)

// Player plays days. It is used by several goroutines at once.
type Player interface {
	Play(ctx context.Context, seed, noise uint64) (*fleet.Run, error)
}

// Local plays a scenario in this process.
type Local struct {
	Spec    *day.Spec
	Options fleet.Options
}

// Play draws the day of a seed and plays it.
func (l Local) Play(_ context.Context, seed, noise uint64) (*fleet.Run, error) {
	o := l.Options
	o.BalancerSeed = noise
	return fleet.Play(day.Draw(l.Spec, seed), o)
}

// Plan is how a comparison is made.
type Plan struct {
	Seed    uint64  // the first day's; the others count on
	Days    int     // the most that are drawn
	Width   float64 // half a width of the score's interval that is narrow enough
	Alpha   float64 // 0: 0.05
	Workers int
	// Independent draws the choices of the two sides apart from each other. Days stay paired, but
	// chance no longer drops out: a thing compared with itself then shows how often chance passes
	// for a difference.
	Independent bool
	Progress    func(done, most int)
}

// Pair is one day on both sides.
type Pair struct {
	Seed uint64     `json:"seed"`
	A    *fleet.Run `json:"a"`
	B    *fleet.Run `json:"b"`
}

// Outcome is what a comparison came to.
type Outcome struct {
	Model int    `json:"model"`
	Seed  uint64 `json:"seed"`
	Days  int    `json:"days"`
	// of the intervals; over 0.95, since the looks share what may go wrong
	Level     float64    `json:"level"`
	Verdict   string     `json:"verdict"`
	Stopped   string     `json:"stopped"` // why no more days were drawn
	Estimates []Estimate `json:"estimates"`
	Pairs     []Pair     `json:"-"`
}

// near is the part of an estimate within which its interval is narrow enough, however wide.
const near = 0.25

// Run compares B with A.
func Run(ctx context.Context, plan Plan, a, b Player) (*Outcome, error) {
	if plan.Alpha == 0 {
		plan.Alpha = 0.05
	}
	at, spend := looks(max(plan.Days, 1), plan.Alpha)
	out := &Outcome{Model: fleet.Version, Seed: plan.Seed}
	for k, n := range at {
		more, err := play(ctx, plan, len(out.Pairs), n, a, b)
		if err != nil {
			return nil, err
		}
		out.Pairs = append(out.Pairs, more...)
		out.Days, out.Level = n, 1-spend[k]
		out.Estimates = nil
		for _, m := range Metrics(out.Pairs[0].A) {
			out.Estimates = append(out.Estimates, estimate(m, out.Pairs, spend[k]))
		}
		first := out.Estimates[0]
		out.Verdict = first.Shown
		if half := (first.Hi - first.Lo) / 2; half <= max(plan.Width, near*math.Abs(first.Diff)) {
			out.Stopped = "the interval is narrow enough"
			return out, nil
		}
	}
	out.Stopped = "the limit of days is reached"
	return out, nil
}

// play plays the days from one number to another, on both sides. Its result does not depend on the
// number of workers.
func play(ctx context.Context, plan Plan, from, to int, a, b Player) ([]Pair, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	pairs := make([]Pair, to-from)
	errs := make([]error, 2*len(pairs))
	next := make(chan int)
	var wg sync.WaitGroup
	var mu sync.Mutex
	done := 2 * from
	for range max(plan.Workers, 1) {
		wg.Go(func() {
			for i := range next {
				seed, noise := plan.Seed+uint64(from+i/2), uint64(0)
				p := &pairs[i/2]
				if i%2 == 0 {
					p.Seed = seed
					p.A, errs[i] = a.Play(ctx, seed, noise)
				} else {
					if plan.Independent {
						noise = day.Mix(seed, "independent", 1)
					}
					p.B, errs[i] = b.Play(ctx, seed, noise)
				}
				if errs[i] != nil {
					cancel()
				}
				mu.Lock()
				done++
				if plan.Progress != nil {
					plan.Progress(done/2, plan.Days)
				}
				mu.Unlock()
			}
		})
	}
	for i := range 2 * len(pairs) {
		if ctx.Err() != nil {
			break
		}
		next <- i
	}
	close(next)
	wg.Wait()
	for i, err := range errs {
		if err != nil {
			return nil, fmt.Errorf(
				"compare: day %d, side %c: %w",
				plan.Seed+uint64(from+i/2),
				'A'+rune(i%2),
				err,
			)
		}
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return pairs, nil
}
