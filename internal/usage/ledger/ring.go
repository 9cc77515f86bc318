package ledger

import (
	"encoding/binary"
	"hash/crc32"
	"sync/atomic"
	"unsafe"

	"ryepaddle/internal/wallclock"
)

// Ring is a ring buffer that passes records from the event loop to the goroutine that keeps the
// account. If its memory is mapped from a file, records that were put survive a kill of the process.
// One goroutine calls Put and Last, and another one calls the other methods.
//
// The memory begins with a header. It is followed by a table of names, each after its length, and then
// by the records. The number of a record is written last, and shows that the record is complete. All
// numbers are little-endian.
type Ring struct {
	mem      []byte
	capacity uint64 // in records
	next     uint64 // number of the next record; the first is 1
	released atomic.Uint64

	// Put writes names to the memory, and the reader copies them into a table of its own.
	nameIDs    map[string]uint16
	nameEnd    int // offset after the last name that was written
	namesRead  []string
	nameReadAt int // offset after the last of namesRead
}

// Layout of the header, in bytes.
const (
	ringMagic  = "ryeuse01"
	headerSize = 64

	incarnationOffset  = 8
	incarnationSize    = 16
	capacityOffset     = 24
	lostOffset         = 32
	nameCountOffset    = 40
	startedAfterOffset = 48
)

// Layout of the names and of a record, in bytes.
const (
	namesSize      = 32 << 10
	nameLengthSize = 2 // size of the length before each name
	recordSize     = 64

	numberOffset       = 0 // the number of the record, written last; 0 while the record is written
	answeredAtOffset   = 8
	keyExpiresAtOffset = 16
	keyOffset          = 24
	workOffset         = 32
	tenantOffset       = 40
	classOffset        = 42
	outcomeOffset      = 44
	duplicateOffset    = 45
	checkedNumOffset   = 48 // the number again, covered by the checksum
	checksumOffset     = 60
)

// RingSize returns the size in bytes of the memory of a ring with a capacity in records.
func RingSize(capacity int) int { return headerSize + namesSize + capacity*recordSize }

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// NewRing initializes a ring in memory that is all zero. Its first record has number startedAfter+1.
func NewRing(mem []byte, incarnation string, startedAfter uint64) *Ring {
	r := &Ring{
		mem:        mem,
		capacity:   uint64(len(mem)-headerSize-namesSize) / recordSize,
		next:       startedAfter + 1,
		nameIDs:    map[string]uint16{},
		nameEnd:    headerSize,
		nameReadAt: headerSize,
	}
	r.released.Store(startedAfter)
	copy(mem, ringMagic)
	copy(mem[incarnationOffset:incarnationOffset+incarnationSize], incarnation)
	binary.LittleEndian.PutUint64(mem[capacityOffset:], r.capacity)
	binary.LittleEndian.PutUint64(mem[startedAfterOffset:], startedAfter)
	return r
}

// OpenRing opens a ring that an earlier process left, for reading. The error is ErrForeignRing.
func OpenRing(mem []byte, incarnation string) (*Ring, error) {
	var name [incarnationSize]byte
	copy(name[:], incarnation)
	if len(mem) < RingSize(1) || string(mem[:incarnationOffset]) != ringMagic ||
		string(mem[incarnationOffset:incarnationOffset+incarnationSize]) != string(name[:]) {
		return nil, ErrForeignRing
	}
	n := binary.LittleEndian.Uint64(mem[capacityOffset:])
	if n == 0 || n > uint64(len(mem)-headerSize-namesSize)/recordSize {
		return nil, ErrForeignRing
	}
	return &Ring{mem: mem, capacity: n, nameReadAt: headerSize}, nil
}

// word returns the 8 bytes at an offset, which the two goroutines share.
func (r *Ring) word(offset int) *atomic.Uint64 {
	return (*atomic.Uint64)(unsafe.Pointer(&r.mem[offset]))
}

// slotOffset returns the offset of the slot with an index.
func slotOffset(index int) int { return headerSize + namesSize + index*recordSize }

// recordOffset returns the offset of the record with a number.
func (r *Ring) recordOffset(number uint64) int { return slotOffset(int((number - 1) % r.capacity)) }

// Put adds a record, and reports whether there was room. A record without room is counted as lost.
func (r *Ring) Put(record Record) bool {
	if r.next-r.released.Load() > r.capacity {
		r.word(lostOffset).Add(1)
		return false
	}
	offset := r.recordOffset(r.next)
	b := r.mem[offset : offset+recordSize]
	r.word(offset + numberOffset).Store(0)
	le := binary.LittleEndian
	le.PutUint64(b[answeredAtOffset:], uint64(record.AnsweredAt))
	le.PutUint64(b[keyExpiresAtOffset:], uint64(record.KeyExpiresAt))
	le.PutUint64(b[keyOffset:], record.Key)
	le.PutUint64(b[workOffset:], uint64(record.Work))
	le.PutUint16(b[tenantOffset:], r.nameID(record.Tenant))
	le.PutUint16(b[classOffset:], r.nameID(record.Class))
	b[outcomeOffset] = byte(record.Outcome)
	b[duplicateOffset] = 0
	if record.KnownDuplicate {
		b[duplicateOffset] = 1
	}
	le.PutUint64(b[checkedNumOffset:], r.next)
	le.PutUint32(b[checksumOffset:], recordChecksum(b))
	r.word(offset + numberOffset).Store(r.next)
	r.next++
	return true
}

// recordChecksum returns the checksum over a record and its number. It covers both because a disk that
// lost power may have kept one without the other.
func recordChecksum(b []byte) uint32 {
	return crc32.Checksum(b[answeredAtOffset:checksumOffset], castagnoli)
}

// nameID returns the number of a name, which it adds to the table if there is room. A name without room
// has number 0, that of OtherTenant.
func (r *Ring) nameID(s string) uint16 {
	if id, ok := r.nameIDs[s]; ok {
		return id
	}
	if len(r.nameIDs) == 0 && s != OtherTenant {
		r.nameID(OtherTenant)
	}
	s = s[:min(len(s), maxTextBytes)]
	if id, ok := r.nameIDs[s]; ok || r.nameEnd+nameLengthSize+len(s) > headerSize+namesSize {
		return id
	}
	id := uint16(len(r.nameIDs))
	binary.LittleEndian.PutUint16(r.mem[r.nameEnd:], uint16(len(s)))
	copy(r.mem[r.nameEnd+nameLengthSize:], s)
	r.nameEnd += nameLengthSize + len(s)
	r.nameIDs[s] = id
	r.word(nameCountOffset).Store(uint64(len(r.nameIDs)))
	return id
}

// name returns the name with a number, and reports whether there is one. It first reads the names that
// were added since the last call.
func (r *Ring) name(id uint16) (string, bool) {
	for n := r.word(nameCountOffset).Load(); uint64(len(r.namesRead)) < n; {
		if r.nameReadAt+nameLengthSize > headerSize+namesSize {
			return "", false
		}
		size := int(binary.LittleEndian.Uint16(r.mem[r.nameReadAt:]))
		end := r.nameReadAt + nameLengthSize + size
		if end > headerSize+namesSize {
			return "", false
		}
		r.namesRead = append(r.namesRead, string(r.mem[r.nameReadAt+nameLengthSize:end]))
		r.nameReadAt = end
	}
	if int(id) >= len(r.namesRead) {
		return "", false
	}
	return r.namesRead[id], true
}

// Read returns the record with a number, and reports whether it is there and intact.
func (r *Ring) Read(number uint64) (Record, bool) {
	offset := r.recordOffset(number)
	if r.word(offset+numberOffset).Load() != number {
		return Record{}, false
	}
	b := r.mem[offset : offset+recordSize]
	le := binary.LittleEndian
	if le.Uint64(b[checkedNumOffset:]) != number || le.Uint32(b[checksumOffset:]) != recordChecksum(b) {
		return Record{}, false
	}
	tenant, tenantKnown := r.name(le.Uint16(b[tenantOffset:]))
	class, classKnown := r.name(le.Uint16(b[classOffset:]))
	return Record{
		AnsweredAt:     wallclock.UnixMicro(le.Uint64(b[answeredAtOffset:])),
		KeyExpiresAt:   wallclock.UnixMicro(le.Uint64(b[keyExpiresAtOffset:])),
		Key:            le.Uint64(b[keyOffset:]),
		Work:           wallclock.Micros(le.Uint64(b[workOffset:])),
		Tenant:         tenant,
		Class:          class,
		Outcome:        Outcome(b[outcomeOffset]),
		KnownDuplicate: b[duplicateOffset] == 1,
	}, tenantKnown && classKnown
}

// Last returns the number of the last record that was put.
func (r *Ring) Last() uint64 { return r.next - 1 }

// Release frees the room of the records up to a number, which must be stored elsewhere by then.
func (r *Ring) Release(number uint64) { r.released.Store(number) }

// Lost returns the total number of records that found no room.
func (r *Ring) Lost() uint64 { return r.word(lostOffset).Load() }

// StartedAfter returns the number of the record after which the ring began, which identifies the ring
// among those of an account.
func (r *Ring) StartedAfter() uint64 { return binary.LittleEndian.Uint64(r.mem[startedAfterOffset:]) }

// Utilization returns the fraction of the capacity, from 0 to 1, that is taken by the records up to a
// number that are not released.
func (r *Ring) Utilization(number uint64) float64 {
	return float64(number-r.released.Load()) / float64(r.capacity)
}

// Recover calls add, in order, with the intact records that an earlier process left after record
// lastCounted. It returns the number of the last intact record, or lastCounted if there is none, and how
// many records between the two are missing: a disk that lost power may have kept any of them.
func (r *Ring) Recover(lastCounted uint64, add func(Record)) (last, missing uint64) {
	last = max(r.lastIntact(lastCounted), lastCounted)
	for number := lastCounted + 1; number <= last; number++ {
		if record, ok := r.Read(number); ok {
			add(record)
		} else {
			missing++
		}
	}
	return last, missing
}

// lastIntact returns the highest number of an intact record after lastCounted, or 0 if there is none.
func (r *Ring) lastIntact(lastCounted uint64) (last uint64) {
	for index := range int(r.capacity) {
		offset := slotOffset(index)
		number := r.word(offset + numberOffset).Load()
		if number <= last || number > lastCounted+r.capacity || r.recordOffset(number) != offset {
			continue
		}
		if _, ok := r.Read(number); ok {
			last = number
		}
	}
	return last
}
