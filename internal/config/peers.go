package config

import (
	"net/netip"
	"reflect"

	"ryepaddle/internal/peers/lease"
	"ryepaddle/internal/peers/placement"
	"ryepaddle/internal/peers/usagereplica"
)

// Peers has what this runner promises kept on others of its installation too.
type Peers struct {
	Installation string `yaml:"installation"`
	Listen       string `yaml:"listen"` // where peers reach this runner; empty: nothing is copied
	Dir          string `yaml:"dir"`    // on a disk that lasts; empty: none
	Replicas     int64  `yaml:"copies"` // beside the first
	Slots        int64  `yaml:"slots"`  // parts of the keys
	TimeoutMs    int64  `yaml:"patience_ms"`
	MeshSize     int64  `yaml:"mesh"` // up to so many members all have links with all
	// of what it holds for others and itself; 0: a quarter of memory_mb
	MemoryMB          int64  `yaml:"memory_mb"`
	RepairKBPerSecond int64  `yaml:"repair_kb"` // a second, to runners that are brought up
	Members           []Peer `yaml:"members"`
	Leases            Leases `yaml:"duties"`
}

// Leases are what only one runner of the installation does at a time.
type Leases struct {
	Each int64 `yaml:"each"` // that one runner may hold
	// before who lost one without giving it back may have it again; twice as long each further time
	// in a row
	AgainS float64            `yaml:"again_s"`
	Checks []ZoneHealthChecks `yaml:"checks"`
	// Statements has one runner pass on the statements of lost ones; empty: each of their heirs
	// does.
	Statements *LeaseHolders `yaml:"statements"`
}

// LeaseHolders are who may hold a duty.
type LeaseHolders struct {
	Prefer  []string `yaml:"prefer"`  // halls, the best first
	Members []string `yaml:"members"` // empty: all
}

// ZoneHealthChecks has one runner ask the servers of a hall for their health, and tell the others.
type ZoneHealthChecks struct {
	Zone string `yaml:"hall"`
	// halls whose runners are to do it, the best first; empty: those of the hall itself
	Prefer  []string `yaml:"prefer"`
	Members []string `yaml:"members"` // who may do it; empty: all
}

// LeaseRules are the duties as the consensus group goes by them, and the halls that are checked so.
func (p *Peers) LeaseRules() (r lease.Rules, halls []string) {
	r = lease.Rules{MaxPerMember: int(p.Leases.Each), ExpiryBackoff: int64(p.Leases.AgainS * 1e6)}
	for _, c := range p.Leases.Checks {
		prefer := c.Prefer
		if len(prefer) == 0 {
			prefer = []string{c.Zone}
		}
		r.Rules = append(
			r.Rules,
			lease.Rule{Name: lease.HealthCheckLease(c.Zone), Zones: prefer, Members: c.Members},
		)
		halls = append(halls, c.Zone)
	}
	if s := p.Leases.Statements; s != nil {
		r.Rules = append(
			r.Rules,
			lease.Rule{Name: usagereplica.StatementsLease, Zones: s.Prefer, Members: s.Members},
		)
	}
	return r, halls
}

// Peer is a runner of the installation, this one among them.
type Peer struct {
	Name    string         `yaml:"name"`
	Address string         `yaml:"address"`
	Zone    string         `yaml:"hall"`
	Voter   bool           `yaml:"votes"`
	Addr    netip.AddrPort `yaml:"-"`
}

const (
	maxPeers  = 300
	maxVoters = 7
)

// Enabled tells whether anything is copied.
func (p *Peers) Enabled() bool { return p.Listen != "" }

// MustParseAddr is an address that was checked with the file.
func MustParseAddr(s string) netip.AddrPort { return netip.MustParseAddrPort(s) }

// EqualExceptMembers tells whether two files say the same of peers, but for members that do not vote
// and for duties.
func (p *Peers) EqualExceptMembers(o *Peers) bool {
	a, b := *p, *o
	a.Members, b.Members = a.voters(), b.voters()
	a.Leases, b.Leases = Leases{}, Leases{}
	return reflect.DeepEqual(a, b)
}

func (p *Peers) voters() (out []Peer) {
	for _, m := range p.Members {
		if m.Voter {
			out = append(out, Peer{Name: m.Name, Voter: true})
		}
	}
	return out
}

func (o *Operator) checkPeers(p *Platform) error {
	s := &o.Peers
	if !s.Enabled() {
		if len(s.Members) > 0 {
			return o.document.Errorf(
				"peers.listen",
				"missing: there are members, and no address at which they reach this runner",
			)
		}
		return nil
	}
	if s.Installation == "" {
		return o.document.Errorf(
			"peers.installation",
			"missing: it tells the runners of this installation from others",
		)
	}
	if a, err := netip.ParseAddrPort(s.Listen); err != nil || !a.Addr().Is4() {
		return o.document.Errorf("peers.listen", "%q is no IPv4 address with a port", s.Listen)
	}
	if s.Dir != "" {
		if err := o.resolveFolder("peers.dir", &s.Dir); err != nil {
			return err
		}
	}
	voters, here := 0, false
	names, addresses := map[string]bool{}, map[netip.AddrPort]string{}
	for i := range s.Members {
		m := &s.Members[i]
		var err error
		if m.Addr, err = netip.ParseAddrPort(m.Address); err != nil || !m.Addr.Addr().Is4() ||
			m.Addr.Port() == 0 {
			return o.document.Errorf("peers.members", "%s: %q is no IPv4 address with a port", m.Name, m.Address)
		}
		switch other := addresses[m.Addr]; {
		case m.Name == "":
			return o.document.Errorf("peers.members", "the one at %s has no name", m.Address)
		case names[m.Name]:
			return o.document.Errorf("peers.members", "%s is there twice", m.Name)
		case other != "":
			return o.document.Errorf("peers.members", "%s and %s are both at %s", other, m.Name, m.Address)
		}
		names[m.Name], addresses[m.Addr] = true, m.Name
		if m.Voter {
			voters++
		}
		here = here || m.Name == p.Name
	}
	switch {
	case !here:
		return o.document.Errorf("peers.members", "this runner, %s, is not among them", p.Name)
	case len(s.Members) > maxPeers:
		return o.document.Errorf("peers.members", "%d are over %d", len(s.Members), maxPeers)
	case voters%2 == 0 || voters > maxVoters:
		return o.document.Errorf("peers.members", "%d of them vote: want an odd number up to %d", voters, maxVoters)
	case int(s.Replicas) >= len(s.Members):
		return o.document.Errorf(
			"peers.copies",
			"%d copies beside the first need %d members, and there are %d",
			s.Replicas,
			s.Replicas+1,
			len(s.Members),
		)
	}
	return o.checkLeases(names)
}

// checkLeases looks at who is to do what for all.
func (o *Operator) checkLeases(members map[string]bool) error {
	halls := map[string]bool{}
	for _, c := range o.Peers.Leases.Checks {
		switch {
		case c.Zone == "":
			return o.document.Errorf("peers.duties.checks", "one of them names no hall")
		case halls[c.Zone]:
			return o.document.Errorf("peers.duties.checks", "%s is there twice", c.Zone)
		case len(halls) == placement.MaxLeases:
			return o.document.Errorf("peers.duties.checks", "more than %d halls", placement.MaxLeases)
		case o.Routing.HealthCheck.Path == "":
			return o.document.Errorf("peers.duties.checks", "servers are not checked: routing.check.path is missing")
		}
		halls[c.Zone] = true
		for _, m := range c.Members {
			if !members[m] {
				return o.document.Errorf("peers.duties.checks", "%s: %s is not among the members", c.Zone, m)
			}
		}
	}
	if s := o.Peers.Leases.Statements; s != nil {
		if o.Usage.Dir == "" {
			return o.document.Errorf("peers.duties.statements", "there are no statements: usage.dir is missing")
		}
		for _, m := range s.Members {
			if !members[m] {
				return o.document.Errorf("peers.duties.statements", "%s is not among the members", m)
			}
		}
	}
	return nil
}
