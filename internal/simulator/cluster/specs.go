package cluster

import (
	"cmp"
	"slices"
)

// newSpec returns a kind of day with the default cluster: 17 servers with 4 workers in one zone, for a minute.
func newSpec(name, about string, load float64, faults ...Fault) Spec {
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
		Faults:         faults,
	}
}

// Specs returns the built-in kinds of day, sorted by name.
func Specs() []Spec {
	specs := slices.Concat(zoneSpecs(), serverFaultSpecs(), loadSpecs())
	slices.SortFunc(specs, func(a, b Spec) int { return cmp.Compare(a.Name, b.Name) })
	return specs
}

// zoneSpecs returns the kinds of day with several zones.
func zoneSpecs() []Spec {
	large := newSpec("large", "200 servers in four halls, of which a fifth dies", 0.65,
		Fault{Kind: FaultDead, From: 20, Share: 0.2})
	large.Servers = 200
	large.Zones = []string{"a", "b", "c", "d"}
	large.Seconds = 40
	cut := newSpec("hall-cut", "one of two halls does not answer for 20 s", 0.45,
		Fault{Kind: FaultCut, From: 20, To: 40, Zone: "haninge"})
	cut.Zones = []string{"haninge", "solna"}
	return []Spec{large, cut}
}

// serverFaultSpecs returns the kinds of day with faults of servers, and one without any fault.
func serverFaultSpecs() []Spec {
	return []Spec{
		newSpec("calm", "nothing happens", 0.65),
		newSpec("dead-fifth", "a fifth of the servers dies at once and stays away", 0.65,
			Fault{Kind: FaultDead, From: 20, Share: 0.2}),
		newSpec("fast-failer", "one server answers 500 in a millisecond", 0.65,
			Fault{Kind: FaultFailing, From: 20, Share: 0.06}),
		newSpec("slow-fifth", "a fifth of the servers is four times slower", 0.55,
			Fault{Kind: FaultSlow, From: 20, Share: 0.2, Times: 4}),
		newSpec("release", "one server after the other is stopped for 2 s and comes back cold", 0.6,
			Fault{Kind: FaultRelease, From: 5, To: 56}),
		newSpec("scale-out", "a third of the servers joins cold at 20 s, under load", 0.6,
			Fault{Kind: FaultJoin, From: 20, Share: 0.34}),
		newSpec("flapping", "two servers die and come back each 3 s", 0.6,
			Fault{Kind: FaultFlap, From: 10, Share: 0.12}),
		newSpec("overload", "a fifth dies at nine tenths of the load that all could carry", 0.9,
			Fault{Kind: FaultDead, From: 20, Share: 0.2}),
	}
}

// loadSpecs returns the kinds of day that are meant for bulkheads: high loads, a flood and slow servers.
func loadSpecs() []Spec {
	crawl := Fault{Kind: FaultSlow, From: 20, To: 40, Share: 1, Times: 2.5}
	slowFifth := Fault{Kind: FaultSlow, From: 20, Share: 0.2, Times: 4}
	return []Spec{
		newSpec("load-80", "four fifths of what the servers can do", 0.8),
		newSpec("load-110", "a tenth more than they can do", 1.1),
		newSpec("load-150", "half as much again", 1.5),
		newSpec("flood", "full checks flood in at deadline time, three fifths of the capacity beside the rest", 0.6,
			Fault{Kind: FaultFlood, From: 20, To: 50, Share: 0.6, Class: fullCheckClass}),
		newSpec("crawl", "all servers are two and a half times slower for 20 s", 0.6, crawl),
		newSpec("crawl-fifth", "likewise, and a fifth is four times slower from then on", 0.6, crawl, slowFifth),
	}
}
