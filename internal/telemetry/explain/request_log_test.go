package explain

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/wallclock"
)

const check, handIn = 0, 1

func keyed(class int) bool { return class == handIn }

func trace(n, class int, status lifecycle.Status) *lifecycle.Trace {
	return &lifecycle.Trace{
		ID:         fmt.Sprintf("%016x", n),
		Class:      class,
		Status:     status,
		Cause:      lifecycle.CauseInterrupted,
		AnsweredAt: wallclock.UnixMicro(n),
	}
}

// A flood of ten times the capacity, of other requests, does not displace the 100 newest rejected requests
// of a class with idempotency keys.
func TestFloodLeavesRareRequests(t *testing.T) {
	r := New(1000*MaxEntryBytes, keyed, 1)
	now := wallclock.UnixMicro(1)
	for n := range 10 * r.Capacity() {
		now += 10 // 100,000 per second
		r.Add(trace(n, check, lifecycle.Served), now)
		if n%5 == 0 {
			r.Add(trace(n, check, lifecycle.Rejected), now)
		}
		if n%50 == 0 {
			r.Add(trace(n, handIn, lifecycle.Rejected), now)
		}
	}
	if r.Len() > r.Capacity() {
		t.Errorf("Len() = %d, want at most %d", r.Len(), r.Capacity())
	}
	got := r.Find(Query{Class: handIn, Status: lifecycle.Rejected, Limit: 100})
	if len(got) != 100 {
		t.Fatalf("Find() returned %d rejected requests of class hand-in, want 100", len(got))
	}
	for i, e := range got {
		if want := 10*r.Capacity() - 50*(i+1); e.AnsweredAt != wallclock.UnixMicro(want) {
			t.Fatalf("entry %d was answered at %d, want %d", i, e.AnsweredAt, want)
		}
	}
	served := r.Find(Query{Class: check, Status: lifecycle.Served, Limit: 1})
	if len(served) != 1 || served[0].Represents < 2 {
		t.Errorf("Find() after a flood of served requests = %+v, want 1 entry that represents at least 2", served)
	}
	for _, s := range r.Strata() {
		if s.Class == check && s.Status == lifecycle.Served && s.Added != uint64(10*r.Capacity()) {
			t.Errorf("Added of the served requests = %d, want 10 times the capacity", s.Added)
		}
	}
}

// For any sequence of requests the log stays within its capacity and finds the newest request: a status
// with few entries loses none to a status with many.
func TestLogIsBoundedAndFindsNewest(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := New(rapid.IntRange(0, 60).Draw(rt, "capacity")*MaxEntryBytes, keyed, 1)
		now := wallclock.UnixMicro(1)
		for n := range 300 {
			now += wallclock.UnixMicro(rapid.Int64Range(-2_000_000, 2_000_000).Draw(rt, "step")) // may go back
			tr := trace(
				n,
				rapid.IntRange(0, 1).Draw(rt, "class"),
				lifecycle.Status(rapid.IntRange(0, 3).Draw(rt, "status")),
			)
			r.Add(tr, now)
			if r.Len() > r.Capacity() {
				rt.Fatalf("Len() = %d, want at most %d", r.Len(), r.Capacity())
			}
			if got := r.Find(Query{ID: tr.ID, Class: -1}); tr.Status != lifecycle.Served &&
				r.Capacity() > 8 &&
				len(got) != 1 {
				rt.Fatalf("Find() by the newest ID returned %d entries, want 1", len(got))
			}
		}
	})
}

// A query by ID finds all requests with that ID, and the duplicates of the request with that ID.
func TestFindSelectsByQuery(t *testing.T) {
	r := New(100*MaxEntryBytes, keyed, 1)
	for n := range 3 {
		tr := trace(7, handIn, lifecycle.Failed)
		tr.Key, tr.AnsweredAt = strings.Repeat("k", 100), wallclock.UnixMicro(100+n)
		r.Add(tr, 1)
	}
	duplicate := trace(8, handIn, lifecycle.Served)
	duplicate.OriginalID = fmt.Sprintf("%016x", 7)
	r.Add(duplicate, 1)
	for _, c := range []struct {
		q    Query
		want int
	}{
		{Query{ID: duplicate.OriginalID, Class: -1}, 4},
		{Query{Key: strings.Repeat("k", 100), Class: handIn}, 3},
		{Query{Class: -1, NotServed: true, From: 101}, 2},
		{Query{Class: check}, 0},
		{Query{Class: -1, Cause: lifecycle.CauseInterrupted, To: 100}, 2},
		{Query{Class: -1, Limit: 1}, 1},
	} {
		if got := r.Find(c.q); len(got) != c.want {
			t.Errorf("Find(%+v) returned %d entries, want %d", c.q, len(got), c.want)
		}
	}
}

// An entry of the largest size takes at most MaxEntryBytes of memory.
func TestEntryIsWithinMaxEntryBytes(t *testing.T) {
	const n = 5000
	r := New(n*MaxEntryBytes, keyed, 1)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range 4 * n {
		tr := trace(i, handIn, lifecycle.Rejected)
		tr.ID += strings.Repeat("n", 100)
		tr.Key, tr.OriginalID = strings.Repeat("k", 1000), strings.Repeat("f", 1000)
		for h := range tr.Attempts {
			tr.Attempts[h].Server = strings.Repeat("s", 100)
		}
		r.Add(tr, wallclock.UnixMicro(i))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if used := int64(after.HeapAlloc) - int64(before.HeapAlloc); used > n*MaxEntryBytes {
		t.Errorf("an entry takes %d bytes, want at most %d", used/n, MaxEntryBytes)
	}
	runtime.KeepAlive(r)
}

func BenchmarkAdd(b *testing.B) {
	r := New(4<<20, keyed, 1)
	tr := trace(1, handIn, lifecycle.Rejected)
	tr.Attempts[0].Server = "runner-01"
	b.ReportAllocs()
	now := wallclock.UnixMicro(0)
	for b.Loop() {
		now += 100
		r.Add(tr, now)
	}
}
