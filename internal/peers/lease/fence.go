package lease

import "maps"

// maxFenced bounds the leases whose tokens a fence remembers.
const maxFenced = 1024

// Fence rejects operations under a lease whose fencing token is lower than the highest that it has
// seen. The resource that executes the operations keeps it, and must check and execute each of them
// atomically.
type Fence struct{ tokens map[string]uint64 }

// Check returns an error for an operation under an older token, and remembers a newer one.
func (f *Fence) Check(lease string, token uint64) error {
	newest, known := f.tokens[lease]
	switch {
	case token == 0:
		return kindFenced.New("lease: operation under lease %s has no fencing token", lease)
	case token < newest:
		return kindFenced.New("lease: operation under lease %s has token %d, older than %d", lease, token, newest)
	case !known && len(f.tokens) >= maxFenced:
		return kindFenced.New("lease: token of %s not accepted: already tracking %d leases", lease, maxFenced)
	}
	if f.tokens == nil {
		f.tokens = map[string]uint64{}
	}
	f.tokens[lease] = token
	return nil
}

// Tokens returns the highest token of each lease, to be stored so that a later process can Restore
// them.
func (f *Fence) Tokens() map[string]uint64 { return maps.Clone(f.tokens) }

// Restore replaces the tokens by those that an earlier process stored.
func (f *Fence) Restore(tokens map[string]uint64) { f.tokens = maps.Clone(tokens) }
