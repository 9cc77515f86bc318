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

// Layout of an event, in bytes. The fields after the request depend on the event's code; a request is
// at the offset of a drain's deadline, a timer's token and a start's seed.
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

	startSettingsOffset = 14 // of the text in the tail: where it begins
	startLengthOffset   = 18

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
	flagExpectedWork = 1 << iota // the record has the expected work
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
// instance give. It returns a FrameError for a record that is malformed or of an unknown kind.
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
			return rec, recordErrorf(i, "%d gauges exceed the record", count)
		}
		ev.Gauges = decodeGauges(r[timerGaugesOffset:gaugesEnd], names(rec.Instance))
	case codeKilled:
		rec.Killed = true
	default:
		return rec, recordErrorf(i, "unknown event code %d", code)
	}
	return rec, nil
}

// decodeStart decodes the start of an instance, whose settings are in the tail.
func (b *Batch) decodeStart(i int, r []byte, rec *Record) error {
	rec.Start = true
	rec.Seed = rec.Event.Request
	offset := uint64(littleEndian.Uint32(r[startSettingsOffset:]))
	length := uint64(littleEndian.Uint32(r[startLengthOffset:]))
	if offset+length > uint64(len(b.tail)) {
		return recordErrorf(i, "tail range %d+%d exceeds %d bytes", offset, length, len(b.tail))
	}
	rec.Settings = string(b.tail[offset : offset+length])
	return nil
}

// decodeArrival decodes a request that was read.
func decodeArrival(r []byte, ev *admission.Event) {
	flags := r[requestFlagsOffset]
	ev.Kind = admission.EventRequest
	ev.Class = int(r[requestClassOffset])
	ev.Tenant = int(littleEndian.Uint32(r[requestTenantOffset:]))
	ev.Key = littleEndian.Uint64(r[requestKeyOffset:])
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

// recordErrorf makes a FrameError of record i.
func recordErrorf(i int, format string, a ...any) error {
	return frameErrorf(fmt.Sprintf("record %d", i), format, a...)
}
