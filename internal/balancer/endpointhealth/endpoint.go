package endpointhealth

import "fmt"

// State is what a server is taken for.
type State uint8

// The states.
const (
	Listed    State = iota + 1 // known, and nothing more
	Checking                   // it gets work once checks of it go well
	WarmingUp                  // new, or back: it gets a part that grows
	InService                  // it gets its whole part
	Suspected                  // it failed lately, and still gets a part
	Ejected                    // it gets nothing
	Probing                    // its time is over: it may get one request
	Draining                   // it left the list: what is open goes on, and nothing new comes
	Gone                       // nothing of it is left
)

// States are all of them, in the order of a life.
var States = []State{Listed, Checking, WarmingUp, InService, Suspected, Ejected, Probing, Draining, Gone}

var stateNames = [...]string{
	Listed:    "listed",
	Checking:  "checking",
	WarmingUp: "warming",
	InService: "in service",
	Suspected: "suspected",
	Ejected:   "ejected",
	Probing:   "probing",
	Draining:  "draining",
	Gone:      "gone",
}

func (s State) String() string {
	if int(s) < len(stateNames) && s > 0 {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// Config is how it decides. Times are microseconds.
type Config struct {
	ConsecutiveFailures int     // in a row, after which a server is ejected
	BaseEjectionTime    int64   // the first time
	MaxEjectionTime     int64   // at the most, as it is doubled each time that one comes back and fails again
	EjectionResetAfter  int64   // in service for so long, and the next ejection is a first one again
	MaxEjectedShare     float64 // of the listed that may be ejected or probed at once
	WarmUpWindow        int64
	WarmUpMinShare      float64 // the part that a new one begins with
	MinSuspectTime      int64   // a suspicion lasts at least so long
	SuspectShare        float64 // the part of one that is suspected

	// A server is judged beside its peers once it has ended so many requests within the window of
	// the last 8 s.
	MinRequests          int
	FailureRateThreshold float64 // of its requests that may fail, whatever becomes of its peers'
	FailureRateFactor    float64 // and how many times its peers' rate that has to be
	// how many times the median latency of its peers is too slow; 0: latency is not judged
	LatencyFactor    float64
	MinLatencyExcess int64 // and by how much it has to be over it at least
	SlowIntervals    int   // looks in a row, after which a slow server is ejected

	// MaxProbeWait is how long a server waits for a request that may be risked on it. After that any
	// may probe it.
	MaxProbeWait int64
	HealthChecks HealthChecks
}

// HealthChecks are the active ones. Those that pass bring a server back, and tell nothing else: one may
// answer checks and no work.
type HealthChecks struct {
	Interval           int64 // between two of a server; 0: there are none
	UnhealthyThreshold int   // in a row, after which a server is ejected
	HealthyThreshold   int   // in a row, before one gets work
}

// DefaultConfig is what is usual.
func DefaultConfig() Config {
	return Config{
		ConsecutiveFailures:  3,
		BaseEjectionTime:     5_000_000,
		MaxEjectionTime:      60_000_000,
		EjectionResetAfter:   60_000_000,
		MaxEjectedShare:      0.5,
		WarmUpWindow:         10_000_000,
		WarmUpMinShare:       0.1,
		MinSuspectTime:       5_000_000,
		SuspectShare:         0.5,
		MinRequests:          20,
		FailureRateThreshold: 0.3,
		FailureRateFactor:    3,
		LatencyFactor:        4,
		MinLatencyExcess:     20_000,
		SlowIntervals:        3,
		MaxProbeWait:         5_000_000,
		HealthChecks:         HealthChecks{UnhealthyThreshold: 3, HealthyThreshold: 2},
	}
}

// ID names one server at one address: a server that comes back elsewhere is another.
type ID struct{ Name, Addr string }

// EndpointSpec is what the inventory says of a server.
type EndpointSpec struct {
	ID
	Zone   string
	Weight int
}

// StateChange is one change of a state.
type StateChange struct {
	Endpoint ID
	From, To State
	At       int64
	Cause    string
}

// Endpoint is what is known of one server. Its owner is the table; others read it.
type Endpoint struct {
	EndpointSpec
	State          State
	StateSince     int64
	StateCause     string
	ActiveRequests int     // requests that it has
	MeanLatency    float64 // of its answers, as a moving mean, in microseconds; 0: none yet
	Requests       uint64  // requests that ended, and of those
	Failures       uint64  // the ones that it failed
	SuccessRate    float64 // share of them that went well, as a moving mean
	LastOutcomeAt  int64   // when a request last ended that told something of it
	StateChanges   int
	Attachment     any // for whoever keeps more of it

	window  window
	fails   int // in a row
	until   int64
	times   int  // how often it was ejected after it had come back, without being forgiven
	misses  int  // probes in a row that failed
	back    bool // it has come back from an ejection
	probed  bool
	slow    int // looks in a row at which it was too slow
	checks  int // in a row that passed; negative: that failed
	nextRun int64
	checked bool // a check is out
	left    bool // it is not in the list any more
}

// EndpointList is the servers of a list. It never changes: a new list makes a new roster.
type EndpointList struct {
	Version   uint64
	At        int64
	Endpoints []*Endpoint // by name and address
}
