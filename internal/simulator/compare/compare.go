package compare

import (
	"context"
	"fmt"
	"math"
	"sync"

	"ryepaddle/internal/simulator/day"
	"ryepaddle/internal/simulator/fleet"
)

// Player simulates days. It is safe for concurrent use.
type Player interface {
	// Play simulates the day of a seed. With another noise the balancers and the network make other random
	// choices on the same day.
	Play(ctx context.Context, seed, noise uint64) (*fleet.Run, error)
}

// Local simulates the days of a scenario in this process.
type Local struct {
	Spec    *day.Spec
	Options fleet.Options
}

// Play implements Player.
func (l Local) Play(_ context.Context, seed, noise uint64) (*fleet.Run, error) {
	options := l.Options
	options.BalancerSeed = noise
	return fleet.Play(day.Draw(l.Spec, seed), options)
}

// Plan configures a comparison.
type Plan struct {
	Seed    uint64  // of the first day; it grows by 1 with each further day
	Days    int     // maximum on each side; less than 1 means 1
	Width   float64 // half width of the score's interval at which the comparison stops; see also narrowShare
	Alpha   float64 // probability of reporting a difference by chance; 0 means 0.05
	Workers int     // number of simulations at once; less than 1 means 1
	// Independent draws the random choices of the balancers and the network independently for the two sides.
	// Days stay paired, but these choices no longer cancel out: comparisons of a side with itself then show
	// how often chance is taken for a difference.
	Independent bool
	// Progress, if not nil, is called after each simulation with the number of days done and Plan.Days.
	Progress func(done, limit int)
}

// Pair is a day on both sides.
type Pair struct {
	Seed uint64     `json:"seed"`
	A    *fleet.Run `json:"a"`
	B    *fleet.Run `json:"b"`
}

// Outcome is the result of a comparison.
type Outcome struct {
	Model     int        `json:"model"` // version of the model
	Seed      uint64     `json:"seed"`
	Days      int        `json:"days"`
	Level     float64    `json:"level"`   // confidence level of the intervals: 1 - the alpha of the last analysis
	Verdict   string     `json:"verdict"` // on the score: Better, Worse or None
	Stopped   string     `json:"stopped"` // why no more days were simulated
	Estimates []Estimate `json:"estimates"`
	Pairs     []Pair     `json:"-"`
}

const (
	defaultAlpha = 0.05
	// narrowShare is the half width, as a share of the difference, at which the score's interval is narrow
	// enough even if it exceeds Plan.Width.
	narrowShare = 0.25
)

// Run compares B with A. Its outcome does not depend on the number of workers.
func Run(ctx context.Context, plan Plan, a, b Player) (*Outcome, error) {
	if plan.Alpha == 0 {
		plan.Alpha = defaultAlpha
	}
	days, alphas := interimAnalyses(max(plan.Days, 1), plan.Alpha)
	out := &Outcome{Model: fleet.Version, Seed: plan.Seed}
	for k, count := range days {
		pairs, err := play(ctx, plan, len(out.Pairs), count, a, b)
		if err != nil {
			return nil, err
		}
		out.Pairs = append(out.Pairs, pairs...)
		out.Days = count
		out.Level = 1 - alphas[k]
		out.Estimates = nil
		for _, m := range Metrics(out.Pairs[0].A) {
			out.Estimates = append(out.Estimates, estimate(m, out.Pairs, alphas[k]))
		}
		score := out.Estimates[0]
		out.Verdict = score.Shown
		if half := (score.Hi - score.Lo) / 2; half <= max(plan.Width, narrowShare*math.Abs(score.Diff)) {
			out.Stopped = "the interval is narrow enough"
			return out, nil
		}
	}
	out.Stopped = "the limit of days is reached"
	return out, nil
}

// play simulates the days with the indices from to to-1 on both sides.
func play(ctx context.Context, plan Plan, from, to int, a, b Player) ([]Pair, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	pairs := make([]Pair, to-from)
	progress := progressOf(plan, 2*from)
	err := ParallelEach(ctx, max(plan.Workers, 1), 2*len(pairs), func(i int) (err error) {
		pair := &pairs[i/2]
		seed := plan.Seed + uint64(from+i/2)
		if i%2 == 0 {
			pair.Seed = seed
			pair.A, err = a.Play(ctx, seed, 0)
		} else {
			pair.B, err = b.Play(ctx, seed, noise(plan, seed))
		}
		progress()
		if err != nil {
			cancel()
			return fmt.Errorf("compare: day %d, side %c: %w", seed, 'A'+rune(i%2), err)
		}
		return nil
	})
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		return nil, err
	}
	return pairs, nil
}

// noise returns the noise of side B on a day; that of side A is 0.
func noise(plan Plan, seed uint64) uint64 {
	if plan.Independent {
		return day.Mix(seed, "independent", 1)
	}
	return 0
}

// progressOf returns a function that counts a simulation and calls Plan.Progress. done is the number of
// simulations before the first call; a day takes two, one of each side.
func progressOf(plan Plan, done int) func() {
	if plan.Progress == nil {
		return func() {}
	}
	var mu sync.Mutex
	return func() {
		mu.Lock()
		defer mu.Unlock()
		done++
		plan.Progress(done/2, plan.Days)
	}
}
