package lease

import (
	"sync/atomic"
	"time"
)

// Snapshot is what a runner holds, for any goroutine to read: readers take no lock and allocate
// nothing. The single writer replaces the grants as a whole (read-copy-update); they are not changed
// after that.
type Snapshot struct{ grants atomic.Pointer[[]Grant] }

// Set replaces the grants.
func (s *Snapshot) Set(grants []Grant) { s.grants.Store(&grants) }

// Holds reports whether a lease may be relied on at a time of the holder's clock, and its token.
func (s *Snapshot) Holds(name string, now time.Duration) (token uint64, ok bool) {
	grants := s.Grants()
	for i := range grants {
		if g := &grants[i]; g.Lease == name {
			return g.Token, now < g.ExpiresAt
		}
	}
	return 0, false
}

// Grants returns all grants. They are not to be changed.
func (s *Snapshot) Grants() []Grant {
	if grants := s.grants.Load(); grants != nil {
		return *grants
	}
	return nil
}
