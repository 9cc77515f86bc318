package metering

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"ryepaddle/internal/testing/crashfs"
	"ryepaddle/internal/usage/ledger"
)

const (
	sec   = int64(1_000_000)
	start = 2_880_000 * 600 * sec
)

func settings() ledger.Settings {
	return ledger.Settings{Instance: "n0", Period: 600 * sec, Slice: 60 * sec, MaxKeys: 10_000, MaxLines: 100}
}

// life is a process that keeps an account on a disk that may go at any step, and one who takes its
// statements away.
type life struct {
	disk *crashfs.Disk
	mem  []byte
	desk *desk
	now  int64
	seen map[string]string // digests of the statements that were taken, by their names
	list []*ledger.Statement
	anew bool // each process begins an account of its own
	n    int
}

func (l *life) begin(powered bool) error {
	name := "a"
	if l.anew {
		l.n++
		name = fmt.Sprint("a", l.n)
	}
	d, _, err := openDesk(l.disk, settings(), 5*sec, l.now, name, l.mem, powered, l.anew)
	if err != nil {
		return err
	}
	l.desk, l.mem = d, make([]byte, ledger.RingSize(20))
	d.ring = ledger.NewRing(l.mem, d.led.Incarnation(), d.taken)
	return nil
}

// collect takes what has a name, and takes it away. It reports names that it has had before.
func (l *life) collect(t *testing.T, r *rand.Rand) (again []string) {
	names, err := l.disk.List()
	if err != nil || r.IntN(3) == 0 {
		return nil
	}
	for _, name := range names {
		if !strings.HasSuffix(name, ".json") {
			continue
		}
		b, err := l.disk.Read(name)
		if err != nil {
			continue
		}
		s, err := ledger.ParseStatement(name, b)
		if err != nil {
			t.Fatalf("a statement that has its name: %v", err)
		}
		if l.disk.Remove(name) != nil {
			return again // it crashed; whoever takes them does so after that
		}
		if was, ok := l.seen[name]; ok {
			if again = append(again, name); was != s.Digest() {
				t.Fatalf("%s is another one", name)
			}
			continue
		}
		l.seen[name] = s.Digest()
		l.list = append(l.list, s)
	}
	return again
}

// A crash at any step, again and again, of the process or of the machine, loses no use that was
// noted, counts none twice and gives out no statement twice. Where the machine went, what was not
// yet on its disk may be gone, and a statement that was just being named may come again as it was.
func TestCrashesAtAnyStep(t *testing.T) {
	seeds := uint64(40)
	if testing.Short() {
		seeds = 20
	}
	crashes, copies := 0, 0
	for seed := range seeds {
		for way := range 4 {
			power, anew := way&1 == 1, way&2 == 2
			r := rand.New(rand.NewPCG(seed, 5))
			l := &life{disk: crashfs.New(seed), now: start, seen: map[string]string{}, anew: anew}
			noted, lost, safe := uint64(0), uint64(0), uint64(0)
			key := uint64(0)
			collect := func() {
				if again := l.collect(t, r); len(again) > 0 && !power {
					t.Fatalf("seed %d: %v are given out again", seed, again)
				} else {
					copies += len(again)
				}
			}
			l.disk.Fail = func(op, _ string) error { // also in the middle of a step
				if op == "syncdir" {
					collect()
				}
				return nil
			}
			for n := 0; n < 12; {
				l.disk.CrashAt = l.disk.Steps + 1 + r.IntN(60)
				err := l.begin(!power)
				for err == nil {
					// at times more than the ring has room for
					for range r.IntN(12) * (1 + 3*r.IntN(2)) {
						key++
						if l.desk.ring.Put(
							ledger.Record{
								AnsweredAt:   l.now,
								School:       "north",
								Class:        "hand-in",
								Outcome:      ledger.OutcomeServed,
								Key:          key,
								KeyExpiresAt: l.now + 100*sec,
							},
						) {
							noted++
						} else {
							lost++
						}
						l.now += r.Int64N(4 * sec)
					}
					if r.IntN(8) == 0 {
						l.now += 600 * sec
					}
					if err = l.desk.step(l.now); err == nil && !l.desk.dirty {
						safe = l.desk.taken
					}
					collect()
				}
				if !errors.Is(err, crashfs.ErrCrashed) {
					t.Fatalf("seed %d: %v", seed, err)
				}
				n++
				crashes++
				if !power {
					l.disk.Kill()
					continue
				}
				l.disk.Crash()
				if r.IntN(2) == 0 { // the disk had none, or some of the ring
					l.mem = nil
				} else if len(l.mem) > 0 {
					for at := len(l.mem) - 20*64; at < len(l.mem); at += 64 {
						if r.IntN(3) == 0 {
							clear(l.mem[at : at+64])
						}
					}
				}
			}
			// The end: all that there is is settled and taken.
			if err := l.begin(!power); err != nil {
				t.Fatal(seed, err)
			}
			for range 4 {
				l.now += 700 * sec
				if err := l.desk.step(l.now); err != nil {
					t.Fatal(seed, err)
				}
				for range 20 {
					copies += len(l.collect(t, r))
				}
			}
			bill, err := ledger.Reconcile(l.list, ledger.BillingTerms{})
			if err != nil {
				t.Fatal(err)
			}
			var got ledger.Count
			for _, b := range bill.Lines {
				got.Add(b.Count)
			}
			problems := slices.DeleteFunc(
				bill.Problems,
				func(p ledger.Problem) bool { return strings.Contains(p.Description, "were lost") },
			)
			if len(problems) > 0 || got.Duplicates > 0 || bill.DeduplicatedRuns > 0 {
				t.Fatalf("seed %d, way %d: %v, %+v, %d twice", seed, way, problems, got, bill.DeduplicatedRuns)
			}
			if !power && (uint64(got.Served) != noted || bill.Lost != lost) ||
				power && (uint64(got.Served) > noted || uint64(got.Served)+bill.Lost < safe) {
				t.Fatalf(
					"seed %d, way %d: %d told of %d noted, %d on the disk or known to be gone; %d lost, %d told",
					seed,
					way,
					got.Served,
					noted,
					safe,
					lost,
					bill.Lost,
				)
			}
		}
	}
	t.Logf("%d crashes; %d statements came again as they were", crashes, copies)
}

// A disk that fails costs time, and then the uses for which there is no room, which are told;
// nothing that was counted.
func TestADiskThatFails(t *testing.T) {
	l := &life{disk: crashfs.New(1), now: start, seen: map[string]string{}}
	if err := l.begin(true); err != nil {
		t.Fatal(err)
	}
	for _, op := range []string{"create", "write", "sync", "rename", "syncdir"} {
		l.disk.Fail = func(did, _ string) error {
			if did == op {
				return errors.New("no space left")
			}
			return nil
		}
		for n := range 50 {
			l.desk.ring.Put(ledger.Record{AnsweredAt: l.now, School: op, Class: "check", Outcome: ledger.OutcomeServed})
			l.now += sec
			if err := l.desk.step(l.now); n > 40 && err == nil {
				t.Fatalf("%s: it does not show", op)
			}
		}
		l.disk.Fail = nil
		if err := l.desk.step(l.now); err != nil {
			t.Fatal(op, err)
		}
	}
	l.now += 1300 * sec
	r := rand.New(rand.NewPCG(1, 1))
	for range 5 {
		if err := l.desk.step(l.now); err != nil {
			t.Fatal(err)
		}
		l.collect(t, r)
	}
	bill, err := ledger.Reconcile(l.list, ledger.BillingTerms{})
	if err != nil {
		t.Fatal(err)
	}
	var got ledger.Count
	for _, b := range bill.Lines {
		got.Add(b.Count)
	}
	if n := uint64(got.Served) + bill.Lost; n != 250 || bill.Lost == 0 || got.Served < 100 {
		t.Errorf("%d served, %d lost, of 250", got.Served, bill.Lost)
	}
}

// What is in the way of a statement is left as it is, and the account goes on; a folder that lost
// its account is refused.
func TestWhatIsInTheWay(t *testing.T) {
	l := &life{disk: crashfs.New(1), now: start, seen: map[string]string{}}
	if err := l.begin(true); err != nil {
		t.Fatal(err)
	}
	name := "usage-n0-a-00000001.json"
	f, err := l.disk.Create(name)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(f, "somebody's")
	l.desk.ring.Put(ledger.Record{AnsweredAt: l.now, School: "north", Class: "check", Outcome: ledger.OutcomeServed})
	l.now += 700 * sec
	var in *conflict
	if err := l.desk.step(l.now); !errors.As(err, &in) || in.name != name {
		t.Fatal(err)
	}
	if b, _ := l.disk.Read(name); string(b) != "somebody's" {
		t.Errorf("%q", b)
	}
	if err := l.disk.Remove(name); err != nil {
		t.Fatal(err)
	}
	if err := l.desk.step(l.now); err != nil || len(l.desk.told()) != 1 {
		t.Fatal(err)
	}
	if err := l.disk.Remove(stateFile); err != nil {
		t.Fatal(err)
	}
	if err := l.begin(true); err == nil || !strings.Contains(err.Error(), "move the statements away") {
		t.Fatal(err)
	}
}
