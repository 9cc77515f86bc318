// Package cluster simulates the program in front of many uwsgi servers in virtual time. It uses the request
// lifecycle, the admission and the routing of the program, or a baseline in place of the routing; the servers
// may be slow, cold, dead, cut off or failing. Days are drawn from a seed: simulations of one day with two
// routing modes differ only in the routing.
package cluster

// Class is a class of requests. Times and work are in milliseconds.
type Class struct {
	Name               string
	Share              float64 // share of all requests
	Work               float64 // mean work of a request, on a worker of a warm server
	LatencyObjective   float64
	Deadline           float64
	PriorityWeight     float64
	LateWeightFraction float64 // fraction of the weight that a late answer earns
	Keyed              bool    // idempotent by its idempotency key
}

// The indices of classes.
const (
	quickCheckClass = iota
	fullCheckClass
	handInClass
)

// classes are the classes of all kinds of day.
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
	Share float64 // share of the servers, from the first one on; with FaultFlood: of the capacity
	Zone  string  // zone whose servers are all hit, in place of Share
	Times float64 // factor of the work, with FaultSlow
	Class int     // class of the requests, with FaultFlood
}

// Spec describes a kind of day.
type Spec struct {
	Name           string
	About          string
	Servers        int
	Zones          []string
	Workers        int     // of each server
	Load           float64 // request rate, as a share of the capacity of all servers
	Seconds        float64 // length of the day, in seconds
	WarmUpTime     float64 // length of the warm-up of a server, in seconds
	WarmUpSlowdown float64 // factor of the work at the start of the warm-up of a server
	Faults         []Fault
}

// workers returns the total number of workers of all servers.
func (s *Spec) workers() int { return s.Servers * s.Workers }

// Named returns the kind of day with the given name, and whether there is one.
func Named(name string) (Spec, bool) {
	for _, s := range Specs() {
		if s.Name == name {
			return s, true
		}
	}
	return Spec{}, false
}

// meanWork returns the mean work of a request over all classes, in microseconds.
func meanWork() (micros float64) {
	for _, c := range classes {
		micros += c.Share * c.Work * 1000
	}
	return micros
}
