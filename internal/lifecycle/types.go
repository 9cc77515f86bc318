package lifecycle

import (
	"math"

	"ryepaddle/internal/admission"
)

// Kind is how a request was answered.
type Kind uint8

// The kinds of answer.
const (
	Served  Kind = iota + 1 // with the result of a run
	Refused                 // this try never ran
	Failed                  // no promise
	Late                    // failed for want of time
	Misused                 // failed, as it names what belongs to another request; Reason says how
	Foreign                 // failed, as whoever runs requests knows of none like it
	Ran                     // it repeats one that ran, and whose result is not to be had any more
)

// Field is one named value that goes with a result.
type Field struct{ Name, Value string }

// Result is what a run made.
type Result struct {
	Status int // of the server that made it; 200 for the engine's
	Fields []Field
	Body   []byte // of one that streams: its first part
	Length int64  // of a body that streams; negative: it is not known
	Rest   Stream // nil: the body is whole
}

// Upload is the rest of a body that is still coming.
type Upload interface {
	Attach(UploadTaker) // names who takes it; from then on the request is spent
	Untaken(n int)      // tells how much of it the taker has not been rid of
	Detach()            // nobody takes it any more
}

// UploadTaker takes the rest of a body.
type UploadTaker interface{ TakeBody(part []byte) }

// Stream is the rest of a result that is still coming.
type Stream interface {
	// Attach names who takes the rest. It is called from within Answer, or never.
	Attach(Taker)
	// Wait has the rest wait, or go on.
	Wait(on bool)
	// Cancel tells that nobody takes the rest any more.
	Cancel()
}

// Taker takes the rest of a result. Finished or Cut comes once, last, unless the stream was
// cancelled.
type Taker interface {
	Take(part []byte)
	Finished()
	Cut() // it will not be whole, and must not look so
}

// Answer is the one final answer to a request.
type Answer struct {
	Kind     Kind
	Result   *Result // of Served
	ComeBack int64   // of Refused: how long to stay away; 0: the settings allow no such advice
	Last     bool    // of Refused: the wish that nobody else is tried
	Reason   Reason  // of Misused, and of Failed in doubt
}

// Reason is how a request was misused.
type Reason uint8

// The reasons.
const (
	NameOpen Reason = iota + 1 // another request by its name is open
	KeyTaken                   // its key stands for another body
	// of Failed: it repeats one that had begun when the program ended, and may have run
	InDoubt
)

func (r Reason) String() string {
	return map[Reason]string{NameOpen: "a request by this id is open", KeyTaken: "the dedupe key stands for another body",
		InDoubt: "it had begun before a restart, and may have run"}[r]
}

// Asker gets the answer to a request, once, unless the request was abandoned before.
type Asker interface{ Answer(Answer) }

// Request is what a front hands in.
type Request struct {
	Name    string // unique among the requests that are open
	Class   int
	Tenant  int // NoTenant: nobody's
	Caller  uint32
	Arrived int64 // Unix time at which it reached the machine
	Due     int64 // how long after that its caller waits; 0: the class's deadline
	First   int64 // Unix time at which its caller asked for it first; 0: not known
	SizeKB  float64
	Rank    float64
	Key     string // dedupe key; needed in keyed classes
	Subject uint64
	Trace   string // where it stands in its caller's trace, as that says
	Body    []byte
	Meta    []Field // what the front read beside the body, for back ends that pass it on
	Streams bool    // its front takes results that are still coming
	Rest    Upload  // what follows Body and is still coming; nil: Body is whole
	Length  int64   // of the whole body, where Rest is not nil
	Spent   bool    // a server has begun to take the rest, which cannot be had again
	Asker   Asker
}

// Outcome is how an attempt or a call ended.
type Outcome uint8

// The outcomes. NotRun, TurnedAway, Unreachable and Unknown prove that nothing ran.
const (
	Fine        Outcome = iota + 1
	Fault               // it failed
	Broken              // it was cut off and may have had its effect
	TimedOut            // likewise
	Stopped             // it ended because its request is over
	NotRun              // nothing was started
	TurnedAway          // the call was turned away
	Unreachable         // nobody took it
	Unknown             // whoever runs requests has none like this: it is nobody's
)

// Attempt is one try to run a request on a back end.
type Attempt struct {
	Request *Request
	Class   string
	Due     int64    // monotonic time at which its answer is worth nothing
	Aim     int64    // and after which it is worth less; 0: nobody knows how old it is
	Safe    bool     // it may be sent again
	Server  string   // which server took it, for back ends that have several
	Before  *Attempt // the try before it, which failed
	// Why it was not run, if its runner knows better than the outcome tells, with what was
	// compared.
	Why          Cause
	Value, Limit float64
	id           uint64
	runner       Runner // where it was sent: routes may change while it runs
	over         bool
	pending      bool // it is not handed to its runner yet
}

// Tried tells whether a server has had one of the tries of this request.
func (a *Attempt) Tried(server string) bool {
	for b := a.Before; b != nil; b = b.Before {
		if b.Server == server {
			return true
		}
	}
	return false
}

// Try is what is known of a request that came to nothing, when it is asked whether to try again.
type Try struct {
	Class  int
	Effect bool  // running it twice would do harm
	Proven bool  // that it never ran
	Tries  int   // that it has had
	Left   int64 // microseconds until its answer is late
}

// Runner is a back end that runs requests. Outcomes are reported with Core.Ended, once an attempt,
// never from within Run.
type Runner interface {
	Run(a *Attempt)
	// Abandon tells that nobody waits for the attempt. Its end is still reported.
	Abandon(a *Attempt)
}

// Dependency places the calls of running requests and reports them with Core.Called, never from
// within Call.
type Dependency interface {
	Call(a *Attempt, body []byte, patience int64)
	// GiveUp drops a call that is out; nothing is reported of it.
	GiveUp(a *Attempt)
}

// Resumer is a Runner whose attempts make calls.
type Resumer interface {
	Runner
	Resume(a *Attempt, reply []byte)
}

// Gauges are measurements of the machine; NaN stands for one that is not had.
type Gauges admission.Gauges

// NoGauges tells the module to go by its own counts.
func NoGauges() Gauges {
	return Gauges{CPU: math.NaN(), Runnable: math.NaN(), Memory: math.NaN(), Connections: math.NaN()}
}
