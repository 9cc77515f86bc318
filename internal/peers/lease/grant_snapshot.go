package lease

import "sync/atomic"

// Snapshot is what a runner holds, for any thread to look at: readers take no lock, wait for nobody
// and allocate nothing. One writer puts the next snapshot in the place of the one before, which is
// not changed any more (read-copy-update).
type Snapshot struct{ grants atomic.Pointer[[]Grant] }

// Set puts the next snapshot.
func (b *Snapshot) Set(grants []Grant) { b.grants.Store(&grants) }

// Holds tells whether a duty may be done at a time of the holder's clock, and under which token.
func (b *Snapshot) Holds(name string, now int64) (token uint64, ok bool) {
	p := b.grants.Load()
	if p == nil {
		return 0, false
	}
	for i := range *p {
		if g := &(*p)[i]; g.Lease == name {
			return g.Token, now < g.ExpiresAt
		}
	}
	return 0, false
}

// Grants is all of it.
func (b *Snapshot) Grants() []Grant {
	if p := b.grants.Load(); p != nil {
		return *p
	}
	return nil
}
