package lease

import (
	"sync/atomic"
	"time"
)

// Snapshot publishes a runner's grants to any goroutine. Readers take no lock and allocate nothing.
// The single writer replaces all grants at once (read-copy-update) and does not change them
// afterwards.
type Snapshot struct{ grants atomic.Pointer[[]Grant] }

// Set replaces the grants, which must not be changed any more.
func (s *Snapshot) Set(grants []Grant) { s.grants.Store(&grants) }

// Holds reports whether the runner may rely on a lease at time now of its lease clock, and the token
// of its newest grant of that lease, or 0 if there is none.
func (s *Snapshot) Holds(name string, now time.Duration) (token uint64, ok bool) {
	grants := s.Grants()
	for i := range grants {
		if g := &grants[i]; g.Lease == name {
			return g.Token, now < g.ExpiresAt
		}
	}
	return 0, false
}

// Grants returns all grants. The caller must not change them.
func (s *Snapshot) Grants() []Grant {
	if grants := s.grants.Load(); grants != nil {
		return *grants
	}
	return nil
}
