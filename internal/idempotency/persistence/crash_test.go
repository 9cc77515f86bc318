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

// machine simulates a machine with a disk that crashes, the successive processes of the program on it,
// and clients that repeat their requests across these processes. It also is the checker: it records,
// outside the processes, which keys ran and which answers clients got.
type machine struct {
	t            *testing.T
	seed         uint64
	disk         *crashfs.Disk
	sched        *virtualclock.Scheduler
	rand         *rand.Rand
	options      store.Options
	diskIsCalm   bool // no sync takes longer than the timeout, and no operation fails by chance
	diskHangs    bool // commits do not end
	current      *process
	incarnations uint64

	ran         map[string]int    // number of runs that began, by key
	results     map[string]string // result of the run, by key
	served      map[string]bool   // whether a client was served, by key
	violations  []string
	answers     int
	traces      int
	servedLater int // answers served by a later process than the one that ran the key
	inDoubt     int
}

// process is one process of the program. It also is the key store and the runner of its manager.
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

// crashTestSettings returns settings with one class, which is idempotent with a key.
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

// environment returns the environment of the manager of a process.
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
				m.violated("the trace of request %s has a wrong cause or none: %+v", t.ID, *t)
			}
		},
	}
}

// start starts a process with the files on the disk, and reports whether that succeeded.
func (m *machine) start() bool {
	m.incarnations++
	p := &process{machine: m, incarnation: m.incarnations}
	p.health.stallTimeout = p.Timeout()
	journal, found, err := store.OpenJournal(m.disk, m.unix(), m.options)
	if journal == nil {
		if !errors.Is(err, crashfs.ErrCrashed) {
			m.violated("process %d cannot open the journal: %v", p.incarnation, err)
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
	if unknown := p.manager.Restore(keys); unknown > 0 {
		m.violated("Restore() = %d keys of unknown classes or tenants, want 0", unknown)
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

// These methods implement lifecycle.KeyStore. A commit takes some time, and records that are put
// meanwhile wait for the next commit.

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
			_ = p.journal.RotateSegment() // after an error the journal is down, and is reopened below
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

// Run implements lifecycle.Runner. It simulates the server and records which keys run.
func (p *process) Run(a *lifecycle.Attempt) {
	m, key := p.machine, a.Request.Key
	if m.rand.IntN(8) == 0 { // the attempt does not reach the server
		p.after(100*time.Microsecond, func() { p.manager.AttemptEnded(a, lifecycle.Unreachable, nil) })
		return
	}
	if m.ran[key]++; m.ran[key] > 1 {
		m.violated("key %s: run number %d begins, in process %d, want one run", key, m.ran[key], p.incarnation)
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

// crash simulates a loss of power. The next process starts 10 to 210 ms later.
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

// client sends one request and repeats it within its idempotency window, often even after an answer.
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
	if m.rand.IntN(3) == 0 { // repeats the request before it is answered
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
			m.violated("key %s: served result = %q, want %q", c.key, got, m.results[c.key])
		}
		m.served[c.key] = true
		if m.results[c.key] != fmt.Sprintf("%s in process %d", c.key, c.incarnation) {
			m.servedLater++
		}
	case lifecycle.Failed:
		if a.Reason == lifecycle.InDoubt {
			if m.inDoubt++; m.diskIsCalm && m.served[c.key] {
				m.violated("key %s is in doubt after it was served", c.key)
			}
		}
	}
	if m.rand.IntN(4) > 0 {
		m.sched.After(time.Duration(1000+m.rand.IntN(400_000))*time.Microsecond, c.send)
	}
}

// simulate simulates forty requests within a few seconds, with crashes at operations of the disk that the
// seed determines.
func simulate(t *testing.T, seed uint64, mode store.SyncMode, fail bool) *machine {
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

// Simulates many runs of a machine that crashes at any operation of the disk. A crash loses, tears and
// reorders data that was not synced, and in some runs operations fail at random. No key may run twice, and
// no client may get the result of another key.
func TestNoKeyRunsTwiceOverCrashes(t *testing.T) {
	runs := 1500
	if testing.Short() {
		runs = 200
	}
	var ran, answers, servedLater, inDoubt, processes int
	for seed := range uint64(runs) {
		m := simulate(t, seed, []store.SyncMode{store.SyncGroup, store.SyncAlways}[seed%2], seed%3 == 0)
		if m.traces != m.answers {
			t.Fatalf("seed %d: %d answers but %d traces", seed, m.answers, m.traces)
		}
		if len(m.violations) > 0 {
			t.Fatalf("seed %d: violations: %q", seed, m.violations)
		}
		ran += len(m.ran)
		answers += m.answers
		servedLater += m.servedLater
		inDoubt += m.inDoubt
		processes += int(m.incarnations)
	}
	t.Logf(
		"%d simulations: %d processes, %d keys ran, %d answers, %d of them of an earlier process, %d in doubt",
		runs,
		processes,
		ran,
		answers,
		servedLater,
		inDoubt,
	)
	if processes < 2*runs || servedLater < runs/2 || inDoubt < runs/10 {
		t.Error("too few crashes, answers by later processes or keys in doubt for the test to be meaningful")
	}
}

// A disk hangs, and a drain begins meanwhile. Each request is still answered in time, and no run begins
// whose start is not durable.
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
						t.Errorf("request %s: answered with status %d after %d ms, want status %d within %d ms",
							key, a.Status, past.Milliseconds(), status, within.Milliseconds())
					}
				}),
			},
		)
	}
	request("before", lifecycle.Served, 400*time.Millisecond)
	m.sched.RunUntil(virtualclock.Origin + time.Second)
	if m.answers == 0 { // the simulated server interrupts some runs
		t.Fatal("the request before the disk hangs is not answered")
	}
	m.diskHangs = true
	for k := range 20 {
		// once one request has timed out, the others do not wait
		request(fmt.Sprint("stuck", k), lifecycle.Rejected, 60*time.Millisecond)
	}
	m.sched.After(20*time.Millisecond, func() { m.current.manager.Drain(1500 * time.Millisecond) })
	m.sched.RunUntil(virtualclock.Origin + 4*time.Second)
	if m.answers != 21 || m.current.manager.OpenRequests() != 0 || len(m.ran) != 1 {
		t.Errorf("%d answers, %d open requests and %d keys ran, want 21, 0 and 1",
			m.answers, m.current.manager.OpenRequests(), len(m.ran))
	}
}

type responderFunc func(lifecycle.Answer)

func (fn responderFunc) Answer(a lifecycle.Answer) { fn(a) }
