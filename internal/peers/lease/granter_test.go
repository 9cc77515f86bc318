package lease_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ryepaddle/internal/peers/lease"
	"ryepaddle/internal/peers/placement"
)

// bootstrapTime is when the consensus group of a test was formed, in Unix seconds.
const bootstrapTime = 7

// newTable returns a table of members that take the leases a, b and c, each in a zone of its own.
func newTable(t *testing.T, names ...string) *placement.Table {
	t.Helper()
	table, err := placement.New(1, 1)
	if err != nil {
		t.Fatal(err)
	}
	table.Apply(placement.Change{Kind: placement.ChangeBootstrap, Token: bootstrapTime})
	for i, name := range names {
		join(table, name, uint64(i+1))
	}
	return table
}

// join lets a runner join in an incarnation. Its zone has the number of its name.
func join(t *placement.Table, name string, incarnation uint64) {
	t.Apply(placement.Change{
		Kind: placement.ChangeJoin,
		Member: placement.Member{
			Name:        name,
			Zone:        "hall" + name[1:],
			Incarnation: incarnation,
			Process:     uint32(incarnation),
			LeaseNames:  []string{"a", "b", "c"},
		},
	})
}

// rules returns lease rules with at most maxPerMember leases for each member.
func rules(maxPerMember int, all ...lease.Rule) lease.Rules {
	return lease.Rules{MaxPerMember: maxPerMember, Rules: all}
}

func askedAt(string) time.Duration { return time.Millisecond }

// grant applies the grants of a granter to the table, and returns the holders of all held leases.
func grant(g *lease.Granter, t *placement.Table, now time.Duration) map[string]string {
	for _, c := range g.Grants(t, now, askedAt) {
		t.Apply(c)
	}
	holders := map[string]string{}
	for _, l := range t.Leases {
		if l.Holder != "" {
			holders[l.Name] = l.Holder
		}
	}
	return holders
}

// Leases are granted to members in preferred zones, only to members that may hold them and within the
// bound for each member; otherwise they are spread over the members.
func TestLeasesAreGrantedByTheRules(t *testing.T) {
	onlyN3 := func(name string) lease.Rule { return lease.Rule{Name: name, Members: []string{"n3"}} }
	for name, tt := range map[string]struct {
		rules lease.Rules
		want  map[string]string
	}{
		"preferred zones": {
			rules(
				3,
				lease.Rule{Name: "a", Zones: []string{"hall9", "hall2"}},
				lease.Rule{Name: "b", Zones: []string{"hall3"}},
			),
			map[string]string{"a": "n2", "b": "n3"},
		},
		"allowed members": {rules(3, onlyN3("a"), onlyN3("b")), map[string]string{"a": "n3", "b": "n3"}},
		"the bound":       {rules(1, onlyN3("a"), onlyN3("b")), map[string]string{"a": "n3"}},
		"nobody takes it": {rules(1, lease.Rule{Name: "z"}), map[string]string{}},
	} {
		table := newTable(t, "n1", "n2", "n3")
		if diff := cmp.Diff(tt.want, grant(lease.NewGranter(tt.rules, bootstrapTime), table, 0)); diff != "" {
			t.Errorf("%s: holders differ (-want +got):\n%s", name, diff)
		}
	}
	table := newTable(t, "n1", "n2", "n3")
	all := rules(3, lease.Rule{Name: "a"}, lease.Rule{Name: "b"}, lease.Rule{Name: "c"})
	held := grant(lease.NewGranter(all, bootstrapTime), table, 0)
	if table.LeaseCount("n1") != 1 || table.LeaseCount("n2") != 1 || table.LeaseCount("n3") != 1 {
		t.Errorf("holders = %v, want one lease for each member", held)
	}
}

// A member that loses a lease without releasing it is not granted it again before a backoff, which
// doubles each time.
func TestExpiryBackoffDoubles(t *testing.T) {
	const backoff = 10 * time.Second
	table := newTable(t, "n1")
	r := rules(1, lease.Rule{Name: "a"})
	r.ExpiryBackoff = backoff
	g := lease.NewGranter(r, bootstrapTime)
	now, incarnation := time.Duration(0), uint64(10)
	grant(g, table, now)
	for _, wait := range []time.Duration{backoff, 2 * backoff, 4 * backoff} {
		incarnation++
		join(table, "n1", incarnation)
		if got := grant(g, table, now); len(got) > 0 {
			t.Errorf("holders right after the loss = %v, want none", got)
		}
		if got := grant(g, table, now+wait-time.Microsecond); len(got) > 0 {
			t.Errorf("holders before the backoff of %v = %v, want none", wait, got)
		}
		if now += wait; len(grant(g, table, now)) == 0 {
			t.Errorf("lease is not granted after the backoff of %v", wait)
		}
	}
}

// The lease of a member that rejoins in another incarnation is not granted before the TTL and the
// clock margin have passed: the earlier incarnation may rely on it until then.
func TestAbruptlyLostLeaseIsGrantedAfterItsTime(t *testing.T) {
	r := rules(1, lease.Rule{Name: "a", Zones: []string{"hall1"}})
	table := newTable(t, "n1", "n2")
	grant(lease.NewGranter(r, bootstrapTime), table, 0)
	join(table, "n1", 9)
	for now, want := range map[time.Duration]int{0: 0, lease.TTL: 0, lease.TTL + lease.ClockMargin: 1} {
		later := table.Clone()
		g := lease.NewGranter(r, bootstrapTime)
		grant(g, later, 0)
		if got := grant(g, later, now); len(got) != want {
			t.Errorf("holders after %v = %v, want none before TTL+ClockMargin and then one", now, got)
		}
	}
}
