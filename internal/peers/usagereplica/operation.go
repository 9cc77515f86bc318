package usagereplica

import (
	"ryepaddle/internal/usage/ledger"
	"ryepaddle/internal/wallclock"
)

// Operation is an operation on a ledger. Exactly one of the first four fields is set.
type Operation struct {
	Use        *ledger.Record     `cbor:"1,keyasint,omitempty"`
	Correction *ledger.Correction `cbor:"2,keyasint,omitempty"`
	LostUses   uint64             `cbor:"3,keyasint,omitempty"` // number of uses that were never counted
	// SealDigest is the digest of the statement that results from sealing the periods that have ended.
	SealDigest string              `cbor:"4,keyasint,omitempty"`
	At         wallclock.UnixMicro `cbor:"5,keyasint,omitempty"` // time of a correction or a seal
}

// apply applies the operation to a ledger. It returns the statement that a seal results in, and reports
// whether the effect is the same as on the primary's ledger.
func (o *Operation) apply(l *ledger.Ledger) (sealed *ledger.Statement, same bool) {
	switch {
	case o.Use != nil:
		l.Add(*o.Use)
	case o.Correction != nil:
		_, err := l.Correct(*o.Correction, o.At)
		return nil, err == nil
	case o.SealDigest != "":
		sealed = l.Seal(o.At)
		if sealed == nil || sealed.Digest() != o.SealDigest {
			return nil, false
		}
		l.MarkExported(sealed)
	default:
		l.AddLost(o.LostUses)
	}
	return sealed, true
}
