// Package cluster simulates the program in front of many uwsgi servers in virtual time: its request
// lifecycle, its admission and its routing, or a baseline for the routing, with servers that are
// slow, cold, dead, cut off or failing. Days are drawn from a seed; two routing modes of one day
// differ in the routing alone.
package cluster

// Class is a class of requests. Times are in milliseconds.
type Class struct {
	Name               string
	Share              float64 // of the requests
	Work               float64 // mean, of a worker of a warm server
	LatencyObjective   float64
	Deadline           float64
	PriorityWeight     float64
	LateWeightFraction float64 // of the weight that a late answer earns
	Keyed              bool    // idempotent by an idempotency key
}

// Indices of the classes.
const (
	quickCheckClass = iota
	fullCheckClass
	handInClass
)

var classes = []Class{
	quickCheckClass: {
		Name:               "quick-check",
		Share:              0.5,
		Work:               40,
		LatencyObjective:   1000,
		Deadline:           3000,
		PriorityWeight:     1,
		LateWeightFraction: 0.2,
	},
	fullCheckClass: {
		Name:               "full-check",
		Share:              0.3,
		Work:               300,
		LatencyObjective:   1500,
		Deadline:           4000,
		PriorityWeight:     1,
		LateWeightFraction: 0,
	},
	handInClass: {
		Name:               "hand-in",
		Share:              0.2,
		Work:               120,
		LatencyObjective:   900,
		Deadline:           2500,
		PriorityWeight:     3,
		LateWeightFraction: 0.2,
		Keyed:              true,
	},
}

// Fault is a fault of the servers or of the traffic. From and To are seconds of the day.
type Fault struct {
	Kind  string
	From  float64
	To    float64 // 0: to the end
	Share float64 // of the servers, the first ones; of FaultFlood: of the capacity
	Zone  string  // all servers of a zone, in place of a share
	Times float64 // factor of FaultSlow
	Class int     // of FaultFlood
}

// Spec is a kind of day.
type Spec struct {
	Name           string
	About          string
	Servers        int
	Zones          []string
	Workers        int     // of each server
	Load           float64 // request rate, as a share of the capacity of all servers
	Seconds        float64 // length of the day
	WarmUpTime     float64 // seconds
	WarmUpSlowdown float64 // factor of the work at the start of a server
	Faults         []Fault
}

// workers returns the number of workers of all servers.
func (s *Spec) workers() int { return s.Servers * s.Workers }

// Named returns the kind of day with a name.
func Named(name string) (Spec, bool) {
	for _, s := range Specs() {
		if s.Name == name {
			return s, true
		}
	}
	return Spec{}, false
}

// meanWork returns the mean work of a request, in microseconds.
func meanWork() (micros float64) {
	for _, c := range classes {
		micros += c.Share * c.Work * 1000
	}
	return micros
}
