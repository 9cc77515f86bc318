package config

import (
	"net/netip"
	"reflect"

	"ryepaddle/internal/peers/lease"
	"ryepaddle/internal/peers/placement"
	"ryepaddle/internal/peers/usagereplica"
)

// Peers configures the replication of idempotency keys and usage ledgers on other runners of the
// installation.
type Peers struct {
	// Installation is the name that all runners of the installation share.
	Installation string `yaml:"installation"`
	// Listen is the address for connections of peers; empty: nothing is replicated.
	Listen string `yaml:"listen"`
	// Dir is a folder whose files survive a restart of the machine; empty: none.
	Dir string `yaml:"dir"`
	// Replicas is the number of replicas of a key beside the copy of its owner; default 2.
	Replicas int64 `yaml:"copies"`
	// Slots is the number of slots into which the keys are divided; default 64.
	Slots int64 `yaml:"slots"`
	// TimeoutMs is how long in ms a request waits for its replicas; default 500.
	TimeoutMs int64 `yaml:"patience_ms"`
	// MeshSize is the number of members up to which all connect to each other; with more, members
	// relay for each other. Default 32.
	MeshSize int64 `yaml:"mesh"`
	// MemoryMB bounds the memory in MB of all replicas that are held here; default 0: a quarter of
	// memory_mb.
	MemoryMB int64 `yaml:"memory_mb"`
	// RepairKBPerSecond bounds the rate in kB per second at which new replicas are filled; default 4096.
	RepairKBPerSecond int64  `yaml:"repair_kb"`
	Members           []Peer `yaml:"members"`
	Leases            Leases `yaml:"duties"`
}

// Leases configures the tasks that only one runner of the installation performs at a time, the holder
// of a lease.
type Leases struct {
	// Each is the most leases that one runner holds; default 4.
	Each int64 `yaml:"each"`
	// AgainS is the time in s before a runner that lost a lease by expiry may hold it again,
	// doubled at each further loss in a row; default 10.
	AgainS float64            `yaml:"again_s"`
	Checks []ZoneHealthChecks `yaml:"checks"`
	// Statements leases to one runner the task of passing on the usage statements of lost runners; nil:
	// each replica of a lost runner passes them on.
	Statements *LeaseHolders `yaml:"statements"`
}

// LeaseHolders are the runners that may hold a lease.
type LeaseHolders struct {
	Prefer  []string `yaml:"prefer"`  // zones, the preferred one first
	Members []string `yaml:"members"` // names of runners; empty: all
}

// ZoneHealthChecks leases the health checks of a zone's servers to one runner, which reports the
// results to the others.
type ZoneHealthChecks struct {
	Zone    string   `yaml:"hall"`
	Prefer  []string `yaml:"prefer"`  // zones of the runner, the preferred one first; empty: Zone
	Members []string `yaml:"members"` // names of runners; empty: all
}

// LeaseRules returns the rules by which the consensus group grants leases, and the zones whose
// health checks are leased.
func (p *Peers) LeaseRules() (r lease.Rules, zones []string) {
	r = lease.Rules{
		MaxPerMember:  int(p.Leases.Each),
		ExpiryBackoff: secondsOf(p.Leases.AgainS),
	}
	for _, c := range p.Leases.Checks {
		prefer := c.Prefer
		if len(prefer) == 0 {
			prefer = []string{c.Zone}
		}
		r.Rules = append(
			r.Rules,
			lease.Rule{Name: lease.HealthCheckLease(c.Zone), Zones: prefer, Members: c.Members},
		)
		zones = append(zones, c.Zone)
	}
	if s := p.Leases.Statements; s != nil {
		r.Rules = append(
			r.Rules,
			lease.Rule{Name: usagereplica.StatementsLease, Zones: s.Prefer, Members: s.Members},
		)
	}
	return r, zones
}

// Peer is one runner of the installation.
type Peer struct {
	Name    string         `yaml:"name"`
	Address string         `yaml:"address"`
	Zone    string         `yaml:"hall"`
	Voter   bool           `yaml:"votes"`
	Addr    netip.AddrPort `yaml:"-"`
}

// defaultPeers returns the defaults of the peers.
func defaultPeers() Peers {
	return Peers{
		Replicas:          2,
		Slots:             64,
		TimeoutMs:         500,
		RepairKBPerSecond: 4096,
		MeshSize:          32,
		Leases:            Leases{Each: 4, AgainS: 10},
	}
}

const (
	maxPeers  = 300
	maxVoters = 7 // voters of the consensus group
)

// Enabled reports whether anything is replicated.
func (p *Peers) Enabled() bool { return p.Listen != "" }

// MustParseAddr parses an address that was checked with the file. It panics if the address is
// invalid.
func MustParseAddr(s string) netip.AddrPort { return netip.MustParseAddrPort(s) }

// EqualExceptMembers reports whether two configurations of peers are equal except for members
// without a vote and leases, which can change at SIGHUP. Of voters only the names are compared.
func (p *Peers) EqualExceptMembers(other *Peers) bool {
	return reflect.DeepEqual(p.withoutReloadable(), other.withoutReloadable())
}

// withoutReloadable returns a copy without the values that can change at SIGHUP.
func (p *Peers) withoutReloadable() Peers {
	fixed := *p
	fixed.Members = p.voters()
	fixed.Leases = Leases{}
	return fixed
}

// voters returns the members with a vote, with only the fields Name and Voter set.
func (p *Peers) voters() (out []Peer) {
	for _, m := range p.Members {
		if m.Voter {
			out = append(out, Peer{Name: m.Name, Voter: true})
		}
	}
	return out
}

// checkPeers checks the installation, its members and their leases.
func (o *Operator) checkPeers(p *Platform) error {
	s := &o.Peers
	if !s.Enabled() {
		if len(s.Members) > 0 {
			return o.document.Errorf("peers.listen",
				"missing: members are listed, but there is no address for their connections to this runner")
		}
		return nil
	}
	if s.Installation == "" {
		return o.document.Errorf("peers.installation",
			"missing: the name distinguishes this installation from others")
	}
	if a, err := netip.ParseAddrPort(s.Listen); err != nil || !a.Addr().Is4() {
		return o.document.Errorf("peers.listen", "%q is not an IPv4 address with a port", s.Listen)
	}
	if s.Dir != "" {
		if err := o.resolveFolder("peers.dir", &s.Dir); err != nil {
			return err
		}
	}
	names, err := o.parseMembers()
	if err != nil {
		return err
	}
	if err := o.checkMembership(p, names); err != nil {
		return err
	}
	return o.checkLeases(names)
}

// parseMembers parses the addresses of the members and returns their names. Names and addresses
// have to be unique.
func (o *Operator) parseMembers() (names map[string]bool, err error) {
	names = map[string]bool{}
	addresses := map[netip.AddrPort]string{}
	for i := range o.Peers.Members {
		m := &o.Peers.Members[i]
		m.Addr, err = netip.ParseAddrPort(m.Address)
		if err != nil || !m.Addr.Addr().Is4() || m.Addr.Port() == 0 {
			return nil, o.document.Errorf(
				"peers.members",
				"%s: %q is not an IPv4 address with a port",
				m.Name,
				m.Address,
			)
		}
		switch other := addresses[m.Addr]; {
		case m.Name == "":
			return nil, o.document.Errorf("peers.members", "the member at %s has no name", m.Address)
		case names[m.Name]:
			return nil, o.document.Errorf("peers.members", "%s is listed twice", m.Name)
		case other != "":
			return nil, o.document.Errorf(
				"peers.members",
				"%s and %s have the same address %s",
				other,
				m.Name,
				m.Address,
			)
		}
		names[m.Name] = true
		addresses[m.Addr] = m.Name
	}
	return names, nil
}

// checkMembership checks that this runner is a member, and the numbers of members, voters and
// replicas.
func (o *Operator) checkMembership(p *Platform, names map[string]bool) error {
	members, voters := len(o.Peers.Members), len(o.Peers.voters())
	switch {
	case !names[p.Name]:
		return o.document.Errorf("peers.members", "this runner, %s, is not listed", p.Name)
	case members > maxPeers:
		return o.document.Errorf("peers.members", "%d members are listed, more than %d", members, maxPeers)
	case voters%2 == 0 || voters > maxVoters:
		return o.document.Errorf(
			"peers.members",
			"%d members vote: want an odd number up to %d",
			voters,
			maxVoters,
		)
	case int(o.Peers.Replicas) >= members:
		return o.document.Errorf("peers.copies", "%d copies beside the first need %d members, but there "+
			"are %d",
			o.Peers.Replicas, o.Peers.Replicas+1, members)
	}
	return nil
}

// checkLeases checks the leases and who may hold them.
func (o *Operator) checkLeases(members map[string]bool) error {
	zones := map[string]bool{}
	for _, c := range o.Peers.Leases.Checks {
		switch {
		case c.Zone == "":
			return o.document.Errorf("peers.duties.checks", "an entry has no hall")
		case zones[c.Zone]:
			return o.document.Errorf("peers.duties.checks", "%s is listed twice", c.Zone)
		case len(zones) == placement.MaxLeases:
			return o.document.Errorf("peers.duties.checks", "more than %d halls", placement.MaxLeases)
		case o.Routing.HealthCheck.Path == "":
			return o.document.Errorf(
				"peers.duties.checks",
				"there are no health checks: routing.check.path is missing",
			)
		}
		zones[c.Zone] = true
		for _, m := range c.Members {
			if !members[m] {
				return o.document.Errorf("peers.duties.checks", "%s: %s is not a member", c.Zone, m)
			}
		}
	}
	if s := o.Peers.Leases.Statements; s != nil {
		if o.Usage.Dir == "" {
			return o.document.Errorf(
				"peers.duties.statements",
				"there are no usage statements: usage.dir is missing",
			)
		}
		for _, m := range s.Members {
			if !members[m] {
				return o.document.Errorf("peers.duties.statements", "%s is not a member", m)
			}
		}
	}
	return nil
}
