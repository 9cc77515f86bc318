package ledger

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"ryepaddle/internal/wallclock"
)

// Spans in microseconds, of whatever type a value has.
const (
	sec  = 1_000_000
	hour = 3600 * sec
)

// begin is when the first period of most tests begins.
const begin = wallclock.UnixMicro(480_000 * hour)

func settings() Settings {
	return Settings{Instance: "n0", Period: hour, Slice: 60 * sec, Grace: 5 * sec, MaxKeys: 100, MaxLines: 50}
}

// accountRun is an account that a test draws the steps of, beside what is expected of it.
type accountRun struct {
	*rapid.T
	settings Settings
	ledger   *Ledger
	now      wallclock.UnixMicro
	list     []*Statement
	served   map[uint64]int64 // by key
	want     Count
}

func (r *accountRun) micros(low, high int64, label string) wallclock.UnixMicro {
	return wallclock.UnixMicro(rapid.Int64Range(low, high).Draw(r.T, label))
}

func (r *accountRun) seal() {
	if s := r.ledger.Seal(r.now); s != nil {
		r.list = append(r.list, s)
		r.ledger.MarkExported(s)
	}
}

// restart stores the account and reads it again.
func (r *accountRun) restart() {
	again, lastRecord, err := Decode(r.settings, r.ledger.Encode(7))
	if err != nil || lastRecord != 7 {
		r.Fatal(err, lastRecord)
	}
	if diff := cmp.Diff(string(r.ledger.Encode(7)), string(again.Encode(7))); diff != "" {
		r.Fatal(diff)
	}
	r.ledger = again
}

func (r *accountRun) addKeyed() {
	key := rapid.Uint64Range(1, 20).Draw(r.T, "key")
	r.ledger.Add(
		Record{
			AnsweredAt:   r.now,
			School:       "north",
			Class:        "hand-in",
			Outcome:      OutcomeServed,
			Work:         10,
			Key:          key,
			KeyExpiresAt: r.now + 1000*hour,
		},
	)
	if r.served[key]++; r.served[key] == 1 {
		r.want.Add(Count{Served: 1, Work: 10})
	} else {
		r.want.Add(Count{Duplicates: 1})
	}
}

func (r *accountRun) correct() {
	c := Correction{
		ID:     fmt.Sprint(rapid.IntRange(0, 5).Draw(r.T, "id")),
		Period: r.settings.PeriodStart(r.now),
		School: "south",
		Class:  "check",
		Reason: "x",
		Count:  Count{TimedOut: 3},
	}
	if known, err := r.ledger.Correct(c, r.now); err != nil {
		r.Fatal(err)
	} else if !known {
		r.want.Add(c.Count)
	}
}

func (r *accountRun) addWithoutKey() {
	outcome := Outcome(rapid.IntRange(1, int(outcomeCount)-1).Draw(r.T, "outcome"))
	r.ledger.Add(
		Record{
			AnsweredAt: r.now - r.micros(0, 2*hour, "ago"),
			School:     rapid.SampledFrom([]string{"north", "south"}).Draw(r.T, "school"),
			Class:      "check",
			Outcome:    outcome,
			Work:       5,
		},
	)
	*r.want.counter(outcome)++
	r.want.Work += 5
}

func (r *accountRun) step() {
	switch rapid.IntRange(0, 9).Draw(r.T, "what") {
	case 0: // the clock steps
		r.now += r.micros(-3*hour, 3*hour, "step")
	case 1:
		r.now += r.micros(0, 90*60*sec, "pass")
	case 2:
		r.seal()
	case 3:
		r.restart()
	case 4:
		r.addKeyed()
	case 5:
		r.correct()
	default:
		r.addWithoutKey()
	}
}

// sealAll has all that was counted in statements.
func (r *accountRun) sealAll() {
	for range 3 {
		r.now = max(r.now, r.ledger.sealedThrough) + 2*hour
		r.seal()
	}
	if s := r.ledger.Summary(); len(s.Lines) > 0 || s.Corrections > 0 {
		r.Fatalf("left open: %+v", s)
	}
}

// shuffleFiles reads the statements as files, in any order and some twice.
func (r *accountRun) shuffleFiles() {
	order := rand.New(rand.NewPCG(uint64(len(r.list)), 1))
	order.Shuffle(len(r.list), func(i, j int) { r.list[i], r.list[j] = r.list[j], r.list[i] })
	for i, s := range r.list {
		read, err := ParseStatement("x", s.Encode())
		if err != nil || read.Digest() != s.Digest() {
			r.Fatal(err)
		}
		if r.list[i] = read; i%3 == 0 {
			r.list = append(r.list, read)
		}
	}
}

// Whatever the clock does, and wherever the account is stored and read again: all that was counted is
// billed once, from statements that follow each other and whose sums are those of the records; a key
// counts as served once.
func TestAllRecordsAreBilledOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set, now := settings(), begin+100*sec
		r := &accountRun{
			T:        t,
			settings: set,
			now:      now,
			ledger:   New(set, "a", now),
			served:   map[uint64]int64{},
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			r.step()
		}
		r.sealAll()
		r.shuffleFiles()
		bill, err := Reconcile(r.list, BillingTerms{})
		if err != nil || len(bill.Problems) > 0 {
			t.Fatal(err, bill.Problems)
		}
		var got Count
		for _, b := range bill.Lines {
			got.Add(b.Count)
		}
		if diff := cmp.Diff(r.want, got); diff != "" || bill.DeduplicatedRuns > 0 {
			t.Fatal(diff, bill.DeduplicatedRuns)
		}
	})
}

func servedCheck(at wallclock.UnixMicro, school string) Record {
	return Record{AnsweredAt: at, School: school, Class: "check", Outcome: OutcomeServed}
}

// Beyond the bounds of lines and keys all is still counted, and the statement says which keys it does
// not list.
func TestLinesAndKeysAreBounded(t *testing.T) {
	l, now := boundedLedger(), begin
	for n := range uint64(10) {
		r := Record{
			AnsweredAt:   now,
			School:       fmt.Sprint("s", n),
			Class:        "hand-in",
			Outcome:      OutcomeServed,
			Key:          n + 1,
			KeyExpiresAt: now + hour,
		}
		l.Add(r)
		r.KnownDuplicate = true // recognized by its key, or by this field where the key is not remembered
		l.Add(r)
	}
	s := l.Seal(now + 2*hour)
	var got Count
	for _, n := range s.Lines {
		got.Add(n.Count)
	}
	if want := (Count{Served: 10, Duplicates: 10}); got != want || len(s.Lines) != 4 || len(s.Keys) != 2 ||
		s.UnlistedKeys != 8 {
		t.Errorf("%+v in %d lines, %d keys, %d unlisted", got, len(s.Lines), len(s.Keys), s.UnlistedKeys)
	}
}

// boundedLedger has room for three lines and two keys.
func boundedLedger() *Ledger {
	set := settings()
	set.MaxLines, set.MaxKeys = 3, 2
	return New(set, "a", begin)
}

// A clock that was wrong for a moment opens no period; one that stays where it is does.
func TestClockFarAheadIsBelievedOnceItStays(t *testing.T) {
	l, now := boundedLedger(), begin
	l.Seal(now + 2*hour)
	l.Add(servedCheck(now+10_000*hour, "s0"))
	if open := l.OpenLines(); len(open) != 1 || open[0].Period > now+2*hour {
		t.Errorf("%+v", open)
	}
	for range maxAheadRecords {
		l.Add(servedCheck(now+10_000*hour, "s0"))
	}
	if open := l.OpenLines(); open[len(open)-1].Period != now+10_000*hour {
		t.Errorf("%+v", open)
	}
}

// Statements that cannot be written are bounded, and nothing is lost meanwhile.
func TestUnwrittenStatementsAreBounded(t *testing.T) {
	l := boundedLedger()
	for n := range wallclock.UnixMicro(2 * maxUnwritten) {
		l.Seal(begin + (n+3)*hour)
	}
	if len(l.unwritten) != maxUnwritten {
		t.Errorf("%d statements wait", len(l.unwritten))
	}
}

// A clock that was set far back settles nothing: what is counted then is an amendment, once a period.
func TestClockFarBehindAmendsOnceAPeriod(t *testing.T) {
	l := boundedLedger()
	for n := range wallclock.UnixMicro(2 * maxUnwritten) {
		l.Seal(begin + (n+3)*hour)
	}
	behind := l.sealedThrough - 100*hour
	l.Add(servedCheck(behind, "s1"))
	l.unwritten = nil
	if s := l.Seal(behind + sec); s == nil || s.From != s.To || s.validate() != nil {
		t.Errorf("%+v", s)
	}
	l.Add(servedCheck(behind, "s1"))
	if l.SealDue(behind + 2*sec) {
		t.Error("it amends more than once in a period")
	}
}

func TestBadCorrectionsAreRejected(t *testing.T) {
	now := begin + sec
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
			for n := range maxCorrectionIDs {
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

func BenchmarkAdd(b *testing.B) {
	set := settings()
	set.MaxKeys = 20_000
	l := New(set, "a", begin)
	b.ReportAllocs()
	for n := range b.N {
		l.Add(
			Record{
				AnsweredAt:   begin + wallclock.UnixMicro(n),
				School:       "north",
				Class:        "hand-in",
				Outcome:      OutcomeServed,
				Key:          uint64(n),
				KeyExpiresAt: begin + hour,
			},
		)
	}
}

func BenchmarkEncode(b *testing.B) {
	for _, keys := range []int{1000, 20_000, 100_000} {
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			set := settings()
			set.MaxKeys = keys
			l := New(set, "a", begin)
			for n := range keys {
				l.Add(
					Record{
						AnsweredAt:   begin,
						School:       fmt.Sprint("s", n%17),
						Class:        "hand-in",
						Outcome:      OutcomeServed,
						Key:          uint64(n + 1),
						KeyExpiresAt: begin + hour,
					},
				)
			}
			for b.Loop() {
				b.SetBytes(int64(len(l.Encode(1))))
			}
		})
	}
}
