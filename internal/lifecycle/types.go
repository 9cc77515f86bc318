package lifecycle

import (
	"math"
	"time"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/wallclock"
)

// Status is how a request was answered.
type Status uint8

// The kinds of answer.
const (
	Served     Status = iota + 1 // with the result of a run
	Rejected                     // this try never ran
	Failed                       // no promise
	Expired                      // failed for want of time
	Conflict                     // failed, as it names what belongs to another request; Reason says how
	NotFound                     // failed, as whoever runs requests knows of none like it
	ResultLost                   // it repeats one that ran, and whose result is not to be had any more
)

// Field is one named value that goes with a result.
type Field struct{ Name, Value string }

// Result is what a run made.
type Result struct {
	Status        int // of the server that made it; 200 for the engine's
	Fields        []Field
	Body          []byte // of one that streams: its first part
	ContentLength int64  // of a body that streams; negative: it is not known
	Stream        Stream // nil: the body is whole
}

// Upload is the rest of a body that is still coming.
type Upload interface {
	Attach(UploadConsumer) // names who takes it; from then on the request is spent
	SetBacklog(n int)      // tells how much of it the taker has not been rid of
	Detach()               // nobody takes it any more
}

// UploadConsumer takes the rest of a body.
type UploadConsumer interface{ ConsumeBody(part []byte) }

// Stream is the rest of a result that is still coming.
type Stream interface {
	// Attach names who takes the rest. It is called from within Answer, or never.
	Attach(StreamConsumer)
	// Pause has the rest wait, or go on.
	Pause(on bool)
	// Cancel tells that nobody takes the rest any more.
	Cancel()
}

// StreamConsumer takes the rest of a result. Finished or Cut comes once, last, unless the stream was
// cancelled.
type StreamConsumer interface {
	Consume(part []byte)
	Completed()
	Truncated() // it will not be whole, and must not look so
}

// Answer is the one final answer to a request.
type Answer struct {
	Status     Status
	Result     *Result       // of Served
	RetryAfter time.Duration // of Refused: how long to stay away; 0: the settings allow no such advice
	DoNotRetry bool          // of Refused: the wish that nobody else is tried
	Reason     Reason        // of Misused, and of Failed in doubt
}

// Reason is how a request was misused.
type Reason uint8

// The reasons.
const (
	DuplicateID Reason = iota + 1 // another request by its name is open
	KeyReused                     // its key stands for another body
	// of Failed: it repeats one that had begun when the program ended, and may have run
	InDoubt
)

func (r Reason) String() string {
	return map[Reason]string{DuplicateID: "a request by this id is open", KeyReused: "the dedupe key stands for another body",
		InDoubt: "it had begun before a restart, and may have run"}[r]
}

// Responder gets the answer to a request, once, unless the request was abandoned before.
type Responder interface{ Answer(Answer) }

// Request is what a front hands in.
type Request struct {
	ID            string // unique among the requests that are open
	Class         int
	Tenant        int // NoTenant: nobody's
	Caller        uint32
	ArrivedAt     wallclock.UnixMicro // Unix time at which it reached the machine
	Timeout       time.Duration       // how long after that its caller waits; 0: the class's deadline
	FirstSentAt   wallclock.UnixMicro // Unix time at which its caller asked for it first; 0: not known
	SizeKB        float64
	Rank          float64
	Key           string // dedupe key; needed in keyed classes
	Entity        uint64
	TraceParent   string // where it stands in its caller's trace, as that says
	Body          []byte
	Metadata      []Field // what the front read beside the body, for back ends that pass it on
	AcceptsStream bool    // its front takes results that are still coming
	Upload        Upload  // what follows Body and is still coming; nil: Body is whole
	ContentLength int64   // of the whole body, where Rest is not nil
	BodyConsumed  bool    // a server has begun to take the rest, which cannot be had again
	Responder     Responder
}

// Outcome is how an attempt or a call ended.
type Outcome uint8

// The outcomes. NotStarted, CallRejected, Unreachable and Unknown prove that nothing ran.
const (
	Succeeded      Outcome = iota + 1
	Faulted                // it failed
	Interrupted            // it was cut off and may have had its effect
	TimedOut               // likewise
	Canceled               // it ended because its request is over
	NotStarted             // nothing was started
	CallRejected           // the call was turned away
	Unreachable            // nobody took it
	UnknownRequest         // whoever runs requests has none like this: it is nobody's
)

// Attempt is one try to run a request on a back end.
type Attempt struct {
	Request    *Request
	Class      string
	Deadline   time.Duration // monotonic time at which its answer is worth nothing
	Objective  time.Duration // and after which it is worth less; 0: nobody knows how old it is
	Idempotent bool          // it may be sent again
	Server     string        // which server took it, for back ends that have several
	Previous   *Attempt      // the try before it, which failed
	// Cause it was not run, if its runner knows better than the outcome tells, with what was
	// compared.
	Cause        Cause
	Value, Limit float64
	id           uint64
	runner       Runner // where it was sent: routes may change while it runs
	over         bool
	pending      bool // it is not handed to its runner yet
}

// Tried tells whether a server has had one of the tries of this request.
func (a *Attempt) Tried(server string) bool {
	for b := a.Previous; b != nil; b = b.Previous {
		if b.Server == server {
			return true
		}
	}
	return false
}

// RetryCandidate is what is known of a request that came to nothing, when it is asked whether to try again.
type RetryCandidate struct {
	Class         int
	HasSideEffect bool          // running it twice would do harm
	NeverRan      bool          // that it never ran
	Attempts      int           // that it has had
	Remaining     time.Duration // until its answer is late
}

// Runner is a back end that runs requests. Outcomes are reported with Core.Ended, once an attempt,
// never from within Run.
type Runner interface {
	Run(a *Attempt)
	// Abandon tells that nobody waits for the attempt. Its end is still reported.
	Abandon(a *Attempt)
}

// Dependency places the calls of running requests and reports them with Core.CallEnded, never from
// within Call.
type Dependency interface {
	Call(a *Attempt, body []byte, patience time.Duration)
	// CancelCall drops a call that is out; nothing is reported of it.
	CancelCall(a *Attempt)
}

// Resumer is a Runner whose attempts make calls.
type Resumer interface {
	Runner
	Resume(a *Attempt, reply []byte)
}

// Measure are measurements of the machine; NaN stands for one that is not had.
type Gauges admission.Gauges

// UnknownGauges tells the module to go by its own counts.
func UnknownGauges() Gauges {
	return Gauges{CPU: math.NaN(), Runnable: math.NaN(), Memory: math.NaN(), Connections: math.NaN()}
}
