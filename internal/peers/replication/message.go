package replication

import (
	"fmt"

	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/wallclock"
)

// MessageType is what a message is for.
type MessageType uint8

// The types of messages. Their numbers are part of the protocol.
const (
	MsgPut        MessageType = iota + 1 // a runner asks a slot's primary to store a record
	MsgPutResp                           // the outcome of a MsgPut
	MsgProbe                             // a primary begins an epoch and asks what a replica has
	MsgProbeResp                         // the newest record that a replica has
	MsgAppend                            // records to store
	MsgAppendResp                        // the newest record up to which all are stored
)

// String returns the type's name.
func (t MessageType) String() string {
	switch t {
	case MsgPut:
		return "MsgPut"
	case MsgPutResp:
		return "MsgPutResp"
	case MsgProbe:
		return "MsgProbe"
	case MsgProbeResp:
		return "MsgProbeResp"
	case MsgAppend:
		return "MsgAppend"
	case MsgAppendResp:
		return "MsgAppendResp"
	}
	return fmt.Sprintf("MessageType(%d)", uint8(t))
}

// Outcome is how a primary answers a MsgPut.
type Outcome uint8

// The outcomes. Their numbers are part of the protocol.
const (
	OutcomeGranted      Outcome = iota + 1 // the run may begin
	OutcomeOwnedByOther                    // another attempt owns the key: the entry is its record
	OutcomeStored                          // the end of a run is stored
	OutcomeRetry                           // this primary cannot answer, or not yet
	OutcomeUnavailable                     // no new keys are accepted for a while
	OutcomeConflict                        // it contradicts the record that is stored
)

// String returns the outcome in words.
func (o Outcome) String() string {
	switch o {
	case OutcomeGranted:
		return "granted"
	case OutcomeOwnedByOther:
		return "owned by another attempt"
	case OutcomeStored:
		return "stored"
	case OutcomeRetry:
		return "retry"
	case OutcomeUnavailable:
		return "unavailable"
	case OutcomeConflict:
		return "conflict"
	}
	return fmt.Sprintf("Outcome(%d)", uint8(o))
}

// Entry is a record with its place in the order of its slot. Remaining says how much of the key's
// window is left; the times of the record itself are not used.
type Entry struct {
	Seq       uint64           `cbor:"1,keyasint"`
	Epoch     uint64           `cbor:"2,keyasint"` // in which the primary accepted it
	Remaining wallclock.Micros `cbor:"3,keyasint"`
	Record    *store.Record    `cbor:"4,keyasint"`
}

// EpochStart is the number of the first record of an epoch.
type EpochStart struct {
	_        struct{} `cbor:",toarray"`
	Epoch    uint64
	FirstSeq uint64
}

// Message goes from one runner to another.
type Message struct {
	Type      MessageType `cbor:"1,keyasint"`
	From      string      `cbor:"2,keyasint"`
	To        string      `cbor:"3,keyasint"`
	Slot      int         `cbor:"4,keyasint"`
	Epoch     uint64      `cbor:"5,keyasint,omitempty"`
	RequestID uint64      `cbor:"6,keyasint,omitempty"` // MsgPut and MsgPutResp
	// MsgPutResp: the outcome. MsgPut: OutcomeGranted asks for the key, OutcomeOwnedByOther for the
	// end of the run of another attempt.
	Outcome Outcome `cbor:"7,keyasint,omitempty"`
	// MsgPutResp: the process of the run is lost, so that it is not known whether the run ended
	InDoubt bool `cbor:"8,keyasint,omitempty"`
	// MsgPutResp: the earliest time for a retry; 0: at any time
	RetryAfter wallclock.Micros `cbor:"9,keyasint,omitempty"`
	// MsgAppend: the number before the first entry; MsgProbeResp: the epoch of the newest record
	Base uint64 `cbor:"10,keyasint,omitempty"`
	// MsgAppend: the entries are all up to this number; MsgProbeResp and MsgAppendResp: the newest
	// record that is stored
	Seq   uint64 `cbor:"11,keyasint,omitempty"`
	Reset bool   `cbor:"12,keyasint,omitempty"` // MsgAppend: drop what was stored before
	// MsgAppend: how long the slot accepts no new keys
	Quarantine  wallclock.Micros `cbor:"13,keyasint,omitempty"`
	EpochStarts []EpochStart     `cbor:"14,keyasint,omitempty"`
	Entries     []Entry          `cbor:"15,keyasint,omitempty"`
	Incarnation uint64           `cbor:"16,keyasint,omitempty"` // the sender's
	Serial      uint64           `cbor:"17,keyasint"`           // counts the sender's messages
}
