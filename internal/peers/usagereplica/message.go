package usagereplica

import (
	"fmt"

	"ryepaddle/internal/usage/ledger"
)

// MessageType is the type of a Message.
type MessageType uint8

// The types of messages. Their numbers are part of the protocol.
const (
	MsgAppend          MessageType = iota + 1 // operations from a primary
	MsgSnapshot                               // a part of the ledger's current state from a primary
	MsgStatement                              // a statement; without its bytes it asks whether the receiver has it
	MsgDrop                                   // the receiver is to drop the ledger, as its current replicas have it
	MsgProgress                               // the operations or snapshot parts that a replica has
	MsgStatementStored                        // the sender has the statement
	MsgStatementWanted                        // the sender does not have the statement
)

// String returns the name of the constant.
func (t MessageType) String() string {
	switch t {
	case MsgAppend:
		return "MsgAppend"
	case MsgSnapshot:
		return "MsgSnapshot"
	case MsgStatement:
		return "MsgStatement"
	case MsgDrop:
		return "MsgDrop"
	case MsgProgress:
		return "MsgProgress"
	case MsgStatementStored:
		return "MsgStatementStored"
	case MsgStatementWanted:
		return "MsgStatementWanted"
	}
	return fmt.Sprintf("MessageType(%d)", uint8(t))
}

// Message is a message between the primary of a ledger and a replica, or between two runners about a
// statement.
type Message struct {
	Type MessageType `cbor:"1,keyasint"`
	From string      `cbor:"2,keyasint"`
	To   string      `cbor:"3,keyasint"`
	// Ledger is the incarnation of the ledger. Its primary is From, or To in a MsgProgress.
	Ledger  string `cbor:"4,keyasint"`
	Process uint32 `cbor:"5,keyasint,omitempty"` // the sender's process
	// MsgProgress and MsgStatementStored: incarnation of the sender's membership. A later incarnation may
	// have lost the ledger or statement.
	Incarnation uint64 `cbor:"6,keyasint,omitempty"`
	// MsgAppend: the sequence number before the first operation; MsgSnapshot: that of the last operation
	// in the snapshot; MsgProgress: all operations up to this one are applied (while parts are missing,
	// Seq of the snapshot); 0: the sender does not have the ledger
	Seq        uint64      `cbor:"7,keyasint,omitempty"`
	Operations []Operation `cbor:"8,keyasint,omitempty"`
	// MsgSnapshot: index of the part, from 0; MsgProgress: number of parts received
	Part     int             `cbor:"9,keyasint,omitempty"`
	Parts    int             `cbor:"10,keyasint,omitempty"`
	Bytes    []byte          `cbor:"11,keyasint,omitempty"` // content of the part or of the statement
	Settings ledger.Settings `cbor:"12,keyasint,omitzero"`
	Name     string          `cbor:"13,keyasint,omitempty"` // file name of the statement
	// SnapshotID numbers the snapshots that the primary sent. The primary ignores progress with an
	// earlier snapshot.
	SnapshotID uint64 `cbor:"14,keyasint,omitempty"`
}
