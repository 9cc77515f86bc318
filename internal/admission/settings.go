package admission

import "time"

// Idempotency says what running a request twice would do.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent        Idempotency = iota // it may run any number of times
	IdempotentWithKey                    // it runs once in Class.IdempotencyWindow
	NonIdempotent                        // it never runs twice, and its result is never reused
)

// CreditMode says how callers read the value of ActionAdvertise.
type CreditMode uint8

// The forms of the advertised credit.
const (
	CreditNone          CreditMode = iota // callers read no value, and none may be advertised
	CreditRankThreshold                   // callers do not send requests of a lower Event.Rank
	CreditPerCaller                       // requests in flight for each caller; a fraction is a probability
	CreditWeight                          // probability, 0 to 1, with which a caller picks this server
)

// CancelMode says what becomes of a run that is cancelled.
type CancelMode uint8

// The kinds of cancellation.
const (
	CancelNone    CancelMode = iota // runs cannot be cancelled
	CancelDiscard                   // the work done so far is lost
	CancelSuspend                   // the run keeps its progress and memory until it starts again
)

// Dependency says which kind of service requests call while they run.
type Dependency uint8

// The kinds of dependency.
const (
	DependencyNone   Dependency = iota
	DependencyShared            // one system that all servers of the fleet share
	DependencyTier              // a further tier of servers behind a load balancer
)

// Class describes one class of requests.
type Class struct {
	Name string
	// LatencyObjective is the time from the first attempt within which an answer earns the full
	// weight.
	LatencyObjective time.Duration
	// ObjectiveWorkFactor times a request's own expected work is added to its objective.
	ObjectiveWorkFactor float64
	// Timeout is how long a client waits in total. It sets the deadline of requests without one.
	Timeout time.Duration
	// IdempotencyWindow is how long after the arrival of a request others with the same key may
	// arrive, and be recognized as repeats of it. It applies to IdempotentWithKey.
	IdempotencyWindow time.Duration
	Idempotency       Idempotency
	// PriorityWeight is the value of an answer relative to those of other classes.
	PriorityWeight float64
	// LateWeightFraction is the fraction of the weight that an answer earns between the objective
	// and the deadline.
	LateWeightFraction float64
	// CallsDependency says whether requests of the class may call the dependency.
	CallsDependency bool
	// DegradedWeightFraction is the fraction of the weight that an answer earns without its call; 0:
	// there is no answer without it.
	DegradedWeightFraction float64
	// Removed marks a class that is no longer configured and remains for its open requests; see
	// Settings.MergeClasses.
	Removed bool
}

// Tenant is one customer of the fleet.
type Tenant struct {
	Name      string
	QuotaRate float64 // quota in requests per second, over all servers; 0: no quota
}

// Settings describes the server, its callers and its dependency. The zero value of a field means that
// it is unknown, unless Validate reports it as missing.
type Settings struct {
	Classes []Class
	Tenants []Tenant

	Servers   int  // servers of this tier at the start
	Callers   int  // callers of this tier at the start
	WarmingUp bool // the process has just started

	Cores               int
	MemoryKB            float64
	RunningMemoryFactor float64 // memory of a running request over that of a queued one
	KeyMemoryKB         float64 // memory of a remembered key
	ResultMaxAge        time.Duration
	Cancel              CancelMode
	CreditMode          CreditMode
	CreditLifetime      time.Duration // how long callers remember the advertised credit

	Dependency Dependency
	// CallQuota is this server's share of the calls in flight that the shared dependency can take,
	// as a mean over CallQuotaWindow.
	CallQuota                 float64
	CallQuotaWindow           time.Duration
	AbandonedCallTime         time.Duration // longest time for which the dependency works on an abandoned call
	DeepHealthChecks          bool
	ReportsAbandoned          bool // the host reports EventAbandoned
	MarksRetries              bool // callers set Event.Retry
	EndpointListFollowsHealth bool // callers drop servers whose health checks fail
	IdleConnectionTimeout     time.Duration
	MaxRetryAfter             time.Duration // the longest Retry-After that callers observe
	NoRetryAfter              bool          // Retry-After is not passed on
	// HandshakeCost is the cost of a new connection, as a fraction of the priority weight of all
	// requests.
	HandshakeCost   float64
	WeightPerWork   bool    // priority weights count for each unit of work, not for each request
	OverQuotaWeight float64 // weight of a request beyond its tenant's quota

	DeadlineGrace time.Duration // time after a deadline in which an answer still counts
	// DrainGrace is the time from the start of a drain in which arrivals may still start.
	DrainGrace time.Duration
	// MaxRunningPerCore is the number of running requests per core, as a mean over MaxRunningWindow,
	// that a server can take once it is warm.
	MaxRunningPerCore  float64
	MaxRunningWindow   time.Duration
	WarmUpInitialShare float64       // speed at the start, as a share of the full speed
	WarmUpTime         time.Duration // time until the full speed

	Parameters Parameters // of the controller's decisions; the zero value stands for DefaultParameters
}
