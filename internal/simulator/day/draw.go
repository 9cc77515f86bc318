package day

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/simulator/dependencies"
	"ryepaddle/internal/simulator/virtualclock"
)

const (
	creditTTL     = time.Second // how long balancers keep the free value in mind
	maxRetryAfter = time.Second // the longest advice that they observe
)

const microsPerSecond = 1e6

// millis and seconds convert the figures of a scenario, cut to whole microseconds.
func millis(ms float64) time.Duration { return virtualclock.FromMicros(ms * 1000) }
func seconds(s float64) time.Duration { return virtualclock.FromMicros(s * microsPerSecond) }

// Arrival is one first try.
type Arrival struct {
	At       time.Duration // from the start of the day
	Class    int
	Tenant   int
	Balancer int
	Work     float64 // of its run, without reading
	Calls    []float64
	SizeKB   float64
	Rank     float64
	ID       uint64
	InShare  bool // within its tenant's share
}

// Runner is one runner of the fleet.
type Runner struct {
	Name string
	Zone int
	Spec dependencies.MachineSpec
}

// Balancer is one balancer.
type Balancer struct {
	Kind          int
	Zone          int
	FollowsAdvice bool
}

// Event is one trouble, settled.
type Event struct {
	Kind         string
	At, Duration time.Duration
	Runners      []int
	Factor       float64
	Zone         int
}

// Day is one draw of a scenario.
type Day struct {
	Spec            *Spec
	Seed            uint64
	Length          time.Duration
	Runners         []Runner
	Balancers       []Balancer
	Backend         dependencies.BackendSpec
	CallWork        float64 // of one call, on an idle back end
	Arrivals        []Arrival
	Events          []Event
	CrossZoneMicros float64
	RequestRate     float64   // first tries a second, at times 1 of the curve
	Capacity        float64   // requests a second that the cores can do
	Quotas          []float64 // requests a second in each tenant's share
	KeyKB           float64
	HoldKB          float64
	MeanWorkMs      []float64 // mean of each class
	MeanCalls       []float64
	Settings        admission.Settings // of a warm runner
}

func drawFrom(r *rand.Rand, v Range) float64 { return v.Lo + (v.Hi-v.Lo)*r.Float64() }

// Draw settles a day. The same scenario and seed give the same day.
func Draw(s *Spec, seed uint64) *Day {
	d := &Day{Spec: s, Seed: seed, Length: seconds(s.LengthS)}
	d.drawFleet()
	d.drawBackEnd()
	d.drawBalancers()
	d.drawEvents()
	d.drawSettings()
	if s.replay != nil {
		d.replayArrivals()
	} else {
		d.drawArrivals()
	}
	return d
}

func (d *Day) drawFleet() {
	f, r := &d.Spec.Fleet, Stream(d.Seed, "fleet", 0)
	classes := Stream(d.Seed, "classes", 0)
	mean, shares := 0.0, 0.0
	for _, c := range d.Spec.Classes {
		work := drawFrom(classes, c.WorkMs)
		d.MeanWorkMs = append(d.MeanWorkMs, work)
		d.MeanCalls = append(d.MeanCalls, drawFrom(classes, c.Calls))
		mean += c.Share * work * 1000
		shares += c.Share
	}
	mean /= shares
	read := drawFrom(r, f.ReadShare) * mean
	d.HoldKB = drawFrom(r, f.HoldKB)
	m := dependencies.MachineSpec{
		Cores:             f.Cores,
		Thrash:            drawFrom(r, f.Thrash),
		ThrashAt:          drawFrom(r, f.ThrashAt),
		ReadWork:          read,
		Backlog:           f.Backlog,
		RunFactor:         f.RunFactor,
		ConcurrencyLimit:  f.CrowdLimit,
		ConcurrencyWindow: millis(f.CrowdMs),
		WarmUpSpeed: drawFrom(
			r,
			f.ColdFrom,
		),
		WarmUpTime:       seconds(drawFrom(r, f.ColdS)),
		WarmUpCallFactor: drawFrom(r, f.ColdCalls),
	}
	m.MemoryKB = drawFrom(r, f.MemoryRuns) * float64(f.Cores) * f.RunFactor * d.HoldKB
	d.CrossZoneMicros = drawFrom(r, f.CrossMs) * 1000
	n := int(math.Round(drawFrom(r, f.Runners)))
	fleet := 0.0
	for i := range n {
		one := m
		one.Speed = drawFrom(Stream(d.Seed, "speed", uint64(i)), f.Speed)
		fleet += one.Speed * float64(f.Cores)
		d.Runners = append(
			d.Runners,
			Runner{Name: "n" + strconv.Itoa(i+1), Zone: i % len(f.Halls), Spec: one},
		)
	}
	d.Capacity = fleet * microsPerSecond / (mean + read)
	d.RequestRate = drawFrom(r, d.Spec.Load.OfCapacity) * d.Capacity
	if d.Spec.Load.RateS > 0 {
		d.RequestRate = d.Spec.Load.RateS
	}
	keyed, window := 0.0, 0.0
	for _, c := range d.Spec.Classes {
		if c.Effect == "keyed" {
			keyed += c.Share / shares
			window = max(window, c.WindowMs/1000)
		}
	}
	d.KeyKB = drawFrom(r, f.KeyRoom) * m.MemoryKB / max(d.Capacity/float64(n)*keyed*window, 1)
}

func (d *Day) drawBackEnd() {
	b, r := &d.Spec.BackEnd, Stream(d.Seed, "backend", 0)
	calls, shares := 0.0, 0.0
	for i, c := range d.Spec.Classes {
		calls += c.Share * d.MeanCalls[i]
		shares += c.Share
	}
	d.Backend = dependencies.BackendSpec{
		Slots:           drawFrom(r, b.Slots),
		Thrash:          drawFrom(r, b.Thrash),
		RejectsOverload: b.Sheds,
		CrashFactor:     b.Fall,
		CrashWindow:     millis(b.FallMs),
		RestartTime:     seconds(drawFrom(r, b.DownS)),
		CancelLinger:    millis(b.LingerMs),
	}
	if rate := drawFrom(r, b.Headroom) * d.Capacity * calls / shares; rate > 0 {
		d.CallWork = d.Backend.Slots / rate * microsPerSecond
	}
}

func (d *Day) drawBalancers() {
	r := Stream(d.Seed, "balancers", 0)
	for k, kind := range d.Spec.Balancers {
		for range kind.Count {
			d.Balancers = append(d.Balancers, Balancer{Kind: k, Zone: r.IntN(len(d.Spec.Fleet.Halls)),
				FollowsAdvice: r.Float64() < kind.Heeds})
		}
	}
}

func (d *Day) drawEvents() {
	for i, t := range d.Spec.Troubles {
		r := Stream(d.Seed, "trouble", uint64(i))
		e := Event{
			Kind:     t.Kind,
			At:       seconds(drawFrom(r, t.AtS)),
			Duration: seconds(drawFrom(r, t.ForS)),
			Factor:   drawFrom(r, t.Times),
			Zone:     -1,
		}
		for h, name := range d.Spec.Fleet.Halls {
			if name == t.Hall {
				e.Zone = h
			}
		}
		var in []int
		for i, one := range d.Runners {
			if e.Zone < 0 || one.Zone == e.Zone {
				in = append(in, i)
			}
		}
		r.Shuffle(len(in), func(a, b int) { in[a], in[b] = in[b], in[a] })
		n := int(math.Round(drawFrom(r, t.Part) * float64(len(d.Runners))))
		e.Runners = in[:min(n, len(in))]
		if t.Odds == 0 || r.Float64() < t.Odds {
			d.Events = append(d.Events, e)
		}
	}
}

// rateFactor is the rate curve at a time, with the bursts.
func (d *Day) rateFactor(at time.Duration) float64 {
	v, curve := 1.0, d.Spec.Load.Curve
	for i, p := range curve {
		x := virtualclock.Micros(at) / microsPerSecond
		switch {
		case i == 0 && x <= p.AtS || i == len(curve)-1 && x >= p.AtS:
			v = p.Times
		case i > 0 && x >= curve[i-1].AtS && x < p.AtS:
			o := curve[i-1]
			v = o.Times + (p.Times-o.Times)*(x-o.AtS)/(p.AtS-o.AtS)
		}
	}
	for _, e := range d.Events {
		if e.Kind == Burst && at >= e.At && at < e.At+e.Duration {
			v *= e.Factor
		}
	}
	return v
}

// lognormal draws by mean and coefficient of variation; without variation it is the mean.
func lognormal(mean, cv float64, src rand.Source) float64 {
	if cv <= 0 {
		return mean
	}
	s2 := math.Log(1 + cv*cv)
	return distuv.LogNormal{Mu: math.Log(mean) - s2/2, Sigma: math.Sqrt(s2), Src: src}.Rand()
}

func categorical(n int, of func(i int) float64, src rand.Source) distuv.Categorical {
	w := make([]float64, n)
	for i := range w {
		w[i] = of(i)
	}
	return distuv.NewCategorical(w, src)
}

// drawArrivals draws first tries as a Poisson stream whose rate follows the curve and, where the
// load is bursty, a level that changes a few times a second. Each request draws what it is from its
// own stream.
func (d *Day) drawArrivals() {
	spec, src := d.Spec, Stream(d.Seed, "arrivals", 0)
	most := 0.0
	for at := time.Duration(0); at <= d.Length; at += 100 * time.Millisecond {
		most = max(most, d.rateFactor(at))
	}
	if most*d.RequestRate <= 0 {
		return
	}
	burst := drawFrom(Stream(d.Seed, "burstiness", 0), spec.Load.Burstiness)
	const levelFor, levelMost = 250 * time.Millisecond, 4.0
	level := func(at time.Duration) float64 {
		return min(lognormal(1, burst, Stream(d.Seed, "level", uint64(at/levelFor))), levelMost)
	}
	top := most * d.RequestRate
	if burst > 0 {
		top *= levelMost
	}
	classes, cvs := make([]float64, len(spec.Classes)), d.drawVariations()
	for i, c := range spec.Classes {
		classes[i] = c.Share
	}
	ranks := d.classRanks()
	gap := distuv.Exponential{Rate: top / microsPerSecond, Src: src}
	share := d.newQuotas()
	now, lastLevel, levelAt := 0.0, 1.0, time.Duration(-1)
	for id := uint64(1); ; {
		now += gap.Rand()
		at := virtualclock.FromMicros(now)
		if at >= d.Length {
			return
		}
		rate := d.rateFactor(at) * d.RequestRate
		if burst > 0 {
			if at/levelFor != levelAt {
				levelAt, lastLevel = at/levelFor, level(at)
			}
			rate *= lastLevel
		}
		if src.Float64()*top >= rate {
			continue
		}
		a := Arrival{At: at, ID: id}
		id++
		r := Stream(d.Seed, "request", a.ID)
		a.Class = int(categorical(len(classes), func(i int) float64 { return classes[i] }, r).Rand())
		a.Tenant = int(
			categorical(len(spec.Tenants), func(i int) float64 { return spec.Tenants[i].trafficShare() }, r).Rand(),
		)
		a.Balancer = int(
			categorical(
				len(d.Balancers),
				func(i int) float64 { return spec.Balancers[d.Balancers[i].Kind].Share },
				r,
			).Rand(),
		)
		d.drawRequest(&a, r, cvs, ranks)
		share.count(&a)
		d.Arrivals = append(d.Arrivals, a)
	}
}

const quotaBurst = 2 // seconds of a share that may come at once

// quotaBuckets tells which first tries are within their tenants' shares, whatever is done with them.
type quotaBuckets struct {
	rates, tokens []float64
	refilledAt    time.Duration
}

func (d *Day) newQuotas() *quotaBuckets {
	s := &quotaBuckets{rates: d.Quotas, tokens: make([]float64, len(d.Quotas))}
	for i, q := range s.rates {
		s.tokens[i] = quotaBurst * q
	}
	return s
}

// count takes the next first try, in the order of time.
func (s *quotaBuckets) count(a *Arrival) {
	for i := range s.tokens {
		s.tokens[i] = min(s.tokens[i]+s.rates[i]*virtualclock.Micros(a.At-s.refilledAt)/microsPerSecond, quotaBurst*s.rates[i])
	}
	s.refilledAt = a.At
	if a.InShare = s.tokens[a.Tenant] >= 1 || s.rates[a.Tenant] <= 0; a.InShare {
		s.tokens[a.Tenant] = max(s.tokens[a.Tenant]-1, 0)
	}
}

// drawVariations draws how much the work of each class varies.
func (d *Day) drawVariations() []float64 {
	cvs, r := make([]float64, len(d.Spec.Classes)), Stream(d.Seed, "cv", 0)
	for i, c := range d.Spec.Classes {
		cvs[i] = drawFrom(r, c.CV)
	}
	return cvs
}

// drawRequest draws what a request is beside its class, tenant and balancer.
func (d *Day) drawRequest(a *Arrival, r *rand.Rand, cvs []float64, ranks []float64) {
	a.Work = lognormal(d.MeanWorkMs[a.Class]*1000, cvs[a.Class], r)
	calls := 0
	if m := d.MeanCalls[a.Class]; m > 0 {
		calls = int(distuv.Poisson{Lambda: m, Src: r}.Rand())
	}
	for range calls {
		a.Calls = append(a.Calls, lognormal(d.CallWork, d.Spec.BackEnd.CV, r))
	}
	a.SizeKB = min(lognormal(d.HoldKB, 0.4, r), 1999)
	n := float64(len(d.Spec.Classes))
	a.Rank = min(ranks[a.Class]+r.Float64()/n, 1-1e-9)
}

// classRanks is where each class begins in the order of worth.
func (d *Day) classRanks() []float64 {
	out := make([]float64, len(d.Spec.Classes))
	for i, c := range d.Spec.Classes {
		for j, o := range d.Spec.Classes {
			if o.Worth < c.Worth || o.Worth == c.Worth && j < i {
				out[i] += 1 / float64(len(out))
			}
		}
	}
	return out
}

// CallExtra draws the further call of a cold runner at one of a request's calls.
func (d *Day) CallExtra(id uint64, runner, no int) (chance, work float64) {
	r := Stream(d.Seed, "extra", id<<16^uint64(runner)<<8^uint64(no))
	return r.Float64(), lognormal(d.CallWork, d.Spec.BackEnd.CV, r)
}

var effects = map[string]admission.Idempotency{
	"safe":   admission.Idempotent,
	"keyed":  admission.IdempotentWithKey,
	"unsafe": admission.NonIdempotent,
}

// drawSettings is what a runner is told of all this.
func (d *Day) drawSettings() {
	f, g := &d.Spec.Fleet, &d.Spec.Goal
	m := d.Runners[0].Spec
	set := admission.Settings{
		Servers:               len(d.Runners),
		Callers:               len(d.Balancers),
		Cores:                 f.Cores,
		MemoryKB:              m.MemoryKB,
		RunningMemoryFactor:   f.RunFactor,
		KeyMemoryKB:           d.KeyKB,
		CreditMode:            admission.CreditPerCaller,
		CreditLifetime:        creditTTL,
		DeepHealthChecks:      true,
		ReportsAbandoned:      true,
		IdleConnectionTimeout: 30 * time.Second,
		MaxRetryAfter:         maxRetryAfter,
		OverQuotaWeight:       g.OverWorth,
		DeadlineGrace:         millis(f.SlackMs),
		DrainGrace:            millis(f.DrainMs),
		MaxRunningPerCore:     f.CrowdLimit,
		MaxRunningWindow:      millis(f.CrowdMs),
		WarmUpInitialShare:    f.ColdFrom.Lo,
		WarmUpTime:            millis(f.ColdS.Hi * 1000),
	}
	for i, c := range d.Spec.Classes {
		set.Classes = append(
			set.Classes,
			admission.Class{Name: c.Name, LatencyObjective: millis(c.AimMs), Timeout: millis(c.DeadlineMs),
				IdempotencyWindow: millis(
					c.WindowMs,
				), Idempotency: effects[c.Effect],
				PriorityWeight:     c.Worth,
				LateWeightFraction: c.LateWorth,
				CallsDependency:    d.MeanCalls[i] > 0},
		)
		if d.MeanCalls[i] > 0 {
			set.Dependency = admission.DependencyShared
		}
	}
	if set.Dependency == admission.DependencyShared {
		set.CallQuota = d.Backend.CrashFactor * d.Backend.Slots / float64(len(d.Runners))
		set.CallQuotaWindow = d.Backend.CrashWindow
		set.AbandonedCallTime = d.Backend.CancelLinger
	}
	all := drawFrom(Stream(d.Seed, "quota", 0), g.QuotaOf) * d.Capacity
	shares := 0.0
	for _, t := range d.Spec.Tenants {
		shares += t.Share
	}
	for _, t := range d.Spec.Tenants {
		q := 0.0
		if shares > 0 {
			q = all * t.Share / shares
		}
		d.Quotas = append(d.Quotas, q)
		set.Tenants = append(set.Tenants, admission.Tenant{Name: t.Name, QuotaRate: q})
	}
	d.Settings = set
}
