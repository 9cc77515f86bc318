package simwire

import (
	"io"
	"math"
	"time"

	"ryepaddle/internal/admission"
)

// codeFault is the code on the wire of a record that reports a fault of an instance.
const codeFault = 77

// Layout of an action record, in bytes. The fields after the instance depend on the kind of action.
const (
	actionCodeOffset       = 0
	actionInstanceOffset   = 2
	actionRequestOffset    = 6 // the request, the advertised value, the idle time or the timer's token
	actionStaticOffset     = 6
	actionHealthyOffset    = 7
	actionDurationOffset   = 14
	actionNoRetryOffset    = 18
	actionTextOffset       = 6  // offset of the text in the tail
	actionTextLengthOffset = 10 // length of the text in bytes
)

// actionCodes holds the code on the wire of each kind of action.
var actionCodes = [...]uint16{
	admission.ActionStart:       76,
	admission.ActionReject:      75,
	admission.ActionFail:        68,
	admission.ActionCancel:      72,
	admission.ActionPlaceCall:   71,
	admission.ActionOmitCall:    78,
	admission.ActionRememberKey: 79,
	admission.ActionForgetKey:   70,
	admission.ActionReuseResult: 73,
	admission.ActionSetHealth:   67,
	admission.ActionAdvertise:   74,
	admission.ActionCloseIdle:   66,
	admission.ActionTimer:       65,
	admission.ActionLog:         69,
}

// Reply collects the actions that answer one batch.
type Reply struct {
	records []byte
	tail    []byte
}

// Reset empties the reply for the next batch.
func (p *Reply) Reset() { p.records, p.tail = p.records[:0], p.tail[:0] }

// Add appends an action of an instance.
func (p *Reply) Add(instance uint32, a *admission.Action) {
	r := p.addRecord(actionCodes[a.Kind], instance)
	littleEndian.PutUint64(r[actionRequestOffset:], a.Request)
	switch a.Kind {
	case admission.ActionReject:
		littleEndian.PutUint32(r[actionDurationOffset:], toMicros(a.Duration))
		r[actionNoRetryOffset] = toByte(a.NoRetry)
	case admission.ActionPlaceCall, admission.ActionRememberKey:
		littleEndian.PutUint32(r[actionDurationOffset:], toMicros(a.Duration))
	case admission.ActionSetHealth:
		littleEndian.PutUint64(r[actionRequestOffset:], 0)
		r[actionStaticOffset] = toByte(a.Static)
		r[actionHealthyOffset] = toByte(a.Healthy)
	case admission.ActionAdvertise:
		littleEndian.PutUint64(r[actionRequestOffset:], uint64(math.Float32bits(float32(a.Value))))
	case admission.ActionCloseIdle:
		littleEndian.PutUint64(r[actionRequestOffset:], uint64(toMicros(a.Duration)))
	case admission.ActionTimer:
		littleEndian.PutUint64(r[actionRequestOffset:], a.Token)
		littleEndian.PutUint32(r[actionDurationOffset:], toMicros(a.Duration))
	case admission.ActionLog:
		p.addText(r, a.Text)
	}
}

// Fault appends a record which reports that an instance has failed, with a text.
func (p *Reply) Fault(instance uint32, text string) {
	p.addText(p.addRecord(codeFault, instance), text)
}

// addRecord appends a record that is zero after its code and instance, and returns its bytes.
func (p *Reply) addRecord(code uint16, instance uint32) []byte {
	n := len(p.records)
	var zero [actionSize]byte
	p.records = append(p.records, zero[:]...)
	r := p.records[n:]
	littleEndian.PutUint16(r[actionCodeOffset:], code)
	littleEndian.PutUint32(r[actionInstanceOffset:], instance)
	return r
}

// addText appends a text to the tail and refers to it in the record r.
func (p *Reply) addText(r []byte, text string) {
	littleEndian.PutUint32(r[actionTextOffset:], uint32(len(p.tail)))
	littleEndian.PutUint32(r[actionTextLengthOffset:], uint32(len(text)))
	p.tail = append(p.tail, text...)
}

// WriteTo implements io.WriterTo: it writes the reply as one frame. Errors of w are wrapped in a
// FrameError.
func (p *Reply) WriteTo(w io.Writer) (int64, error) {
	var header [replyHeaderSize]byte
	littleEndian.PutUint32(header[0:], uint32(len(p.records)+len(p.tail)))
	littleEndian.PutUint32(header[4:], uint32(len(p.records)/actionSize))
	var total int64
	for _, b := range [...][]byte{header[:], p.records, p.tail} {
		n, err := w.Write(b)
		total += int64(n)
		if err != nil {
			return total, &FrameError{Part: "reply", Err: err}
		}
	}
	return total, nil
}

// toMicros converts a duration to microseconds, limited to the range of a uint32.
func toMicros(d time.Duration) uint32 {
	return uint32(min(max(d/time.Microsecond, 0), math.MaxUint32))
}

func toByte(v bool) byte {
	if v {
		return 1
	}
	return 0
}
