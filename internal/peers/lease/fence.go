package lease

import "maps"

// mostFenced bounds the duties that a fence knows.
const mostFenced = 1024

// Fence is kept by whatever takes the effects of duties. No lease saves from a holder that stops
// between its look at the clock and its act; a fence does: it takes no effect under a token that is
// lower than one that it has seen. Look and effect are one step.
type Fence struct{ seen map[string]uint64 }

// Check looks at the token of an effect, and remembers it.
func (f *Fence) Check(duty string, token uint64) error {
	newest, known := f.seen[duty]
	switch {
	case token == 0:
		return fenced.New("lease: an effect of %s without a token", duty)
	case token < newest:
		return fenced.New("lease: an effect of %s under token %d, and %d was seen", duty, token, newest)
	case !known && len(f.seen) >= mostFenced:
		return fenced.New("lease: %s is one more than the %d duties that are known here", duty, mostFenced)
	}
	if f.seen == nil {
		f.seen = map[string]uint64{}
	}
	f.seen[duty] = token
	return nil
}

// Tokens are the highest tokens by duty, for where they outlive a process.
func (f *Fence) Tokens() map[string]uint64 { return maps.Clone(f.seen) }

// Restore takes what was seen before.
func (f *Fence) Restore(seen map[string]uint64) { f.seen = maps.Clone(seen) }
