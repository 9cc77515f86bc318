package duty

import "sync/atomic"

// Book is what a runner holds, for any thread to look at: readers take no lock, wait for nobody and allocate nothing. One writer puts the next
// page in the place of the one before, which is not changed any more (read-copy-update).
type Book struct{ page atomic.Pointer[[]Grant] }

// Set puts the next page.
func (b *Book) Set(grants []Grant) { b.page.Store(&grants) }

// Holds tells whether a duty may be done at a time of the holder's clock, and under which token.
func (b *Book) Holds(name string, now int64) (token uint64, ok bool) {
	p := b.page.Load()
	if p == nil {
		return 0, false
	}
	for i := range *p {
		if g := &(*p)[i]; g.Name == name {
			return g.Token, now < g.Until
		}
	}
	return 0, false
}

// Page is all of it.
func (b *Book) Page() []Grant {
	if p := b.page.Load(); p != nil {
		return *p
	}
	return nil
}
