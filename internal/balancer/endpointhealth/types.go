package endpointhealth

import "fmt"

// State is what a server is taken for.
type State uint8

// The states.
const (
	Listed    State = iota + 1 // known, and nothing more
	Checking                   // it gets work once checks of it go well
	Warming                    // new, or back: it gets a part that grows
	InService                  // it gets its whole part
	Suspected                  // it failed lately, and still gets a part
	Ejected                    // it gets nothing
	Probing                    // its time is over: it may get one request
	Draining                   // it left the list: what is open goes on, and nothing new comes
	Gone                       // nothing of it is left
)

// States are all of them, in the order of a life.
var States = []State{Listed, Checking, Warming, InService, Suspected, Ejected, Probing, Draining, Gone}

var stateNames = [...]string{
	Listed:    "listed",
	Checking:  "checking",
	Warming:   "warming",
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
	Fails     int     // in a row, after which a server is ejected
	EjectFor  int64   // the first time
	EjectMost int64   // at the most, as it is doubled each time that one comes back and fails again
	Forgive   int64   // in service for so long, and the next ejection is a first one again
	MostShare float64 // of the listed that may be ejected or probed at once
	WarmFor   int64
	WarmFrom  float64 // the part that a new one begins with
	Suspect   int64   // a suspicion lasts at least so long
	Doubt     float64 // the part of one that is suspected

	// A server is judged beside its peers once it has ended so many requests within the window of
	// the last 8 s.
	Enough     int
	RateMost   float64 // of its requests that may fail, whatever becomes of its peers'
	RateFactor float64 // and how many times its peers' rate that has to be
	// how many times the median latency of its peers is too slow; 0: latency is not judged
	SlowFactor float64
	SlowFloor  int64 // and by how much it has to be over it at least
	SlowFor    int   // looks in a row, after which a slow server is ejected

	// ProbeWait is how long a server waits for a request that may be risked on it. After that any
	// may probe it.
	ProbeWait int64
	Checks    Checks
}

// Checks are the active ones. Those that pass bring a server back, and tell nothing else: one may
// answer checks and no work.
type Checks struct {
	Every  int64 // between two of a server; 0: there are none
	Fails  int   // in a row, after which a server is ejected
	Passes int   // in a row, before one gets work
}

// Standard is what is usual.
func Standard() Config {
	return Config{
		Fails:      3,
		EjectFor:   5_000_000,
		EjectMost:  60_000_000,
		Forgive:    60_000_000,
		MostShare:  0.5,
		WarmFor:    10_000_000,
		WarmFrom:   0.1,
		Suspect:    5_000_000,
		Doubt:      0.5,
		Enough:     20,
		RateMost:   0.3,
		RateFactor: 3,
		SlowFactor: 4,
		SlowFloor:  20_000,
		SlowFor:    3,
		ProbeWait:  5_000_000,
		Checks:     Checks{Fails: 3, Passes: 2},
	}
}

// ID names one server at one address: a server that comes back elsewhere is another.
type ID struct{ Name, Addr string }

// Listing is what the inventory says of a server.
type Listing struct {
	ID
	Hall   string
	Weight int
}

// Change is one change of a state.
type Change struct {
	Server   ID
	From, To State
	At       int64
	Cause    string
}

// Member is what is known of one server. Its owner is the table; others read it.
type Member struct {
	Listing
	State   State
	Since   int64
	Cause   string
	Open    int     // requests that it has
	Latency float64 // of its answers, as a moving mean, in microseconds; 0: none yet
	Ended   uint64  // requests that ended, and of those
	Failed  uint64  // the ones that it failed
	Success float64 // share of them that went well, as a moving mean
	Heard   int64   // when a request last ended that told something of it
	Changes int
	Owner   any // for whoever keeps more of it

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

// Roster is the servers of a list. It never changes: a new list makes a new roster.
type Roster struct {
	Version uint64
	At      int64
	Members []*Member // by name and address
}
