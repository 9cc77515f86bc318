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
	sec = 1_000_000 // in microseconds, untyped so that it fits both instants and spans
	// begin is the start of a period.
	begin = wallclock.UnixMicro(2_880_000 * 600 * sec)
	// ringCapacity is the capacity of the rings of tests, in records.
	ringCapacity = 20
	// ringRecordSize is the size of a record in the memory of a ring.
	ringRecordSize = 64
)

func settings() ledger.Settings {
	return ledger.Settings{Instance: "n0", Period: 600 * sec, Slice: 60 * sec, MaxKeys: 10_000, MaxLines: 100}
}

// testProcess simulates a process that keeps an account on a disk which may crash at any step, and a
// collector that takes the statements away.
type testProcess struct {
	disk       *crashfs.Disk
	mem        []byte // of the ring
	account    *accountStore
	now        wallclock.UnixMicro
	collected  map[string]string // digests of the collected statements, by file name
	statements []*ledger.Statement
	replace    bool // each process begins a new account
	starts     int
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

// collect takes away the statements with final names. It returns the names that it collected before.
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
			t.Fatalf("a statement with a final name cannot be read: %v", err)
		}
		if p.disk.Remove(name) != nil {
			return again // the disk crashed; the statement is collected after that
		}
		if digest, ok := p.collected[name]; ok {
			if again = append(again, name); digest != s.Digest() {
				t.Fatalf("%s was collected again with other contents", name)
			}
			continue
		}
		p.collected[name] = s.Digest()
		p.statements = append(p.statements, s)
	}
	return again
}

// bill returns the bill of the collected statements, and its sums.
func (p *testProcess) bill(t *testing.T) (*ledger.Bill, ledger.Count) {
	t.Helper()
	bill, err := ledger.Reconcile(p.statements, ledger.BillingTerms{})
	if err != nil {
		t.Fatal(err)
	}
	var sum ledger.Count
	for _, b := range bill.Lines {
		sum.Add(b.Count)
	}
	return bill, sum
}

// crashRun crashes one process after the other, and keeps the numbers that the bill must have.
type crashRun struct {
	*testing.T
	*testProcess
	seed      uint64
	rand      *rand.Rand
	losePower bool // the machine loses power; otherwise only the process is killed

	recorded, lost uint64 // records that found room in a ring, and records that did not
	saved          uint64 // records that are in the state
	key            uint64
	repeated       int // statements that were collected again with the same contents
}

func (c *crashRun) collectStatements() {
	again := c.collect(c.T, c.rand)
	if len(again) > 0 && !c.losePower {
		c.Fatalf("seed %d: statements %v were exported again", c.seed, again)
	}
	c.repeated += len(again)
}

// work runs a process until its disk crashes.
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
		c.Fatalf("seed %d: the process failed with %v, want ErrCrashed", c.seed, err)
	}
}

// record puts records into the ring, sometimes more than it has room for.
func (c *crashRun) record() {
	for range c.rand.IntN(12) * (1 + 3*c.rand.IntN(2)) {
		c.key++
		if c.account.ring.Put(
			ledger.Record{
				AnsweredAt:   c.now,
				Tenant:       "north",
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

// crash kills the process, or the machine; the disk may then have kept none or only some of the ring.
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

// finish starts a last process, and lets it export all statements until they are collected.
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
		c.Fatalf(
			"seed %d: problems %v, sums %+v, %d runs deduplicated; want no problems and no duplicates",
			c.seed,
			problems,
			got,
			bill.DeduplicatedRuns,
		)
	}
	served := uint64(got.Served)
	if !c.losePower && (served != c.recorded || bill.Lost != c.lost) ||
		c.losePower && (served > c.recorded || served+bill.Lost < c.saved) {
		c.Fatalf(
			"seed %d: %d billed as served of %d recorded, %d saved or known to be gone; %d lost, %d billed as lost",
			c.seed,
			served,
			c.recorded,
			c.saved,
			c.lost,
			bill.Lost,
		)
	}
}

// Repeated crashes at any step, of the process or the machine, must lose no record, count none twice and
// export no statement twice. After a power loss, records that were not on the disk may be gone, and a
// statement that was just being renamed may be exported again with the same contents.
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
				p.disk.Fail = func(op, _ string) error { // also collects in the middle of a step
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
	t.Logf("%d crashes; %d statements were collected again with the same contents", crashes, repeated)
}

// While the disk fails, records that were counted must not be lost. Only records for which the ring has
// no room may be, and they must be counted as lost.
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
			p.account.ring.Put(servedRecord(p.now, op))
			p.now += sec
			if err := p.account.advance(p.now); n > 40 && err == nil {
				t.Fatalf("advance() = nil while %s fails, want an error", op)
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
		t.Errorf("%d served, %d lost, want 250 in total, with at least 100 served and 1 lost", got.Served, bill.Lost)
	}
}

func servedRecord(at wallclock.UnixMicro, tenant string) ledger.Record {
	return ledger.Record{AnsweredAt: at, Tenant: tenant, Class: "check", Outcome: ledger.OutcomeServed}
}

// A foreign file with the name of a statement must be left as it is, and the account must continue once
// the file is gone. A folder with statements but without its account must be rejected.
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
	p.account.ring.Put(servedRecord(p.now, "north"))
	p.now += 700 * sec
	var conflict *fileConflictError
	if err := p.account.advance(p.now); !errors.As(err, &conflict) || conflict.name != name {
		t.Fatalf("advance() = error %v, want a fileConflictError for %s", err, name)
	}
	if b, _ := p.disk.Read(name); string(b) != "somebody's" {
		t.Errorf("file in the way of the statement holds %q, want it unchanged", b)
	}
	if err := p.disk.Remove(name); err != nil {
		t.Fatal(err)
	}
	if err := p.account.advance(p.now); err != nil || len(p.account.takeExported()) != 1 {
		t.Fatalf("advance() = error %v, want nil and one exported statement", err)
	}
	if err := p.disk.Remove(StateFile); err != nil {
		t.Fatal(err)
	}
	if err := p.start(true); err == nil || !strings.Contains(err.Error(), "move the statements away") {
		t.Fatalf("openAccount() without a state = error %v, want one that asks to move the statements away", err)
	}
}
