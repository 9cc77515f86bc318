// Package simwire carries the bench's binary frames to and from the types of package admission. It
// decides nothing.
package simwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"ryepaddle/internal/admission"
)

// Sizes of the fixed parts of a frame.
const (
	batchHeader = 16
	replyHeader = 8
	eventSize   = 64
	actionSize  = 24
)

// maxMicros is the longest time that a time.Duration holds, in microseconds.
const maxMicros = math.MaxInt64 / 1000

// maxBatch bounds the memory that one batch may ask for.
const maxBatch = 1 << 30

// Codes of the events.
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

// codeBroken declares that the decision code has failed.
const codeBroken = 77

// actionCodes are LAUNCH, NOT_NOW, LOSE and so on, by kind of action.
var actionCodes = [...]uint16{
	admission.ActionStart: 76, admission.ActionReject: 75, admission.ActionFail: 68, admission.ActionCancel: 72,
	admission.ActionPlaceCall: 71, admission.ActionOmitCall: 78, admission.ActionRememberKey: 79, admission.ActionForgetKey: 70,
	admission.ActionReuseResult: 73, admission.ActionSetHealth: 67, admission.ActionAdvertise: 74, admission.ActionCloseIdle: 66,
	admission.ActionTimer: 65, admission.ActionLog: 69,
}

var outcomes = map[uint16]admission.Outcome{200: admission.OutcomeOK, 502: admission.OutcomeFailed, 429: admission.OutcomeRejected,
	408: admission.OutcomeTimedOut, 521: admission.OutcomeUnreachable, 520: admission.OutcomeConnectionLost, 444: admission.OutcomeCancelled,
	409: admission.OutcomeNeverStarted}

var le = binary.LittleEndian

// Batch is one frame from the bench.
type Batch struct {
	Now     time.Duration
	records []byte
	tail    []byte
}

// Len is the number of events in the batch.
func (b *Batch) Len() int { return len(b.records) / eventSize }

// ReadBatch reads one frame, into buf where that is large enough. It returns io.EOF at the end of
// input between frames.
func ReadBatch(r io.Reader, buf []byte) (Batch, []byte, error) {
	var head [batchHeader]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, buf, io.EOF
		}
		return Batch{}, buf, fmt.Errorf("simwire: batch header: %w", err)
	}
	size, count, now := le.Uint32(head[0:]), le.Uint32(head[4:]), le.Uint64(head[8:])
	if size > maxBatch {
		return Batch{}, buf, fmt.Errorf("simwire: batch header: length %d out of range", size)
	}
	if uint64(count)*eventSize > uint64(size) {
		return Batch{}, buf, fmt.Errorf(
			"simwire: batch header: %d records do not fit in %d bytes",
			count,
			size,
		)
	}
	if now > maxMicros {
		return Batch{}, buf, fmt.Errorf("simwire: batch header: clock %d out of range", now)
	}
	if cap(buf) < int(size) {
		buf = make([]byte, size)
	}
	buf = buf[:size]
	if n, err := io.ReadFull(r, buf); err != nil {
		return Batch{}, buf, fmt.Errorf("simwire: batch: %d of %d bytes: %w", n, size, io.ErrUnexpectedEOF)
	}
	cut := int(count) * eventSize
	return Batch{Now: micros(now), records: buf[:cut], tail: buf[cut:]}, buf, nil
}

// Record is one event of a batch. Start and Killed are for the host; all others carry an Event.
type Record struct {
	Instance uint32
	Start    bool
	Killed   bool
	Seed     uint64
	Settings string
	Event    admission.Event
}

// Record decodes event i. The gauges of a timer follow names, the order that the instance was told.
func (b *Batch) Record(i int, names func(instance uint32) []Gauge) (Record, error) {
	r := b.records[i*eventSize : (i+1)*eventSize]
	rec := Record{Instance: le.Uint32(r[2:])}
	ev := &rec.Event
	ev.Request = le.Uint64(r[6:])
	switch code := le.Uint16(r); code {
	case codeNewInstance:
		rec.Start, rec.Seed = true, le.Uint64(r[6:])
		off, n := uint64(le.Uint32(r[14:])), uint64(le.Uint32(r[18:]))
		if off+n > uint64(len(b.tail)) {
			return rec, fmt.Errorf(
				"simwire: record %d: tail range %d+%d exceeds %d bytes",
				i,
				off,
				n,
				len(b.tail),
			)
		}
		rec.Settings = string(b.tail[off : off+n])
	case codeAsk:
		flags := r[47]
		ev.Kind = admission.EventRequest
		ev.Class, ev.Tenant, ev.Caller = int(r[14]), int(le.Uint32(r[15:])), le.Uint32(r[48:])
		ev.Deadline = micros(le.Uint64(r[27:]))
		if flags&1 != 0 {
			ev.ExpectedWork = micros(uint64(le.Uint32(r[35:])))
		}
		ev.SizeKB, ev.Rank = float(r[39:]), float(r[43:])
		ev.Key, ev.Retry, ev.Write = le.Uint64(r[19:]), flags&2 != 0, flags&4 != 0
		ev.QueueingDelay, ev.PriorRequest = micros(uint64(le.Uint32(r[52:]))), le.Uint64(r[56:])
	case codeRunOver:
		ev.Kind, ev.Outcome, ev.Elapsed = admission.EventCompleted, outcomes[le.Uint16(r[14:])], micros(
			uint64(le.Uint32(r[16:])),
		)
	case codeBlocked:
		ev.Kind = admission.EventBlocked
	case codeDownstream:
		ev.Kind, ev.Elapsed, ev.Outcome = admission.EventCallCompleted, micros(
			uint64(le.Uint32(r[14:])),
		), outcomes[le.Uint16(r[18:])]
	case codeSigterm:
		ev.Kind, ev.Deadline = admission.EventDrain, micros(le.Uint64(r[6:]))
	case codeHangup:
		ev.Kind = admission.EventAbandoned
	case codeWakeup:
		ev.Kind, ev.Token = admission.EventTimer, le.Uint64(r[6:])
		n := int(r[14])
		if 15+4*n > eventSize {
			return rec, fmt.Errorf("simwire: record %d: %d gauges exceed the record", i, n)
		}
		ev.Gauges = readGauges(r[15:15+4*n], names(rec.Instance))
	case codeKilled:
		rec.Killed = true
	default:
		return rec, fmt.Errorf("simwire: record %d: unknown event code %d", i, code)
	}
	return rec, nil
}

func readGauges(b []byte, names []Gauge) admission.Gauges {
	values := make([]float64, 0, 4)
	for ; len(b) >= 4; b = b[4:] {
		values = append(values, float(b))
	}
	return ArrangeGauges(values, names)
}

// ArrangeGauges puts values that come in the order of names in their places. A gauge without a value
// is NaN.
func ArrangeGauges(values []float64, names []Gauge) admission.Gauges {
	nan := math.NaN()
	g := admission.Gauges{CPU: nan, Runnable: nan, Memory: nan, Connections: nan}
	for i := range min(len(names), len(values)) {
		v := values[i]
		switch names[i] {
		case gaugeCPU:
			g.CPU = v
		case gaugeRunnable:
			g.Runnable = v
		case gaugeMemory:
			g.Memory = v
		case gaugeConnections:
			g.Connections = v
		}
	}
	return g
}

func micros(v uint64) time.Duration {
	return time.Duration(min(v, maxMicros)) * time.Microsecond
}

func float(b []byte) float64 { return float64(math.Float32frombits(le.Uint32(b))) }

// Reply collects the actions that answer one batch.
type Reply struct {
	records []byte
	tail    []byte
}

// Reset empties the reply for the next batch.
func (p *Reply) Reset() { p.records, p.tail = p.records[:0], p.tail[:0] }

// Add appends an instance's action.
func (p *Reply) Add(instance uint32, a *admission.Action) {
	r := p.record(actionCodes[a.Kind], instance)
	le.PutUint64(r[6:], a.Request)
	switch a.Kind {
	case admission.ActionReject:
		le.PutUint32(r[14:], span(a.Duration))
		r[18] = bit(a.NoRetry)
	case admission.ActionPlaceCall, admission.ActionRememberKey:
		le.PutUint32(r[14:], span(a.Duration))
	case admission.ActionSetHealth:
		le.PutUint64(r[6:], 0)
		r[6], r[7] = bit(a.Static), bit(a.Healthy)
	case admission.ActionAdvertise:
		le.PutUint64(r[6:], uint64(math.Float32bits(float32(a.Value))))
	case admission.ActionCloseIdle:
		le.PutUint64(r[6:], uint64(span(a.Duration)))
	case admission.ActionTimer:
		le.PutUint64(r[6:], a.Token)
		le.PutUint32(r[14:], span(a.Duration))
	case admission.ActionLog:
		p.text(r, a.Text)
	}
}

// Fault reports that an instance's decision code has failed.
func (p *Reply) Fault(instance uint32, text string) {
	p.text(p.record(codeBroken, instance), text)
}

func (p *Reply) record(code uint16, instance uint32) []byte {
	n := len(p.records)
	var zero [actionSize]byte
	p.records = append(p.records, zero[:]...)
	r := p.records[n:]
	le.PutUint16(r, code)
	le.PutUint32(r[2:], instance)
	return r
}

func (p *Reply) text(r []byte, s string) {
	le.PutUint32(r[6:], uint32(len(p.tail)))
	le.PutUint32(r[10:], uint32(len(s)))
	p.tail = append(p.tail, s...)
}

// WriteTo writes the reply as one frame.
func (p *Reply) WriteTo(w io.Writer) (int64, error) {
	var head [replyHeader]byte
	le.PutUint32(head[0:], uint32(len(p.records)+len(p.tail)))
	le.PutUint32(head[4:], uint32(len(p.records)/actionSize))
	var total int64
	for _, b := range [...][]byte{head[:], p.records, p.tail} {
		n, err := w.Write(b)
		total += int64(n)
		if err != nil {
			return total, fmt.Errorf("simwire: reply: %w", err)
		}
	}
	return total, nil
}

func span(d time.Duration) uint32 {
	return uint32(min(max(d/time.Microsecond, 0), math.MaxUint32))
}

func bit(v bool) byte {
	if v {
		return 1
	}
	return 0
}
