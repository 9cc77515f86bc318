package metering

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"ryepaddle/internal/testing/crashfs"
	"ryepaddle/internal/usage/ledger"
	"ryepaddle/internal/wallclock"
)

const (
	sec = 1_000_000 // in microseconds, of whatever type a value has
	// begin is when a period begins.
	begin = wallclock.UnixMicro(2_880_000 * 600 * sec)
	// ringCapacity is the capacity of the rings of tests, in records.
	ringCapacity = 20
	// ringRecordSize is the size of a record in the memory of a ring.
	ringRecordSize = 64
)

func settings() ledger.Settings {
	return ledger.Settings{Instance: "n0", Period: 600 * sec, Slice: 60 * sec, MaxKeys: 10_000, MaxLines: 100}
}

// testProcess is a process that keeps an account on a disk that may crash at any step, beside a
// collector that takes its statements away.
type testProcess struct {
	disk      *crashfs.Disk
	mem       []byte // of the ring
	account   *accountStore
	now       wallclock.UnixMicro
	collected map[string]string // digests of the statements that were collected, by their names
	list      []*ledger.Statement
	replace   bool // each process begins an account of its own
	starts    int
}

func newTestProcess(seed uint64) *testProcess {
	return &testProcess{disk: crashfs.New(seed), now: begin, collected: map[string]string{}}
}

func (p *testProcess) start(sameBoot bool) error {
	incarnation := "a"
	if p.replace {
		p.starts++
		incarnation = fmt.Sprint("a", p.starts)
	}
	account, _, err := openAccount(p.disk, openParams{
		settings:     settings(),
		saveInterval: 5 * time.Second,
		now:          p.now,
		incarnation:  incarnation,
		oldRing:      p.mem,
		sameBoot:     sameBoot,
		mustReplace:  p.replace,
	})
	if err != nil {
		return err
	}
	p.account, p.mem = account, make([]byte, ledger.RingSize(ringCapacity))
	account.ring = ledger.NewRing(p.mem, account.ledger.Incarnation(), account.lastRecord)
	return nil
}

// collect takes the statements away that have their names. It returns names that it has had before.
func (p *testProcess) collect(t *testing.T, r *rand.Rand) (again []string) {
	t.Helper()
	names, err := p.disk.List()
	if err != nil || r.IntN(3) == 0 {
		return nil
	}
	for _, name := range names {
		if !strings.HasSuffix(name, ".json") {
			continue
		}
		b, err := p.disk.Read(name)
		if err != nil {
			continue
		}
		s, err := ledger.ParseStatement(name, b)
		if err != nil {
			t.Fatalf("a statement that has its name: %v", err)
		}
		if p.disk.Remove(name) != nil {
			return again // it crashed; statements are collected after that
		}
		if digest, ok := p.collected[name]; ok {
			if again = append(again, name); digest != s.Digest() {
				t.Fatalf("%s is another one", name)
			}
			continue
		}
		p.collected[name] = s.Digest()
		p.list = append(p.list, s)
	}
	return again
}

// bill returns the bill of the statements that were collected, and its sums.
func (p *testProcess) bill(t *testing.T) (*ledger.Bill, ledger.Count) {
	t.Helper()
	bill, err := ledger.Reconcile(p.list, ledger.BillingTerms{})
	if err != nil {
		t.Fatal(err)
	}
	var sum ledger.Count
	for _, b := range bill.Lines {
		sum.Add(b.Count)
	}
	return bill, sum
}

// crashRun has one process after the other crash, and keeps account of what must be billed.
type crashRun struct {
	*testing.T
	*testProcess
	seed      uint64
	rand      *rand.Rand
	losePower bool // the machine goes down, and not the process alone

	recorded, lost uint64 // records that found room in a ring, and that did not
	saved          uint64 // records that are in the state
	key            uint64
	repeated       int // statements that were collected again as they were
}

func (c *crashRun) collectStatements() {
	again := c.collect(c.T, c.rand)
	if len(again) > 0 && !c.losePower {
		c.Fatalf("seed %d: %v are given out again", c.seed, again)
	}
	c.repeated += len(again)
}

// work has the process work until its disk crashes.
func (c *crashRun) work() {
	c.disk.CrashAt = c.disk.Steps + 1 + c.rand.IntN(60)
	err := c.start(!c.losePower)
	for err == nil {
		c.record()
		if c.rand.IntN(8) == 0 {
			c.now += 600 * sec
		}
		if err = c.account.advance(c.now); err == nil && !c.account.dirty {
			c.saved = c.account.lastRecord
		}
		c.collectStatements()
	}
	if !errors.Is(err, crashfs.ErrCrashed) {
		c.Fatalf("seed %d: %v", c.seed, err)
	}
}

// record puts records into the ring, at times more than it has room for.
func (c *crashRun) record() {
	for range c.rand.IntN(12) * (1 + 3*c.rand.IntN(2)) {
		c.key++
		if c.account.ring.Put(
			ledger.Record{
				AnsweredAt:   c.now,
				School:       "north",
				Class:        "hand-in",
				Outcome:      ledger.OutcomeServed,
				Key:          c.key,
				KeyExpiresAt: c.now + 100*sec,
			},
		) {
			c.recorded++
		} else {
			c.lost++
		}
		c.now += wallclock.UnixMicro(c.rand.Int64N(4 * sec))
	}
}

// crash ends the process, or the machine: then the disk may have kept none or some of the ring.
func (c *crashRun) crash() {
	if !c.losePower {
		c.disk.Kill()
		return
	}
	c.disk.Crash()
	if c.rand.IntN(2) == 0 {
		c.mem = nil
		return
	}
	if len(c.mem) == 0 {
		return
	}
	for at := len(c.mem) - ringCapacity*ringRecordSize; at < len(c.mem); at += ringRecordSize {
		if c.rand.IntN(3) == 0 {
			clear(c.mem[at : at+ringRecordSize])
		}
	}
}

// finish has all that there is settled and collected.
func (c *crashRun) finish() {
	if err := c.start(!c.losePower); err != nil {
		c.Fatal(c.seed, err)
	}
	for range 4 {
		c.now += 700 * sec
		if err := c.account.advance(c.now); err != nil {
			c.Fatal(c.seed, err)
		}
		for range 20 {
			c.repeated += len(c.collect(c.T, c.rand))
		}
	}
}

func (c *crashRun) check() {
	bill, got := c.bill(c.T)
	problems := slices.DeleteFunc(
		bill.Problems,
		func(p ledger.Problem) bool { return strings.Contains(p.Description, "were lost") },
	)
	if len(problems) > 0 || got.Duplicates > 0 || bill.DeduplicatedRuns > 0 {
		c.Fatalf("seed %d: %v, %+v, %d twice", c.seed, problems, got, bill.DeduplicatedRuns)
	}
	served := uint64(got.Served)
	if !c.losePower && (served != c.recorded || bill.Lost != c.lost) ||
		c.losePower && (served > c.recorded || served+bill.Lost < c.saved) {
		c.Fatalf(
			"seed %d: %d billed of %d recorded, %d saved or known to be gone; %d lost, %d billed as lost",
			c.seed,
			served,
			c.recorded,
			c.saved,
			c.lost,
			bill.Lost,
		)
	}
}

// A crash at any step, again and again, of the process or of the machine, loses no record, counts none
// twice and exports no statement twice. Where the machine lost power, what was not yet on its disk may
// be gone, and a statement that was just being renamed may come again as it was.
func TestCrashAtAnyStepLosesNothing(t *testing.T) {
	const crashesPerRun = 12
	seeds := uint64(40)
	if testing.Short() {
		seeds = 20
	}
	crashes, repeated := 0, 0
	for _, losePower := range []bool{false, true} {
		for _, replace := range []bool{false, true} {
			for seed := range seeds {
				p := newTestProcess(seed)
				p.replace = replace
				c := &crashRun{
					T: t, testProcess: p, seed: seed, rand: rand.New(rand.NewPCG(seed, 5)), losePower: losePower,
				}
				p.disk.Fail = func(op, _ string) error { // also in the middle of a step
					if op == "syncdir" {
						c.collectStatements()
					}
					return nil
				}
				for range crashesPerRun {
					c.work()
					c.crash()
					crashes++
				}
				c.finish()
				c.check()
				repeated += c.repeated
			}
		}
	}
	t.Logf("%d crashes; %d statements came again as they were", crashes, repeated)
}

// A disk that fails costs time, and then the records for which there is no room, which are counted as
// lost; nothing that was counted.
func TestFailingDiskLosesNothingCounted(t *testing.T) {
	p := newTestProcess(1)
	if err := p.start(true); err != nil {
		t.Fatal(err)
	}
	for _, op := range []string{"create", "write", "sync", "rename", "syncdir"} {
		p.disk.Fail = func(did, _ string) error {
			if did == op {
				return errors.New("no space left")
			}
			return nil
		}
		for n := range 50 {
			p.account.ring.Put(servedCheck(p.now, op))
			p.now += sec
			if err := p.account.advance(p.now); n > 40 && err == nil {
				t.Fatalf("%s: it does not show", op)
			}
		}
		p.disk.Fail = nil
		if err := p.account.advance(p.now); err != nil {
			t.Fatal(op, err)
		}
	}
	p.now += 1300 * sec
	r := rand.New(rand.NewPCG(1, 1))
	for range 5 {
		if err := p.account.advance(p.now); err != nil {
			t.Fatal(err)
		}
		p.collect(t, r)
	}
	bill, got := p.bill(t)
	if n := uint64(got.Served) + bill.Lost; n != 250 || bill.Lost == 0 || got.Served < 100 {
		t.Errorf("%d served, %d lost, of 250", got.Served, bill.Lost)
	}
}

func servedCheck(at wallclock.UnixMicro, school string) ledger.Record {
	return ledger.Record{AnsweredAt: at, School: school, Class: "check", Outcome: ledger.OutcomeServed}
}

// A file in the way of a statement is left as it is, and the account goes on once it is gone; a folder
// that lost its account is refused.
func TestFileInTheWayOfStatementIsKept(t *testing.T) {
	p := newTestProcess(1)
	if err := p.start(true); err != nil {
		t.Fatal(err)
	}
	name := "usage-n0-a-00000001.json"
	f, err := p.disk.Create(name)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(f, "somebody's")
	p.account.ring.Put(servedCheck(p.now, "north"))
	p.now += 700 * sec
	var conflict *fileConflictError
	if err := p.account.advance(p.now); !errors.As(err, &conflict) || conflict.name != name {
		t.Fatal(err)
	}
	if b, _ := p.disk.Read(name); string(b) != "somebody's" {
		t.Errorf("%q", b)
	}
	if err := p.disk.Remove(name); err != nil {
		t.Fatal(err)
	}
	if err := p.account.advance(p.now); err != nil || len(p.account.takeExported()) != 1 {
		t.Fatal(err)
	}
	if err := p.disk.Remove(StateFile); err != nil {
		t.Fatal(err)
	}
	if err := p.start(true); err == nil || !strings.Contains(err.Error(), "move the statements away") {
		t.Fatal(err)
	}
}
