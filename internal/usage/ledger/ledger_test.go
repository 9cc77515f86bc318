package ledger

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const (
	sec  = int64(1_000_000)
	hour = 3600 * sec
)

func settings() Settings {
	return Settings{Instance: "n0", Period: hour, Slice: 60 * sec, Grace: 5 * sec, MaxKeys: 100, MaxLines: 50}
}

// Whatever clocks do, and wherever the account is put down and taken up: all that was counted is
// told once, in statements that follow each other, whose sums are those of the uses; a key counts
// as served once.
func TestAllThatIsCountedIsToldOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := settings()
		now := 480_000*hour + 100*sec
		l := New(set, "a", now)
		var want Count
		var list []*Statement
		served := map[uint64]int64{}
		var keyed int64
		seal := func() {
			if s := l.Seal(now); s != nil {
				list = append(list, s)
				l.MarkExported(s)
			}
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0: // the clock steps
				now += rapid.Int64Range(-3*hour, 3*hour).Draw(t, "step")
			case 1:
				now += rapid.Int64Range(0, 90*60*sec).Draw(t, "pass")
			case 2:
				seal()
			case 3:
				again, taken, err := Decode(set, l.Encode(7))
				if err != nil || taken != 7 {
					t.Fatal(err, taken)
				}
				if diff := cmp.Diff(string(l.Encode(7)), string(again.Encode(7))); diff != "" {
					t.Fatal(diff)
				}
				l = again
			case 4:
				key := rapid.Uint64Range(1, 20).Draw(t, "key")
				l.Add(
					Record{
						AnsweredAt:   now,
						School:       "north",
						Class:        "hand-in",
						Outcome:      OutcomeServed,
						Work:         10,
						Key:          key,
						KeyExpiresAt: now + 1000*hour,
					},
				)
				if served[key]++; served[key] == 1 {
					keyed++
					want.Add(Count{Served: 1, Work: 10})
				} else {
					want.Add(Count{Duplicates: 1})
				}
			case 5:
				id := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "id"))
				c := Correction{
					ID:     id,
					Period: set.PeriodStart(now),
					School: "south",
					Class:  "check",
					Reason: "x",
					Count:  Count{TimedOut: 3},
				}
				if known, err := l.Correct(c, now); err != nil {
					t.Fatal(err)
				} else if !known {
					want.Add(c.Count)
				}
			default:
				end := Outcome(rapid.IntRange(1, int(outcomeCount)-1).Draw(t, "end"))
				l.Add(
					Record{
						AnsweredAt: now - rapid.Int64Range(0, 2*hour).Draw(t, "ago"),
						School:     rapid.SampledFrom([]string{"north", "south"}).Draw(t, "school"),
						Class:      "check",
						Outcome:    end,
						Work:       5,
					},
				)
				*want.of(end)++
				want.Work += 5
			}
		}
		for range 3 {
			now = max(now, l.through) + 2*hour
			seal()
		}
		if s := l.Summary(); len(s.Lines) > 0 || s.Corrections > 0 {
			t.Fatalf("left open: %+v", s)
		}
		rand.New(
			rand.NewPCG(uint64(len(list)), 1),
		).Shuffle(
			len(list),
			func(i, j int) { list[i], list[j] = list[j], list[i] },
		)
		for i, s := range list { // as files, in any order, some twice
			read, err := ParseStatement("x", s.Encode())
			if err != nil || read.Digest() != s.Digest() {
				t.Fatal(err)
			}
			if list[i] = read; i%3 == 0 {
				list = append(list, read)
			}
		}
		bill, err := Reconcile(list, BillingTerms{})
		if err != nil || len(bill.Problems) > 0 {
			t.Fatal(err, bill.Problems)
		}
		var got Count
		for _, b := range bill.Lines {
			got.Add(b.Count)
		}
		if diff := cmp.Diff(want, got); diff != "" || bill.DeduplicatedRuns > 0 {
			t.Fatal(diff, bill.DeduplicatedRuns)
		}
	})
}

func TestBounds(t *testing.T) {
	set := settings()
	set.MaxLines, set.MaxKeys = 3, 2
	now := 480_000 * hour
	l := New(set, "a", now)
	for n := range uint64(10) {
		u := Record{
			AnsweredAt:   now,
			School:       fmt.Sprint("s", n),
			Class:        "hand-in",
			Outcome:      OutcomeServed,
			Key:          n + 1,
			KeyExpiresAt: now + hour,
		}
		l.Add(u)
		u.KnownDuplicate = true // known by its key, or by what the one that repeats says
		l.Add(u)
	}
	s := l.Seal(now + 2*hour)
	var got Count
	for _, n := range s.Lines {
		got.Add(n.Count)
	}
	if want := (Count{Served: 10, Duplicates: 10}); got != want || len(s.Lines) != 4 || len(s.Keys) != 2 ||
		s.UnlistedKeys != 8 {
		t.Errorf("%+v in %d lines, %d keys, %d bare", got, len(s.Lines), len(s.Keys), s.UnlistedKeys)
	}
	// A clock that was wrong for a moment opens no period; one that stays where it is does.
	l.Add(Record{AnsweredAt: now + 10_000*hour, School: "s0", Class: "check", Outcome: OutcomeServed})
	if open := l.OpenLines(); len(open) != 1 || open[0].Period > now+2*hour {
		t.Errorf("%+v", open)
	}
	for range mostAhead {
		l.Add(Record{AnsweredAt: now + 10_000*hour, School: "s0", Class: "check", Outcome: OutcomeServed})
	}
	if open := l.OpenLines(); open[len(open)-1].Period != now+10_000*hour {
		t.Errorf("%+v", open)
	}
	// Statements that cannot be written are not made without end, and nothing is lost meanwhile.
	for n := range int64(2 * mostPending) {
		l.Seal(now + (n+3)*hour)
	}
	if len(l.pending) != mostPending {
		t.Errorf("%d statements wait", len(l.pending))
	}
	// A clock that went far back settles nothing: what is counted then amends, once a period.
	back := l.through - 100*hour
	l.Add(Record{AnsweredAt: back, School: "s1", Class: "check", Outcome: OutcomeServed})
	l.pending = nil
	if s := l.Seal(back + sec); s == nil || s.From != s.To || s.check() != nil {
		t.Errorf("%+v", s)
	}
	l.Add(Record{AnsweredAt: back, School: "s1", Class: "check", Outcome: OutcomeServed})
	if l.SealDue(back + 2*sec) {
		t.Error("it amends more than once in a period")
	}
}

func TestBadCorrections(t *testing.T) {
	now := 480_000*hour + sec
	good := Correction{
		ID:     "1",
		Period: now - sec,
		School: "s",
		Class:  "c",
		Reason: "w",
		Count:  Count{Served: -1},
	}
	for want, change := range map[string]func(*Correction){
		"field id is missing":           func(c *Correction) { c.ID = "" },
		"field why is missing":          func(c *Correction) { c.Reason = "" },
		"field school has 300 bytes":    func(c *Correction) { c.School = strings.Repeat("x", 300) },
		"it changes nothing":            func(c *Correction) { c.Count = Count{} },
		"field period: none begins at":  func(c *Correction) { c.Period++ },
		"has not begun":                 func(c *Correction) { c.Period += hour },
		"too many corrections since th": nil,
	} {
		l, c := New(settings(), "a", now), good
		if change == nil {
			for n := range mostIDs {
				c.ID = fmt.Sprint("n", n)
				_, _ = l.Correct(c, now)
			}
			c.ID, change = "last", func(*Correction) {}
		}
		change(&c)
		if _, err := l.Correct(c, now); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", want, err)
		}
	}
}

func TestChangedFilesAreRefused(t *testing.T) {
	now := 480_000 * hour
	l := New(settings(), "a", now)
	l.Add(Record{AnsweredAt: now, School: "s", Class: "c", Outcome: OutcomeServed, Key: 5, KeyExpiresAt: now + hour})
	b := l.Seal(now + 2*hour).Encode()
	for name, c := range map[string]struct {
		b    []byte
		want error
	}{"cut": {b[:len(b)-1], ErrTruncated}, "cut in the line": {b[:10], ErrTruncated}, "empty": {nil, ErrTruncated}, "changed": {bytes.Replace(b, []byte(`"served":1`), []byte(`"served":9`), 1), ErrDigestMismatch}} {
		if _, err := ParseStatement(name, c.b); !errors.Is(err, c.want) ||
			!strings.HasPrefix(err.Error(), name+": ") {
			t.Errorf("%s: %v", name, err)
		}
	}
	for want, set := range map[string]func(*Settings){"account of n0, and this is n1": func(s *Settings) { s.Instance = "n1" },
		"begin another folder": func(s *Settings) { s.Period = 2 * hour }} {
		other := settings()
		set(&other)
		if _, _, err := Decode(other, l.Encode(1)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v", err)
		}
	}
}

// What was put before a kill is there after it, whole and in order, wherever the kill came; a disk
// that kept only some of it says so.
func TestRingOutlivesAKill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.IntRange(1, 9).Draw(t, "records")
		mem := make([]byte, RingSize(records))
		taken := rapid.Uint64Range(0, 50).Draw(t, "from")
		r := NewRing(mem, "life", taken)
		var waiting []Record
		lost := uint64(0)
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "put") {
				u := Record{
					AnsweredAt:     rapid.Int64().Draw(t, "at"),
					KeyExpiresAt:   3,
					Key:            4,
					Work:           5,
					Outcome:        OutcomeTimedOut,
					KnownDuplicate: rapid.Bool().Draw(t, "again"),
					School: rapid.SampledFrom(
						[]string{"north", "south", "", OtherSchool},
					).Draw(
						t,
						"school",
					),
					Class: "c",
				}
				if r.Put(u) {
					waiting = append(waiting, u)
				} else if lost++; len(waiting) < records {
					t.Fatal("there was room")
				}
			} else if len(waiting) > 0 {
				u, ok := r.Read(taken + 1)
				if !ok || u != waiting[0] {
					t.Fatalf("%+v, %v; want %+v", u, ok, waiting[0])
				}
				taken, waiting = taken+1, waiting[1:]
				r.Release(taken)
			}
		}
		if r.Lost() != lost {
			t.Fatal(r.Lost(), lost)
		}
		torn := rapid.IntRange(-1, records-1).Draw(t, "torn")
		if torn >= 0 {
			mem[headerSize+namesSize+torn*recordSize+10] ^= 1
		}
		after, err := OpenRing(mem, "life")
		if err != nil {
			t.Fatal(err)
		}
		var got []Record
		last, missing := after.Recover(taken, func(u Record) { got = append(got, u) })
		if torn < 0 && (len(got) != len(waiting) || missing != 0) || len(got)+int(missing) > len(waiting) ||
			len(got) < len(waiting)-1 ||
			last > taken+uint64(len(waiting)) {
			t.Fatalf("%d of %d, %d missing", len(got), len(waiting), missing)
		}
		if _, err := OpenRing(mem, "other"); !errors.Is(err, ErrForeignRing) {
			t.Fatal(err)
		}
	})
}

// A ring is memory that a crash may have left with anything in it.
func FuzzRing(f *testing.F) {
	mem := make([]byte, RingSize(3))
	r := NewRing(mem, "life", 0)
	r.Put(Record{School: "north", Class: "c", Outcome: OutcomeServed})
	f.Add(mem[:headerSize+40], mem[headerSize+namesSize:])
	f.Fuzz(func(t *testing.T, head, records []byte) {
		mem := make([]byte, RingSize(3))
		copy(mem, head)
		copy(mem[headerSize+namesSize:], records)
		if r, err := OpenRing(mem, "life"); err == nil {
			if last, missing := r.Recover(0, func(Record) {}); last > 3 || missing > last {
				t.Error(last, missing)
			}
		}
	})
}

func FuzzStatement(f *testing.F) {
	now := 480_000 * hour
	l := New(settings(), "a", now)
	l.Add(Record{AnsweredAt: now, School: "s", Class: "c", Outcome: OutcomeServed, Key: 5, KeyExpiresAt: now + hour})
	f.Add(l.Seal(now + 2*hour).body())
	f.Fuzz(func(t *testing.T, body []byte) {
		var s Statement
		if s.read(body) != nil {
			return
		}
		b := s.Encode()
		again, err := ParseStatement("x", b)
		if err != nil || !bytes.Equal(again.Encode(), b) {
			t.Fatalf("%v: %s", err, b)
		}
		if _, err := Reconcile([]*Statement{&s, again}, BillingTerms{}); err != nil {
			t.Fatal(err)
		}
	})
}

func BenchmarkPut(b *testing.B) {
	mem := make([]byte, RingSize(1<<14))
	r := NewRing(mem, "life", 0)
	b.ReportAllocs()
	for n := range b.N {
		r.Put(Record{AnsweredAt: int64(n), School: "north", Class: "hand-in", Outcome: OutcomeServed, Key: 9, Work: 5})
		r.Release(uint64(n))
	}
}

func BenchmarkAdd(b *testing.B) {
	set := settings()
	set.MaxKeys = 20_000
	l := New(set, "a", 480_000*hour)
	b.ReportAllocs()
	for n := range b.N {
		l.Add(
			Record{
				AnsweredAt:   480_000*hour + int64(n),
				School:       "north",
				Class:        "hand-in",
				Outcome:      OutcomeServed,
				Key:          uint64(n),
				KeyExpiresAt: 480_001 * hour,
			},
		)
	}
}

func BenchmarkKeep(b *testing.B) {
	for _, keys := range []int{1000, 20_000, 100_000} {
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			set := settings()
			set.MaxKeys = keys
			l := New(set, "a", 480_000*hour)
			for n := range keys {
				l.Add(
					Record{
						AnsweredAt:   480_000 * hour,
						School:       fmt.Sprint("s", n%17),
						Class:        "hand-in",
						Outcome:      OutcomeServed,
						Key:          uint64(n + 1),
						KeyExpiresAt: 480_001 * hour,
					},
				)
			}
			for b.Loop() {
				b.SetBytes(int64(len(l.Encode(1))))
			}
		})
	}
}
