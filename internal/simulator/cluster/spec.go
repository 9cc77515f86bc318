// Package cluster is a model of one hop before many uwsgi servers, in virtual time: the real core
// and decision module, and the real routing or the picker that stood before it, with servers that
// are slow, cold, dead, cut off or that fail at once. Days are drawn from a seed; what differs
// between two ways of routing one day is the routing alone.
package cluster

import "sort"

// Class is what a kind of request is like. Times are milliseconds.
type Class struct {
	Name               string
	Share              float64 // of the requests
	Work               float64 // mean time of a warm server's worker
	LatencyObjective   float64
	Deadline           float64
	PriorityWeight     float64
	LateWeightFraction float64 // part of the worth between target and deadline
	Keyed              bool
}

var classes = []Class{
	{Name: "quick-check", Share: 0.5, Work: 40, LatencyObjective: 1000, Deadline: 3000, PriorityWeight: 1, LateWeightFraction: 0.2},
	{Name: "full-check", Share: 0.3, Work: 300, LatencyObjective: 1500, Deadline: 4000, PriorityWeight: 1, LateWeightFraction: 0},
	{Name: "hand-in", Share: 0.2, Work: 120, LatencyObjective: 900, Deadline: 2500, PriorityWeight: 3, LateWeightFraction: 0.2, Keyed: true},
}

// Fault is what befalls servers.
type Fault struct {
	Kind  string  // dead, cut, faults, slow, flap, release, join, flood
	From  float64 // seconds
	To    float64 // seconds; 0: to the end
	Share float64 // of the servers, the first by number
	Zone  string  // or all of a hall
	Times float64 // of slow
	Class int     // of a flood, whose Share is that of the capacity
}

// Spec is a kind of day.
type Spec struct {
	Name           string
	About          string
	Servers        int
	Zones          []string
	Workers        int     // of each server
	Load           float64 // of the capacity of all of them
	Seconds        float64
	WarmUpTime     float64 // seconds until a started server is warm
	WarmUpSlowdown float64 // how many times slower it begins
	Faults         []Fault
}

func newSpec(name, about string, load float64, troubles ...Fault) Spec {
	return Spec{
		Name:           name,
		About:          about,
		Servers:        17,
		Zones:          []string{"haninge"},
		Workers:        4,
		Load:           load,
		Seconds:        60,
		WarmUpTime:     10,
		WarmUpSlowdown: 4,
		Faults:         troubles,
	}
}

// Specs are the days that are built in, by name.
func Specs() []Spec {
	big := newSpec(
		"large",
		"200 servers in four halls, of which a fifth dies",
		0.65,
		Fault{Kind: "dead", From: 20, Share: 0.2},
	)
	big.Servers, big.Zones, big.Seconds = 200, []string{"a", "b", "c", "d"}, 40
	cut := newSpec(
		"hall-cut",
		"one of two halls does not answer for 20 s",
		0.45,
		Fault{Kind: "cut", From: 20, To: 40, Zone: "haninge"},
	)
	cut.Zones = []string{"haninge", "solna"}
	all := []Spec{big, cut,
		newSpec("calm", "nothing happens", 0.65),
		newSpec(
			"dead-fifth",
			"a fifth of the servers dies at once and stays away",
			0.65,
			Fault{Kind: "dead", From: 20, Share: 0.2},
		),
		newSpec(
			"fast-failer",
			"one server answers 500 in a millisecond",
			0.65,
			Fault{Kind: "faults", From: 20, Share: 0.06},
		),
		newSpec(
			"slow-fifth",
			"a fifth of the servers is four times slower",
			0.55,
			Fault{Kind: "slow", From: 20, Share: 0.2, Times: 4},
		),
		newSpec(
			"release",
			"one server after the other is stopped for 2 s and comes back cold",
			0.6,
			Fault{Kind: "release", From: 5, To: 56},
		),
		newSpec(
			"scale-out",
			"a third of the servers joins cold at 20 s, under load",
			0.6,
			Fault{Kind: "join", From: 20, Share: 0.34},
		),
		newSpec(
			"flapping",
			"two servers die and come back each 3 s",
			0.6,
			Fault{Kind: "flap", From: 10, Share: 0.12},
		),
		newSpec(
			"overload",
			"a fifth dies at nine tenths of the load that all could carry",
			0.9,
			Fault{Kind: "dead", From: 20, Share: 0.2},
		),
	}
	crawl, fifth := Fault{
		Kind:  "slow",
		From:  20,
		To:    40,
		Share: 1,
		Times: 2.5,
	}, Fault{
		Kind:  "slow",
		From:  20,
		Share: 0.2,
		Times: 4,
	}
	all = append(
		all,
		newSpec("load-80", "four fifths of what the servers can do", 0.8),
		newSpec("load-110", "a tenth more than they can do", 1.1),
		newSpec("load-150", "half as much again", 1.5),
		newSpec(
			"flood",
			"full checks flood in at deadline time, three fifths of the capacity beside the rest",
			0.6,
			Fault{Kind: "flood", From: 20, To: 50, Share: 0.6, Class: 1},
		),
		newSpec("crawl", "all servers are two and a half times slower for 20 s", 0.6, crawl),
		newSpec("crawl-fifth", "likewise, and a fifth is four times slower from then on", 0.6, crawl, fifth),
	)
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// Named finds a kind of day.
func Named(name string) (Spec, bool) {
	for _, s := range Specs() {
		if s.Name == name {
			return s, true
		}
	}
	return Spec{}, false
}

// meanWork is the mean work of a request, in microseconds.
func meanWork() (us float64) {
	for _, c := range classes {
		us += c.Share * c.Work * 1000
	}
	return us
}
