package ledger

import (
	"github.com/cespare/xxhash/v2"

	"ryepaddle/internal/wallclock"
)

// Outcome is how a request ended.
type Outcome uint8

// The outcomes of requests. Their numbers are stored.
const (
	OutcomeServed    Outcome = iota + 1 // it ran and was answered; with an idempotency key, for the first time
	OutcomeDuplicate                    // its idempotency key was counted as served before
	OutcomeTimedOut                     // it missed its deadline
	OutcomeRejected                     // it never ran
	OutcomeFailed                       // it ended without a result in another way; it may have run
	OutcomeAbandoned                    // its caller disconnected
	outcomeCount
)

// Record says how one request ended and what it used.
type Record struct {
	AnsweredAt     wallclock.UnixMicro `cbor:"At"`
	Tenant         string              `cbor:"School"`
	Class          string              `cbor:"Class"`
	Outcome        Outcome             `cbor:"End"`
	Work           wallclock.Micros    `cbor:"Work"`  // time that servers spent on all its attempts
	Key            uint64              `cbor:"Key"`   // HashKey of its idempotency key; 0: it has none
	KeyExpiresAt   wallclock.UnixMicro `cbor:"Until"` // until then a request with the same key is a duplicate
	KnownDuplicate bool                `cbor:"Again"` // it is known to repeat another request
}

// HashKey returns the hash of an idempotency key, which is the same on all instances and never zero.
func HashKey(tenant, class, key string) uint64 {
	d := xxhash.New()
	for _, s := range []string{tenant, class, key} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	return max(d.Sum64(), 1)
}
