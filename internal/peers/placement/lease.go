package placement

import (
	"cmp"
	"slices"
)

// Lease is something that one member does at a time for all.
type Lease struct {
	Name   string `cbor:"1,keyasint"`
	Holder string `cbor:"2,keyasint,omitempty"` // empty: nobody
	Life   uint64 `cbor:"3,keyasint,omitempty"` // of the holder's membership
	// of the newest grant; it only grows, over all duties and consensus groups
	Token uint64 `cbor:"4,keyasint,omitempty"`
	Check []byte `cbor:"5,keyasint,omitempty"` // what the holder left for the next one
	// Abrupt says that the holder's name is back in another life, so that the one before may still
	// believe for as long as its lease lasts.
	Abrupt bool         `cbor:"6,keyasint,omitempty"`
	Lapses []Expiration `cbor:"7,keyasint,omitempty"` // who lost it without giving it back
	// by the holder's own clock: it asked then, before it was granted; 0: it is not known
	Asked int64  `cbor:"8,keyasint,omitempty"`
	Seq   uint64 `cbor:"9,keyasint,omitempty"`  // of the holder's changes that was the last
	Left  string `cbor:"10,keyasint,omitempty"` // who gave it back, until somebody has it
}

// Expiration is how often in a row a member lost a duty without giving it back.
type Expiration struct {
	Name  string `cbor:"1,keyasint"`
	Times int    `cbor:"2,keyasint"`
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
		t.Duties,
		name,
		func(d Lease, name string) int { return cmp.Compare(d.Name, name) },
	)
	if !ok {
		return nil
	}
	return &t.Duties[i]
}

// GrantToken is that of a grant in this table. A consensus group that begins anew counts its changes
// anew, but was born later.
func (t *Table) GrantToken() uint64 { return t.Born<<32 | t.Version&(1<<32-1) }

// applyLeaseChange takes a change of a duty. One by a member that does not hold it any more, or who knows less
// of it than the table, changes nothing.
func (t *Table) applyLeaseChange(c Change, m *Member) {
	d := t.Lease(c.Duty)
	if c.Kind == ChangeGrantLease {
		if m == nil || m.Life == 0 || m.Life != c.Member.Life || m.Leaving || t.Born == 0 {
			return
		}
		if d == nil {
			if c.Token != 0 || c.Duty == "" || len(t.Duties) >= MaxLeases {
				return
			}
			i, _ := slices.BinarySearchFunc(
				t.Duties,
				c.Duty,
				func(d Lease, name string) int { return cmp.Compare(d.Name, name) },
			)
			t.Duties = slices.Insert(t.Duties, i, Lease{Name: c.Duty})
			d = &t.Duties[i]
		}
		if d.Holder != "" || d.Token != c.Token {
			return
		}
		d.Holder, d.Life, d.Token, d.Abrupt, d.Asked, d.Seq, d.Left = m.Name, m.Life, t.GrantToken(), false, c.Asked, 0, ""
		return
	}
	if d == nil || d.Holder == "" || d.Holder != c.Member.Name || d.Token != c.Token ||
		len(c.Check) > MaxHandoverBytes ||
		c.Epoch <= d.Seq {
		return // a word that comes late does not take the place of a newer one
	}
	if d.Check, d.Seq = c.Check, c.Epoch; c.Kind == ChangeReleaseLease {
		d.Holder, d.Life, d.Left = "", 0, d.Holder
		d.Lapses = slices.DeleteFunc(
			slices.Clone(d.Lapses),
			func(l Expiration) bool { return l.Name == c.Member.Name },
		)
	}
}

// expireLeases takes all duties from a member that is lost, or whose name is back in another life.
func (t *Table) expireLeases(name string, abrupt bool) {
	for i := range t.Duties {
		d := &t.Duties[i]
		if d.Holder != name {
			continue
		}
		d.Holder, d.Life, d.Abrupt = "", 0, abrupt
		lapses, times := slices.Clone(d.Lapses), 1
		if j := slices.IndexFunc(lapses, func(l Expiration) bool { return l.Name == name }); j >= 0 {
			times += lapses[j].Times
			lapses = slices.Delete(lapses, j, j+1)
		}
		lapses = append(lapses, Expiration{name, times})
		d.Lapses = lapses[max(len(lapses)-maxExpirations, 0):]
	}
}

// LeaseCount is how many duties a member holds.
func (t *Table) LeaseCount(name string) (n int) {
	for i := range t.Duties {
		if t.Duties[i].Holder == name {
			n++
		}
	}
	return n
}
