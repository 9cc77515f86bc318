package admission

import "time"

// Idempotency says what running a request twice would do.
type Idempotency uint8

// The three kinds of effect.
const (
	Idempotent        Idempotency = iota // may be repeated freely
	IdempotentWithKey                    // may arrive again within Class.IdempotencyWindow and must run once
	NonIdempotent                        // must never run twice; never reused
)

// CreditMode says how callers read the value of an Advertise action.
type CreditMode uint8

// The forms of the advertised value.
const (
	CreditNone          CreditMode = iota // callers read no value; advertising is a fault
	CreditRankThreshold                   // callers keep back requests ranked below the value
	// requests that each caller may have outstanding here; fractions by chance
	CreditPerCaller
	// probability, 0 to 1, that a caller does not pass this server over
	CreditWeight
)

// CancelMode says whether running work can be stopped.
type CancelMode uint8

// The ways of stopping.
const (
	CancelNone    CancelMode = iota // it cannot; stopping is a fault
	CancelDiscard                   // work done so far is lost
	CancelSuspend                   // work keeps its progress and its memory until started again
)

// Dependency says what requests call while they run.
type Dependency uint8

// The kinds of dependency.
const (
	DependencyNone   Dependency = iota
	DependencyShared            // one system that all servers of the fleet share
	DependencyTier              // a further tier of servers, reached through a balancer
)

// ClassIndex describes one class of requests.
type Class struct {
	Name                   string
	LatencyObjective       time.Duration // the aim: answers within it, from the first try, earn full worth
	ObjectiveWorkFactor    float64       // the aim grows by this multiple of the request's own work
	Timeout                time.Duration // how long a client waits in all
	IdempotencyWindow      time.Duration // IdempotentWithKey: how long after arrival a request may arrive again
	Idempotency            Idempotency
	PriorityWeight         float64
	LateWeightFraction     float64 // fraction of the worth after the aim and before the deadline
	CallsDependency        bool    // requests of the class may call the dependency
	DegradedWeightFraction float64 // fraction of the worth earned when a call is left out; 0 forbids it
	Removed                bool    // it is there for what is open of it; see Settings.MergeClasses
}

// Tenant is one customer that shares the fleet.
type Tenant struct {
	Name      string
	QuotaRate float64 // requests a second inside its share, over all servers
}

// Settings is what a server is told when it starts. The zero value of a field means that it was not
// told, unless New reports it as missing.
type Settings struct {
	Classes []Class
	Tenants []Tenant

	Servers   int  // servers of this tier at start
	Callers   int  // callers of this tier at start
	WarmingUp bool // just started

	Cores               int
	MemoryKB            float64
	RunningMemoryFactor float64 // memory of a running request over that of a held one
	KeyMemoryKB         float64 // memory of a remembered key
	ResultMaxAge        time.Duration
	Cancel              CancelMode
	CreditMode          CreditMode
	CreditLifetime      time.Duration // how long callers remember the advertised value

	Dependency Dependency
	// this server's share of the calls that the shared dependency outlives, as a mean
	CallQuota                 float64
	CallQuotaWindow           time.Duration // the time over which that mean is taken
	AbandonedCallTime         time.Duration // longest stay of an abandoned call in the dependency's hands
	DeepHealthChecks          bool
	ReportsAbandoned          bool
	MarksRetries              bool
	EndpointListFollowsHealth bool // the callers' server list follows health answers
	IdleConnectionTimeout     time.Duration
	MaxRetryAfter             time.Duration // longest advice to stay away that callers observe
	NoRetryAfter              bool          // such advice is not passed on
	// HandshakeCost is what a new connection takes off the result, in parts of the worth asked
	// for.
	HandshakeCost   float64
	WeightPerWork   bool    // worth is counted per unit of work, not per request
	OverQuotaWeight float64 // worth of a request beyond its tenant's share

	DeadlineGrace time.Duration // grace after a due time in which an answer still counts
	// requests that arrive later than this after the drain notice must not start
	DrainGrace time.Duration
	// requests on the cores, per core, that a warm server outlives as a mean
	MaxRunningPerCore  float64
	MaxRunningWindow   time.Duration // the time over which that mean is taken
	WarmUpInitialShare float64       // a cold server starts at no less than this share of its speed
	WarmUpTime         time.Duration // and is warm within this time

	Parameters Parameters // of the module itself; the zero value stands for DefaultParameters
}

// EventKind names what happened.
type EventKind uint8

// The events that the host reports.
const (
	EventNone          EventKind = iota
	EventRequest                 // a request was read into the hold; it is owed exactly one answer
	EventCompleted               // a run or a reuse ended
	EventBlocked                 // a running request waits for a call to be placed, omitted or failed
	EventCallCompleted           // a call ended
	EventAbandoned               // nobody waits for this request any longer
	EventDrain                   // the server leaves; it is stopped at Event.Deadline
	EventTimer                   // a timer is due; carries the gauges
)

// Outcome is how a run or a call ended.
type Outcome uint8

// The outcomes. Full, Unreachable and Moot prove that nothing ran.
const (
	OutcomeUnknown Outcome = iota
	OutcomeOK
	OutcomeFailed
	OutcomeRejected
	OutcomeTimedOut
	OutcomeUnreachable
	OutcomeConnectionLost
	OutcomeCancelled
	OutcomeNeverStarted
)

// Gauges are the server's own measurements. A gauge that the host does not have is NaN.
type Gauges struct {
	CPU         float64 // busy fraction of the cores over the last half second
	Runnable    float64 // everything that wants a core now
	Memory      float64 // fraction in use
	Connections float64
}

// Event is one thing that happened. Only the fields of its kind are read.
type Event struct {
	Kind    EventKind
	Request uint64

	// EventRequest.
	Class  int
	Tenant int
	Caller uint32
	// when the caller stops waiting, or, for EventDrain, when the process is stopped; 0: not told
	Deadline      time.Duration
	ExpectedWork  time.Duration // expected work on a standard core; 0: not told
	SizeKB        float64
	Rank          float64 // position by worth, 0 to under 1
	Key           uint64  // subject of the request; 0: none
	Write         bool    // it changes something, so that its result is not shared
	Retry         bool    // a further try or a second copy
	QueueingDelay time.Duration
	PriorRequest  uint64 // the kept request that this one repeats; 0: none

	// EventCompleted, EventCallCompleted.
	Outcome Outcome
	Elapsed time.Duration

	// EventTimer.
	Token  uint64
	Gauges Gauges
}

// ActionKind names what the host is to do.
type ActionKind uint8

// The actions.
const (
	ActionNone        ActionKind = iota
	ActionStart                  // run a held request
	ActionReject                 // final answer: turned away, never ran
	ActionFail                   // final answer: an error, without a promise
	ActionCancel                 // stop running work
	ActionPlaceCall              // place the call that the request waits for
	ActionOmitCall               // go on without the call
	ActionRememberKey            // remember the request's key for Action.Duration
	ActionForgetKey              // drop the remembered key
	ActionReuseResult            // answer with the result of the request that this one repeats
	ActionSetHealth              // answer health checks with Action.Healthy
	ActionAdvertise              // send Action.Value with every answer
	ActionCloseIdle              // close connections idle for Action.Duration
	ActionTimer                  // report EventTimer with Action.Token after Action.Duration
	ActionLog                    // add Action.Text to the log
)

// Cause is why a request is answered without a result.
type Cause uint8

// The causes. Value and Limit of the action are what was compared at that moment, in the unit that
// is named here.
const (
	CauseNone Cause = iota
	// it arrived after the drain's grace; seconds since the drain began, and the grace
	CauseDraining
	CauseMemory // no memory to hold it; kB
	// its due time is over or too near when it is read; seconds left, and the least
	CauseDeadlineTooNear
	CauseCallQueue            // too many wait for calls; seconds in line, and what is borne
	CauseQueueingDelay        // queueing delay is past what is borne; seconds
	CauseObjectiveUnreachable // held so long that its aim is out of reach
	// beyond its tenant's share while there is a queue; seconds of delay, and the target
	CauseQuota
	CauseKeyMemory      // no memory for another key; kB
	CauseDeadlinePassed // its due time came while it was held or ran
	CauseCallFailed     // its call failed, and there is no answer without it
	CauseCancelled      // its run was stopped
)

// Action is one thing for the host to do, in the order written.
type Action struct {
	Kind     ActionKind
	Request  uint64
	Duration time.Duration // advice to stay away, patience, lifetime or delay
	NoRetry  bool          // ActionReject: ask the caller not to try elsewhere
	Static   bool          // ActionSetHealth: answer checks from this setting alone
	Healthy  bool
	Value    float64
	Token    uint64
	Text     string
	Cause    Cause   // ActionReject, ActionFail
	Limit    float64 // beside Value, of the cause
}

// neverRan reports whether the outcome proves that nothing ran.
func (o Outcome) neverRan() bool {
	return o == OutcomeRejected || o == OutcomeUnreachable || o == OutcomeNeverStarted
}
