package simwire

import (
	"fmt"

	"ryepaddle/internal/admission"
)

// Codes of the events on the wire.
const (
	codeNewInstance   = 1
	codeRequest       = 2
	codeCompleted     = 3
	codeBlocked       = 4
	codeCallCompleted = 5
	codeDrain         = 6
	codeAbandoned     = 7
	codeTimer         = 8
	codeKilled        = 9
)

// Layout of an event record, in bytes. The fields after eventRequestOffset depend on the event's code.
// At eventRequestOffset a drain has its deadline, a timer its token, and the start of an instance its
// seed.
const (
	eventCodeOffset     = 0
	eventInstanceOffset = 2
	eventRequestOffset  = 6

	completedOutcomeOffset = 14
	completedElapsedOffset = 16

	callElapsedOffset = 14
	callOutcomeOffset = 18

	timerGaugeCountOffset = 14
	timerGaugesOffset     = 15

	startSettingsOffset = 14 // offset of the settings in the tail
	startLengthOffset   = 18 // length of the settings in bytes

	requestClassOffset         = 14
	requestTenantOffset        = 15
	requestKeyOffset           = 19
	requestDeadlineOffset      = 27
	requestExpectedWorkOffset  = 35
	requestSizeOffset          = 39
	requestRankOffset          = 43
	requestFlagsOffset         = 47
	requestCallerOffset        = 48
	requestQueueingDelayOffset = 52
	requestPriorRequestOffset  = 56
)

// Flags of a request on the wire.
const (
	flagExpectedWork = 1 << iota // the record states the expected work
	flagRetry
	flagWrite
)

// outcomes maps codes on the wire to outcomes.
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

// Record is one event of a batch. A record with Start or Killed concerns the process that hosts the
// instances; any other carries an Event for its instance.
type Record struct {
	Instance uint32
	Start    bool // a new instance starts, with Seed and Settings
	Killed   bool // the instance has ended
	Seed     uint64
	Settings string // lines for ParseSettings
	Event    admission.Event
}

// Record decodes event i. names returns the order of the gauges in an instance's timer events, which
// its settings give. The error for a record that is malformed or has an unknown code is a
// FrameError.
func (b *Batch) Record(i int, names func(instance uint32) []Gauge) (Record, error) {
	r := b.records[i*eventSize : (i+1)*eventSize]
	rec := Record{Instance: littleEndian.Uint32(r[eventInstanceOffset:])}
	ev := &rec.Event
	ev.Request = littleEndian.Uint64(r[eventRequestOffset:])
	switch code := littleEndian.Uint16(r[eventCodeOffset:]); code {
	case codeNewInstance:
		err := b.decodeStart(i, r, &rec)
		return rec, err
	case codeRequest:
		decodeArrival(r, ev)
	case codeCompleted:
		ev.Kind = admission.EventCompleted
		ev.Outcome = outcomes[littleEndian.Uint16(r[completedOutcomeOffset:])]
		ev.Elapsed = micros(uint64(littleEndian.Uint32(r[completedElapsedOffset:])))
	case codeBlocked:
		ev.Kind = admission.EventBlocked
	case codeCallCompleted:
		ev.Kind = admission.EventCallCompleted
		ev.Elapsed = micros(uint64(littleEndian.Uint32(r[callElapsedOffset:])))
		ev.Outcome = outcomes[littleEndian.Uint16(r[callOutcomeOffset:])]
	case codeDrain:
		ev.Kind = admission.EventDrain
		ev.Deadline = micros(ev.Request)
	case codeAbandoned:
		ev.Kind = admission.EventAbandoned
	case codeTimer:
		ev.Kind = admission.EventTimer
		ev.Token = ev.Request
		count := int(r[timerGaugeCountOffset])
		gaugesEnd := timerGaugesOffset + count*gaugeSize
		if gaugesEnd > eventSize {
			return rec, recordErrorf(i, "%d gauges do not fit in the record", count)
		}
		ev.Gauges = decodeGauges(r[timerGaugesOffset:gaugesEnd], names(rec.Instance))
	case codeKilled:
		rec.Killed = true
	default:
		return rec, recordErrorf(i, "unknown event code %d", code)
	}
	return rec, nil
}

// decodeStart decodes the start of an instance. Its settings are in the tail.
func (b *Batch) decodeStart(i int, r []byte, rec *Record) error {
	rec.Start = true
	rec.Seed = rec.Event.Request
	offset := uint64(littleEndian.Uint32(r[startSettingsOffset:]))
	length := uint64(littleEndian.Uint32(r[startLengthOffset:]))
	if offset+length > uint64(len(b.tail)) {
		return recordErrorf(i, "settings at %d of %d bytes exceed the tail of %d bytes", offset, length, len(b.tail))
	}
	rec.Settings = string(b.tail[offset : offset+length])
	return nil
}

// decodeArrival decodes the arrival of a request.
func decodeArrival(r []byte, ev *admission.Event) {
	flags := r[requestFlagsOffset]
	ev.Kind = admission.EventRequest
	ev.Class = int(r[requestClassOffset])
	ev.Tenant = int(littleEndian.Uint32(r[requestTenantOffset:]))
	ev.SubjectKey = littleEndian.Uint64(r[requestKeyOffset:])
	ev.Deadline = micros(littleEndian.Uint64(r[requestDeadlineOffset:]))
	if flags&flagExpectedWork != 0 {
		ev.ExpectedWork = micros(uint64(littleEndian.Uint32(r[requestExpectedWorkOffset:])))
	}
	ev.SizeKB = float(r[requestSizeOffset:])
	ev.Rank = float(r[requestRankOffset:])
	ev.Retry = flags&flagRetry != 0
	ev.Write = flags&flagWrite != 0
	ev.Caller = littleEndian.Uint32(r[requestCallerOffset:])
	ev.QueueingDelay = micros(uint64(littleEndian.Uint32(r[requestQueueingDelayOffset:])))
	ev.PriorRequest = littleEndian.Uint64(r[requestPriorRequestOffset:])
}

// recordErrorf returns a FrameError for record i.
func recordErrorf(i int, format string, a ...any) error {
	return frameErrorf(fmt.Sprintf("record %d", i), format, a...)
}
