package ledger

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"ryepaddle/internal/wallclock"
)

// ringRun applies random steps to a ring, and keeps the records that it must hold.
type ringRun struct {
	*rapid.T
	ring     *Ring
	capacity int
	lastRead uint64
	unread   []Record
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
		Tenant:         rapid.SampledFrom([]string{"north", "south", "", OtherTenant}).Draw(r.T, "tenant"),
		Class:          "c",
	}
	if r.ring.Put(record) {
		r.unread = append(r.unread, record)
	} else if r.lost++; len(r.unread) < r.capacity {
		r.Fatal("Put() = false while the ring has room")
	}
}

func (r *ringRun) read() {
	record, ok := r.ring.Read(r.lastRead + 1)
	if !ok || record != r.unread[0] {
		r.Fatalf("Read() = %+v, %v, want %+v, true", record, ok, r.unread[0])
	}
	r.lastRead, r.unread = r.lastRead+1, r.unread[1:]
	r.ring.Release(r.lastRead)
}

// Records that were put before a kill of the process must be recovered after it, complete and in order.
// Where the disk kept only part of the memory, the damaged record must not be recovered.
func TestRingOutlivesProcess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 9).Draw(t, "capacity")
		mem := make([]byte, RingSize(capacity))
		startedAfter := rapid.Uint64Range(0, 50).Draw(t, "from")
		r := &ringRun{T: t, ring: NewRing(mem, "life", startedAfter), capacity: capacity, lastRead: startedAfter}
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "put") {
				r.put()
			} else if len(r.unread) > 0 {
				r.read()
			}
		}
		if r.ring.Lost() != r.lost {
			t.Fatalf("Lost() = %d, want %d", r.ring.Lost(), r.lost)
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
		last, missing := after.Recover(r.lastRead, func(u Record) { got = append(got, u) })
		if torn < 0 && (len(got) != len(r.unread) || missing != 0) ||
			len(got)+int(missing) > len(r.unread) ||
			len(got) < len(r.unread)-1 ||
			last > r.lastRead+uint64(len(r.unread)) {
			t.Fatalf("Recover() gave %d of %d unread records, and %d as missing", len(got), len(r.unread), missing)
		}
		if _, err := OpenRing(mem, "other"); !errors.Is(err, ErrForeignRing) {
			t.Fatalf("OpenRing() for another account = error %v, want ErrForeignRing", err)
		}
	})
}

// A crash may leave any bytes in the memory of a ring: Recover must still keep its bounds.
func FuzzRing(f *testing.F) {
	mem := make([]byte, RingSize(3))
	r := NewRing(mem, "life", 0)
	r.Put(Record{Tenant: "north", Class: "c", Outcome: OutcomeServed})
	f.Add(mem[:headerSize+40], mem[headerSize+namesSize:])
	f.Fuzz(func(t *testing.T, head, records []byte) {
		mem := make([]byte, RingSize(3))
		copy(mem, head)
		copy(mem[headerSize+namesSize:], records)
		if r, err := OpenRing(mem, "life"); err == nil {
			if last, missing := r.Recover(0, func(Record) {}); last > 3 || missing > last {
				t.Errorf("Recover() = last %d, missing %d, want missing <= last <= 3", last, missing)
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
				Tenant:     "north",
				Class:      "hand-in",
				Outcome:    OutcomeServed,
				Key:        9,
				Work:       5,
			},
		)
		r.Release(uint64(n))
	}
}
