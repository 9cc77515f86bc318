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

// world is a machine with a disk that crashes, on which one life of the program follows another,
// and clients that repeat their hand-ins through all of them. What ran, and who was told what, is
// noted outside of it by the checker.
type world struct {
	t     *testing.T
	seed  uint64
	disk  *crashfs.Disk
	sched *virtualclock.Scheduler
	rand  *rand.Rand
	opt   store.Options
	calm  bool // the disk answers in time, and does not fail
	stuck bool // it does not answer at all
	life  *life
	lives uint64

	ran     map[string]int    // runs of a key that were begun: the checker's
	results map[string]string // what the run of a key made
	served  map[string]bool
	broken  []string
	answers int
	trails  int
	recalls int // served by a later life than the one that ran
	doubts  int
}

// life is one process.
type life struct {
	w       *world
	no      uint64
	core    *lifecycle.Manager
	journal *store.Journal
	queue   []entry
	syncing bool
	health  health
	dead    bool
}

type entry struct {
	r    *store.Record
	done func(error)
}

const window = 3 * time.Second

// start begins a life with what the disk holds.
func (w *world) start() bool {
	w.lives++
	l := &life{w: w, no: w.lives}
	l.health.stallTimeout = l.Timeout()
	journal, found, err := store.OpenJournal(w.disk, w.unix(), w.opt)
	if journal == nil {
		if !errors.Is(err, crashfs.ErrCrashed) {
			w.breaks("life %d does not start: %v", l.no, err)
		}
		return false
	}
	l.journal = journal
	set := admission.Settings{
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
	l.core, err = lifecycle.New(set, w.seed, lifecycle.Environment{Now: w.now, Unix: w.unix,
		After:     func(d time.Duration, fn func()) func() { return l.after(d, fn).Stop },
		Measure:   func(fn func(lifecycle.Gauges)) { l.after(time.Microsecond, func() { fn(lifecycle.UnknownGauges()) }) },
		SetHealth: func(bool, bool) {}, Advertise: func(float64) {}, CloseIdle: func(time.Duration) {}, Log: func(*logging.Event, ...any) {},
		Route: func(int) lifecycle.Runner { return l }, KeyStore: l, Incarnation: w.lives,
		OnAnswered: func(t *lifecycle.Trace) {
			if w.trails++; t.Status != lifecycle.Served && t.Cause == lifecycle.CauseNone ||
				t.Status == lifecycle.Served && t.OriginalID != "" && t.Cause != lifecycle.CauseDuplicate {
				w.breaks("%s has no cause: %+v", t.ID, *t)
			}
		}})
	if err != nil {
		w.t.Fatal(err)
	}
	var keys []lifecycle.KeyRecord
	for _, k := range found.Keys {
		keys = append(keys, keyRecord(k))
	}
	if strange := l.core.Restore(keys); strange > 0 {
		w.breaks("%d strange keys", strange)
	}
	l.core.Start()
	w.life = l
	return true
}

func (w *world) unix() wallclock.UnixMicro { return wallclock.UnixMicro(1e15).Add(w.sched.Now()) }

func (w *world) now() time.Duration { return w.sched.Now() }

func (w *world) breaks(format string, v ...any) {
	w.broken = append(w.broken, fmt.Sprintf(format, v...))
}

// after calls back, unless the life is over by then.
func (l *life) after(d time.Duration, fn func()) virtualclock.Timer {
	return l.w.sched.After(d, func() {
		if !l.dead {
			fn()
		}
	})
}

// The life is its own keeper: a commit takes a while, and records that come meanwhile wait for the
// next.
func (l *life) Unavailable() (time.Duration, string) {
	if l.journal.IsDown() {
		return 100 * time.Millisecond, "down"
	}
	return l.health.unavailable(l.w.now())
}
func (l *life) Timeout() time.Duration                          { return 50 * time.Millisecond }
func (l *life) Started(k lifecycle.KeyRecord, done func(error)) { l.put(store.RunStarted, k, done) }
func (l *life) Ended(k lifecycle.KeyRecord, done func(error))   { l.put(store.RunEnded, k, done) }
func (l *life) Released(k lifecycle.KeyRecord)                  { l.put(store.KeyReleased, k, func(error) {}) }
func (l *life) put(kind store.RecordKind, k lifecycle.KeyRecord, done func(error)) {
	l.health.recordSent(l.w.now())
	l.queue = append(l.queue, entry{ToRecord(kind, k, l.w.unix()), done})
	l.commit()
}

func (l *life) commit() {
	if l.syncing || len(l.queue) == 0 {
		return
	}
	l.syncing = true
	// Now and then the disk takes longer than anybody waits.
	d := time.Duration(1000+l.w.rand.IntN(5000)) * time.Microsecond
	if l.w.rand.IntN(10) == 0 && !l.w.calm {
		d = 80 * time.Millisecond
	}
	if l.w.stuck {
		return
	}
	l.after(d, func() {
		batch := l.queue
		l.queue = nil
		var records []*store.Record
		for _, e := range batch {
			records = append(records, e.r)
		}
		err := l.journal.Commit(records)
		if errors.Is(err, crashfs.ErrCrashed) {
			l.w.crash()
			return
		}
		if err != nil {
			l.after(20*time.Millisecond, l.reopen)
		} else if l.w.rand.IntN(6) == 0 {
			if snap, err := l.journal.BeginSnapshot(l.w.unix()); err == nil && snap.Write() == nil {
				l.journal.FinishSnapshot(snap)
			}
		} else {
			_ = l.journal.RotateSegment() // it is down then
		}
		if l.w.disk.IsCrashed() {
			l.w.crash()
			return
		}
		if l.journal.IsDown() && err == nil {
			l.after(20*time.Millisecond, l.reopen)
		}
		for _, e := range batch {
			l.health.recordConfirmed()
			e.done(err)
		}
		l.syncing = false
		l.commit()
	})
}

func (l *life) reopen() {
	if !l.journal.IsDown() {
		return
	}
	if err := l.journal.Reopen(l.w.unix()); l.w.disk.IsCrashed() {
		l.w.crash()
	} else if err != nil {
		l.after(20*time.Millisecond, l.reopen)
	}
}

// Run implements lifecycle.Runner: it is the server, and the checker's witness.
func (l *life) Run(a *lifecycle.Attempt) {
	w, key := l.w, a.Request.Key
	if w.rand.IntN(8) == 0 { // it never gets there
		l.after(100*time.Microsecond, func() { l.core.AttemptEnded(a, lifecycle.Unreachable, nil) })
		return
	}
	if w.ran[key]++; w.ran[key] > 1 {
		w.breaks("%s runs for the %dth time, in life %d", key, w.ran[key], l.no)
	}
	result := fmt.Sprintf("%s in life %d", key, l.no)
	w.results[key] = result
	l.after(time.Duration(1000+w.rand.IntN(300_000))*time.Microsecond, func() {
		if w.rand.IntN(10) == 0 {
			l.core.AttemptEnded(a, lifecycle.Interrupted, nil)
			return
		}
		l.core.AttemptEnded(a, lifecycle.Succeeded, &lifecycle.Result{Status: 200, Body: []byte(result)})
	})
}

// Abandon implements lifecycle.Runner.
func (l *life) Abandon(*lifecycle.Attempt) {}

// crash is a loss of power; a while later the next life begins.
func (w *world) crash() {
	if w.life != nil {
		w.life.dead, w.life = true, nil
	}
	w.disk.Crash()
	w.sched.After(time.Duration(10_000+w.rand.IntN(200_000))*time.Microsecond, w.restart)
}

func (w *world) restart() {
	if w.disk.CrashAt = 0; w.rand.IntN(2) == 0 {
		w.disk.CrashAt = w.disk.Steps + 1 + w.rand.IntN(40)
	}
	if !w.start() {
		w.crash()
	}
}

// client sends one hand-in and repeats it, as long as its window lasts, whatever it is told, and
// now and then even then.
type client struct {
	w     *world
	key   string
	first time.Duration
	no    int
	life  uint64
}

func (c *client) send() {
	w := c.w
	again := func() { w.sched.After(time.Duration(1000+w.rand.IntN(400_000))*time.Microsecond, c.send) }
	if w.sched.Now() > c.first+window-400*time.Millisecond || c.no > 12 {
		return
	}
	if c.no++; w.life == nil {
		again()
		return
	}
	c.life = w.life.no
	w.life.core.Submit(
		&lifecycle.Request{
			ID:        fmt.Sprintf("%s-%d-%d", c.key, c.no, c.life),
			Tenant:    0,
			ArrivedAt: w.unix(),
			SizeKB:    1,
			Rank:      0.5,
			Key:       c.key,
			Entity:    1,
			Body:      []byte(c.key),
			Responder: c,
		},
	)
	if w.rand.IntN(3) == 0 { // impatient: another before there is an answer
		again()
	}
}

// Answer implements lifecycle.Responder.
func (c *client) Answer(a lifecycle.Answer) {
	w := c.w
	w.answers++
	switch a.Status {
	case lifecycle.Served:
		if got := string(a.Result.Body); got != w.results[c.key] {
			w.breaks("%s is told %q, and %q ran", c.key, got, w.results[c.key])
		}
		w.served[c.key] = true
		if w.results[c.key] != fmt.Sprintf("%s in life %d", c.key, c.life) {
			w.recalls++
		}
	case lifecycle.Failed:
		if a.Reason == lifecycle.InDoubt {
			if w.doubts++; w.calm && w.served[c.key] {
				w.breaks("%s was served, and is in doubt", c.key)
			}
		}
	}
	if w.rand.IntN(4) > 0 {
		w.sched.After(time.Duration(1000+w.rand.IntN(400_000))*time.Microsecond, c.send)
	}
}

// play is one run: a hundred hand-ins in some seconds, and a crash at one step of the disk or
// another.
func play(t *testing.T, seed uint64, mode store.SyncMode, fail bool) *world {
	w := &world{
		t:       t,
		seed:    seed,
		disk:    crashfs.New(seed),
		sched:   virtualclock.New(),
		rand:    rand.New(rand.NewPCG(seed, 1)),
		opt:     store.DefaultOptions(),
		ran:     map[string]int{},
		results: map[string]string{},
		served:  map[string]bool{},
	}
	w.opt.Sync, w.opt.SegmentBytes, w.calm = mode, 2000, !fail && seed%4 == 1
	if fail {
		w.disk.Fail = func(op, name string) error {
			if w.rand.IntN(12) == 0 {
				return errors.New("no room")
			}
			return nil
		}
	}
	w.disk.CrashAt = 1 + int(seed%60)
	if !w.start() {
		w.crash()
	}
	for k := range 40 {
		c := &client{w: w, key: fmt.Sprint("key", k)}
		w.sched.After(time.Duration(w.rand.IntN(3_000_000))*time.Microsecond, func() {
			c.first = w.sched.Now()
			c.send()
		})
	}
	w.sched.RunUntil(virtualclock.Origin + 8*time.Second)
	return w
}

// Over thousands of runs with a crash at each step of the disk, which loses, tears and reorders
// what was not synced and fails by chance: no hand-in runs twice, and nobody gets another's result.
func TestNoHandInRunsTwice(t *testing.T) {
	runs := 1500
	if testing.Short() {
		runs = 200
	}
	var ran, answers, recalls, doubts, lives int
	for seed := range uint64(runs) {
		w := play(t, seed, []store.SyncMode{store.SyncGroup, store.SyncAlways}[seed%2], seed%3 == 0)
		if w.trails != w.answers {
			t.Fatalf("seed %d: %d answers, %d trails", seed, w.answers, w.trails)
		}
		if len(w.broken) > 0 {
			t.Fatalf("seed %d: %q", seed, w.broken)
		}
		ran, answers, recalls, doubts, lives = ran+len(
			w.ran,
		), answers+w.answers, recalls+w.recalls, doubts+w.doubts, lives+int(
			w.lives,
		)
	}
	t.Logf(
		"%d runs: %d lives, %d hand-ins ran, %d answers, %d of them from an earlier life, %d in doubt",
		runs,
		lives,
		ran,
		answers,
		recalls,
		doubts,
	)
	if lives < 2*runs || recalls < runs/2 || doubts < runs/10 {
		t.Error("that tells nothing")
	}
}

// While the disk hangs, and in a drain meanwhile, each request has its answer in time, and nothing
// runs of which it is not kept.
func TestDrainWhileTheDiskHangs(t *testing.T) {
	w := &world{
		t:       t,
		disk:    crashfs.New(1),
		sched:   virtualclock.New(),
		rand:    rand.New(rand.NewPCG(1, 1)),
		opt:     store.DefaultOptions(),
		ran:     map[string]int{},
		results: map[string]string{},
		served:  map[string]bool{},
	}
	if !w.start() {
		t.Fatal("it does not start")
	}
	ask := func(key string, kind lifecycle.Status, within time.Duration) {
		at := w.sched.Now()
		w.life.core.Submit(
			&lifecycle.Request{
				ID:        key,
				ArrivedAt: w.unix(),
				SizeKB:    1,
				Rank:      0.5,
				Key:       key,
				Entity:    1,
				Body:      []byte(key),
				Responder: asker(func(a lifecycle.Answer) {
					w.answers++
					if past := w.sched.Now() - at; a.Status != kind || past > within {
						t.Errorf("%s: kind %d after %d ms", key, a.Status, past.Milliseconds())
					}
				}),
			},
		)
	}
	ask("before", lifecycle.Served, 400*time.Millisecond)
	w.sched.RunUntil(virtualclock.Origin + time.Second)
	if w.answers == 0 { // the witness breaks some
		t.Fatal("no answer")
	}
	w.stuck = true
	for k := range 20 {
		// once one has waited in vain, others do not
		ask(fmt.Sprint("stuck", k), lifecycle.Rejected, 60*time.Millisecond)
	}
	w.sched.After(20*time.Millisecond, func() { w.life.core.Drain(1500 * time.Millisecond) })
	w.sched.RunUntil(virtualclock.Origin + 4*time.Second)
	if w.answers != 21 || w.life.core.OpenRequests() != 0 || len(w.ran) != 1 {
		t.Errorf("%d answers, %d open, %d ran", w.answers, w.life.core.OpenRequests(), len(w.ran))
	}
}

type asker func(lifecycle.Answer)

func (fn asker) Answer(a lifecycle.Answer) { fn(a) }

func TestHealth(t *testing.T) {
	const ms = time.Millisecond
	h := health{stallTimeout: 100 * ms, reading: true}
	for _, c := range []struct {
		what string
		do   func()
		now  time.Duration
		back time.Duration
	}{
		{"reading", func() {}, 1 * ms, restoringRetryAfter},
		{"read", func() { h.reading = false }, 2 * ms, 0},
		{"repaired", func() { h.closedUntil = 50 * ms }, 10 * ms, 40 * ms},
		{"long after", func() {}, 50 * ms, 0},
		{"owed", func() { h.recordSent(100 * ms); h.recordSent(150 * ms) }, 199 * ms, 0},
		{"owed for long", func() {}, 200 * ms, 100 * ms},
		{"the first is answered", func() { h.recordConfirmed() }, 201 * ms, 0},
		{"the second is owed for long", func() {}, 251 * ms, 100 * ms},
		{"all are answered", func() { h.recordConfirmed() }, 900 * ms, 0},
		{"down", func() { h.downReason = "no room" }, 901 * ms, downRetryAfter},
		{"back", func() { h.downReason = "" }, 902 * ms, 0},
	} {
		c.do()
		if back, why := h.unavailable(c.now); back != c.back || (back > 0) != (why != "") {
			t.Errorf("%s: %v, %q", c.what, back, why)
		}
	}
}
