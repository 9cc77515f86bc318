package replication

import (
	"fmt"

	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/wallclock"
)

// MessageType is the type of a Message.
type MessageType uint8

// The types of messages. Their numbers are part of the protocol.
const (
	MsgPut        MessageType = iota + 1 // asks a slot's primary to store a record
	MsgPutResp                           // the outcome of a MsgPut
	MsgProbe                             // a primary that begins an epoch asks a replica for its newest record
	MsgProbeResp                         // the epoch and sequence number of the replica's newest record
	MsgAppend                            // records for a follower to store
	MsgAppendResp                        // the sender has stored all records up to Seq
)

// String returns the name of the constant.
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

// Outcome is a primary's decision on a MsgPut.
type Outcome uint8

// The outcomes of a MsgPut. Their numbers are part of the protocol.
const (
	OutcomeGranted      Outcome = iota + 1 // the run may begin
	OutcomeOwnedByOther                    // another attempt owns the key; the message's entry is its record
	OutcomeStored                          // the record of a run that ended or never began is stored
	OutcomeRetry                           // the receiver is not the primary, or cannot commit records yet
	OutcomeUnavailable                     // new keys are rejected until RetryAfter is over
	OutcomeConflict                        // the request contradicts the stored record
)

// String returns the outcome as lower-case words.
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

// Entry is a record with its position in the log of its slot. Remaining is the time left of the key's
// window; the times within the record are not used.
type Entry struct {
	Seq       uint64           `cbor:"1,keyasint"`
	Epoch     uint64           `cbor:"2,keyasint"` // epoch in which the primary accepted the record
	Remaining wallclock.Micros `cbor:"3,keyasint"`
	Record    *store.Record    `cbor:"4,keyasint"`
}

// EpochStart is an epoch and the sequence number of its first record.
type EpochStart struct {
	_        struct{} `cbor:",toarray"`
	Epoch    uint64
	FirstSeq uint64
}

// Message is a message of the replication protocol between two runners.
type Message struct {
	Type      MessageType `cbor:"1,keyasint"`
	From      string      `cbor:"2,keyasint"`
	To        string      `cbor:"3,keyasint"`
	Slot      int         `cbor:"4,keyasint"`
	Epoch     uint64      `cbor:"5,keyasint,omitempty"`
	RequestID uint64      `cbor:"6,keyasint,omitempty"` // MsgPut and MsgPutResp
	// MsgPutResp: the outcome. MsgPut: the outcome that the sender waits for. OutcomeGranted requests
	// the key, OutcomeOwnedByOther waits for the end of another attempt's run.
	Outcome Outcome `cbor:"7,keyasint,omitempty"`
	// MsgPutResp: the process that began the run is lost; whether the run ended is unknown
	InDoubt bool `cbor:"8,keyasint,omitempty"`
	// MsgPutResp: delay before the earliest retry; 0: the request may be retried at once
	RetryAfter wallclock.Micros `cbor:"9,keyasint,omitempty"`
	// MsgAppend: the sequence number before the first entry; MsgProbeResp: the epoch of the newest
	// record
	Base uint64 `cbor:"10,keyasint,omitempty"`
	// MsgAppend: the entries are complete up to this sequence number; MsgProbeResp and MsgAppendResp:
	// the sequence number of the newest stored record
	Seq   uint64 `cbor:"11,keyasint,omitempty"`
	Reset bool   `cbor:"12,keyasint,omitempty"` // MsgAppend: drop all stored records first
	// MsgAppend: remaining time during which the slot accepts no new keys
	Quarantine  wallclock.Micros `cbor:"13,keyasint,omitempty"`
	EpochStarts []EpochStart     `cbor:"14,keyasint,omitempty"`
	Entries     []Entry          `cbor:"15,keyasint,omitempty"`
	Incarnation uint64           `cbor:"16,keyasint,omitempty"` // of the sender's membership
	Serial      uint64           `cbor:"17,keyasint"`           // numbers the sender's messages
}
