package placement

import (
	"cmp"
	"slices"
)

// Lease is something that one member does at a time for all.
type Lease struct {
	Name        string `cbor:"1,keyasint"`
	Holder      string `cbor:"2,keyasint,omitempty"` // empty: nobody
	Incarnation uint64 `cbor:"3,keyasint,omitempty"` // of the holder's membership
	// of the newest grant; it only grows, over all duties and consensus groups
	Token    uint64 `cbor:"4,keyasint,omitempty"`
	Handover []byte `cbor:"5,keyasint,omitempty"` // what the holder left for the next one
	// Abrupt says that the holder's name is back in another life, so that the one before may still
	// believe for as long as its lease lasts.
	Abrupt      bool         `cbor:"6,keyasint,omitempty"`
	Expirations []Expiration `cbor:"7,keyasint,omitempty"` // who lost it without giving it back
	// by the holder's own clock: it asked then, before it was granted; 0: it is not known
	AskedAt    int64  `cbor:"8,keyasint,omitempty"`
	Seq        uint64 `cbor:"9,keyasint,omitempty"`  // of the holder's changes that was the last
	ReleasedBy string `cbor:"10,keyasint,omitempty"` // who gave it back, until somebody has it
}

// Expiration is how often in a row a member lost a duty without giving it back.
type Expiration struct {
	Name  string `cbor:"1,keyasint"`
	Count int    `cbor:"2,keyasint"`
}

// Bounds of what the table has of duties.
const (
	MaxLeases        = 64
	MaxHandoverBytes = 16 << 10 // bytes that one holder leaves for the next
	maxExpirations   = 16       // members that are remembered for a duty
)

// Lease is the one of that name; nil: nobody ever held it.
func (t *Table) Lease(name string) *Lease {
	i, ok := slices.BinarySearchFunc(
		t.Leases,
		name,
		func(d Lease, name string) int { return cmp.Compare(d.Name, name) },
	)
	if !ok {
		return nil
	}
	return &t.Leases[i]
}

// GrantToken is that of a grant in this table. A consensus group that begins anew counts its changes
// anew, but was born later.
func (t *Table) GrantToken() uint64 { return t.BootstrapTime<<32 | t.Version&(1<<32-1) }

// applyLeaseChange takes a change of a duty. One by a member that does not hold it any more, or who knows less
// of it than the table, changes nothing.
func (t *Table) applyLeaseChange(c Change, m *Member) {
	d := t.Lease(c.Lease)
	if c.Kind == ChangeGrantLease {
		if m == nil || m.Incarnation == 0 || m.Incarnation != c.Member.Incarnation || m.Leaving || t.BootstrapTime == 0 {
			return
		}
		if d == nil {
			if c.Token != 0 || c.Lease == "" || len(t.Leases) >= MaxLeases {
				return
			}
			i, _ := slices.BinarySearchFunc(
				t.Leases,
				c.Lease,
				func(d Lease, name string) int { return cmp.Compare(d.Name, name) },
			)
			t.Leases = slices.Insert(t.Leases, i, Lease{Name: c.Lease})
			d = &t.Leases[i]
		}
		if d.Holder != "" || d.Token != c.Token {
			return
		}
		d.Holder, d.Incarnation, d.Token, d.Abrupt, d.AskedAt, d.Seq, d.ReleasedBy = m.Name, m.Incarnation, t.GrantToken(), false, c.AskedAt, 0, ""
		return
	}
	if d == nil || d.Holder == "" || d.Holder != c.Member.Name || d.Token != c.Token ||
		len(c.Handover) > MaxHandoverBytes ||
		c.Epoch <= d.Seq {
		return // a word that comes late does not take the place of a newer one
	}
	if d.Handover, d.Seq = c.Handover, c.Epoch; c.Kind == ChangeReleaseLease {
		d.Holder, d.Incarnation, d.ReleasedBy = "", 0, d.Holder
		d.Expirations = slices.DeleteFunc(
			slices.Clone(d.Expirations),
			func(l Expiration) bool { return l.Name == c.Member.Name },
		)
	}
}

// expireLeases takes all duties from a member that is lost, or whose name is back in another life.
func (t *Table) expireLeases(name string, abrupt bool) {
	for i := range t.Leases {
		d := &t.Leases[i]
		if d.Holder != name {
			continue
		}
		d.Holder, d.Incarnation, d.Abrupt = "", 0, abrupt
		lapses, times := slices.Clone(d.Expirations), 1
		if j := slices.IndexFunc(lapses, func(l Expiration) bool { return l.Name == name }); j >= 0 {
			times += lapses[j].Count
			lapses = slices.Delete(lapses, j, j+1)
		}
		lapses = append(lapses, Expiration{name, times})
		d.Expirations = lapses[max(len(lapses)-maxExpirations, 0):]
	}
}

// LeaseCount is how many duties a member holds.
func (t *Table) LeaseCount(name string) (n int) {
	for i := range t.Leases {
		if t.Leases[i].Holder == name {
			n++
		}
	}
	return n
}
