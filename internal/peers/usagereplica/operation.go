package usagereplica

import (
	"ryepaddle/internal/usage/ledger"
	"ryepaddle/internal/wallclock"
)

// Operation is one operation on a ledger. One of its first four fields is set.
type Operation struct {
	Use        *ledger.Record     `cbor:"1,keyasint,omitempty"`
	Correction *ledger.Correction `cbor:"2,keyasint,omitempty"`
	LostUses   uint64             `cbor:"3,keyasint,omitempty"` // uses that were never counted
	// SealDigest is the digest of the statement that seals the periods which have ended.
	SealDigest string              `cbor:"4,keyasint,omitempty"`
	At         wallclock.UnixMicro `cbor:"5,keyasint,omitempty"` // of a correction or a seal
}

// apply applies the operation to a ledger. It returns the statement of a seal, and reports whether
// the ledger came to the same as its runner's.
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
