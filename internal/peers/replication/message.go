// Package replication is one runner's part in keeping what runners promise on several of them: it
// asks as the runner that has a request, orders and confirms as a primary, and keeps as a follower.
// It is free of I/O: messages and tables come in, messages and answers go out. Times are
// microseconds of a monotonic clock, and what is told of a window is the time that is left of it.
package replication

import "ryepaddle/internal/idempotency/store"

// MessageType is what a message is for.
type MessageType uint8

// The kinds of messages.
const (
	MsgPut        MessageType = iota + 1 // a runner asks a slot's primary to take a record
	MsgPutResp                           // what became of it
	MsgProbe                             // a primary begins an epoch
	MsgProbeResp                         // how far a holder has come
	MsgAppend                            // records to hold
	MsgAppendResp                        // they are held, up to a number
)

// Outcome is what an asker is told.
type Outcome uint8

// The words.
const (
	OutcomeGranted      Outcome = iota + 1 // the run may begin
	OutcomeOwnedByOther                    // it is another's: the entry says how that stands
	OutcomeStored                          // what was told is kept
	OutcomeRetry                           // not by this primary, or not yet
	OutcomeUnavailable                     // nothing new is taken, for a while
	OutcomeConflict                        // it contradicts what is kept
)

// Entry is a record as it travels: its Until and At stand for nothing, Left does.
type Entry struct {
	Seq       uint64        `cbor:"1,keyasint"` // its number in the slot
	Epoch     uint64        `cbor:"2,keyasint"` // in which it was made
	Remaining int64         `cbor:"3,keyasint"` // of its window
	Record    *store.Record `cbor:"4,keyasint"`
}

// EpochStart is the first record of an epoch.
type EpochStart struct {
	_        struct{} `cbor:",toarray"`
	Epoch    uint64
	FirstSeq uint64
}

// Message goes from one runner to another.
type Message struct {
	Type       MessageType `cbor:"1,keyasint"`
	From       string      `cbor:"2,keyasint"`
	To         string      `cbor:"3,keyasint"`
	Slot       int         `cbor:"4,keyasint"`
	Epoch      uint64      `cbor:"5,keyasint,omitempty"`
	RequestID  uint64      `cbor:"6,keyasint,omitempty"` // of an ask
	Outcome    Outcome     `cbor:"7,keyasint,omitempty"`
	InDoubt    bool        `cbor:"8,keyasint,omitempty"` // the process that runs it is gone
	RetryAfter int64       `cbor:"9,keyasint,omitempty"` // when to come back
	// MsgAppend: the number before the first; Opened: the epoch of the newest record
	Base uint64 `cbor:"10,keyasint,omitempty"`
	// MsgAppend: up to this number it is all; Kept, Opened: the newest that is held
	Seq         uint64       `cbor:"11,keyasint,omitempty"`
	Reset       bool         `cbor:"12,keyasint,omitempty"` // what was held before does not count
	Quarantine  int64        `cbor:"13,keyasint,omitempty"` // MsgAppend: for so long the slot takes nothing new
	EpochStarts []EpochStart `cbor:"14,keyasint,omitempty"`
	Entries     []Entry      `cbor:"15,keyasint,omitempty"`
	Incarnation uint64       `cbor:"16,keyasint,omitempty"` // of the sender
	Serial      uint64       `cbor:"17,keyasint"`           // the sender's messages in order
}
