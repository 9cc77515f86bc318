package metering

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"ryepaddle/internal/usage/ledger"
)

// On a real folder: what is noted comes out in statements, over a close and a start, and a second
// meter is kept out.
func TestStatementsInAFolder(t *testing.T) {
	dir := t.TempDir()
	opt := Options{
		Dir:          dir,
		RingCapacity: 256,
		SaveInterval: 1000,
		Settings:     ledger.Settings{Instance: "n0", Period: 200_000, Slice: 100_000, MaxKeys: 100, MaxLines: 100},
	}
	for life := range 3 {
		m, err := Start(opt)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Start(opt); err == nil {
			t.Fatal("two meters use one folder")
		}
		for n := range 10 {
			at := time.Now().UnixMicro()
			m.Record(
				ledger.Record{
					AnsweredAt:   at,
					School:       "north",
					Class:        "hand-in",
					Outcome:      ledger.OutcomeServed,
					Key:          uint64(life*10 + n + 1),
					KeyExpiresAt: at + 60_000_000,
				},
			)
		}
		if err := m.Close(20 * time.Second); err != nil {
			t.Fatal(err)
		}
	}
	m, err := Start(opt)
	if err != nil {
		t.Fatal(err)
	}
	defer m.Close(20 * time.Second)
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
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
		sum := int64(0)
		for _, l := range bill.Lines {
			sum += l.Served
		}
		if sum == 30 {
			break
		}
		if sum > 30 || time.Now().After(deadline) {
			t.Fatalf("%d of 30 are told", sum)
		}
	}
}
