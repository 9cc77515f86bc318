package day

import (
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"ryepaddle/internal/simulator/virtualclock"
)

const (
	curveStep       = 100 * time.Millisecond // steps in which the maximum of the rate curve is searched
	burstPeriod     = 250 * time.Millisecond // length of time for which a burst level applies
	maxBurstLevel   = 4.0                    // factor of the request rate
	sizeVariation   = 0.4                    // coefficient of variation of the memory of a queued request
	maxSizeKB       = 1999                   // memory of a queued request
	maxRank         = 1 - 1e-9
	noBurstDrawn    = -1  // value of burstLevels.period before the first draw
	steadyRateLevel = 1.0 // level of a load that is not bursty
)

// rateFactor returns the factor of the request rate at a time, which the load curve and the bursts among the
// faults determine.
func (d *Day) rateFactor(at time.Duration) float64 {
	factor := 1.0
	curve := d.Spec.Load.Curve
	for i, point := range curve {
		second := virtualclock.Micros(at) / microsPerSecond
		switch {
		case i == 0 && second <= point.AtS || i == len(curve)-1 && second >= point.AtS:
			factor = point.Times
		case i > 0 && second >= curve[i-1].AtS && second < point.AtS:
			previous := curve[i-1]
			change := point.Times - previous.Times
			factor = previous.Times + change*(second-previous.AtS)/(point.AtS-previous.AtS)
		}
	}
	for _, e := range d.Events {
		if e.Kind == Burst && at >= e.At && at < e.At+e.Duration {
			factor *= e.Factor
		}
	}
	return factor
}

// maxRateFactor returns the maximum of rateFactor over the day, found in steps of curveStep.
func (d *Day) maxRateFactor() float64 {
	highest := 0.0
	for at := time.Duration(0); at <= d.Length; at += curveStep {
		highest = max(highest, d.rateFactor(at))
	}
	return highest
}

// burstLevels draws the burst levels of a bursty load: factors of the request rate, each of which applies
// for a burstPeriod.
type burstLevels struct {
	seed       uint64
	burstiness float64 // coefficient of variation; 0: the load is not bursty
	period     int64   // number of the period of the last level
	level      float64 // last level
}

func (d *Day) newBurstLevels() *burstLevels {
	burstiness := drawFrom(Stream(d.Seed, "burstiness", 0), d.Spec.Load.Burstiness)
	return &burstLevels{seed: d.Seed, burstiness: burstiness, period: noBurstDrawn, level: steadyRateLevel}
}

// max returns an upper bound of the levels.
func (b *burstLevels) max() float64 {
	if b.burstiness > 0 {
		return maxBurstLevel
	}
	return steadyRateLevel
}

// at returns the level at a time. It must be called with times that do not decrease.
func (b *burstLevels) at(at time.Duration) float64 {
	if b.burstiness <= 0 {
		return steadyRateLevel
	}
	if period := int64(at / burstPeriod); period != b.period {
		b.period = period
		stream := Stream(b.seed, "level", uint64(period))
		b.level = min(lognormal(1, b.burstiness, stream), maxBurstLevel)
	}
	return b.level
}

// drawArrivals draws the requests as a Poisson process whose rate follows the load curve and, for a
// bursty load, the burst levels. Each request draws its properties from a stream of its own.
func (d *Day) drawArrivals() {
	maxRate := d.maxRateFactor() * d.RequestRate
	if maxRate <= 0 {
		return
	}
	bursts := d.newBurstLevels()
	maxRate *= bursts.max()
	source := Stream(d.Seed, "arrivals", 0)
	gap := distuv.Exponential{Rate: maxRate / microsPerSecond, Src: source}
	draws := d.newRequestDraws()
	quotas := d.newQuotas()
	now := 0.0 // microseconds
	for id := uint64(1); ; {
		now += gap.Rand()
		at := virtualclock.FromMicros(now)
		if at >= d.Length {
			return
		}
		rate := d.rateFactor(at) * d.RequestRate * bursts.at(at)
		if source.Float64()*maxRate >= rate { // thinning of a Poisson process with rate maxRate
			continue
		}
		a := Arrival{At: at, ID: id}
		id++
		r := Stream(d.Seed, "request", a.ID)
		d.drawOrigin(&a, r)
		draws.draw(&a, r)
		quotas.count(&a)
		d.Arrivals = append(d.Arrivals, a)
	}
}

// drawOrigin draws the class, the tenant and the balancer of a request.
func (d *Day) drawOrigin(a *Arrival, r *rand.Rand) {
	spec := d.Spec
	a.Class = drawIndex(len(spec.Classes), r, func(i int) float64 { return spec.Classes[i].Share })
	a.Tenant = drawIndex(len(spec.Tenants), r, func(i int) float64 { return spec.Tenants[i].trafficShare() })
	a.Balancer = drawIndex(len(d.Balancers), r, func(i int) float64 {
		return spec.Balancers[d.Balancers[i].Kind].Share
	})
}

// drawIndex draws an index below n with a probability in proportion to its weight.
func drawIndex(n int, source rand.Source, weight func(i int) float64) int {
	weights := make([]float64, n)
	for i := range weights {
		weights[i] = weight(i)
	}
	return int(distuv.NewCategorical(weights, source).Rand())
}

// requestDraws holds the parameters that are common to the draws of all requests of a day.
type requestDraws struct {
	day        *Day
	variations []float64 // coefficient of variation of the work, by class
	ranks      []float64 // lowest rank, by class
}

func (d *Day) newRequestDraws() *requestDraws {
	return &requestDraws{day: d, variations: d.drawVariations(), ranks: d.classRanks()}
}

// drawVariations draws the coefficient of variation of the work of each class.
func (d *Day) drawVariations() []float64 {
	variations := make([]float64, len(d.Spec.Classes))
	r := Stream(d.Seed, "cv", 0)
	for i, c := range d.Spec.Classes {
		variations[i] = drawFrom(r, c.CV)
	}
	return variations
}

// classRanks returns the lowest rank of each class. Ranks rise with the priority weights; the classes divide
// the range from 0 to 1 evenly.
func (d *Day) classRanks() []float64 {
	ranks := make([]float64, len(d.Spec.Classes))
	for i, c := range d.Spec.Classes {
		for j, other := range d.Spec.Classes {
			if other.Worth < c.Worth || other.Worth == c.Worth && j < i {
				ranks[i] += 1 / float64(len(ranks))
			}
		}
	}
	return ranks
}

// draw draws the work, the calls, the size and the rank of a request.
func (q *requestDraws) draw(a *Arrival, r *rand.Rand) {
	d := q.day
	a.Work = lognormal(d.MeanWorkMs[a.Class]*microsPerMilli, q.variations[a.Class], r)
	calls := 0
	if mean := d.MeanCalls[a.Class]; mean > 0 {
		calls = int(distuv.Poisson{Lambda: mean, Src: r}.Rand())
	}
	for range calls {
		a.Calls = append(a.Calls, lognormal(d.CallWork, d.Spec.BackEnd.CV, r))
	}
	a.SizeKB = min(lognormal(d.HoldKB, sizeVariation, r), maxSizeKB)
	classes := float64(len(d.Spec.Classes))
	a.Rank = min(q.ranks[a.Class]+r.Float64()/classes, maxRank)
}
