package simwire

import (
	"fmt"

	"ryepaddle/internal/admission"
)

// Codes of the events on the wire.
const (
	codeNewInstance = 1
	codeAsk         = 2
	codeRunOver     = 3
	codeBlocked     = 4
	codeDownstream  = 5
	codeSigterm     = 6
	codeHangup      = 7
	codeWakeup      = 8
	codeKilled      = 9
)

// Flags of an arrival on the wire.
const (
	flagExpectedWork = 1 << iota // the record tells the expected work
	flagRetry
	flagWrite
)

// outcomes are the outcomes by their codes on the wire.
var outcomes = map[uint16]admission.Outcome{
	200: admission.OutcomeOK,
	502: admission.OutcomeFailed,
	429: admission.OutcomeRejected,
	408: admission.OutcomeTimedOut,
	521: admission.OutcomeUnreachable,
	520: admission.OutcomeConnectionLost,
	444: admission.OutcomeCancelled,
	409: admission.OutcomeNeverStarted,
}

// Record is one event of a batch. Those with Start or Killed are for the host of the instances; all
// others carry an Event for the instance.
type Record struct {
	Instance uint32
	Start    bool // a new instance with this seed and these settings
	Killed   bool // the instance is gone
	Seed     uint64
	Settings string // lines for ParseSettings
	Event    admission.Event
}

// Record decodes event i. The gauges of a timer follow names, the order that the settings of the
// instance told. It returns a FrameError for a record that is malformed or of an unknown kind.
func (b *Batch) Record(i int, names func(instance uint32) []Gauge) (Record, error) {
	r := b.records[i*eventSize : (i+1)*eventSize]
	rec := Record{Instance: littleEndian.Uint32(r[2:])}
	ev := &rec.Event
	ev.Request = littleEndian.Uint64(r[6:])
	switch code := littleEndian.Uint16(r); code {
	case codeNewInstance:
		err := b.decodeStart(i, r, &rec)
		return rec, err
	case codeAsk:
		decodeArrival(r, ev)
	case codeRunOver:
		ev.Kind = admission.EventCompleted
		ev.Outcome = outcomes[littleEndian.Uint16(r[14:])]
		ev.Elapsed = micros(uint64(littleEndian.Uint32(r[16:])))
	case codeBlocked:
		ev.Kind = admission.EventBlocked
	case codeDownstream:
		ev.Kind = admission.EventCallCompleted
		ev.Elapsed = micros(uint64(littleEndian.Uint32(r[14:])))
		ev.Outcome = outcomes[littleEndian.Uint16(r[18:])]
	case codeSigterm:
		ev.Kind, ev.Deadline = admission.EventDrain, micros(littleEndian.Uint64(r[6:]))
	case codeHangup:
		ev.Kind = admission.EventAbandoned
	case codeWakeup:
		ev.Kind, ev.Token = admission.EventTimer, littleEndian.Uint64(r[6:])
		n := int(r[14])
		if 15+4*n > eventSize {
			return rec, recordErrorf(i, "%d gauges exceed the record", n)
		}
		ev.Gauges = decodeGauges(r[15:15+4*n], names(rec.Instance))
	case codeKilled:
		rec.Killed = true
	default:
		return rec, recordErrorf(i, "unknown event code %d", code)
	}
	return rec, nil
}

// decodeStart decodes the start of an instance, whose settings stand in the tail.
func (b *Batch) decodeStart(i int, r []byte, rec *Record) error {
	rec.Start, rec.Seed = true, littleEndian.Uint64(r[6:])
	offset, length := uint64(littleEndian.Uint32(r[14:])), uint64(littleEndian.Uint32(r[18:]))
	if offset+length > uint64(len(b.tail)) {
		return recordErrorf(i, "tail range %d+%d exceeds %d bytes", offset, length, len(b.tail))
	}
	rec.Settings = string(b.tail[offset : offset+length])
	return nil
}

// decodeArrival decodes a request that was read.
func decodeArrival(r []byte, ev *admission.Event) {
	flags := r[47]
	ev.Kind = admission.EventRequest
	ev.Class = int(r[14])
	ev.Tenant = int(littleEndian.Uint32(r[15:]))
	ev.Key = littleEndian.Uint64(r[19:])
	ev.Deadline = micros(littleEndian.Uint64(r[27:]))
	if flags&flagExpectedWork != 0 {
		ev.ExpectedWork = micros(uint64(littleEndian.Uint32(r[35:])))
	}
	ev.SizeKB, ev.Rank = float(r[39:]), float(r[43:])
	ev.Retry, ev.Write = flags&flagRetry != 0, flags&flagWrite != 0
	ev.Caller = littleEndian.Uint32(r[48:])
	ev.QueueingDelay = micros(uint64(littleEndian.Uint32(r[52:])))
	ev.PriorRequest = littleEndian.Uint64(r[56:])
}

// recordErrorf makes a FrameError of record i.
func recordErrorf(i int, format string, a ...any) error {
	return frameErrorf(fmt.Sprintf("record %d", i), format, a...)
}
