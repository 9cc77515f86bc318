package ledger

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"ryepaddle/internal/wallclock"
)

// ringRun is a ring that a test draws the steps of, beside the records that it should hold.
type ringRun struct {
	*rapid.T
	ring     *Ring
	capacity int
	taken    uint64
	waiting  []Record
	lost     uint64
}

func (r *ringRun) put() {
	record := Record{
		AnsweredAt:     wallclock.UnixMicro(rapid.Int64().Draw(r.T, "at")),
		KeyExpiresAt:   3,
		Key:            4,
		Work:           5,
		Outcome:        OutcomeTimedOut,
		KnownDuplicate: rapid.Bool().Draw(r.T, "duplicate"),
		School:         rapid.SampledFrom([]string{"north", "south", "", OtherSchool}).Draw(r.T, "school"),
		Class:          "c",
	}
	if r.ring.Put(record) {
		r.waiting = append(r.waiting, record)
	} else if r.lost++; len(r.waiting) < r.capacity {
		r.Fatal("there was room")
	}
}

func (r *ringRun) read() {
	record, ok := r.ring.Read(r.taken + 1)
	if !ok || record != r.waiting[0] {
		r.Fatalf("%+v, %v; want %+v", record, ok, r.waiting[0])
	}
	r.taken, r.waiting = r.taken+1, r.waiting[1:]
	r.ring.Release(r.taken)
}

// What was put before a kill is there after it, complete and in order, wherever the kill came; a disk
// that kept only some of it shows.
func TestRingOutlivesProcess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 9).Draw(t, "capacity")
		mem := make([]byte, RingSize(capacity))
		taken := rapid.Uint64Range(0, 50).Draw(t, "from")
		r := &ringRun{T: t, ring: NewRing(mem, "life", taken), capacity: capacity, taken: taken}
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "put") {
				r.put()
			} else if len(r.waiting) > 0 {
				r.read()
			}
		}
		if r.ring.Lost() != r.lost {
			t.Fatal(r.ring.Lost(), r.lost)
		}
		torn := rapid.IntRange(-1, capacity-1).Draw(t, "torn")
		if torn >= 0 {
			mem[headerSize+namesSize+torn*recordSize+10] ^= 1
		}
		after, err := OpenRing(mem, "life")
		if err != nil {
			t.Fatal(err)
		}
		var got []Record
		last, missing := after.Recover(r.taken, func(u Record) { got = append(got, u) })
		if torn < 0 && (len(got) != len(r.waiting) || missing != 0) ||
			len(got)+int(missing) > len(r.waiting) ||
			len(got) < len(r.waiting)-1 ||
			last > r.taken+uint64(len(r.waiting)) {
			t.Fatalf("%d of %d, %d missing", len(got), len(r.waiting), missing)
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

func BenchmarkPut(b *testing.B) {
	mem := make([]byte, RingSize(1<<14))
	r := NewRing(mem, "life", 0)
	b.ReportAllocs()
	for n := range b.N {
		at := wallclock.UnixMicro(n)
		r.Put(
			Record{
				AnsweredAt: at,
				School:     "north",
				Class:      "hand-in",
				Outcome:    OutcomeServed,
				Key:        9,
				Work:       5,
			},
		)
		r.Release(uint64(n))
	}
}
