package historychecker

import (
	"fmt"

	"ryepaddle/internal/usage/ledger"
)

// CheckBill holds the bill of a class of keyed requests against what callers were told and what
// servers ran: each key that was served to anybody is billed, and billed once, and nothing that did
// not run is. KeyOf is what stands for a key in statements.
func (h *History) CheckBill(
	class string,
	b *ledger.Bill,
	list []*ledger.Statement,
	ran map[string]int,
	keyOf func(string) uint64,
) (v Verdict) {
	for _, p := range b.Problems {
		v = append(v, "bill: "+p.String())
	}
	listed := map[uint64]bool{}
	for _, s := range list {
		for _, k := range s.Keys {
			listed[k.Hash] = true
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := map[string]bool{}
	for _, r := range h.records {
		if r.Response.Outcome == Served && !seen[r.Key] {
			if seen[r.Key] = true; !listed[keyOf(r.Key)] {
				v = append(v, r.Key+" was served and is in no statement")
			}
		}
	}
	for key := range ran {
		delete(listed, keyOf(key))
	}
	if len(listed) > 0 {
		v = append(v, fmt.Sprintf("%d keys are in statements that never ran", len(listed)))
	}
	served := int64(0)
	for _, l := range b.Lines {
		if l.Class == class {
			served += l.Served
		}
	}
	if served < int64(len(seen)) || served > int64(len(ran)) {
		v = append(
			v,
			fmt.Sprintf("%d are billed; %d keys were served and %d ran", served, len(seen), len(ran)),
		)
	}
	return v
}
