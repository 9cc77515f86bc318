package persistence

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/simulator/virtualclock"
	"ryepaddle/internal/telemetry/logging"
	"ryepaddle/internal/testing/crashfs"
	"ryepaddle/internal/wallclock"
)

// machine is a machine whose disk crashes, on which one process of the program follows another,
// with clients that repeat their requests through all of them. It also is the checker: what ran and
// who got which answer is recorded here, outside the processes.
type machine struct {
	t            *testing.T
	seed         uint64
	disk         *crashfs.Disk
	sched        *virtualclock.Scheduler
	rand         *rand.Rand
	options      store.Options
	diskIsCalm   bool // the disk answers in time, and does not fail
	diskHangs    bool // it does not answer at all
	current      *process
	incarnations uint64

	ran         map[string]int    // runs of a key that began
	results     map[string]string // result of the run of a key
	served      map[string]bool
	violations  []string
	answers     int
	traces      int
	servedLater int // answered by a later process than the one that ran
	inDoubt     int
}

// process is one process of the program. It is its own key store and runner.
type process struct {
	machine     *machine
	incarnation uint64
	manager     *lifecycle.Manager
	journal     *store.Journal
	queue       []pendingRecord
	syncing     bool
	health      health
	dead        bool
}

type pendingRecord struct {
	record *store.Record
	done   func(error)
}

const window = 3 * time.Second

// crashTestSettings are settings with one class, which is idempotent with a key.
func crashTestSettings() admission.Settings {
	return admission.Settings{
		Servers:               1,
		Callers:               1,
		Cores:                 8,
		MemoryKB:              1e6,
		RunningMemoryFactor:   1,
		KeyMemoryKB:           0.1,
		CreditMode:            admission.CreditNone,
		IdleConnectionTimeout: time.Second,
		MaxRetryAfter:         time.Second,
		OverQuotaWeight:       0.05,
		DeadlineGrace:         60 * time.Millisecond,
		DrainGrace:            time.Second,
		MaxRunningPerCore:     100,
		MaxRunningWindow:      time.Second,
		WarmUpInitialShare:    1,
		WarmUpTime:            time.Second,
		Tenants:               []admission.Tenant{{Name: "north", QuotaRate: 1e6}},
		Classes: []admission.Class{
			{
				Name:              "hand-in",
				LatencyObjective:  time.Second,
				Timeout:           2 * time.Second,
				IdempotencyWindow: window,
				Idempotency:       admission.IdempotentWithKey,
				PriorityWeight:    1,
			},
		},
	}
}

// environment returns what the manager of a process needs.
func (m *machine) environment(p *process) lifecycle.Environment {
	return lifecycle.Environment{
		Now:   m.now,
		Unix:  m.unix,
		After: func(d time.Duration, fn func()) func() { return p.after(d, fn).Stop },
		Measure: func(fn func(lifecycle.Gauges)) {
			p.after(time.Microsecond, func() { fn(lifecycle.UnknownGauges()) })
		},
		SetHealth:   func(bool, bool) {},
		Advertise:   func(float64) {},
		CloseIdle:   func(time.Duration) {},
		Log:         func(*logging.Event, ...any) {},
		Route:       func(int) lifecycle.Runner { return p },
		KeyStore:    p,
		Incarnation: m.incarnations,
		OnAnswered: func(t *lifecycle.Trace) {
			if m.traces++; t.Status != lifecycle.Served && t.Cause == lifecycle.CauseNone ||
				t.Status == lifecycle.Served && t.OriginalID != "" && t.Cause != lifecycle.CauseDuplicate {
				m.violated("%s has no cause: %+v", t.ID, *t)
			}
		},
	}
}

// start starts a process with what the disk holds, and reports whether it starts.
func (m *machine) start() bool {
	m.incarnations++
	p := &process{machine: m, incarnation: m.incarnations}
	p.health.stallTimeout = p.Timeout()
	journal, found, err := store.OpenJournal(m.disk, m.unix(), m.options)
	if journal == nil {
		if !errors.Is(err, crashfs.ErrCrashed) {
			m.violated("process %d does not start: %v", p.incarnation, err)
		}
		return false
	}
	p.journal = journal
	p.manager, err = lifecycle.New(crashTestSettings(), m.seed, m.environment(p))
	if err != nil {
		m.t.Fatal(err)
	}
	var keys []lifecycle.KeyRecord
	for _, k := range found.Keys {
		keys = append(keys, keyRecord(k))
	}
	if strange := p.manager.Restore(keys); strange > 0 {
		m.violated("%d strange keys", strange)
	}
	p.manager.Start()
	m.current = p
	return true
}

func (m *machine) unix() wallclock.UnixMicro { return wallclock.UnixMicro(1e15).Add(m.sched.Now()) }

func (m *machine) now() time.Duration { return m.sched.Now() }

func (m *machine) violated(format string, v ...any) {
	m.violations = append(m.violations, fmt.Sprintf(format, v...))
}

// after calls fn unless the process has ended by then.
func (p *process) after(d time.Duration, fn func()) virtualclock.Timer {
	return p.machine.sched.After(d, func() {
		if !p.dead {
			fn()
		}
	})
}

// The methods of lifecycle.KeyStore: a commit takes a while, and records that come meanwhile wait
// for the next one.

func (p *process) Unavailable() (time.Duration, string) {
	if p.journal.IsDown() {
		return 100 * time.Millisecond, "down"
	}
	return p.health.unavailable(p.machine.now())
}
func (p *process) Timeout() time.Duration                          { return 50 * time.Millisecond }
func (p *process) Started(k lifecycle.KeyRecord, done func(error)) { p.put(store.RunStarted, k, done) }
func (p *process) Ended(k lifecycle.KeyRecord, done func(error))   { p.put(store.RunEnded, k, done) }
func (p *process) Released(k lifecycle.KeyRecord)                  { p.put(store.KeyReleased, k, func(error) {}) }
func (p *process) put(kind store.RecordKind, k lifecycle.KeyRecord, done func(error)) {
	p.health.recordSent(p.machine.now())
	p.queue = append(p.queue, pendingRecord{ToRecord(kind, k, p.machine.unix()), done})
	p.commit()
}

func (p *process) commit() {
	if p.syncing || len(p.queue) == 0 {
		return
	}
	p.syncing = true
	// Sometimes the disk takes longer than the timeout.
	d := time.Duration(1000+p.machine.rand.IntN(5000)) * time.Microsecond
	if p.machine.rand.IntN(10) == 0 && !p.machine.diskIsCalm {
		d = 80 * time.Millisecond
	}
	if p.machine.diskHangs {
		return
	}
	p.after(d, func() {
		batch := p.queue
		p.queue = nil
		var records []*store.Record
		for _, e := range batch {
			records = append(records, e.record)
		}
		err := p.journal.Commit(records)
		if errors.Is(err, crashfs.ErrCrashed) {
			p.machine.crash()
			return
		}
		if err != nil {
			p.after(20*time.Millisecond, p.reopen)
		} else if p.machine.rand.IntN(6) == 0 {
			if snap, err := p.journal.BeginSnapshot(p.machine.unix()); err == nil && snap.Write() == nil {
				p.journal.FinishSnapshot(snap)
			}
		} else {
			_ = p.journal.RotateSegment() // it is down then
		}
		if p.machine.disk.IsCrashed() {
			p.machine.crash()
			return
		}
		if p.journal.IsDown() && err == nil {
			p.after(20*time.Millisecond, p.reopen)
		}
		for _, e := range batch {
			p.health.recordConfirmed()
			e.done(err)
		}
		p.syncing = false
		p.commit()
	})
}

func (p *process) reopen() {
	if !p.journal.IsDown() {
		return
	}
	if err := p.journal.Reopen(p.machine.unix()); p.machine.disk.IsCrashed() {
		p.machine.crash()
	} else if err != nil {
		p.after(20*time.Millisecond, p.reopen)
	}
}

// Run implements lifecycle.Runner: it is the server, and records what runs.
func (p *process) Run(a *lifecycle.Attempt) {
	m, key := p.machine, a.Request.Key
	if m.rand.IntN(8) == 0 { // it does not reach the server
		p.after(100*time.Microsecond, func() { p.manager.AttemptEnded(a, lifecycle.Unreachable, nil) })
		return
	}
	if m.ran[key]++; m.ran[key] > 1 {
		m.violated("%s runs for the %dth time, in process %d", key, m.ran[key], p.incarnation)
	}
	result := fmt.Sprintf("%s in process %d", key, p.incarnation)
	m.results[key] = result
	p.after(time.Duration(1000+m.rand.IntN(300_000))*time.Microsecond, func() {
		if m.rand.IntN(10) == 0 {
			p.manager.AttemptEnded(a, lifecycle.Interrupted, nil)
			return
		}
		p.manager.AttemptEnded(a, lifecycle.Succeeded, &lifecycle.Result{Status: 200, Body: []byte(result)})
	})
}

// Abandon implements lifecycle.Runner.
func (p *process) Abandon(*lifecycle.Attempt) {}

// crash is a loss of power. A while later the next process starts.
func (m *machine) crash() {
	if m.current != nil {
		m.current.dead, m.current = true, nil
	}
	m.disk.Crash()
	m.sched.After(time.Duration(10_000+m.rand.IntN(200_000))*time.Microsecond, m.restart)
}

func (m *machine) restart() {
	if m.disk.CrashAt = 0; m.rand.IntN(2) == 0 {
		m.disk.CrashAt = m.disk.Steps + 1 + m.rand.IntN(40)
	}
	if !m.start() {
		m.crash()
	}
}

// client sends one request and repeats it as long as its window lasts, often also after an answer.
type client struct {
	machine     *machine
	key         string
	firstSent   time.Duration
	attempts    int
	incarnation uint64
}

func (c *client) send() {
	m := c.machine
	again := func() { m.sched.After(time.Duration(1000+m.rand.IntN(400_000))*time.Microsecond, c.send) }
	if m.sched.Now() > c.firstSent+window-400*time.Millisecond || c.attempts > 12 {
		return
	}
	if c.attempts++; m.current == nil {
		again()
		return
	}
	c.incarnation = m.current.incarnation
	m.current.manager.Submit(
		&lifecycle.Request{
			ID:        fmt.Sprintf("%s-%d-%d", c.key, c.attempts, c.incarnation),
			Tenant:    0,
			ArrivedAt: m.unix(),
			SizeKB:    1,
			Rank:      0.5,
			Key:       c.key,
			Entity:    1,
			Body:      []byte(c.key),
			Responder: c,
		},
	)
	if m.rand.IntN(3) == 0 { // another attempt before there is an answer
		again()
	}
}

// Answer implements lifecycle.Responder.
func (c *client) Answer(a lifecycle.Answer) {
	m := c.machine
	m.answers++
	switch a.Status {
	case lifecycle.Served:
		if got := string(a.Result.Body); got != m.results[c.key] {
			m.violated("%s gets %q, and %q ran", c.key, got, m.results[c.key])
		}
		m.served[c.key] = true
		if m.results[c.key] != fmt.Sprintf("%s in process %d", c.key, c.incarnation) {
			m.servedLater++
		}
	case lifecycle.Failed:
		if a.Reason == lifecycle.InDoubt {
			if m.inDoubt++; m.diskIsCalm && m.served[c.key] {
				m.violated("%s was served, and is in doubt", c.key)
			}
		}
	}
	if m.rand.IntN(4) > 0 {
		m.sched.After(time.Duration(1000+m.rand.IntN(400_000))*time.Microsecond, c.send)
	}
}

// play plays forty requests in some seconds, with crashes at steps of the disk that the seed
// chooses.
func play(t *testing.T, seed uint64, mode store.SyncMode, fail bool) *machine {
	m := &machine{
		t:       t,
		seed:    seed,
		disk:    crashfs.New(seed),
		sched:   virtualclock.New(),
		rand:    rand.New(rand.NewPCG(seed, 1)),
		options: store.DefaultOptions(),
		ran:     map[string]int{},
		results: map[string]string{},
		served:  map[string]bool{},
	}
	m.options.Sync, m.options.SegmentBytes, m.diskIsCalm = mode, 2000, !fail && seed%4 == 1
	if fail {
		m.disk.Fail = func(op, name string) error {
			if m.rand.IntN(12) == 0 {
				return errors.New("no room")
			}
			return nil
		}
	}
	m.disk.CrashAt = 1 + int(seed%60)
	if !m.start() {
		m.crash()
	}
	for k := range 40 {
		c := &client{machine: m, key: fmt.Sprint("key", k)}
		m.sched.After(time.Duration(m.rand.IntN(3_000_000))*time.Microsecond, func() {
			c.firstSent = m.sched.Now()
			c.send()
		})
	}
	m.sched.RunUntil(virtualclock.Origin + 8*time.Second)
	return m
}

// Over many plays with a crash at each step of the disk, which loses, tears and reorders what was
// not synced and fails by chance, no key runs twice, and no client gets the result of another key.
func TestNoKeyRunsTwiceOverCrashes(t *testing.T) {
	runs := 1500
	if testing.Short() {
		runs = 200
	}
	var ran, answers, servedLater, inDoubt, processes int
	for seed := range uint64(runs) {
		m := play(t, seed, []store.SyncMode{store.SyncGroup, store.SyncAlways}[seed%2], seed%3 == 0)
		if m.traces != m.answers {
			t.Fatalf("seed %d: %d answers, %d traces", seed, m.answers, m.traces)
		}
		if len(m.violations) > 0 {
			t.Fatalf("seed %d: %q", seed, m.violations)
		}
		ran += len(m.ran)
		answers += m.answers
		servedLater += m.servedLater
		inDoubt += m.inDoubt
		processes += int(m.incarnations)
	}
	t.Logf(
		"%d plays: %d processes, %d keys ran, %d answers, %d of them from an earlier process, %d in doubt",
		runs,
		processes,
		ran,
		answers,
		servedLater,
		inDoubt,
	)
	if processes < 2*runs || servedLater < runs/2 || inDoubt < runs/10 {
		t.Error("too few crashes, duplicates or doubts to test anything")
	}
}

// While the disk hangs, and in a drain meanwhile, each request gets its answer in time, and nothing
// runs whose start is not durable.
func TestDrainWithHangingDiskAnswersInTime(t *testing.T) {
	m := &machine{
		t:       t,
		disk:    crashfs.New(1),
		sched:   virtualclock.New(),
		rand:    rand.New(rand.NewPCG(1, 1)),
		options: store.DefaultOptions(),
		ran:     map[string]int{},
		results: map[string]string{},
		served:  map[string]bool{},
	}
	if !m.start() {
		t.Fatal("the process does not start")
	}
	request := func(key string, status lifecycle.Status, within time.Duration) {
		at := m.sched.Now()
		m.current.manager.Submit(
			&lifecycle.Request{
				ID:        key,
				ArrivedAt: m.unix(),
				SizeKB:    1,
				Rank:      0.5,
				Key:       key,
				Entity:    1,
				Body:      []byte(key),
				Responder: responderFunc(func(a lifecycle.Answer) {
					m.answers++
					if past := m.sched.Now() - at; a.Status != status || past > within {
						t.Errorf("%s: status %d after %d ms", key, a.Status, past.Milliseconds())
					}
				}),
			},
		)
	}
	request("before", lifecycle.Served, 400*time.Millisecond)
	m.sched.RunUntil(virtualclock.Origin + time.Second)
	if m.answers == 0 { // the server interrupts some runs
		t.Fatal("no answer")
	}
	m.diskHangs = true
	for k := range 20 {
		// once one has timed out, others do not wait
		request(fmt.Sprint("stuck", k), lifecycle.Rejected, 60*time.Millisecond)
	}
	m.sched.After(20*time.Millisecond, func() { m.current.manager.Drain(1500 * time.Millisecond) })
	m.sched.RunUntil(virtualclock.Origin + 4*time.Second)
	if m.answers != 21 || m.current.manager.OpenRequests() != 0 || len(m.ran) != 1 {
		t.Errorf("%d answers, %d open, %d ran", m.answers, m.current.manager.OpenRequests(), len(m.ran))
	}
}

type responderFunc func(lifecycle.Answer)

func (fn responderFunc) Answer(a lifecycle.Answer) { fn(a) }
