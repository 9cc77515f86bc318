package cluster

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/balancer/endpointhealth"
	"ryepaddle/internal/balancer/waitqueue"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/simulator/day"
	"ryepaddle/internal/simulator/virtualclock"
	"ryepaddle/internal/telemetry/logging"
	"ryepaddle/internal/wallclock"
)

// Result is what became of a day.
type Result struct {
	Seed  uint64  `json:"seed"`
	Asked int     `json:"asked"`
	Worth float64 `json:"worth"` // share of the worth asked for
	Worst float64 `json:"worst"` // the same in the worst 10 s
	// the same in the 10 s from the middle on, when an instance may be replaced
	Middle   float64 `json:"middle"`
	P50Ms    float64 `json:"p50_ms"` // of what was served, from the first asking on
	P99Ms    float64 `json:"p99_ms"`
	Tries    float64 `json:"tries"`    // on servers, for each request that was asked for
	Refusals float64 `json:"refusals"` // for each as well
	Failed   float64 `json:"failed"`   // share that got no good answer in the end
	Twice    int     `json:"twice"`    // hand-ins that ran twice: a broken rule
	Unasked  int     `json:"unasked"`  // requests that had no answer at all: a broken rule
	// share of the cheapest calls that were served within their aim
	Cheap   float64 `json:"cheap"`
	HandIns float64 `json:"hand_ins"` // share of the hand-ins' worth
	Changes int     `json:"changes"`  // of servers' states
}

const (
	window = 10 * time.Second // of the worst stretch
	// settleTime is how long after the last request a day goes on.
	settleTime = 15 * time.Second
	// unixOrigin is the Unix time at the origin of the virtual clock.
	unixOrigin wallclock.UnixMicro = 1e15
)

// backMost bounds the attempts of a client that is rejected.
const backMost = 4

// millis and seconds convert the figures of a specification, cut to whole microseconds.
func millis(ms float64) time.Duration { return virtualclock.FromMicros(ms * 1000) }
func seconds(s float64) time.Duration { return virtualclock.FromMicros(s * 1e6) }

// ask is one request of a client, with all its comings back.
type ask struct {
	p        *play
	class    int
	at       time.Duration
	work     float64
	key      string
	name     string
	comings  int
	answered bool
}

type play struct {
	spec    *Spec
	seed    uint64
	sched   *virtualclock.Scheduler
	core    *lifecycle.Manager
	picker  Picker
	servers []*server
	byName  map[string]*server
	listed  []endpointhealth.EndpointSpec
	out     map[*lifecycle.Attempt]*trip
	rand    *rand.Rand // of the clients
	ran     map[string]int
	res     Result
	hist    *hdrhistogram.Histogram
	aims    bool             // callers say when they asked first
	hold    *waitqueue.Queue // nil where there are no pools
	handIns [2]float64       // worth of hand-ins: got, and asked for
	// requests of the reserve's class: answered within their aim, and all
	inTime   [2]int
	worth    []float64 // by window: asked for
	got      []float64
	names    int
	refusals int
	failed   int
	tries    int
}

// trip is an attempt on its way.
type trip struct {
	job   *job
	to    string
	began time.Duration
	timer virtualclock.Timer
}

// Play plays a day of that kind, routed in one of the Ways.
func Play(spec *Spec, seed uint64, way string) (*Result, error) {
	p := &play{
		spec:   spec,
		seed:   seed,
		sched:  virtualclock.New(),
		picker: NewPicker(way, spec, seed),
		byName: map[string]*server{},
		out:    map[*lifecycle.Attempt]*trip{},
		rand:   day.Stream(seed, "clients", 0),
		ran:    map[string]int{},
		hist:   hdrhistogram.New(1, 60_000_000, 3),
	}
	n := int(math.Ceil(spec.Seconds*1e6/virtualclock.Micros(window))) + 1
	p.worth, p.got = make([]float64, n), make([]float64, n)
	for i := range spec.Servers {
		s := newServer(p.sched, spec, seed, i, func(key string) {
			if key != "" {
				p.ran[key]++
			}
		})
		p.servers = append(p.servers, s)
		p.byName[s.Name] = s
	}
	joins := 0
	for _, t := range spec.Faults {
		if t.Kind == "join" {
			joins = int(math.Round(t.Share * float64(spec.Servers)))
		}
	}
	for _, s := range p.servers[joins:] {
		p.listed = append(p.listed, s.EndpointSpec)
	}
	p.picker.List(p.listed, p.sched.Now())
	var run lifecycle.Runner = p
	if cfg := poolsOf(way, spec); cfg != nil {
		p.hold = waitqueue.New(
			waitqueue.Environment{
				Now:      p.sched.Now,
				Post:     func(fn func()) { p.sched.After(0, fn) },
				After:    func(d time.Duration, fn func()) { p.sched.After(d, fn) },
				Capacity: func() int { return p.picker.(*routed).room(p.sched.Now()) },
			},
			sink{p},
		)
		p.hold.SetNext(p)
		p.hold.Configure(cfg)
		p.aims = way == "pools-"+aims
		run = p.hold
	}
	var err error
	if p.core, err = lifecycle.New(p.settings(way), seed, lifecycle.Environment{
		Now:         p.sched.Now,
		Unix:        func() wallclock.UnixMicro { return unixOrigin.Add(p.sched.Now()) },
		After:       func(d time.Duration, fn func()) func() { return p.sched.After(d, fn).Stop },
		Measure:     func(fn func(lifecycle.Gauges)) { p.sched.After(wire, func() { fn(lifecycle.UnknownGauges()) }) },
		SetHealth:   func(bool, bool) {},
		Advertise:   func(float64) {},
		CloseIdle:   func(time.Duration) {},
		Log:         func(*logging.Event, ...any) {},
		Route:       func(int) lifecycle.Runner { return run },
		ShouldRetry: func(t lifecycle.RetryCandidate) bool { return p.picker.Again(t, p.sched.Now()) },
		RetryAfter: func(class int) time.Duration {
			back := p.picker.Back(p.sched.Now())
			if p.hold != nil {
				return max(back, p.hold.RetryAfter(class))
			}
			return back
		},
		KeyLimits: lifecycle.KeyLimits{Keys: 1 << 20, ResultBytes: 1 << 30},
	}); err != nil {
		return nil, err
	}
	p.core.Start()
	p.every(endpointhealth.TickInterval, func() { p.picker.Tick(p.sched.Now()) })
	for _, t := range spec.Faults {
		p.trouble(t)
	}
	p.arrive(day.Stream(seed, "arrivals", 0))
	p.sched.RunUntil(virtualclock.Origin + seconds(spec.Seconds) + settleTime)
	return p.settle(), nil
}

func (p *play) every(d time.Duration, fn func()) {
	p.sched.After(d, func() {
		fn()
		p.every(d, fn)
	})
}

// at does something so many seconds into the day.
func (p *play) at(sec float64, fn func()) {
	p.sched.After(virtualclock.Origin+seconds(sec)-p.sched.Now(), fn)
}

func (p *play) settings(way string) admission.Settings {
	ms := func(v float64) time.Duration { return time.Duration(v * 1e6) }
	set := admission.Settings{
		Servers:               1,
		Callers:               4,
		Cores:                 p.spec.Servers * p.spec.Workers,
		MemoryKB:              1e8,
		RunningMemoryFactor:   1,
		KeyMemoryKB:           0.1,
		CreditMode:            admission.CreditNone,
		ReportsAbandoned:      true,
		IdleConnectionTimeout: 30 * time.Second,
		MaxRetryAfter:         time.Second,
		OverQuotaWeight:       0.05,
		DeadlineGrace: ms(
			60,
		),
		DrainGrace:         ms(1000),
		MaxRunningPerCore:  1000,
		MaxRunningWindow:   2 * time.Second,
		WarmUpInitialShare: 1,
		WarmUpTime:         time.Second,
	}
	if isWide(way) {
		set.Cores *= wideCores
	}
	for _, c := range classes {
		class := admission.Class{
			Name:               c.Name,
			LatencyObjective:   ms(c.LatencyObjective),
			Timeout:            ms(c.Deadline),
			PriorityWeight:     c.PriorityWeight,
			LateWeightFraction: c.LateWeightFraction,
			Idempotency:        admission.Idempotent,
		}
		if c.Keyed {
			class.Idempotency, class.IdempotencyWindow = admission.IdempotentWithKey, 13*time.Second
		}
		set.Classes = append(set.Classes, class)
	}
	set.Tenants = []admission.Tenant{{Name: "all", QuotaRate: 1e6}}
	return set
}

// arrive draws the requests of the day.
func (p *play) arrive(r *rand.Rand) {
	rate := p.spec.Load * float64(p.spec.Servers*p.spec.Workers) / mean() // a microsecond
	var next func()
	next = func() {
		if p.sched.Now()-virtualclock.Origin >= seconds(p.spec.Seconds) {
			return
		}
		u, class := r.Float64(), 0
		for ; class < len(classes)-1 && u >= classes[class].Share; class++ {
			u -= classes[class].Share
		}
		p.ask(class, r)
		p.sched.After(virtualclock.FromMicros(r.ExpFloat64()/rate)+virtualclock.Resolution, next)
	}
	next()
}

// ask draws a request of a class.
func (p *play) ask(class int, r *rand.Rand) {
	a := &ask{
		p:     p,
		class: class,
		at:    p.sched.Now(),
		work:  classes[class].Work * 1000 * math.Exp(0.5*r.NormFloat64()-0.125),
	}
	if classes[class].Keyed {
		a.key = fmt.Sprint("key", p.res.Asked)
		p.handIns[1] += classes[class].PriorityWeight
	}
	p.res.Asked++
	p.worth[p.windowOf(a)] += classes[class].PriorityWeight
	a.submit()
}

// flood draws requests of one class beside the others.
func (p *play) flood(t Fault, r *rand.Rand) {
	rate := t.Share * float64(p.spec.Servers*p.spec.Workers) / (classes[t.Class].Work * 1000)
	var next func()
	next = func() {
		if virtualclock.Micros(p.sched.Now()-virtualclock.Origin) >= t.To*1e6 {
			return
		}
		p.ask(t.Class, r)
		p.sched.After(virtualclock.FromMicros(r.ExpFloat64()/rate)+virtualclock.Resolution, next)
	}
	p.at(t.From, next)
}

func (p *play) windowOf(a *ask) int { return int((a.at - virtualclock.Origin) / window) }

// submit asks for it, once more or for the first time.
func (a *ask) submit() {
	p := a.p
	a.comings++
	p.names++
	a.name = fmt.Sprint("r", p.names)
	left := millis(classes[a.class].Deadline) - (p.sched.Now() - a.at)
	first := wallclock.UnixMicro(0)
	if p.aims {
		first = unixOrigin.Add(a.at)
	}
	p.core.Submit(
		&lifecycle.Request{
			ID:          a.name,
			FirstSentAt: first,
			Class:       a.class,
			Caller:      uint32(1 + p.names%4),
			ArrivedAt:   unixOrigin.Add(p.sched.Now()),
			Timeout:     left,
			SizeKB:      1,
			Rank:        0.5,
			Key:         a.key,
			Entity:      uint64(p.names),
			Body:        []byte(a.key),
			Metadata:    []lifecycle.Field{{Name: "work", Value: fmt.Sprint(a.work)}},
			Responder:   a,
		},
	)
}

// Answer implements lifecycle.Responder.
func (a *ask) Answer(v lifecycle.Answer) {
	p, c := a.p, &classes[a.class]
	past := p.sched.Now() - a.at
	switch {
	case a.answered:
		panic("farm: a request is answered twice")
	case v.Status == lifecycle.Served:
		worth := c.PriorityWeight
		if virtualclock.Micros(past) > c.LatencyObjective*1000 {
			worth *= c.LateWeightFraction
		}
		p.got[p.windowOf(a)] += worth
		if c.Keyed {
			p.handIns[0] += worth
		}
		_ = p.hist.RecordValue(max(past.Microseconds(), 1)) // deadlines are within its range
		if a.class == reserveClass && virtualclock.Micros(past) <= c.LatencyObjective*1000 {
			p.inTime[0]++
		}
	case v.Status == lifecycle.Rejected:
		p.refusals++
		wait := v.RetryAfter.Truncate(virtualclock.Resolution) +
			virtualclock.FromMicros(p.rand.Float64()*virtualclock.Micros(v.RetryAfter))
		if a.comings < backMost && past+wait+millis(c.Work) < millis(c.Deadline) {
			p.sched.After(wait, a.submit)
			return
		}
		p.failed++
	default:
		p.failed++
	}
	if a.class == reserveClass {
		p.inTime[1]++
	}
	a.answered = true
	p.res.Unasked--
}

// Run implements lifecycle.Runner.
func (p *play) Run(a *lifecycle.Attempt) {
	now := p.sched.Now()
	name, ok := p.picker.Pick(a, now)
	if !ok {
		p.sched.After(0, func() { p.ended(a, lifecycle.NotStarted, nil) })
		return
	}
	a.Server = name
	p.tries++
	t := &trip{to: name, began: now}
	p.out[a] = t
	t.job = &job{work: workOf(a), key: a.Request.Key, ended: func(o lifecycle.Outcome) { p.end(a, o) }}
	t.timer = p.sched.After(a.Deadline-now, func() { p.outOfTime(a) })
	p.byName[name].take(t.job)
}

func workOf(a *lifecycle.Attempt) (v float64) {
	_, _ = fmt.Sscan(a.Request.Metadata[0].Value, &v) // written by submit
	return v
}

// outOfTime ends a try at its due time; one with an effect goes on for as long again, so that a
// repeat gets its result.
func (p *play) outOfTime(a *lifecycle.Attempt) {
	t := p.out[a]
	if t == nil {
		return
	}
	deadline := a.Deadline.Truncate(virtualclock.Resolution)
	if whole := deadline - t.began; !a.Idempotent &&
		p.sched.Now() < deadline+whole {
		t.timer = p.sched.After(deadline+whole-p.sched.Now(), func() { p.outOfTime(a) })
		return
	}
	p.end(a, lifecycle.TimedOut)
}

// Abandon implements lifecycle.Runner.
func (p *play) Abandon(a *lifecycle.Attempt) {
	if a.Idempotent {
		p.sched.After(0, func() { p.end(a, lifecycle.Canceled) })
	}
}

func (p *play) end(a *lifecycle.Attempt, o lifecycle.Outcome) {
	t := p.out[a]
	if t == nil {
		return
	}
	delete(p.out, a)
	t.timer.Stop()
	t.job.over = true
	t.job.timer.Stop()
	now := p.sched.Now()
	p.picker.Done(t.to, a.Request.Class, o, now-t.began, now)
	var res *lifecycle.Result
	if o == lifecycle.Succeeded {
		res = &lifecycle.Result{Status: 200}
	}
	p.ended(a, o, res)
}

func (p *play) ended(a *lifecycle.Attempt, o lifecycle.Outcome, res *lifecycle.Result) {
	if p.hold != nil {
		p.hold.AttemptEnded(a, o, res)
		return
	}
	p.core.AttemptEnded(a, o, res)
}

// sink is the core, which is there after the runner before which it stands.
type sink struct{ p *play }

func (s sink) ResponseStarted(a *lifecycle.Attempt, res *lifecycle.Result) bool {
	return s.p.core.ResponseStarted(a, res)
}
func (s sink) AttemptEnded(a *lifecycle.Attempt, o lifecycle.Outcome, res *lifecycle.Result) {
	s.p.core.AttemptEnded(a, o, res)
}

// struck are the servers that a trouble is for.
func (p *play) struck(t Fault) (out []*server) {
	n := int(math.Round(t.Share * float64(len(p.servers))))
	for i, s := range p.servers {
		if t.Zone != "" && s.Zone == t.Zone || t.Zone == "" && i < n {
			out = append(out, s)
		}
	}
	return out
}

func (p *play) trouble(t Fault) {
	set := func(begin, end func(s *server)) {
		p.at(t.From, func() {
			for _, s := range p.struck(t) {
				begin(s)
			}
		})
		if t.To > 0 {
			p.at(t.To, func() {
				for _, s := range p.struck(t) {
					end(s)
				}
			})
		}
	}
	switch t.Kind {
	case "flood":
		p.flood(t, day.Stream(p.seed, "flood", uint64(t.Class)))
	case "dead":
		set((*server).kill, (*server).start)
	case "cut":
		set(func(s *server) { s.cut = true }, func(s *server) { s.cut = false })
	case "faults":
		set(func(s *server) { s.faults = true }, func(s *server) { s.faults = false })
	case "slow":
		set(func(s *server) { s.slow = t.Times }, func(s *server) { s.slow = 1 })
	case "flap":
		for sec := t.From; sec < p.spec.Seconds; sec += 6 {
			p.at(sec, func() {
				for _, s := range p.struck(t) {
					s.kill()
				}
			})
			p.at(sec+3, func() {
				for _, s := range p.struck(t) {
					s.start()
				}
			})
		}
	case "release":
		for i, s := range p.servers {
			at := t.From + (t.To-t.From)*float64(i)/float64(len(p.servers))
			p.at(at, s.stop)
			p.at(at+2, s.start)
		}
	case "join":
		p.at(t.From, func() {
			var all []endpointhealth.EndpointSpec
			for _, s := range p.servers {
				all = append(all, s.EndpointSpec)
			}
			for _, s := range p.servers[:len(p.servers)-len(p.listed)] {
				s.start()
			}
			p.listed = all
			p.picker.List(all, p.sched.Now())
		})
	}
}

func (p *play) settle() *Result {
	r := &p.res
	r.Seed = p.seed
	r.Unasked += r.Asked
	asked, got := 0.0, 0.0
	r.Worst = 1
	for i := range p.worth {
		asked, got = asked+p.worth[i], got+p.got[i]
		if p.worth[i] > 0 {
			r.Worst = min(r.Worst, p.got[i]/p.worth[i])
		}
	}
	if m := int(p.spec.Seconds * 1e6 / 2 / virtualclock.Micros(window)); p.worth[m] > 0 {
		r.Middle = p.got[m] / p.worth[m]
	}
	n := float64(max(r.Asked, 1))
	r.Worth = got / max(asked, 1)
	r.Cheap, r.HandIns = float64(p.inTime[0])/float64(max(p.inTime[1], 1)), p.handIns[0]/max(p.handIns[1], 1)
	r.P50Ms = float64(p.hist.ValueAtQuantile(50)) / 1000
	r.P99Ms = float64(p.hist.ValueAtQuantile(99)) / 1000
	r.Tries, r.Refusals, r.Failed = float64(p.tries)/n, float64(p.refusals)/n, float64(p.failed)/n
	for _, c := range p.ran {
		if c > 1 {
			r.Twice++
		}
	}
	switch q := p.picker.(type) {
	case *routed:
		r.Changes = q.changes
	case *renewed:
		r.Changes = q.changes
	}
	return r
}
