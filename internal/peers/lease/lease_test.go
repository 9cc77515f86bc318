package lease_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ryepaddle/internal/fault"
	"ryepaddle/internal/peers/lease"
	"ryepaddle/internal/peers/placement"
)

// members is a table of runners that would take these duties, one in each hall.
func members(t *testing.T, names ...string) *placement.Table {
	t.Helper()
	p, err := placement.New(1, 1)
	if err != nil {
		t.Fatal(err)
	}
	p.Apply(placement.Change{Kind: placement.ChangeBootstrap, Token: 7})
	for i, n := range names {
		p.Apply(
			placement.Change{
				Kind: placement.ChangeJoin,
				Member: placement.Member{
					Name:        n,
					Zone:        "hall" + n[1:],
					Incarnation: uint64(i + 1),
					Process:     uint32(i + 1),
					LeaseNames:  []string{"a", "b", "c"},
				},
			},
		)
	}
	return p
}

func asked(string) time.Duration { return time.Millisecond }

// grant has the table take what the granter wants, and tells who holds what.
func grant(g *lease.Granter, p *placement.Table, now time.Duration) map[string]string {
	for _, c := range g.Grants(p, now, asked) {
		p.Apply(c)
	}
	holders := map[string]string{}
	for _, d := range p.Leases {
		if d.Holder != "" {
			holders[d.Name] = d.Holder
		}
	}
	return holders
}

// Duties go to preferred halls, spread over members, within the bound for each, and to who may have
// them.
func TestWhoGetsDuties(t *testing.T) {
	for name, c := range map[string]struct {
		rules lease.Rules
		want  map[string]string
	}{
		"preferred halls": {lease.Rules{MaxPerMember: 3, Rules: []lease.Rule{{Name: "a", Zones: []string{"hall9", "hall2"}}, {Name: "b", Zones: []string{"hall3"}}}}, map[string]string{"a": "n2", "b": "n3"}},
		"who may":         {lease.Rules{MaxPerMember: 3, Rules: []lease.Rule{{Name: "a", Members: []string{"n3"}}, {Name: "b", Members: []string{"n3"}}}}, map[string]string{"a": "n3", "b": "n3"}},
		"the bound":       {lease.Rules{MaxPerMember: 1, Rules: []lease.Rule{{Name: "a", Members: []string{"n3"}}, {Name: "b", Members: []string{"n3"}}}}, map[string]string{"a": "n3"}},
		"nobody":          {lease.Rules{MaxPerMember: 1, Rules: []lease.Rule{{Name: "z"}}}, map[string]string{}},
	} {
		p := members(t, "n1", "n2", "n3")
		if diff := cmp.Diff(c.want, grant(lease.NewGranter(c.rules, 7), p, 0)); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
	p := members(t, "n1", "n2", "n3")
	held := grant(
		lease.NewGranter(
			lease.Rules{MaxPerMember: 3, Rules: []lease.Rule{{Name: "a"}, {Name: "b"}, {Name: "c"}}},
			7,
		),
		p,
		0,
	)
	if p.LeaseCount("n1") != 1 || p.LeaseCount("n2") != 1 || p.LeaseCount("n3") != 1 {
		t.Errorf("not spread: %v", held)
	}
}

// Who loses a duty without giving it back waits longer each time; a name that is back in another
// life is not relied on before its lease is over.
func TestPauses(t *testing.T) {
	const again = 10 * time.Second
	p := members(t, "n1")
	g := lease.NewGranter(
		lease.Rules{MaxPerMember: 1, ExpiryBackoff: again, Rules: []lease.Rule{{Name: "a"}}},
		7,
	)
	now, life := time.Duration(0), uint64(10)
	grant(g, p, now)
	for _, pause := range []time.Duration{again, 2 * again, 4 * again} {
		life++
		p.Apply(
			placement.Change{
				Kind: placement.ChangeJoin,
				Member: placement.Member{
					Name:        "n1",
					Zone:        "hall1",
					Incarnation: life,
					Process:     uint32(life),
					LeaseNames:  []string{"a"},
				},
			},
		)
		if got := grant(g, p, now); len(got) > 0 {
			t.Errorf("granted at once: %v", got)
		}
		if got := grant(g, p, now+pause-time.Microsecond); len(got) > 0 {
			t.Errorf("granted before %v: %v", pause, got)
		}
		if now += pause; len(grant(g, p, now)) == 0 {
			t.Errorf("not granted after %v", pause)
		}
	}
	p = members(t, "n1", "n2")
	g = lease.NewGranter(
		lease.Rules{MaxPerMember: 1, Rules: []lease.Rule{{Name: "a", Zones: []string{"hall1"}}}},
		7,
	)
	grant(g, p, 0)
	p.Apply(
		placement.Change{
			Kind:   placement.ChangeJoin,
			Member: placement.Member{Name: "n1", Zone: "hall1", Incarnation: 9, Process: 9, LeaseNames: []string{"a"}},
		},
	)
	for now, want := range map[time.Duration]int{0: 0, lease.TTL: 0, lease.TTL + lease.ClockMargin: 1} {
		q := p.Clone()
		h := lease.NewGranter(
			lease.Rules{MaxPerMember: 1, Rules: []lease.Rule{{Name: "a", Zones: []string{"hall1"}}}},
			7,
		)
		grant(h, q, 0)
		if got := grant(h, q, now); len(got) != want {
			t.Errorf("after %v: %v", now, got)
		}
	}
}

// A holder believes for a lease from when it asked, goes by no word of a leader that knew a newer
// table, and does nothing once it gave back.
func TestHolder(t *testing.T) {
	p := members(t, "n1", "n2")
	grant(
		lease.NewGranter(
			lease.Rules{MaxPerMember: 1, Rules: []lease.Rule{{Name: "a", Members: []string{"n1"}}}},
			7,
		),
		p,
		0,
	)
	h := lease.NewHolder("n1", 1)
	h.SetTable(p)
	until := func(now time.Duration) time.Duration {
		if held := h.HeldLeases(now); len(held) == 1 {
			return held[0].ExpiresAt
		}
		return 0
	}
	if got, want := until(time.Millisecond), time.Millisecond+lease.TTL-lease.ClockMargin; got != want || until(want) != 0 {
		t.Errorf("until %v, and %v is wanted and no longer", got, want)
	}
	h.ConfirmLeader(500*time.Millisecond, p.Version+1)
	if got, want := until(time.Millisecond), time.Millisecond+lease.TTL-lease.ClockMargin; got != want {
		t.Errorf("until %v by a word of a leader that knew more", got)
	}
	q := p.Clone()
	q.Version++
	h.SetTable(q)
	if got, want := until(time.Millisecond), 500*time.Millisecond+lease.TTL-lease.ClockMargin; got != want {
		t.Errorf("until %v, and %v is wanted once it knows as much", got, want)
	}
	told := []bool{}
	done := func(ok bool) { told = append(told, ok) }
	h.SetHandover("a", []byte("1"), done)
	late := h.PendingChanges(0)
	h.SetHandover("a", []byte("2"), done)
	for _, c := range append(h.PendingChanges(0), late...) { // the first comes late
		q.Apply(c)
	}
	h.SetTable(q)
	if string(q.Lease("a").Handover) != "2" {
		t.Errorf("left is %q", q.Lease("a").Handover)
	}
	h.Release("a", []byte("3"), done)
	if until(time.Millisecond) != 0 {
		t.Error("it goes on with what it gave back")
	}
	for _, c := range h.PendingChanges(0) {
		q.Apply(c)
	}
	h.SetTable(q)
	h.SetHandover("a", []byte("4"), done)
	if diff := cmp.Diff([]bool{false, true, true, false}, told); diff != "" ||
		string(q.Lease("a").Handover) != "3" ||
		q.Lease("a").Holder != "" {
		t.Errorf("%s; %+v", diff, q.Lease("a"))
	}
}

// What is given back while its runner is held for lost is not taken for agreed on.
func TestGivenBackTooLate(t *testing.T) {
	p := members(t, "n1", "n2")
	grant(
		lease.NewGranter(
			lease.Rules{MaxPerMember: 1, Rules: []lease.Rule{{Name: "a", Members: []string{"n1"}}}},
			7,
		),
		p,
		0,
	)
	h := lease.NewHolder("n1", 1)
	h.SetTable(p)
	h.Release("a", []byte("late"), func(ok bool) {
		if ok {
			t.Error("told as agreed on")
		}
	})
	h.Renew(2)
	if p.Apply(placement.Change{Kind: placement.ChangeLost, Member: placement.Member{Name: "n1", Incarnation: 1}}); h.HasPendingChanges() {
		h.SetTable(p)
	}
	if d := p.Lease("a"); d.Holder != "" || len(d.Expirations) != 1 || h.HasPendingChanges() {
		t.Errorf("%+v, still says %v", d, h.HasPendingChanges())
	}
}

func TestFence(t *testing.T) {
	f := &lease.Fence{}
	for _, c := range []struct {
		duty  string
		token uint64
		ok    bool
	}{{"a", 5, true}, {"a", 5, true}, {"b", 4, true}, {"a", 4, false}, {"a", 0, false}, {"a", 6, true}, {"a", 5, false}, {"c", 0, false}} {
		if err := f.Check(c.duty, c.token); (err == nil) != c.ok ||
			err != nil && fault.Find(err).Kind.Name != "peers.fenced" {
			t.Errorf("%s under %d: %v", c.duty, c.token, err)
		}
	}
	g := &lease.Fence{}
	g.Restore(f.Tokens())
	if g.Check("a", 5) == nil {
		t.Error("what was seen is forgotten")
	}
}
