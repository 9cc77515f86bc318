package ledger

import (
	"encoding/json"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/google/go-cmp/cmp"

	"ryepaddle/internal/testing/golden"
	"ryepaddle/internal/wallclock"
)

const (
	storedDir = "testdata/stored"
	firstName = "usage-n0-0011aabbccdd-00000001.json"
	lastName  = "usage-n0-0011aabbccdd-00000003-last-23.json"
)

// storedRecords returns records of a period, which is counted from 0.
func storedRecords(period int) []Record {
	at := begin + wallclock.UnixMicro(period)*hour
	return []Record{
		{
			AnsweredAt:   at + 10*sec,
			Tenant:       "north",
			Class:        "hand-in",
			Outcome:      OutcomeServed,
			Work:         25_000,
			Key:          HashKey("north", "hand-in", "a"),
			KeyExpiresAt: at + 13*sec,
		},
		{
			AnsweredAt:     at + 11*sec,
			Tenant:         "north",
			Class:          "hand-in",
			Outcome:        OutcomeServed,
			Work:           1,
			Key:            HashKey("north", "hand-in", "a"),
			KeyExpiresAt:   at + 14*sec,
			KnownDuplicate: true,
		},
		{AnsweredAt: at + 12*sec, Tenant: "north", Class: "check", Outcome: OutcomeTimedOut, Work: 300},
		{AnsweredAt: at + 70*sec, Tenant: "south", Class: "check", Outcome: OutcomeServed, Work: 2_000},
		{AnsweredAt: at + 71*sec, Tenant: "south", Class: "check", Outcome: OutcomeRejected},
		{AnsweredAt: at + 72*sec, Tenant: "south", Class: "check", Outcome: OutcomeFailed, Work: 7},
		{AnsweredAt: at + 73*sec, Tenant: "south", Class: "check", Outcome: OutcomeAbandoned},
	}
}

// storedCorrection returns a correction of the first period.
func storedCorrection(id string) Correction {
	return Correction{
		ID: id, Period: begin, Tenant: "north", Class: "hand-in",
		Count: Count{
			Served:     -1,
			Duplicates: 2,
			TimedOut:   3,
			Rejected:   4,
			Failed:     5,
			Abandoned:  6,
			Work:       -7_000,
		},
		Reason: "counted twice", Author: "ops",
	}
}

// storedFiles returns the files of an account, by name: its state in the third period, its first and
// last statements, and a ring of records.
func storedFiles(t *testing.T) map[string][]byte {
	t.Helper()
	l := New(settings(), "0011aabbccdd", begin)
	add := func(period int) {
		for _, u := range storedRecords(period) {
			l.Add(u)
		}
	}
	add(0)
	if known, err := l.Correct(storedCorrection("c-1"), begin+hour); known || err != nil {
		t.Fatalf("Correct() = %v, %v, want false, nil", known, err)
	}
	l.AddLost(2)
	first := l.Seal(begin + hour + 10*sec)
	l.MarkRenaming(first)
	l.MarkExported(first)
	add(1)
	second := l.Seal(begin + 2*hour + 10*sec)
	l.MarkRenaming(second)
	add(2)
	if known, err := l.Correct(storedCorrection("c-2"), begin+2*hour); known || err != nil {
		t.Fatalf("Correct() = %v, %v, want false, nil", known, err)
	}
	files := map[string][]byte{"state": l.Encode(21), firstName: first.Encode()}
	// Two records more than the ring has room for.
	ring := make([]byte, RingSize(7))
	r := NewRing(ring, "0011aabbccdd", 21)
	for _, u := range append(storedRecords(2), storedRecords(1)[:2]...) {
		r.Put(u)
	}
	files["ring"] = ring
	files[lastName] = l.Finish().Encode()
	return files
}

// allFields returns a value of each type that is stored or printed as JSON, with every field set.
func allFields() map[string]any {
	count := Count{Served: 1, Duplicates: 2, TimedOut: 3, Rejected: 4, Failed: 5, Abandoned: 6, Work: 7}
	line := Line{Period: begin, Tenant: "north", Class: "hand-in", Count: count, Slices: []int64{1, 2}}
	keys := CountedKeys{storedKeyOf(0)}
	statement := Statement{
		Format: 2, Instance: "n0", Incarnation: "0011aabbccdd", Seq: 3, From: begin, To: begin + hour,
		Period: 3_600_000_000, Slice: 60_000_000, PreviousDigest: "774a", Lines: []Line{line},
		Corrections: []Correction{
			storedCorrection("c-1"),
		}, Keys: keys, Lost: 8, UnlistedKeys: 9, Final: true, Steps: 10,
	}
	return map[string]any{
		"all-fields-statement.json": statement,
		"all-fields-state.json": state{
			Format: 1, Instance: "n0", Incarnation: "0011aabbccdd", Period: 3_600_000_000, Slice: 60_000_000,
			LastRecord: 1, LastSeq: 2, LastDigest: "774a", SealedThrough: 3, Newest: 4, SealedAt: 5,
			Lines: []Line{line}, Keys: keys, NewKeys: keys,
			Corrections: []Correction{storedCorrection("c-1")}, CorrectionIDs: []string{"c-1"},
			Unwritten: []*Statement{&statement}, Exported: 6, Renaming: 7, Lost: 8, UnlistedUntil: 9, RingLost: 10,
			RingStart: 11, UnlistedKeys: 12, Steps: 13, Ended: true, SweptAt: 14, Ahead: 15,
		},
		"all-fields-summary.json": Summary{
			Instance: "n0", Incarnation: "0011aabbccdd", SealedThrough: 1, Statements: 2, Exported: 3,
			Keys: 4, Lost: 5, Lines: []Line{line}, Corrections: 6,
		},
		"all-fields-bill.json": Bill{
			Periods: []BillPeriod{{Period: begin, MissingInstances: []string{"n1"}}},
			Lines: []BillLine{
				{Period: begin, Tenant: "north", Class: "hand-in", Count: count, Changed: true},
			},
			Tenants: []BillTenant{{Period: begin, Tenant: "north", Served: 1, AboveQuota: 2.5, Work: 3}},
			Problems: []Problem{
				{Instance: "n0", Incarnation: "0011aabbccdd", Description: "a statement is missing"},
			},
			Statements: 1, DuplicateStatements: 2, DeduplicatedRuns: 3, Lost: 4,
		},
	}
}

// Fields that are stored or printed must be written and read under the names that they had in version 1.
func TestFieldsKeepTheirNames(t *testing.T) {
	for name, sample := range allFields() {
		golden.RequireAllSet(t, name, sample)
		got, err := json.MarshalIndent(sample, "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(storedDir, name)
		golden.Check(t, path, got)
		read := reflect.New(reflect.TypeOf(sample))
		if err := json.Unmarshal(golden.Read(t, path), read.Interface()); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(sample, read.Elem().Interface(), cmp.AllowUnexported(state{})); diff != "" {
			t.Errorf("%s: decoded value (-want +got)\n%s", name, diff)
		}
	}
}

// The same records must give files with the bytes that version 1 wrote.
func TestWritesBytesOfVersion1(t *testing.T) {
	for name, got := range storedFiles(t) {
		golden.Check(t, filepath.Join(storedDir, name), got)
	}
}

func readStored(t *testing.T, name string) []byte {
	t.Helper()
	return golden.Read(t, filepath.Join(storedDir, name))
}

// storedLines returns the lines of the records of a period.
func storedLines(period int) []Line {
	at := begin + wallclock.UnixMicro(period)*hour
	return []Line{
		{Period: at, Tenant: "north", Class: "check", Count: Count{TimedOut: 1, Work: 300}},
		{
			Period: at,
			Tenant: "north",
			Class:  "hand-in",
			Count:  Count{Served: 1, Duplicates: 1, Work: 25_000},
			Slices: []int64{1},
		},
		{
			Period: at, Tenant: "south", Class: "check",
			Count:  Count{Served: 1, Rejected: 1, Failed: 1, Abandoned: 1, Work: 2_007},
			Slices: []int64{0, 1},
		},
	}
}

// storedKeyOf returns the key that is counted as served in a period.
func storedKeyOf(period int) CountedKey {
	at := begin + wallclock.UnixMicro(period)*hour + 10*sec
	return CountedKey{
		Hash:      1070329728019876228,
		ServedAt:  at,
		ExpiresAt: at + 3*sec,
		Work:      25_000,
		Tenant:    "north",
		Class:     "hand-in",
	}
}

// Statements that version 1 wrote, regular and final ones, must be read with all their fields.
func TestReadsStatementsOfVersion1(t *testing.T) {
	first := &Statement{
		Format: 1, Instance: "n0", Incarnation: "0011aabbccdd", Seq: 1,
		From: begin, To: begin + hour, Period: 3_600_000_000, Slice: 60_000_000,
		Lines: storedLines(0), Corrections: []Correction{storedCorrection("c-1")},
		Keys: CountedKeys{storedKeyOf(0)}, Lost: 2,
	}
	last := &Statement{
		Format: 2, Instance: "n0", Incarnation: "0011aabbccdd", Seq: 3,
		From: begin + 2*hour, To: begin + 3*hour, Period: 3_600_000_000, Slice: 60_000_000,
		PreviousDigest: "774ab82649a50465ea6e87d0f0964455ae03c7278041f48b9bb74430f6835471",
		Lines:          storedLines(2), Corrections: []Correction{storedCorrection("c-2")},
		Keys:  CountedKeys{storedKeyOf(2)},
		Final: true, Steps: 23,
	}
	for name, want := range map[string]*Statement{firstName: first, lastName: last} {
		got, err := ParseStatement(name, readStored(t, name))
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("statement in %s (-want +got)\n%s", name, diff)
		}
		if got.FileName() != name {
			t.Errorf("FileName() of the statement in %s = %s, want the name of the file", name, got.FileName())
		}
	}
}

// A state that version 1 wrote must be read with all its fields, and the account must continue from it.
func TestReadsStateOfVersion1(t *testing.T) {
	l, lastRecord, err := Decode(settings(), readStored(t, "state"))
	if err != nil || lastRecord != 21 {
		t.Fatalf("Decode() = last record %d, error %v, want 21, nil", lastRecord, err)
	}
	want := Summary{
		Instance: "n0", Incarnation: "0011aabbccdd", SealedThrough: begin + 2*hour, Statements: 2, Exported: 1,
		Keys: 1, Lines: storedLines(2), Corrections: 1,
	}
	if diff := cmp.Diff(want, l.Summary()); diff != "" {
		t.Errorf("summary (-want +got)\n%s", diff)
	}
	if next, renaming := l.NextStatement(); !renaming || next.Seq != 2 ||
		!reflect.DeepEqual(next.Lines, storedLines(1)) {
		t.Errorf("NextStatement() = %+v, %v, want statement 2 with lines of the second period, true", next, renaming)
	}
	if known, err := l.Correct(storedCorrection("c-1"), begin+2*hour); !known || err != nil {
		t.Errorf("Correct() with the ID of an earlier correction = %v, %v, want true, nil", known, err)
	}
	if got, want := l.Finish().Encode(), readStored(t, lastName); string(got) != string(want) {
		t.Errorf("final statement =\n%s\nwant\n%s", got, want)
	}
}

// The records of a ring that a process of version 1 left must be recovered.
func TestReadsRingOfVersion1(t *testing.T) {
	r, err := OpenRing(readStored(t, "ring"), "0011aabbccdd")
	if err != nil {
		t.Fatal(err)
	}
	var got []Record
	last, missing := r.Recover(21, func(u Record) { got = append(got, u) })
	if last != 28 || missing != 0 || r.Lost() != 2 || r.StartedAfter() != 21 {
		t.Errorf(
			"last = %d, %d missing, %d lost, started after %d; want 28, 0, 2, 21",
			last,
			missing,
			r.Lost(),
			r.StartedAfter(),
		)
	}
	if diff := cmp.Diff(storedRecords(2), got); diff != "" {
		t.Errorf("records (-want +got)\n%s", diff)
	}
}
