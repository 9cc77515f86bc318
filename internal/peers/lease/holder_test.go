package lease_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ryepaddle/internal/fault"
	"ryepaddle/internal/peers/lease"
	"ryepaddle/internal/peers/placement"
)

// newHolder returns the holder of lease a, and its table.
func newHolder(t *testing.T) (*lease.Holder, *placement.Table) {
	t.Helper()
	table := newTable(t, "n1", "n2")
	r := rules(1, lease.Rule{Name: "a", Members: []string{"n1"}})
	grant(lease.NewGranter(r, bootstrapTime), table, 0)
	h := lease.NewHolder("n1", 1)
	h.SetTable(table)
	return h, table
}

// expiry returns when the only lease that is held expires, or 0 if none is.
func expiry(h *lease.Holder, now time.Duration) time.Duration {
	if held := h.HeldLeases(now); len(held) == 1 {
		return held[0].ExpiresAt
	}
	return 0
}

// A holder relies on a lease for its time from when it asked, and on no confirmation by a leader
// with a newer table.
func TestHolderReliesOnALeaseFromWhenItAsked(t *testing.T) {
	h, table := newHolder(t)
	const now = time.Millisecond
	want := askedAt("n1") + lease.TTL - lease.ClockMargin
	if got := expiry(h, now); got != want || expiry(h, want) != 0 {
		t.Errorf("until %v, and %v is wanted and no longer", got, want)
	}
	const renewedAt = 500 * time.Millisecond
	h.ConfirmLeader(renewedAt, table.Version+1)
	if got := expiry(h, now); got != want {
		t.Errorf("until %v by a confirmation with a newer table", got)
	}
	newer := table.Clone()
	newer.Version++
	h.SetTable(newer)
	if got, want := expiry(h, now), renewedAt+lease.TTL-lease.ClockMargin; got != want {
		t.Errorf("until %v, and %v is wanted once it has that table", got, want)
	}
}

// A late handover does not replace a newer one, and a holder does nothing once it released the
// lease.
func TestHandoverAndReleaseAreAppliedInOrder(t *testing.T) {
	h, table := newHolder(t)
	const now = time.Millisecond
	outcomes := []bool{}
	done := func(ok bool) { outcomes = append(outcomes, ok) }
	h.SetHandover("a", []byte("1"), done)
	late := h.PendingChanges(0)
	h.SetHandover("a", []byte("2"), done)
	for _, c := range append(h.PendingChanges(0), late...) {
		table.Apply(c)
	}
	h.SetTable(table)
	if got := string(table.Lease("a").Handover); got != "2" {
		t.Errorf("the handover is %q", got)
	}
	h.Release("a", []byte("3"), done)
	if expiry(h, now) != 0 {
		t.Error("it goes on with a lease that it released")
	}
	for _, c := range h.PendingChanges(0) {
		table.Apply(c)
	}
	h.SetTable(table)
	h.SetHandover("a", []byte("4"), done)
	l := table.Lease("a")
	if diff := cmp.Diff([]bool{false, true, true, false}, outcomes); diff != "" ||
		string(l.Handover) != "3" || l.Holder != "" {
		t.Errorf("%s; %+v", diff, l)
	}
}

// A release by a runner that is declared lost meanwhile is not taken for committed.
func TestReleaseAfterTheLossIsNotCommitted(t *testing.T) {
	h, table := newHolder(t)
	h.Release("a", []byte("late"), func(ok bool) {
		if ok {
			t.Error("reported as committed")
		}
	})
	h.Renew(2)
	lost := placement.Member{Name: "n1", Incarnation: 1}
	if table.Apply(placement.Change{Kind: placement.ChangeLost, Member: lost}); h.HasPendingChanges() {
		h.SetTable(table)
	}
	if l := table.Lease("a"); l.Holder != "" || len(l.Expirations) != 1 || h.HasPendingChanges() {
		t.Errorf("%+v, still pending %v", l, h.HasPendingChanges())
	}
}

func TestFenceRejectsOlderTokens(t *testing.T) {
	f := &lease.Fence{}
	for _, tt := range []struct {
		lease string
		token uint64
		ok    bool
	}{
		{"a", 5, true},
		{"a", 5, true},
		{"b", 4, true},
		{"a", 4, false},
		{"a", 0, false},
		{"a", 6, true},
		{"a", 5, false},
		{"c", 0, false},
	} {
		err := f.Check(tt.lease, tt.token)
		if (err == nil) != tt.ok || err != nil && fault.Find(err).Kind.Name != "peers.fenced" {
			t.Errorf("%s under %d: %v", tt.lease, tt.token, err)
		}
	}
	restored := &lease.Fence{}
	restored.Restore(f.Tokens())
	if restored.Check("a", 5) == nil {
		t.Error("the tokens are not restored")
	}
}
