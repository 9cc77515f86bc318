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
	microsPerMilli  = 1e3
	microsPerSecond = 1e6
	millisPerSecond = 1e3
)

// Arrival is a request of a client.
type Arrival struct {
	At       time.Duration // from the start of the day
	Class    int           // index
	Tenant   int           // index
	Balancer int           // index
	Work     float64       // of the run, in microseconds of a core of speed 1
	Calls    []float64     // work of each call, in microseconds of a slot of the back end
	SizeKB   float64       // memory while it is queued
	Rank     float64       // by priority weight, in [0, 1)
	ID       uint64
	InShare  bool // the request is within its tenant's quota
}

// Runner is a runner of the fleet.
type Runner struct {
	Name string
	Zone int // index in Fleet.Zones
	Spec dependencies.MachineSpec
}

// Balancer is a balancer in front of the fleet.
type Balancer struct {
	Kind          int // index in Spec.Balancers
	Zone          int // index in Fleet.Zones
	FollowsAdvice bool
}

// AllZones is the Event.Zone of an event that is not limited to a zone.
const AllZones = -1

// Event is a drawn fault of a day.
type Event struct {
	Kind         string
	At, Duration time.Duration
	Runners      []int   // indices of the runners that it hits
	Factor       float64 // of the slowdown or of the request rate
	Zone         int     // index in Fleet.Zones, or AllZones
}

// Day is a day drawn from a scenario.
type Day struct {
	Spec            *Spec
	Seed            uint64
	Length          time.Duration
	Runners         []Runner
	Balancers       []Balancer
	Backend         dependencies.BackendSpec
	CallWork        float64 // mean work of a call, in microseconds of a slot of the back end
	Arrivals        []Arrival
	Events          []Event
	CrossZoneMicros float64            // mean delay between zones, one way
	RequestRate     float64            // requests per second where the load curve is 1
	Capacity        float64            // requests per second that all cores can process
	Quotas          []float64          // requests per second of each tenant
	KeyKB           float64            // memory of an idempotency key
	HoldKB          float64            // mean memory of a queued request
	MeanWorkMs      []float64          // by class
	MeanCalls       []float64          // of a request, by class
	Settings        admission.Settings // of a runner that has warmed up
}

// drawFrom draws a number uniformly from a range.
func drawFrom(r *rand.Rand, v Range) float64 { return v.Lo + (v.Hi-v.Lo)*r.Float64() }

// Draw draws a day from a scenario. The same scenario and seed always give the same day.
func Draw(s *Spec, seed uint64) *Day {
	d := &Day{Spec: s, Seed: seed, Length: virtualclock.FromSeconds(s.LengthS)}
	d.drawFleet()
	d.drawBackend()
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

// drawFleet draws the work of the classes, the runners and their machines, the request rate, and the memory
// of an idempotency key.
func (d *Day) drawFleet() {
	spec := &d.Spec.Fleet
	r := Stream(d.Seed, "fleet", 0)
	meanWork := d.drawClasses()
	readWork := drawFrom(r, spec.ReadShare) * meanWork
	d.HoldKB = drawFrom(r, spec.HoldKB)
	machine := d.drawMachine(r, readWork)
	d.CrossZoneMicros = drawFrom(r, spec.CrossMs) * microsPerMilli
	count := int(math.Round(drawFrom(r, spec.Runners)))
	speed := 0.0
	for i := range count {
		own := machine
		own.Speed = drawFrom(Stream(d.Seed, "speed", uint64(i)), spec.Speed)
		speed += own.Speed * float64(spec.Cores)
		name := "n" + strconv.Itoa(i+1)
		d.Runners = append(d.Runners, Runner{Name: name, Zone: i % len(spec.Zones), Spec: own})
	}
	d.Capacity = speed * microsPerSecond / (meanWork + readWork)
	d.RequestRate = drawFrom(r, d.Spec.Load.OfCapacity) * d.Capacity
	if d.Spec.Load.RateS > 0 {
		d.RequestRate = d.Spec.Load.RateS
	}
	keyMemory := drawFrom(r, spec.KeyRoom) * machine.MemoryKB
	d.KeyKB = keyMemory / max(d.keysAtCapacity(count), 1)
}

// drawClasses draws the mean work and calls of each class. It returns the mean work of a request, in
// microseconds.
func (d *Day) drawClasses() (meanWork float64) {
	r := Stream(d.Seed, "classes", 0)
	shares := 0.0
	for _, c := range d.Spec.Classes {
		workMs := drawFrom(r, c.WorkMs)
		d.MeanWorkMs = append(d.MeanWorkMs, workMs)
		d.MeanCalls = append(d.MeanCalls, drawFrom(r, c.Calls))
		meanWork += c.Share * workMs * microsPerMilli
		shares += c.Share
	}
	return meanWork / shares
}

// drawMachine draws the values that the machines of all runners share.
func (d *Day) drawMachine(r *rand.Rand, readWork float64) dependencies.MachineSpec {
	spec := &d.Spec.Fleet
	m := dependencies.MachineSpec{
		Cores:             spec.Cores,
		Thrash:            drawFrom(r, spec.Thrash),
		ThrashAt:          drawFrom(r, spec.ThrashAt),
		ReadWork:          readWork,
		Backlog:           spec.Backlog,
		RunFactor:         spec.RunFactor,
		ConcurrencyLimit:  spec.CrowdLimit,
		ConcurrencyWindow: virtualclock.FromMillis(spec.CrowdMs),
		WarmUpSpeed:       drawFrom(r, spec.ColdFrom),
		WarmUpTime:        virtualclock.FromSeconds(drawFrom(r, spec.ColdS)),
		WarmUpCallFactor:  drawFrom(r, spec.ColdCalls),
	}
	m.MemoryKB = drawFrom(r, spec.MemoryRuns) * float64(spec.Cores) * spec.RunFactor * d.HoldKB
	return m
}

// keysAtCapacity returns how many idempotency keys each runner of a fleet stores at full load.
func (d *Day) keysAtCapacity(runners int) float64 {
	shares := 0.0
	for _, c := range d.Spec.Classes {
		shares += c.Share
	}
	keyedShare := 0.0
	windowS := 0.0
	for _, c := range d.Spec.Classes {
		if c.Effect == EffectKeyed {
			keyedShare += c.Share / shares
			windowS = max(windowS, c.WindowMs/millisPerSecond)
		}
	}
	return d.Capacity / float64(runners) * keyedShare * windowS
}

// drawBackend draws the back end and derives the mean work of a call from the drawn headroom.
func (d *Day) drawBackend() {
	spec := &d.Spec.BackEnd
	r := Stream(d.Seed, "backend", 0)
	calls := 0.0
	shares := 0.0
	for i, c := range d.Spec.Classes {
		calls += c.Share * d.MeanCalls[i]
		shares += c.Share
	}
	d.Backend = dependencies.BackendSpec{
		Slots:           drawFrom(r, spec.Slots),
		Thrash:          drawFrom(r, spec.Thrash),
		RejectsOverload: spec.Sheds,
		CrashFactor:     spec.Fall,
		CrashWindow:     virtualclock.FromMillis(spec.FallMs),
		RestartTime:     virtualclock.FromSeconds(drawFrom(r, spec.DownS)),
		CancelLinger:    virtualclock.FromMillis(spec.LingerMs),
	}
	if callRate := drawFrom(r, spec.Headroom) * d.Capacity * calls / shares; callRate > 0 {
		d.CallWork = d.Backend.Slots / callRate * microsPerSecond
	}
}

func (d *Day) drawBalancers() {
	r := Stream(d.Seed, "balancers", 0)
	for index, kind := range d.Spec.Balancers {
		for range kind.Count {
			d.Balancers = append(d.Balancers, Balancer{
				Kind:          index,
				Zone:          r.IntN(len(d.Spec.Fleet.Zones)),
				FollowsAdvice: r.Float64() < kind.Heeds,
			})
		}
	}
}

func (d *Day) drawEvents() {
	for i, t := range d.Spec.Troubles {
		r := Stream(d.Seed, "trouble", uint64(i))
		e := Event{
			Kind:     t.Kind,
			At:       virtualclock.FromSeconds(drawFrom(r, t.AtS)),
			Duration: virtualclock.FromSeconds(drawFrom(r, t.ForS)),
			Factor:   drawFrom(r, t.Times),
			Zone:     AllZones,
		}
		for zone, name := range d.Spec.Fleet.Zones {
			if name == t.Zone {
				e.Zone = zone
			}
		}
		var candidates []int
		for index, runner := range d.Runners {
			if e.Zone == AllZones || runner.Zone == e.Zone {
				candidates = append(candidates, index)
			}
		}
		r.Shuffle(len(candidates), func(a, b int) {
			candidates[a], candidates[b] = candidates[b], candidates[a]
		})
		count := int(math.Round(drawFrom(r, t.Part) * float64(len(d.Runners))))
		e.Runners = candidates[:min(count, len(candidates))]
		if t.Odds == 0 || r.Float64() < t.Odds {
			d.Events = append(d.Events, e)
		}
	}
}

// CallExtra draws the extra call that a runner may make beside a call of a request while it warms up. It
// makes the extra call if chance, uniform in [0, 1), is below MachineSpec.WarmUpCallFactor. work is the work
// of the extra call.
func (d *Day) CallExtra(id uint64, runner, call int) (chance, work float64) {
	r := Stream(d.Seed, "extra", id<<16^uint64(runner)<<8^uint64(call))
	return r.Float64(), lognormal(d.CallWork, d.Spec.BackEnd.CV, r)
}

// lognormal draws from the lognormal distribution with a mean and a coefficient of variation. Without
// variation it returns the mean.
func lognormal(mean, variation float64, source rand.Source) float64 {
	if variation <= 0 {
		return mean
	}
	sigma2 := math.Log(1 + variation*variation)
	return distuv.LogNormal{Mu: math.Log(mean) - sigma2/2, Sigma: math.Sqrt(sigma2), Src: source}.Rand()
}
