// Package replication is one runner's part in keeping what runners promise on several of them: it
// asks as the runner that has a request, orders and confirms as a primary, and keeps as a follower.
// It is free of I/O: messages and tables come in, messages and answers go out. Times are
// microseconds of a monotonic clock, and what is told of a window is the time that is left of it.
package replication

import "ryepaddle/internal/idempotency/store"

// Kind is what a message is for.
type Kind uint8

// The kinds of messages.
const (
	Ask    Kind = iota + 1 // a runner asks a slot's primary to take a record
	Told                   // what became of it
	Open                   // a primary begins an epoch
	Opened                 // how far a holder has come
	Keep                   // records to hold
	Kept                   // they are held, up to a number
)

// Word is what an asker is told.
type Word uint8

// The words.
const (
	Mine   Word = iota + 1 // the run may begin
	Theirs                 // it is another's: the entry says how that stands
	Done                   // what was told is kept
	Again                  // not by this primary, or not yet
	Shut                   // nothing new is taken, for a while
	Denied                 // it contradicts what is kept
)

// Entry is a record as it travels: its Until and At stand for nothing, Left does.
type Entry struct {
	Seq    uint64        `cbor:"1,keyasint"` // its number in the slot
	Epoch  uint64        `cbor:"2,keyasint"` // in which it was made
	Left   int64         `cbor:"3,keyasint"` // of its window
	Record *store.Record `cbor:"4,keyasint"`
}

// Era is the first record of an epoch.
type Era struct {
	_     struct{} `cbor:",toarray"`
	Epoch uint64
	First uint64
}

// Message goes from one runner to another.
type Message struct {
	Kind  Kind   `cbor:"1,keyasint"`
	From  string `cbor:"2,keyasint"`
	To    string `cbor:"3,keyasint"`
	Slot  int    `cbor:"4,keyasint"`
	Epoch uint64 `cbor:"5,keyasint,omitempty"`
	ID    uint64 `cbor:"6,keyasint,omitempty"` // of an ask
	Word  Word   `cbor:"7,keyasint,omitempty"`
	Doubt bool   `cbor:"8,keyasint,omitempty"` // the process that runs it is gone
	Back  int64  `cbor:"9,keyasint,omitempty"` // when to come back
	// Keep: the number before the first; Opened: the epoch of the newest record
	Base uint64 `cbor:"10,keyasint,omitempty"`
	// Keep: up to this number it is all; Kept, Opened: the newest that is held
	Seq     uint64  `cbor:"11,keyasint,omitempty"`
	Reset   bool    `cbor:"12,keyasint,omitempty"` // what was held before does not count
	Quiet   int64   `cbor:"13,keyasint,omitempty"` // Keep: for so long the slot takes nothing new
	Eras    []Era   `cbor:"14,keyasint,omitempty"`
	Entries []Entry `cbor:"15,keyasint,omitempty"`
	Life    uint64  `cbor:"16,keyasint,omitempty"` // of the sender
	No      uint64  `cbor:"17,keyasint"`           // the sender's messages in order
}
