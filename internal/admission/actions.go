package admission

import "time"

// ActionKind says what the host has to do.
type ActionKind uint8

// The kinds of actions.
const (
	ActionNone        ActionKind = iota
	ActionStart                  // run a queued request
	ActionReject                 // final answer: rejected, it never ran
	ActionFail                   // final answer: an error; the request may have run
	ActionCancel                 // cancel a run
	ActionPlaceCall              // place the call that the run waits for, with Duration as its timeout
	ActionOmitCall               // continue the run without its call
	ActionRememberKey            // remember the request's key for Duration
	ActionForgetKey              // drop the remembered key
	ActionReuseResult            // answer with the result of the request that this one repeats
	ActionSetHealth              // set the answer to health checks to Healthy
	ActionAdvertise              // send Value with every answer, in the form of Settings.CreditMode
	ActionCloseIdle              // close connections that are idle for Duration
	ActionTimer                  // report EventTimer with Token after Duration
	ActionLog                    // write Text to the log
)

// Cause is why a request is answered without a result. The comment of a cause that sets Action.Value
// and Action.Limit ends with their unit or meaning.
type Cause uint8

// The causes.
const (
	CauseNone                 Cause = iota
	CauseDraining                   // arrived after Settings.DrainGrace; seconds since the drain began
	CauseMemory                     // no memory to queue it; kB
	CauseDeadlineTooNear            // its deadline was too near when it was read; seconds left
	CauseCallQueue                  // too many requests wait for calls; seconds of estimated wait
	CauseQueueingDelay              // its queueing delay is past the limit; seconds
	CauseObjectiveUnreachable       // its latency objective or deadline cannot be met any more
	CauseQuota                      // beyond its tenant's quota; seconds of queueing delay
	CauseKeyMemory                  // no memory for its idempotency key; kB
	CauseDeadlinePassed             // its deadline came after it left its queue, or overload ended its run
	CauseCallFailed                 // its call failed, and there is no answer without it
	CauseCancelled                  // its run was cancelled
)

// Action is one thing that the host has to do. The host carries out actions in the order in which
// Handle returns them.
type Action struct {
	Kind     ActionKind
	Request  uint64
	Duration time.Duration // ActionReject: Retry-After; for other kinds see ActionKind
	NoRetry  bool          // ActionReject: ask the caller not to retry elsewhere
	Static   bool          // ActionSetHealth: answer health checks by Healthy alone
	Healthy  bool          // ActionSetHealth
	Value    float64       // ActionAdvertise: the credit; ActionReject, ActionFail: the measured value
	Token    uint64        // ActionTimer
	Text     string        // ActionLog
	Cause    Cause         // ActionReject, ActionFail
	Limit    float64       // ActionReject, ActionFail: what Value was compared with
}
