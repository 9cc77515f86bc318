package lease_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ryepaddle/internal/fault"
	"ryepaddle/internal/peers/lease"
	"ryepaddle/internal/peers/placement"
)

// newHolder returns a Holder whose runner n1 holds lease a, and its table.
func newHolder(t *testing.T) (*lease.Holder, *placement.Table) {
	t.Helper()
	table := newTable(t, "n1", "n2")
	r := rules(1, lease.Rule{Name: "a", Members: []string{"n1"}})
	grant(lease.NewGranter(r, bootstrapTime), table, 0)
	h := lease.NewHolder("n1", 1)
	h.SetTable(table)
	return h, table
}

// expiry returns the time at which the only held lease expires, or 0 if none is held.
func expiry(h *lease.Holder, now time.Duration) time.Duration {
	if held := h.HeldLeases(now); len(held) == 1 {
		return held[0].ExpiresAt
	}
	return 0
}

// A holder relies on a lease for its duration from the time at which it asked. A confirmation by a
// leader with a newer table does not count until the holder has that table.
func TestHolderReliesOnALeaseFromWhenItAsked(t *testing.T) {
	h, table := newHolder(t)
	const now = time.Millisecond
	want := askedAt("n1") + lease.TTL - lease.ClockMargin
	if got := expiry(h, now); got != want || expiry(h, want) != 0 {
		t.Errorf("lease expires at %v, want %v and not held from then on", got, want)
	}
	const renewedAt = 500 * time.Millisecond
	h.ConfirmLeader(renewedAt, table.Version+1)
	if got := expiry(h, now); got != want {
		t.Errorf("lease expires at %v after a confirmation with a newer table, want no change", got)
	}
	newer := table.Clone()
	newer.Version++
	h.SetTable(newer)
	if got, want := expiry(h, now), renewedAt+lease.TTL-lease.ClockMargin; got != want {
		t.Errorf("lease expires at %v once the holder has the newer table, want %v", got, want)
	}
}

// A delayed handover does not replace a newer one. A holder that has released a lease neither relies
// on it nor sets its handover any more.
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
		t.Errorf("handover = %q, want \"2\"", got)
	}
	h.Release("a", []byte("3"), done)
	if expiry(h, now) != 0 {
		t.Error("the holder relies on a lease that it released")
	}
	for _, c := range h.PendingChanges(0) {
		table.Apply(c)
	}
	h.SetTable(table)
	h.SetHandover("a", []byte("4"), done)
	l := table.Lease("a")
	if diff := cmp.Diff([]bool{false, true, true, false}, outcomes); diff != "" ||
		string(l.Handover) != "3" || l.Holder != "" {
		t.Errorf("outcomes differ (-want +got):\n%s\nlease = %+v, want handover 3 and no holder", diff, l)
	}
}

// A release is not reported as committed if the runner was declared lost before the commit.
func TestReleaseAfterTheLossIsNotCommitted(t *testing.T) {
	h, table := newHolder(t)
	h.Release("a", []byte("late"), func(ok bool) {
		if ok {
			t.Error("the release is reported as committed")
		}
	})
	h.Renew(2)
	lost := placement.Member{Name: "n1", Incarnation: 1}
	if table.Apply(placement.Change{Kind: placement.ChangeLost, Member: lost}); h.HasPendingChanges() {
		h.SetTable(table)
	}
	if l := table.Lease("a"); l.Holder != "" || len(l.Expirations) != 1 || h.HasPendingChanges() {
		t.Errorf("lease = %+v, want no holder and 1 expiration; HasPendingChanges() = %v, want false",
			l, h.HasPendingChanges())
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
			t.Errorf("Check(%q, %d) = %v, want peers.fenced for an older or no token", tt.lease, tt.token, err)
		}
	}
	restored := &lease.Fence{}
	restored.Restore(f.Tokens())
	if restored.Check("a", 5) == nil {
		t.Error("a restored fence accepts a token older than the stored one")
	}
}
