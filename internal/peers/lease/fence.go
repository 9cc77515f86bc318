package lease

import "maps"

// maxFenced bounds the leases whose tokens a fence remembers.
const maxFenced = 1024

// Fence rejects acts under a lease whose token is lower than one that it has seen. It is kept by
// whatever takes the acts; the check and the act are one step there.
type Fence struct{ tokens map[string]uint64 }

// Check rejects an act under an older token, and remembers a newer one.
func (f *Fence) Check(lease string, token uint64) error {
	newest, known := f.tokens[lease]
	switch {
	case token == 0:
		return kindFenced.New("lease: an effect of %s without a token", lease)
	case token < newest:
		return kindFenced.New("lease: an effect of %s under token %d, and %d was seen", lease, token, newest)
	case !known && len(f.tokens) >= maxFenced:
		return kindFenced.New("lease: %s is one more than the %d duties that are known here", lease, maxFenced)
	}
	if f.tokens == nil {
		f.tokens = map[string]uint64{}
	}
	f.tokens[lease] = token
	return nil
}

// Tokens returns the highest tokens by lease, for a fence that outlives the process.
func (f *Fence) Tokens() map[string]uint64 { return maps.Clone(f.tokens) }

// Restore replaces the tokens by those of an earlier process.
func (f *Fence) Restore(tokens map[string]uint64) { f.tokens = maps.Clone(tokens) }
