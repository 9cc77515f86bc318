package balance

import "ryepaddle/internal/simulator/virtualclock"

// Choice is how a server is chosen among those that are willing.
type Choice string

// Choices are all ways of choosing.
var Choices = []Choice{Round, Least, Two, Weighted, Told, Hash, Fastest}

// Retry is what follows a try that brought no result.
type Retry string

// Habit is how a balancer behaves. Times are microseconds.
type Habit struct {
	Choose Choice
	Retry  Retry
	Tries  int     // of Bounded, in all
	Budget float64 // of Bounded: retries for each first try; 0: no such bound
	Pause  int64   // before the list is gone through once more, and between bounded tries
	// the share of the class's deadline that one try waits; 1: as long as the client
	Patience   float64
	CopyAfter  int64 // a safe request that is slow gets a second copy then; 0: none
	Heeds      bool  // the free value, advice to stay away and the wish not to try elsewhere
	CreditLife int64 // how long the free value is remembered
	CheckEvery int64 // 0: no health checks
	EjectAfter int   // failures in a row after which a server is avoided; 0: never
	EjectFor   int64
	Throttle   float64 // keeps requests back when fewer than one in so many is taken; 0: never
	Subset     int     // how many servers it keeps to; 0: all
	Stick      bool    // a keyed request whose try may have run goes to the same server again
}

// Request is one first try.
type Request struct {
	ID       uint64
	Key      uint64 // of Hash
	Safe     bool
	Keyed    bool
	Deadline int64 // how long its client waits in all
}

// Kind is how a try was answered.
type Kind uint8

// Answer is what came back of a try.
type Answer struct {
	Kind     Kind
	ComeBack int64   // of Refused: advice to stay away
	Last     bool    // of Refused: the wish that nobody else is tried
	Pressure float64 // the free value; negative: none came
}

// End is how a first try ended for its client.
type End uint8

// Try is one try of a request at a server.
type Try struct {
	Request *Request
	Server  int
	No      int // from 0
	Sent    int64
	Copy    bool
	p       *pending
	timer   virtualclock.Timer
	over    bool
}

// Wire carries out what a balancer decides. It reports back through Answered and Checked, never
// from within a call.
type Wire interface {
	Send(t *Try)
	Abort(t *Try) // nobody waits for this try any more; nothing need be reported of it
	Check(server int)
	Finish(r *Request, e End, by *Try) // by: the try that served it
}

// Draw gives a number from 0 to under 1 that depends on nothing but what it is asked for, so that
// two runs of a day draw alike whatever else differs between them.
type Draw func(request uint64, no, what int) float64
