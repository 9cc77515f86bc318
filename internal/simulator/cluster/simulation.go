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
	resultWindow = 10 * time.Second // of the worst stretch
	// settleTime is how long after the last request a day goes on.
	settleTime = 15 * time.Second
	// unixOrigin is the Unix time at the origin of the virtual clock.
	unixOrigin wallclock.UnixMicro = 1e15
)

// maxSubmissions bounds the submissions of a request by its client.
const maxSubmissions = 4

// millis and seconds convert the figures of a specification, cut to whole microseconds.
func millis(ms float64) time.Duration { return virtualclock.FromMicros(ms * 1000) }
func seconds(s float64) time.Duration { return virtualclock.FromMicros(s * 1e6) }

// newRequest is one request of a client, with all its comings back.
type clientRequest struct {
	simulation  *simulation
	class       int
	firstSentAt time.Duration
	work        float64
	key         string
	name        string
	submissions int
	answered    bool
}

type simulation struct {
	spec             *Spec
	seed             uint64
	scheduler        *virtualclock.Scheduler
	manager          *lifecycle.Manager
	picker           Picker
	servers          []*server
	byName           map[string]*server
	listed           []endpointhealth.EndpointSpec
	inFlight         map[*lifecycle.Attempt]*inFlightAttempt
	rand             *rand.Rand // of the clients
	runsByKey        map[string]int
	result           Result
	latencies        *hdrhistogram.Histogram
	sendsFirstSentAt bool             // callers say when they asked first
	queue            *waitqueue.Queue // nil where there are no pools
	handIns          [2]float64       // worth of hand-ins: got, and asked for
	// requests of the reserve's class: answered within their aim, and all
	inTime        [2]int
	offeredWeight []float64 // by window: asked for
	earnedWeight  []float64
	submissions   int
	rejections    int
	failed        int
	attempts      int
}

// inFlightAttempt is an attempt on its way.
type inFlightAttempt struct {
	request   *serverRequest
	server    string
	startedAt time.Duration
	timer     virtualclock.Timer
}

// Play plays a day of that kind, routed in one of the Ways.
func Play(spec *Spec, seed uint64, way string) (*Result, error) {
	p := &simulation{
		spec:      spec,
		seed:      seed,
		scheduler: virtualclock.New(),
		picker:    NewPicker(way, spec, seed),
		byName:    map[string]*server{},
		inFlight:  map[*lifecycle.Attempt]*inFlightAttempt{},
		rand:      day.Stream(seed, "clients", 0),
		runsByKey: map[string]int{},
		latencies: hdrhistogram.New(1, 60_000_000, 3),
	}
	n := int(math.Ceil(spec.Seconds*1e6/virtualclock.Micros(resultWindow))) + 1
	p.offeredWeight, p.earnedWeight = make([]float64, n), make([]float64, n)
	for i := range spec.Servers {
		s := newServer(p.scheduler, spec, seed, i, func(key string) {
			if key != "" {
				p.runsByKey[key]++
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
	p.picker.SetEndpoints(p.listed, p.scheduler.Now())
	var run lifecycle.Runner = p
	if cfg := bulkheadConfig(way, spec); cfg != nil {
		p.queue = waitqueue.New(
			waitqueue.Environment{
				Now:      p.scheduler.Now,
				Post:     func(fn func()) { p.scheduler.After(0, fn) },
				After:    func(d time.Duration, fn func()) { p.scheduler.After(d, fn) },
				Capacity: func() int { return p.picker.(*productionPicker).capacity(p.scheduler.Now()) },
			},
			managerSink{p},
		)
		p.queue.SetNext(p)
		p.queue.Configure(cfg)
		p.sendsFirstSentAt = way == "pools-"+objectiveMode
		run = p.queue
	}
	var err error
	if p.manager, err = lifecycle.New(p.settings(way), seed, lifecycle.Environment{
		Now:   p.scheduler.Now,
		Unix:  func() wallclock.UnixMicro { return unixOrigin.Add(p.scheduler.Now()) },
		After: func(d time.Duration, fn func()) func() { return p.scheduler.After(d, fn).Stop },
		Measure: func(fn func(lifecycle.Gauges)) {
			p.scheduler.After(networkDelay, func() { fn(lifecycle.UnknownGauges()) })
		},
		SetHealth:   func(bool, bool) {},
		Advertise:   func(float64) {},
		CloseIdle:   func(time.Duration) {},
		Log:         func(*logging.Event, ...any) {},
		Route:       func(int) lifecycle.Runner { return run },
		ShouldRetry: func(t lifecycle.RetryCandidate) bool { return p.picker.ShouldRetry(t, p.scheduler.Now()) },
		RetryAfter: func(class int) time.Duration {
			back := p.picker.RetryAfter(p.scheduler.Now())
			if p.queue != nil {
				return max(back, p.queue.RetryAfter(class))
			}
			return back
		},
		KeyLimits: lifecycle.KeyLimits{Keys: 1 << 20, ResultBytes: 1 << 30},
	}); err != nil {
		return nil, err
	}
	p.manager.Start()
	p.every(endpointhealth.TickInterval, func() { p.picker.Tick(p.scheduler.Now()) })
	for _, t := range spec.Faults {
		p.scheduleFault(t)
	}
	p.startArrivals(day.Stream(seed, "arrivals", 0))
	p.scheduler.RunUntil(virtualclock.Origin + seconds(spec.Seconds) + settleTime)
	return p.summarize(), nil
}

func (p *simulation) every(d time.Duration, fn func()) {
	p.scheduler.After(d, func() {
		fn()
		p.every(d, fn)
	})
}

// firstSentAt does something so many seconds into the day.
func (p *simulation) at(sec float64, fn func()) {
	p.scheduler.After(virtualclock.Origin+seconds(sec)-p.scheduler.Now(), fn)
}

func (p *simulation) settings(way string) admission.Settings {
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
	if reportsMoreCores(way) {
		set.Cores *= reportedCoresFactor
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

// startArrivals draws the requests of the day.
func (p *simulation) startArrivals(r *rand.Rand) {
	rate := p.spec.Load * float64(p.spec.Servers*p.spec.Workers) / meanWork() // a microsecond
	var next func()
	next = func() {
		if p.scheduler.Now()-virtualclock.Origin >= seconds(p.spec.Seconds) {
			return
		}
		u, class := r.Float64(), 0
		for ; class < len(classes)-1 && u >= classes[class].Share; class++ {
			u -= classes[class].Share
		}
		p.newRequest(class, r)
		p.scheduler.After(virtualclock.FromMicros(r.ExpFloat64()/rate)+virtualclock.Resolution, next)
	}
	next()
}

// newRequest draws a request of a class.
func (p *simulation) newRequest(class int, r *rand.Rand) {
	a := &clientRequest{
		simulation:  p,
		class:       class,
		firstSentAt: p.scheduler.Now(),
		work:        classes[class].Work * 1000 * math.Exp(0.5*r.NormFloat64()-0.125),
	}
	if classes[class].Keyed {
		a.key = fmt.Sprint("key", p.result.Asked)
		p.handIns[1] += classes[class].PriorityWeight
	}
	p.result.Asked++
	p.offeredWeight[p.windowOf(a)] += classes[class].PriorityWeight
	a.submit()
}

// startFlood draws requests of one class beside the others.
func (p *simulation) startFlood(t Fault, r *rand.Rand) {
	rate := t.Share * float64(p.spec.Servers*p.spec.Workers) / (classes[t.Class].Work * 1000)
	var next func()
	next = func() {
		if virtualclock.Micros(p.scheduler.Now()-virtualclock.Origin) >= t.To*1e6 {
			return
		}
		p.newRequest(t.Class, r)
		p.scheduler.After(virtualclock.FromMicros(r.ExpFloat64()/rate)+virtualclock.Resolution, next)
	}
	p.at(t.From, next)
}

func (p *simulation) windowOf(a *clientRequest) int {
	return int((a.firstSentAt - virtualclock.Origin) / resultWindow)
}

// submit asks for it, once more or for the first time.
func (a *clientRequest) submit() {
	p := a.simulation
	a.submissions++
	p.submissions++
	a.name = fmt.Sprint("r", p.submissions)
	left := millis(classes[a.class].Deadline) - (p.scheduler.Now() - a.firstSentAt)
	first := wallclock.UnixMicro(0)
	if p.sendsFirstSentAt {
		first = unixOrigin.Add(a.firstSentAt)
	}
	p.manager.Submit(
		&lifecycle.Request{
			ID:          a.name,
			FirstSentAt: first,
			Class:       a.class,
			Caller:      uint32(1 + p.submissions%4),
			ArrivedAt:   unixOrigin.Add(p.scheduler.Now()),
			Timeout:     left,
			SizeKB:      1,
			Rank:        0.5,
			Key:         a.key,
			Entity:      uint64(p.submissions),
			Body:        []byte(a.key),
			Metadata:    []lifecycle.Field{{Name: "work", Value: fmt.Sprint(a.work)}},
			Responder:   a,
		},
	)
}

// Answer implements lifecycle.Responder.
func (a *clientRequest) Answer(v lifecycle.Answer) {
	p, c := a.simulation, &classes[a.class]
	past := p.scheduler.Now() - a.firstSentAt
	switch {
	case a.answered:
		panic("farm: a request is answered twice")
	case v.Status == lifecycle.Served:
		worth := c.PriorityWeight
		if virtualclock.Micros(past) > c.LatencyObjective*1000 {
			worth *= c.LateWeightFraction
		}
		p.earnedWeight[p.windowOf(a)] += worth
		if c.Keyed {
			p.handIns[0] += worth
		}
		_ = p.latencies.RecordValue(max(past.Microseconds(), 1)) // deadlines are within its range
		if a.class == reserveClass && virtualclock.Micros(past) <= c.LatencyObjective*1000 {
			p.inTime[0]++
		}
	case v.Status == lifecycle.Rejected:
		p.rejections++
		wait := v.RetryAfter.Truncate(virtualclock.Resolution) +
			virtualclock.FromMicros(p.rand.Float64()*virtualclock.Micros(v.RetryAfter))
		if a.submissions < maxSubmissions && past+wait+millis(c.Work) < millis(c.Deadline) {
			p.scheduler.After(wait, a.submit)
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
	p.result.Unasked--
}

// Run implements lifecycle.Runner.
func (p *simulation) Run(a *lifecycle.Attempt) {
	now := p.scheduler.Now()
	name, ok := p.picker.Pick(a, now)
	if !ok {
		p.scheduler.After(0, func() { p.reportEnd(a, lifecycle.NotStarted, nil) })
		return
	}
	a.Server = name
	p.attempts++
	t := &inFlightAttempt{server: name, startedAt: now}
	p.inFlight[a] = t
	t.request = &serverRequest{work: workOf(a), key: a.Request.Key, onEnd: func(o lifecycle.Outcome) { p.endAttempt(a, o) }}
	t.timer = p.scheduler.After(a.Deadline-now, func() { p.attemptTimedOut(a) })
	p.byName[name].accept(t.request)
}

func workOf(a *lifecycle.Attempt) (v float64) {
	_, _ = fmt.Sscan(a.Request.Metadata[0].Value, &v) // written by submit
	return v
}

// attemptTimedOut ends a try at its due time; one with an effect goes on for as long again, so that a
// repeat gets its result.
func (p *simulation) attemptTimedOut(a *lifecycle.Attempt) {
	t := p.inFlight[a]
	if t == nil {
		return
	}
	deadline := a.Deadline.Truncate(virtualclock.Resolution)
	if whole := deadline - t.startedAt; !a.Idempotent &&
		p.scheduler.Now() < deadline+whole {
		t.timer = p.scheduler.After(deadline+whole-p.scheduler.Now(), func() { p.attemptTimedOut(a) })
		return
	}
	p.endAttempt(a, lifecycle.TimedOut)
}

// Abandon implements lifecycle.Runner.
func (p *simulation) Abandon(a *lifecycle.Attempt) {
	if a.Idempotent {
		p.scheduler.After(0, func() { p.endAttempt(a, lifecycle.Canceled) })
	}
}

func (p *simulation) endAttempt(a *lifecycle.Attempt, o lifecycle.Outcome) {
	t := p.inFlight[a]
	if t == nil {
		return
	}
	delete(p.inFlight, a)
	t.timer.Stop()
	t.request.closed = true
	t.request.timer.Stop()
	now := p.scheduler.Now()
	p.picker.Done(t.server, a.Request.Class, o, now-t.startedAt, now)
	var res *lifecycle.Result
	if o == lifecycle.Succeeded {
		res = &lifecycle.Result{Status: 200}
	}
	p.reportEnd(a, o, res)
}

func (p *simulation) reportEnd(a *lifecycle.Attempt, o lifecycle.Outcome, res *lifecycle.Result) {
	if p.queue != nil {
		p.queue.AttemptEnded(a, o, res)
		return
	}
	p.manager.AttemptEnded(a, o, res)
}

// managerSink is the core, which is there after the runner before which it stands.
type managerSink struct{ simulation *simulation }

func (s managerSink) ResponseStarted(a *lifecycle.Attempt, res *lifecycle.Result) bool {
	return s.simulation.manager.ResponseStarted(a, res)
}
func (s managerSink) AttemptEnded(a *lifecycle.Attempt, o lifecycle.Outcome, res *lifecycle.Result) {
	s.simulation.manager.AttemptEnded(a, o, res)
}

// affected are the servers that a trouble is for.
func (p *simulation) affected(t Fault) (out []*server) {
	n := int(math.Round(t.Share * float64(len(p.servers))))
	for i, s := range p.servers {
		if t.Zone != "" && s.Zone == t.Zone || t.Zone == "" && i < n {
			out = append(out, s)
		}
	}
	return out
}

func (p *simulation) scheduleFault(t Fault) {
	set := func(begin, end func(s *server)) {
		p.at(t.From, func() {
			for _, s := range p.affected(t) {
				begin(s)
			}
		})
		if t.To > 0 {
			p.at(t.To, func() {
				for _, s := range p.affected(t) {
					end(s)
				}
			})
		}
	}
	switch t.Kind {
	case "flood":
		p.startFlood(t, day.Stream(p.seed, "flood", uint64(t.Class)))
	case "dead":
		set((*server).kill, (*server).start)
	case "cut":
		set(func(s *server) { s.cut = true }, func(s *server) { s.cut = false })
	case "faults":
		set(func(s *server) { s.failing = true }, func(s *server) { s.failing = false })
	case "slow":
		set(func(s *server) { s.slowdown = t.Times }, func(s *server) { s.slowdown = 1 })
	case "flap":
		for sec := t.From; sec < p.spec.Seconds; sec += 6 {
			p.at(sec, func() {
				for _, s := range p.affected(t) {
					s.kill()
				}
			})
			p.at(sec+3, func() {
				for _, s := range p.affected(t) {
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
			p.picker.SetEndpoints(all, p.scheduler.Now())
		})
	}
}

func (p *simulation) summarize() *Result {
	r := &p.result
	r.Seed = p.seed
	r.Unasked += r.Asked
	asked, got := 0.0, 0.0
	r.Worst = 1
	for i := range p.offeredWeight {
		asked, got = asked+p.offeredWeight[i], got+p.earnedWeight[i]
		if p.offeredWeight[i] > 0 {
			r.Worst = min(r.Worst, p.earnedWeight[i]/p.offeredWeight[i])
		}
	}
	if m := int(p.spec.Seconds * 1e6 / 2 / virtualclock.Micros(resultWindow)); p.offeredWeight[m] > 0 {
		r.Middle = p.earnedWeight[m] / p.offeredWeight[m]
	}
	n := float64(max(r.Asked, 1))
	r.Worth = got / max(asked, 1)
	r.Cheap, r.HandIns = float64(p.inTime[0])/float64(max(p.inTime[1], 1)), p.handIns[0]/max(p.handIns[1], 1)
	r.P50Ms = float64(p.latencies.ValueAtQuantile(50)) / 1000
	r.P99Ms = float64(p.latencies.ValueAtQuantile(99)) / 1000
	r.Tries, r.Refusals, r.Failed = float64(p.attempts)/n, float64(p.rejections)/n, float64(p.failed)/n
	for _, c := range p.runsByKey {
		if c > 1 {
			r.Twice++
		}
	}
	switch q := p.picker.(type) {
	case *productionPicker:
		r.Changes = q.changes
	case *replacedPicker:
		r.Changes = q.changes
	}
	return r
}
