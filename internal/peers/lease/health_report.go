package lease

import "slices"

// HealthReport is what the holder of a duty saw of servers, for runners that did not look
// themselves.
type HealthReport struct {
	From    string         `cbor:"1,keyasint"`
	To      string         `cbor:"2,keyasint"`
	Lease   string         `cbor:"3,keyasint"`
	Token   uint64         `cbor:"4,keyasint"`
	Servers []ServerHealth `cbor:"5,keyasint"`
}

// Tokens is how one server answered.
type ServerHealth struct {
	Group   string `cbor:"1,keyasint"`
	Server  string `cbor:"2,keyasint"`
	Healthy bool   `cbor:"3,keyasint,omitempty"`
	Age     int64  `cbor:"4,keyasint,omitempty"` // since it answered, as the report goes out
}

// maxReportServers bounds the servers of one report, and maxKnownServers those that are remembered.
const (
	maxReportServers = 512
	maxKnownServers  = 4096
)

// HealthChecks decides who asks servers for their health. The holder of a hall's duty asks all servers of
// that hall, and tells the others. A runner that was told well of a server, not longer ago than two
// rounds, does not ask. One that was told nothing, or ill, asks for itself: what is told never
// takes a server out, and a report that is false or old costs no more than knowing nothing.
type HealthChecks struct {
	leases    map[string]string // of halls
	fence     Fence
	reported  map[[2]string]observedHealth
	unsent    map[string][]observedHealth // of each duty, what goes out with the next report
	tokens    map[string]uint64           // under which that was seen
	Performed int64                       // checks that this runner made
	Skipped   int64                       // that it did not have to make
	Stale     int64                       // reports of runners that had lost the duty
}

type observedHealth struct {
	ServerHealth
	at int64
}

// HealthCheckLease is the name of the duty to ask a hall's servers.
func HealthCheckLease(hall string) string { return "checks-" + hall }

// NewHealthChecks is for the halls whose servers are asked by one runner.
func NewHealthChecks(halls []string) *HealthChecks {
	c := &HealthChecks{
		leases:   map[string]string{},
		reported: map[[2]string]observedHealth{},
		unsent:   map[string][]observedHealth{},
		tokens:   map[string]uint64{},
	}
	c.SetZones(halls)
	return c
}

// SetZones takes those of another file.
func (c *HealthChecks) SetZones(halls []string) {
	clear(c.leases)
	for _, h := range halls {
		c.leases[h] = HealthCheckLease(h)
	}
}

// ShouldCheck tells whether a server is to be asked now, and the duty that does so; none is for a hall
// whose servers each runner asks for itself. Every is the time between two checks, sure whether the
// server is in full service: one that is to come back is asked by each runner, over its own link.
func (c *HealthChecks) ShouldCheck(
	group, server, hall string,
	every, now int64,
	sure bool,
	holds func(duty string) (token uint64, ok bool),
) (ask bool, duty string, token uint64) {
	if duty = c.leases[hall]; duty != "" {
		if t, ok := holds(duty); ok {
			c.Performed++
			return true, duty, t
		}
		if s, ok := c.reported[[2]string{group, server}]; ok && sure && s.Healthy && now-s.at <= 2*every {
			c.Skipped++
			return false, duty, 0
		}
	}
	c.Performed++
	return true, duty, 0
}

// RecordResult notes how a server answered that was asked under a token.
func (c *HealthChecks) RecordResult(duty string, token uint64, group, server string, good bool, now int64) {
	if c.tokens[duty] != token {
		c.unsent[duty], c.tokens[duty] = nil, token
	}
	if len(c.unsent[duty]) < maxReportServers {
		c.unsent[duty] = append(
			c.unsent[duty],
			observedHealth{ServerHealth{Group: group, Server: server, Healthy: good}, now},
		)
	}
}

// TakeReports are those that are to be told to others now, by a runner that still holds their duties.
func (c *HealthChecks) TakeReports(
	from string,
	now int64,
	holds func(duty string) (token uint64, ok bool),
) (tales []HealthReport) {
	names := make([]string, 0, len(c.unsent))
	for duty := range c.unsent {
		names = append(names, duty)
	}
	slices.Sort(names)
	for _, duty := range names {
		seen := c.unsent[duty]
		delete(c.unsent, duty)
		if t, ok := holds(duty); !ok || t != c.tokens[duty] || len(seen) == 0 {
			continue
		}
		tale := HealthReport{From: from, Lease: duty, Token: c.tokens[duty]}
		for _, s := range seen {
			s.Age = now - s.at
			tale.Servers = append(tale.Servers, s.ServerHealth)
		}
		tales = append(tales, tale)
	}
	return tales
}

// Receive takes a report. One of a runner that lost its duty meanwhile is not taken.
func (c *HealthChecks) Receive(t *HealthReport, now int64) error {
	if len(t.Servers) > maxReportServers {
		return kindFenced.New("lease: a tale of %d servers is over %d", len(t.Servers), maxReportServers)
	}
	if err := c.fence.Check(t.Lease, t.Token); err != nil {
		c.Stale++
		return err
	}
	for _, s := range t.Servers {
		key := [2]string{s.Group, s.Server}
		if _, ok := c.reported[key]; !ok && len(c.reported) >= maxKnownServers {
			continue
		}
		if at := now - max(s.Age, 0); c.reported[key].at <= at {
			c.reported[key] = observedHealth{s, at}
		}
	}
	return nil
}
