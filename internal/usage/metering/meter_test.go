package metering

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"ryepaddle/internal/usage/ledger"
	"ryepaddle/internal/wallclock"
)

// closeTimeout is long enough for any disk of a test.
const closeTimeout = 20 * time.Second

// servedIn returns how many requests the statements of a folder come to.
func servedIn(t *testing.T, dir string) int64 {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(dir, "usage-n0-*.json"))
	if err != nil {
		t.Fatal(err)
	}
	var list []*ledger.Statement
	for _, name := range names {
		b, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		s, err := ledger.ParseStatement(name, b)
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, s)
	}
	bill, err := ledger.Reconcile(list, ledger.BillingTerms{})
	if err != nil || len(bill.Problems) > 0 {
		t.Fatal(err, bill.Problems)
	}
	served := int64(0)
	for _, l := range bill.Lines {
		served += l.Served
	}
	return served
}

// On a real folder: what is recorded comes out in statements, over closes and starts, and a second
// meter is kept out.
func TestRecordsBecomeStatementsOverRestarts(t *testing.T) {
	dir := t.TempDir()
	opt := Options{
		Dir:          dir,
		RingCapacity: 256,
		SaveInterval: time.Millisecond,
		Settings:     ledger.Settings{Instance: "n0", Period: 200_000, Slice: 100_000, MaxKeys: 100, MaxLines: 100},
	}
	for start := range 3 {
		m, err := Start(opt)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Start(opt); err == nil {
			t.Fatal("two meters use one folder")
		}
		for n := range 10 {
			now := wallclock.FromTime(time.Now())
			m.Record(
				ledger.Record{
					AnsweredAt:   now,
					School:       "north",
					Class:        "hand-in",
					Outcome:      ledger.OutcomeServed,
					Key:          uint64(start*10 + n + 1),
					KeyExpiresAt: now.Add(time.Minute),
				},
			)
		}
		if err := m.Close(closeTimeout); err != nil {
			t.Fatal(err)
		}
	}
	m, err := Start(opt)
	if err != nil {
		t.Fatal(err)
	}
	defer m.Close(closeTimeout)
	for deadline := time.Now().Add(closeTimeout); ; time.Sleep(20 * time.Millisecond) {
		served := servedIn(t, dir)
		if served == 30 {
			break
		}
		if served > 30 || time.Now().After(deadline) {
			t.Fatalf("%d of 30 are in statements", served)
		}
	}
}
