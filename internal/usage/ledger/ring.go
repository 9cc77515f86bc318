package ledger

import (
	"encoding/binary"
	"hash/crc32"
	"sync/atomic"
	"unsafe"
)

// Ring hands uses from the loop to who keeps the account, through memory that outlives the process
// where it is a file's: what was put into it before a kill is there after it. One goroutine puts,
// another one takes.
//
// The memory begins with a header: what it is, whose, how many records it has, how many uses found
// no room, how many names. Names follow, each with its length, and then records, each with its
// number, which is written last.
type Ring struct {
	mem     []byte
	records uint64
	next    uint64 // number of the next use; the first is 1
	freed   atomic.Uint64
	ids     map[string]uint16 // of who puts
	nameAt  int
	names   []string // of who takes
	takenAt int
}

const (
	ringMark   = "ryeuse01"
	headerSize = 64
	namesSize  = 32 << 10
	recordSize = 64

	lifeAt    = 8 // 16 bytes
	recordsAt = 24
	lostAt    = 32
	countAt   = 40 // of names
	fromAt    = 48 // behind which use it began
	lifeSize  = 16
)

// RingSize is how much memory a ring of so many records takes.
func RingSize(records int) int { return headerSize + namesSize + records*recordSize }

// ErrForeignRing is that of memory that holds no ring of this account.
var ErrForeignRing error = ring.New("usage: no ring of this account")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// NewRing begins a ring in memory that is all nought, behind the use of number taken.
func NewRing(mem []byte, life string, taken uint64) *Ring {
	r := &Ring{
		mem:     mem,
		records: uint64(len(mem)-headerSize-namesSize) / recordSize,
		next:    taken + 1,
		ids:     map[string]uint16{},
	}
	r.nameAt, r.takenAt = headerSize, headerSize
	r.freed.Store(taken)
	copy(mem, ringMark)
	copy(mem[lifeAt:lifeAt+lifeSize], life)
	binary.LittleEndian.PutUint64(mem[recordsAt:], r.records)
	binary.LittleEndian.PutUint64(mem[fromAt:], taken)
	return r
}

// OpenRing looks at a ring that an earlier life of the process left. It is only taken from.
func OpenRing(mem []byte, life string) (*Ring, error) {
	var name [lifeSize]byte
	copy(name[:], life)
	if len(mem) < RingSize(1) || string(mem[:lifeAt]) != ringMark ||
		string(mem[lifeAt:lifeAt+lifeSize]) != string(name[:]) {
		return nil, ErrForeignRing
	}
	n := binary.LittleEndian.Uint64(mem[recordsAt:])
	if n == 0 || n > uint64(len(mem)-headerSize-namesSize)/recordSize {
		return nil, ErrForeignRing
	}
	return &Ring{mem: mem, records: n, takenAt: headerSize}, nil
}

func (r *Ring) word(at int) *atomic.Uint64 { return (*atomic.Uint64)(unsafe.Pointer(&r.mem[at])) }

func (r *Ring) at(number uint64) int {
	return headerSize + namesSize + int((number-1)%r.records)*recordSize
}

// Put hands a use over, and reports whether there was room: as long as nothing is freed there is
// only so much. What found none is counted.
func (r *Ring) Put(u Record) bool {
	if r.next-r.freed.Load() > r.records {
		r.word(lostAt).Add(1)
		return false
	}
	at := r.at(r.next)
	b := r.mem[at : at+recordSize]
	r.word(at).Store(0) // it is none while it is written
	le := binary.LittleEndian
	le.PutUint64(b[8:], uint64(u.AnsweredAt))
	le.PutUint64(b[16:], uint64(u.KeyExpiresAt))
	le.PutUint64(b[24:], u.Key)
	le.PutUint64(b[32:], uint64(u.Work))
	le.PutUint16(b[40:], r.name(u.School))
	le.PutUint16(b[42:], r.name(u.Class))
	b[44], b[45] = byte(u.Outcome), 0
	if u.KnownDuplicate {
		b[45] = 1
	}
	le.PutUint64(b[48:], r.next)
	le.PutUint32(b[60:], check(b))
	r.word(at).Store(r.next)
	r.next++
	return true
}

// check stands for a record with its number in it: a disk may have kept one without the other.
func check(b []byte) uint32 { return crc32.Checksum(b[8:60], castagnoli) }

// name is the number of a name. Those for which there is no room are others.
func (r *Ring) name(s string) uint16 {
	if id, ok := r.ids[s]; ok {
		return id
	}
	if len(r.ids) == 0 && s != OtherSchool {
		r.name(OtherSchool)
	}
	s = s[:min(len(s), longestText)]
	if id, ok := r.ids[s]; ok || r.nameAt+2+len(s) > headerSize+namesSize {
		return id // nought: Other
	}
	id := uint16(len(r.ids))
	binary.LittleEndian.PutUint16(r.mem[r.nameAt:], uint16(len(s)))
	copy(r.mem[r.nameAt+2:], s)
	r.nameAt += 2 + len(s)
	r.ids[s] = id
	r.word(countAt).Store(uint64(len(r.ids)))
	return id
}

// nameOf is the name of a number.
func (r *Ring) nameOf(id uint16) (string, bool) {
	for n := r.word(countAt).Load(); uint64(len(r.names)) < n; {
		if r.takenAt+2 > headerSize+namesSize {
			return "", false
		}
		size := int(binary.LittleEndian.Uint16(r.mem[r.takenAt:]))
		end := r.takenAt + 2 + size
		if end > headerSize+namesSize {
			return "", false
		}
		r.names, r.takenAt = append(r.names, string(r.mem[r.takenAt+2:end])), end
	}
	if int(id) >= len(r.names) {
		return "", false
	}
	return r.names[id], true
}

// Read is the use of a number, if it is there.
func (r *Ring) Read(number uint64) (Record, bool) {
	at := r.at(number)
	if r.word(at).Load() != number {
		return Record{}, false
	}
	b := r.mem[at : at+recordSize]
	le := binary.LittleEndian
	if le.Uint64(b[48:]) != number || le.Uint32(b[60:]) != check(b) {
		return Record{}, false
	}
	u := Record{
		AnsweredAt:     int64(le.Uint64(b[8:])),
		KeyExpiresAt:   int64(le.Uint64(b[16:])),
		Key:            le.Uint64(b[24:]),
		Work:           int64(le.Uint64(b[32:])),
		Outcome:        Outcome(b[44]),
		KnownDuplicate: b[45] == 1,
	}
	var ok, known bool
	u.School, ok = r.nameOf(le.Uint16(b[40:]))
	u.Class, known = r.nameOf(le.Uint16(b[42:]))
	return u, ok && known
}

// Final tells up to which number uses were put.
func (r *Ring) Last() uint64 { return r.next - 1 }

// Release gives back the room of uses up to a number: they are kept elsewhere.
func (r *Ring) Release(number uint64) { r.freed.Store(number) }

// AddLost is how many uses found no room.
func (r *Ring) Lost() uint64 { return r.word(lostAt).Load() }

// StartedAfter tells rings of an account apart, as far as they lost anything: it is behind which use they
// began.
func (r *Ring) StartedAfter() uint64 { return binary.LittleEndian.Uint64(r.mem[fromAt:]) }

// Utilization is which part of the room is taken, seen from who takes at a number.
func (r *Ring) Utilization(number uint64) float64 {
	return float64(number-r.freed.Load()) / float64(r.records)
}

// Recover takes what an earlier life left behind the use of number taken: all that is whole, in the
// order it was put. Missing is how many lie between that are not. A disk that lost power may have
// kept any of them.
func (r *Ring) Recover(taken uint64, take func(Record)) (last, missing uint64) {
	for n := range r.records {
		if number := r.word(headerSize + namesSize + int(n)*recordSize).Load(); number > last &&
			number <= taken+r.records &&
			r.at(number) == headerSize+namesSize+int(n)*recordSize {
			if _, ok := r.Read(number); ok {
				last = number
			}
		}
	}
	last = max(last, taken)
	for number := taken + 1; number <= last; number++ {
		if u, ok := r.Read(number); ok {
			take(u)
		} else {
			missing++
		}
	}
	return last, missing
}
