package usagereplica

import (
	"fmt"

	"ryepaddle/internal/usage/ledger"
)

// MessageType is what a message is for.
type MessageType uint8

// The types of messages. Their numbers are part of the protocol.
const (
	MsgAppend          MessageType = iota + 1 // operations, from a primary
	MsgSnapshot                               // a part of the ledger as it stands, from a primary
	MsgStatement                              // a statement; without its bytes, whether it is stored
	MsgDrop                                   // other replicas have the ledger: forget it
	MsgProgress                               // how much of the ledger a replica has
	MsgStatementStored                        // the statement is stored here
	MsgStatementWanted                        // it is not
)

// String returns the type's name.
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

// Message goes between a runner and one of its replicas.
type Message struct {
	Type MessageType `cbor:"1,keyasint"`
	From string      `cbor:"2,keyasint"`
	To   string      `cbor:"3,keyasint"`
	// Ledger is the incarnation of the ledger. Its runner is From, or To of a MsgProgress.
	Ledger  string `cbor:"4,keyasint"`
	Process uint32 `cbor:"5,keyasint,omitempty"` // of the ledger's runner
	// Incarnation is that of the sender's membership, in MsgProgress and MsgStatementStored: what it
	// has may go with that.
	Incarnation uint64 `cbor:"6,keyasint,omitempty"`
	// MsgAppend: the number before the first operation; MsgSnapshot: the last one that it has;
	// MsgProgress: all operations up to this one are there; 0: the ledger is not known.
	Seq        uint64      `cbor:"7,keyasint,omitempty"`
	Operations []Operation `cbor:"8,keyasint,omitempty"`
	// MsgSnapshot: which part; MsgProgress: how many are there
	Part     int             `cbor:"9,keyasint,omitempty"`
	Parts    int             `cbor:"10,keyasint,omitempty"`
	Bytes    []byte          `cbor:"11,keyasint,omitempty"` // of the part, or of the statement
	Settings ledger.Settings `cbor:"12,keyasint,omitzero"`
	Name     string          `cbor:"13,keyasint,omitempty"` // of the statement
	// SnapshotID counts how often the primary sent its ledger: progress with an earlier snapshot
	// counts for nothing.
	SnapshotID uint64 `cbor:"14,keyasint,omitempty"`
}
