package lease

import "maps"

// maxFenced bounds the duties that a fence knows.
const maxFenced = 1024

// Fence is kept by whatever takes the effects of duties. No lease saves from a holder that stops
// between its look at the clock and its act; a fence does: it takes no effect under a token that is
// lower than one that it has seen. Look and effect are one step.
type Fence struct{ tokens map[string]uint64 }

// Check looks at the token of an effect, and remembers it.
func (f *Fence) Check(duty string, token uint64) error {
	newest, known := f.tokens[duty]
	switch {
	case token == 0:
		return kindFenced.New("lease: an effect of %s without a token", duty)
	case token < newest:
		return kindFenced.New("lease: an effect of %s under token %d, and %d was seen", duty, token, newest)
	case !known && len(f.tokens) >= maxFenced:
		return kindFenced.New("lease: %s is one more than the %d duties that are known here", duty, maxFenced)
	}
	if f.tokens == nil {
		f.tokens = map[string]uint64{}
	}
	f.tokens[duty] = token
	return nil
}

// Tokens are the highest tokens by duty, for where they outlive a process.
func (f *Fence) Tokens() map[string]uint64 { return maps.Clone(f.tokens) }

// Restore takes what was seen before.
func (f *Fence) Restore(seen map[string]uint64) { f.tokens = maps.Clone(seen) }
