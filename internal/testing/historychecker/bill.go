package historychecker

import (
	"fmt"

	"ryepaddle/internal/usage/ledger"
)

// CheckBill checks the bill of a class of requests with idempotency keys: each key that was served must be
// billed once, and no key that did not run may be billed. ran is how often servers ran each key. hashKey
// returns the hash under which statements list a key.
func (h *History) CheckBill(
	class string,
	bill *ledger.Bill,
	statements []*ledger.Statement,
	ran map[string]int,
	hashKey func(string) uint64,
) (v Verdict) {
	for _, p := range bill.Problems {
		v = append(v, "bill: "+p.String())
	}
	listed := map[uint64]bool{}
	for _, s := range statements {
		for _, k := range s.Keys {
			listed[k.Hash] = true
		}
	}
	served := h.servedKeys()
	for _, key := range served {
		if !listed[hashKey(key)] {
			v = append(v, key+" was served and is in no statement")
		}
	}
	for key := range ran {
		delete(listed, hashKey(key))
	}
	if len(listed) > 0 {
		v = append(v, fmt.Sprintf("%d keys are in statements that never ran", len(listed)))
	}
	billed := int64(0)
	for _, line := range bill.Lines {
		if line.Class == class {
			billed += line.Served
		}
	}
	if billed < int64(len(served)) || billed > int64(len(ran)) {
		v = append(v, fmt.Sprintf("%d are billed; %d keys were served and %d ran", billed, len(served), len(ran)))
	}
	return v
}

// servedKeys returns the keys that were served, each once, in the order of the records.
func (h *History) servedKeys() (keys []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := map[string]bool{}
	for _, r := range h.records {
		if r.Response.Outcome == Served && !seen[r.Key] {
			seen[r.Key] = true
			keys = append(keys, r.Key)
		}
	}
	return keys
}
