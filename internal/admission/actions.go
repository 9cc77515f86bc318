package admission

import "time"

// ActionKind names what the host is to do.
type ActionKind uint8

// The actions.
const (
	ActionNone        ActionKind = iota
	ActionStart                  // run a queued request
	ActionReject                 // final answer: rejected, it never ran
	ActionFail                   // final answer: an error, without a promise of whether it ran
	ActionCancel                 // cancel a run
	ActionPlaceCall              // place the awaited call, which ends after Duration
	ActionOmitCall               // go on without the call
	ActionRememberKey            // remember the request's key for Duration
	ActionForgetKey              // drop the remembered key
	ActionReuseResult            // answer with the result of the request that this one repeats
	ActionSetHealth              // answer health checks with Healthy
	ActionAdvertise              // send Value with every answer, in the form of Settings.CreditMode
	ActionCloseIdle              // close connections that are idle for Duration
	ActionTimer                  // report EventTimer with Token after Duration
	ActionLog                    // write Text to the log
)

// Cause is why a request is answered without a result. The comments name what Action.Value and
// Action.Limit hold.
type Cause uint8

// The causes.
const (
	CauseNone                 Cause = iota
	CauseDraining                   // arrived after the drain's grace; seconds since its begin
	CauseMemory                     // no memory to queue it; kB
	CauseDeadlineTooNear            // its deadline was too near when it was read; seconds left
	CauseCallQueue                  // too many wait for calls; seconds of expected wait
	CauseQueueingDelay              // queueing delay is past what is accepted; seconds
	CauseObjectiveUnreachable       // its latency objective cannot be met any more
	CauseQuota                      // beyond its tenant's quota; seconds of queueing delay
	CauseKeyMemory                  // no memory for its idempotency key; kB
	CauseDeadlinePassed             // its deadline came while it was queued or ran
	CauseCallFailed                 // its call failed, and there is no answer without it
	CauseCancelled                  // its run was cancelled
)

// Action is one thing for the host to do, in the order written.
type Action struct {
	Kind     ActionKind
	Request  uint64
	Duration time.Duration // ActionReject: Retry-After; see the other kinds
	NoRetry  bool          // ActionReject: ask the caller not to retry elsewhere
	Static   bool          // ActionSetHealth: answer checks from this setting alone
	Healthy  bool          // ActionSetHealth
	Value    float64       // ActionAdvertise; ActionReject, ActionFail: what the cause measured
	Token    uint64        // ActionTimer
	Text     string        // ActionLog
	Cause    Cause         // ActionReject, ActionFail
	Limit    float64       // ActionReject, ActionFail: what Value was compared with
}
