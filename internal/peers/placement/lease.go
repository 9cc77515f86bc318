package placement

import (
	"cmp"
	"slices"

	"ryepaddle/internal/wallclock"
)

// Bounds of the leases in the table.
const (
	MaxLeases        = 64
	MaxHandoverBytes = 16 << 10 // of the handover of one lease
	maxExpirations   = 16       // members whose expirations are kept for one lease
)

// tokenVersionBits is the number of low bits of a token that hold the table's version. The bits above
// them hold the bootstrap time.
const tokenVersionBits = 32

// Lease is the right to do a task that only one member does at a time.
type Lease struct {
	Name        string `cbor:"1,keyasint"`
	Holder      string `cbor:"2,keyasint,omitempty"` // "": nobody
	Incarnation uint64 `cbor:"3,keyasint,omitempty"` // of the holder's membership
	// Token is the fencing token of the newest grant. Tokens increase with each grant, across all leases
	// and successive consensus groups of an installation.
	Token    uint64 `cbor:"4,keyasint,omitempty"`
	Handover []byte `cbor:"5,keyasint,omitempty"` // state that the holder leaves for the next holder
	// Abrupt is set if the last holder rejoined in another incarnation without having been declared lost,
	// so that its earlier incarnation may still rely on the lease until it expires.
	Abrupt bool `cbor:"6,keyasint,omitempty"`
	// Expirations count, by member, the losses of the lease without a release, the newest last.
	Expirations []Expiration `cbor:"7,keyasint,omitempty"`
	// AskedAt is when the holder asked for the lease before the grant, by its own lease clock; 0: not
	// known.
	AskedAt wallclock.Micros `cbor:"8,keyasint,omitempty"`
	Seq     uint64           `cbor:"9,keyasint,omitempty"` // of the holder's newest change under the token
	// ReleasedBy is the member that released the lease; it is empty once the lease is granted again.
	ReleasedBy string `cbor:"10,keyasint,omitempty"`
}

// Expiration is the number of times in a row that a member lost a lease without releasing it.
type Expiration struct {
	Name  string `cbor:"1,keyasint"` // of the member
	Count int    `cbor:"2,keyasint"`
}

// Lease returns the lease of that name, or nil if it was never granted.
func (t *Table) Lease(name string) *Lease {
	i, ok := t.searchLease(name)
	if !ok {
		return nil
	}
	return &t.Leases[i]
}

// searchLease returns the index at which the lease of that name is or would be inserted, and whether
// it exists.
func (t *Table) searchLease(name string) (int, bool) {
	byName := func(l Lease, name string) int { return cmp.Compare(l.Name, name) }
	return slices.BinarySearchFunc(t.Leases, name, byName)
}

// GrantToken returns the token of a lease that the table's newest change grants. The bootstrap time in
// its high bits keeps tokens increasing after a new consensus group was formed, whose version starts
// at 0 again.
func (t *Table) GrantToken() uint64 {
	return t.BootstrapTime<<tokenVersionBits | t.Version&(1<<tokenVersionBits-1)
}

// LeaseCount returns how many leases a member holds.
func (t *Table) LeaseCount(name string) (n int) {
	for i := range t.Leases {
		if t.Leases[i].Holder == name {
			n++
		}
	}
	return n
}

// applyLeaseChange applies a change of a lease. A change other than a grant is ignored if its member
// does not hold the lease, if its token or sequence number is outdated, or if its handover exceeds
// MaxHandoverBytes.
func (t *Table) applyLeaseChange(c Change, m *Member) {
	if c.Kind == ChangeGrantLease {
		t.grantLease(c, m)
		return
	}
	l := t.Lease(c.Lease)
	if l == nil || l.Holder == "" || l.Holder != c.Member.Name || l.Token != c.Token ||
		len(c.Handover) > MaxHandoverBytes {
		return
	}
	if c.Epoch <= l.Seq { // a delayed change does not replace a newer one
		return
	}
	l.Handover = c.Handover
	l.Seq = c.Epoch
	if c.Kind == ChangeReleaseLease {
		l.Holder, l.Incarnation, l.ReleasedBy = "", 0, l.Holder
		l.Expirations, _ = withoutExpiration(l.Expirations, c.Member.Name)
	}
}

// grantLease grants a lease without a holder to a member.
func (t *Table) grantLease(c Change, m *Member) {
	if m == nil || m.Incarnation == 0 || m.Incarnation != c.Member.Incarnation || m.Leaving ||
		t.BootstrapTime == 0 {
		return
	}
	l := t.Lease(c.Lease)
	if l == nil {
		if c.Token != 0 || c.Lease == "" || len(t.Leases) >= MaxLeases {
			return
		}
		i, _ := t.searchLease(c.Lease)
		t.Leases = slices.Insert(t.Leases, i, Lease{Name: c.Lease})
		l = &t.Leases[i]
	}
	if l.Holder != "" || l.Token != c.Token {
		return
	}
	l.Holder, l.Incarnation, l.Token = m.Name, m.Incarnation, t.GrantToken()
	l.Abrupt = false
	l.AskedAt = c.AskedAt
	l.Seq = 0
	l.ReleasedBy = ""
}

// expireLeases takes all leases from a member that is lost or, with abrupt, has rejoined in another
// incarnation without having been declared lost.
func (t *Table) expireLeases(name string, abrupt bool) {
	for i := range t.Leases {
		l := &t.Leases[i]
		if l.Holder != name {
			continue
		}
		l.Holder = ""
		l.Incarnation = 0
		l.Abrupt = abrupt
		rest, before := withoutExpiration(l.Expirations, name)
		expirations := append(rest, Expiration{name, before + 1})
		l.Expirations = expirations[max(len(expirations)-maxExpirations, 0):]
	}
}

// withoutExpiration returns a copy of expirations without the one of a member, and the count of that
// one, or 0 if there is none.
func withoutExpiration(expirations []Expiration, name string) (rest []Expiration, count int) {
	rest = slices.Clone(expirations)
	i := slices.IndexFunc(rest, func(e Expiration) bool { return e.Name == name })
	if i < 0 {
		return rest, 0
	}
	count = rest[i].Count
	return slices.Delete(rest, i, i+1), count
}
