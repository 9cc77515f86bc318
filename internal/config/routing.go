package config

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"ryepaddle/internal/balancer/picker"
)

// Routing is how requests find their servers. Halls are those of the inventory.
type Routing struct {
	Halls  []string `yaml:"halls"`  // the nearest first
	Subset int      `yaml:"subset"` // servers of each hall that this instance uses; 0: all
	// a key goes to one server, whichever instance it comes through
	Affinity bool    `yaml:"affinity"`
	WarmS    float64 `yaml:"warm_s"` // that a new server takes to get its whole part
	WarmFrom float64 `yaml:"warm_from"`
	Cold     Cold    `yaml:"cold"`
	Eject    Eject   `yaml:"eject"`
	Check    Check   `yaml:"check"`
	Retries  Retries `yaml:"retries"`
	Limit    Limit   `yaml:"limit"`
}

// Cold is what a server that has just started bears of all processes together; it grows with its
// part while it warms up.
type Cold struct {
	Calls  float64 `yaml:"calls"` // within over_ms; 0: it goes by what its peers get alone
	OverMs int64   `yaml:"over_ms"`
	// that send to it; 0: as many as peers or the platform's settings name
	Processes int `yaml:"processes"`
}

// Eject is when a server gets no more work, and for how long.
type Eject struct {
	Fails  int     `yaml:"fails"`   // in a row
	Rate   float64 `yaml:"rate"`    // of its requests that fail, where its peers' do not
	Slow   float64 `yaml:"slow"`    // times the latency of its peers; 0: never for that
	FirstS float64 `yaml:"first_s"` // for so long, and twice as long each time
	MostS  float64 `yaml:"most_s"`
	Share  float64 `yaml:"share"` // of all servers of a group at once, at the most
}

// Check is how servers are asked whether they are well.
type Check struct {
	Path     string `yaml:"path"` // empty: they are not
	EveryMs  int64  `yaml:"every_ms"`
	WithinMs int64  `yaml:"within_ms"`
	Fails    int    `yaml:"fails"`
	Passes   int    `yaml:"passes"`
}

// Retries is what may be tried again, beside limits.tries for one request.
type Retries struct {
	Share float64 `yaml:"share"` // of the first tries
	Spare float64 `yaml:"spare"` // that may be saved up
}

// Limit is that of a server, which follows what it gets done, up to limits.server_connections.
type Limit struct {
	First int `yaml:"first"`
	Least int `yaml:"least"`
}

// Watch is how the inventory is taken when it changes.
type Watch struct {
	// it is looked at so often, beside what the system tells of it; 0: at HUP alone
	EveryS   float64 `yaml:"every_s"`
	SettleMs int64   `yaml:"settle_ms"` // it has to stay as it is for so long
	// a list that lost more than this share of its servers waits for a HUP
	Shrink float64 `yaml:"shrink"`
}

func standardRouting() Routing {
	c := picker.DefaultConfig(1)
	return Routing{
		WarmS:    10,
		WarmFrom: c.Health.WarmUpMinShare,
		Cold:     Cold{OverMs: c.SlowStart.Window / 1000},
		Eject: Eject{Fails: c.Health.ConsecutiveFailures, Rate: c.Health.FailureRateThreshold, Slow: c.Health.LatencyFactor,
			FirstS: 5, MostS: 60, Share: c.Health.MaxEjectedShare},
		Check:   Check{EveryMs: 2000, WithinMs: 1000, Fails: 3, Passes: 2},
		Retries: Retries{c.Retry.Ratio, c.Retry.MinTokens},
		Limit:   Limit{First: 8, Least: 2},
	}
}

// Route is how a router is to decide, where the platform's settings name so many servers like this
// one.
func (o *Operator) Route(servers int) picker.Config {
	r, c := &o.Routing, picker.DefaultConfig(o.Limits.ServerConns)
	us := func(s float64) int64 { return int64(s * 1e6) }
	c.Zones, c.SubsetSize, c.KeyAffinity = r.Halls, r.Subset, r.Affinity
	m := &c.Health
	m.WarmUpWindow, m.WarmUpMinShare = us(r.WarmS), r.WarmFrom
	m.ConsecutiveFailures, m.FailureRateThreshold, m.LatencyFactor, m.MaxEjectedShare = r.Eject.Fails, r.Eject.Rate, r.Eject.Slow, r.Eject.Share
	m.BaseEjectionTime, m.MaxEjectionTime = us(r.Eject.FirstS), us(r.Eject.MostS)
	m.HealthChecks.UnhealthyThreshold, m.HealthChecks.HealthyThreshold = r.Check.Fails, r.Check.Passes
	if r.Check.Path != "" {
		m.HealthChecks.Interval = r.Check.EveryMs * 1000
	}
	c.SlowStart.InitialRequests, c.SlowStart.Window = r.Cold.Calls, r.Cold.OverMs*1000
	c.SlowStart.Processes = cmp.Or(r.Cold.Processes, len(o.Peers.Members), servers, c.SlowStart.Processes)
	c.Retry.Ratio, c.Retry.MinTokens = r.Retries.Share, r.Retries.Spare
	c.ConcurrencyLimit.Initial, c.ConcurrencyLimit.Min = min(
		r.Limit.First,
		o.Limits.ServerConns,
	), min(
		r.Limit.Least,
		o.Limits.ServerConns,
	)
	return c
}

func (o *Operator) checkRouting(*Platform) error {
	r := &o.Routing
	if r.Eject.MostS < r.Eject.FirstS {
		return o.doc.Bad("routing.eject.most_s", "%v is under first_s, %v", r.Eject.MostS, r.Eject.FirstS)
	}
	if r.Limit.Least > r.Limit.First {
		return o.doc.Bad("routing.limit.least", "%d is over first, %d", r.Limit.Least, r.Limit.First)
	}
	if r.Check.Path != "" && (!strings.HasPrefix(r.Check.Path, "/") || len(r.Check.Path) > 1000) {
		return o.doc.Bad(
			"routing.check.path",
			"%q does not begin with /, or is over 1000 characters",
			r.Check.Path,
		)
	}
	for i, hall := range r.Halls {
		at := "routing.halls." + strconv.Itoa(i)
		if slices.Contains(r.Halls[:i], hall) {
			return o.doc.Bad(at, "%s stands twice", hall)
		}
	}
	return nil
}
