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

// servedInStatements returns the number of served requests in the statements of a folder.
func servedInStatements(t *testing.T, dir string) int64 {
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
		t.Fatalf("Reconcile() = error %v, problems %v, want none", err, bill.Problems)
	}
	served := int64(0)
	for _, l := range bill.Lines {
		served += l.Served
	}
	return served
}

// On a real folder, all records must get into statements over several starts and closes, and a second
// meter must not open the same folder.
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
			t.Fatal("Start() = nil error for a folder that another meter uses, want one")
		}
		for n := range 10 {
			now := wallclock.FromTime(time.Now())
			m.Record(
				ledger.Record{
					AnsweredAt:   now,
					Tenant:       "north",
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
		served := servedInStatements(t, dir)
		if served == 30 {
			break
		}
		if served > 30 || time.Now().After(deadline) {
			t.Fatalf("%d served requests are in statements, want 30", served)
		}
	}
}
