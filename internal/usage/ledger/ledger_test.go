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

// Lengths of time in microseconds, untyped so that they fit both instants and spans.
const (
	sec  = 1_000_000
	hour = 3600 * sec
)

// begin is the start of the first period of most tests.
const begin = wallclock.UnixMicro(480_000 * hour)

func settings() Settings {
	return Settings{Instance: "n0", Period: hour, Slice: 60 * sec, Grace: 5 * sec, MaxKeys: 100, MaxLines: 50}
}

// accountRun applies random steps to an account, and keeps the sums that its bill must have.
type accountRun struct {
	*rapid.T
	settings   Settings
	ledger     *Ledger
	now        wallclock.UnixMicro
	statements []*Statement
	served     map[uint64]int64 // how often each key was served
	want       Count
}

func (r *accountRun) micros(low, high int64, label string) wallclock.UnixMicro {
	return wallclock.UnixMicro(rapid.Int64Range(low, high).Draw(r.T, label))
}

func (r *accountRun) seal() {
	if s := r.ledger.Seal(r.now); s != nil {
		r.statements = append(r.statements, s)
		r.ledger.MarkExported(s)
	}
}

// restart encodes the account, and goes on with the decoded one.
func (r *accountRun) restart() {
	again, lastRecord, err := Decode(r.settings, r.ledger.Encode(7))
	if err != nil || lastRecord != 7 {
		r.Fatalf("Decode() = error %v, last record %d, want nil, 7", err, lastRecord)
	}
	if diff := cmp.Diff(string(r.ledger.Encode(7)), string(again.Encode(7))); diff != "" {
		r.Fatalf("state of the decoded account (-want +got):\n%s", diff)
	}
	r.ledger = again
}

func (r *accountRun) addKeyed() {
	key := rapid.Uint64Range(1, 20).Draw(r.T, "key")
	r.ledger.Add(
		Record{
			AnsweredAt:   r.now,
			Tenant:       "north",
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
		Tenant: "south",
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
			Tenant:     rapid.SampledFrom([]string{"north", "south"}).Draw(r.T, "tenant"),
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

// sealAll lets time pass and seals until statements hold everything that was counted.
func (r *accountRun) sealAll() {
	for range 3 {
		r.now = max(r.now, r.ledger.sealedThrough) + 2*hour
		r.seal()
	}
	if s := r.ledger.Summary(); len(s.Lines) > 0 || s.Corrections > 0 {
		r.Fatalf("lines or corrections are in no statement after all periods have ended: %+v", s)
	}
}

// shuffleFiles encodes and parses the statements, in random order, and repeats some.
func (r *accountRun) shuffleFiles() {
	order := rand.New(rand.NewPCG(uint64(len(r.statements)), 1))
	order.Shuffle(len(r.statements), func(i, j int) {
		r.statements[i], r.statements[j] = r.statements[j], r.statements[i]
	})
	for i, s := range r.statements {
		read, err := ParseStatement("x", s.Encode())
		if err != nil || read.Digest() != s.Digest() {
			r.Fatalf("statement %d is not read as it was written: %v", s.Seq, err)
		}
		if r.statements[i] = read; i%3 == 0 {
			r.statements = append(r.statements, read)
		}
	}
}

// Guards against records that are lost or billed twice when the clock jumps, or the account is stored
// and read again. The bill must have no problems and the sums of the records, with each key served once.
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
		bill, err := Reconcile(r.statements, BillingTerms{})
		if err != nil || len(bill.Problems) > 0 {
			t.Fatalf("Reconcile() = error %v, problems %v, want none", err, bill.Problems)
		}
		var got Count
		for _, b := range bill.Lines {
			got.Add(b.Count)
		}
		if diff := cmp.Diff(r.want, got); diff != "" || bill.DeduplicatedRuns > 0 {
			t.Fatalf("sums of the bill (-want +got):\n%s\n%d runs deduplicated, want 0", diff, bill.DeduplicatedRuns)
		}
	})
}

func servedRecord(at wallclock.UnixMicro, tenant string) Record {
	return Record{AnsweredAt: at, Tenant: tenant, Class: "check", Outcome: OutcomeServed}
}

// Records beyond MaxLines and MaxKeys must still be counted, and the statement must say how many keys it
// does not list.
func TestLinesAndKeysAreBounded(t *testing.T) {
	l, now := boundedLedger(), begin
	for n := range uint64(10) {
		r := Record{
			AnsweredAt:   now,
			Tenant:       fmt.Sprint("s", n),
			Class:        "hand-in",
			Outcome:      OutcomeServed,
			Key:          n + 1,
			KeyExpiresAt: now + hour,
		}
		l.Add(r)
		r.KnownDuplicate = true // shows the duplicate if its key is not remembered
		l.Add(r)
	}
	s := l.Seal(now + 2*hour)
	var got Count
	for _, n := range s.Lines {
		got.Add(n.Count)
	}
	if want := (Count{Served: 10, Duplicates: 10}); got != want || len(s.Lines) != 4 || len(s.Keys) != 2 ||
		s.UnlistedKeys != 8 {
		t.Errorf(
			"sums %+v, %d lines, %d keys, %d unlisted; want 10 served, 10 duplicates, 4, 2, 8",
			got,
			len(s.Lines),
			len(s.Keys),
			s.UnlistedKeys,
		)
	}
}

// boundedLedger has room for three lines and two keys.
func boundedLedger() *Ledger {
	set := settings()
	set.MaxLines, set.MaxKeys = 3, 2
	return New(set, "a", begin)
}

// A record far ahead of the others must not open a period, as the clock may have been wrong for a moment.
// After maxAheadRecords of them in a row their time must be used.
func TestClockFarAheadIsBelievedOnceItStays(t *testing.T) {
	l, now := boundedLedger(), begin
	l.Seal(now + 2*hour)
	l.Add(servedRecord(now+10_000*hour, "s0"))
	if open := l.OpenLines(); len(open) != 1 || open[0].Period > now+2*hour {
		t.Errorf("OpenLines() after one record far ahead = %+v, want one line that is not ahead", open)
	}
	for range maxAheadRecords {
		l.Add(servedRecord(now+10_000*hour, "s0"))
	}
	if open := l.OpenLines(); open[len(open)-1].Period != now+10_000*hour {
		t.Errorf("OpenLines() after maxAheadRecords more = %+v, want the last line far ahead", open)
	}
}

// While statements cannot be written, at most maxUnwritten must be sealed, which bounds the memory.
func TestUnwrittenStatementsAreBounded(t *testing.T) {
	l := boundedLedger()
	for n := range wallclock.UnixMicro(2 * maxUnwritten) {
		l.Seal(begin + (n+3)*hour)
	}
	if len(l.unwritten) != maxUnwritten {
		t.Errorf("%d statements wait to be written, want maxUnwritten", len(l.unwritten))
	}
}

// A clock that was set far back must settle no period: records are then sealed in amendments, at most one
// per period.
func TestClockFarBehindAmendsOnceAPeriod(t *testing.T) {
	l := boundedLedger()
	for n := range wallclock.UnixMicro(2 * maxUnwritten) {
		l.Seal(begin + (n+3)*hour)
	}
	behind := l.sealedThrough - 100*hour
	l.Add(servedRecord(behind, "s1"))
	l.unwritten = nil
	if s := l.Seal(behind + sec); s == nil || s.From != s.To || s.validate() != nil {
		t.Errorf("Seal() with the clock far behind = %+v, want a valid statement that settles no period", s)
	}
	l.Add(servedRecord(behind, "s1"))
	if l.SealDue(behind + 2*sec) {
		t.Error("SealDue() = true a second after an amendment, want false until a period has passed")
	}
}

func TestBadCorrectionsAreRejected(t *testing.T) {
	now := begin + sec
	good := Correction{
		ID:     "1",
		Period: now - sec,
		Tenant: "s",
		Class:  "c",
		Reason: "w",
		Count:  Count{Served: -1},
	}
	for want, change := range map[string]func(*Correction){
		"field id is missing":           func(c *Correction) { c.ID = "" },
		"field why is missing":          func(c *Correction) { c.Reason = "" },
		"field school has 300 bytes":    func(c *Correction) { c.Tenant = strings.Repeat("x", 300) },
		"it changes nothing":            func(c *Correction) { c.Count = Count{} },
		"is not the start of a period":  func(c *Correction) { c.Period++ },
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
			t.Errorf("want an error that contains %q, got %v", want, err)
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
				Tenant:       "north",
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
						Tenant:       fmt.Sprint("s", n%17),
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
