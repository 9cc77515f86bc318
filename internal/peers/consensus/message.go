package consensus

import (
	"fmt"

	"ryepaddle/internal/peers/placement"
	"ryepaddle/internal/wallclock"
)

// MessageType is what a message is for.
type MessageType uint8

// The types of messages. Their numbers are part of the protocol.
const (
	MsgRaft          MessageType = iota + 1 // of the Raft library, between voters
	MsgHeartbeat                            // from each runner to the leader
	MsgHeartbeatResp                        // the leader's response
	MsgPropose                              // changes to the table, to the leader
)

// String returns the type's name.
func (t MessageType) String() string {
	switch t {
	case MsgRaft:
		return "MsgRaft"
	case MsgHeartbeat:
		return "MsgHeartbeat"
	case MsgHeartbeatResp:
		return "MsgHeartbeatResp"
	case MsgPropose:
		return "MsgPropose"
	}
	return fmt.Sprintf("MessageType(%d)", uint8(t))
}

// Message goes from one runner to another.
type Message struct {
	Type   MessageType      `cbor:"1,keyasint"`
	From   string           `cbor:"2,keyasint"`
	To     string           `cbor:"3,keyasint"`
	Raft   []byte           `cbor:"4,keyasint,omitempty"` // MsgRaft: a raftpb.Message
	Member placement.Member `cbor:"5,keyasint,omitempty"`
	// MsgHeartbeat: of the sender's table; MsgHeartbeatResp: of the leader's
	Version uint64 `cbor:"6,keyasint,omitempty"`
	// MsgHeartbeatResp: the leader, if it is not the sender
	Leader  string             `cbor:"7,keyasint,omitempty"`
	Table   *placement.Table   `cbor:"8,keyasint,omitempty"`
	Changes []placement.Change `cbor:"9,keyasint,omitempty"` // MsgPropose
	// MsgHeartbeat: by the sender's monotonic clock; MsgHeartbeatResp returns it
	SentAt wallclock.Micros `cbor:"10,keyasint,omitempty"`
	// MsgHeartbeat: the voter ID that a voter without one asks for; MsgHeartbeatResp: it has it now
	RequestedID uint64 `cbor:"11,keyasint,omitempty"`
	// MsgHeartbeat with RequestedID: the sender's disk has a log
	HasLog bool `cbor:"12,keyasint,omitempty"`
	// MsgHeartbeat with RequestedID: it answers another one, and is not answered
	IsReply bool `cbor:"13,keyasint,omitempty"`
	// MsgHeartbeat: under which the sender votes; MsgHeartbeatResp: no voter has this ID any more
	VoterID uint64 `cbor:"15,keyasint,omitempty"`
	// MsgHeartbeat: by the sender's clock for leases; MsgHeartbeatResp returns it once a quorum has
	// confirmed the leader
	AskedAt wallclock.Micros `cbor:"14,keyasint,omitempty"`
}

// DurableRecord has to be on disk before the messages that Ready returned with it are sent. Its
// parts are encoded by the Raft library.
type DurableRecord struct {
	// VoterID is set if the log begins anew with this record: those before it are void.
	VoterID   uint64 `cbor:"4,keyasint,omitempty"`
	HardState []byte `cbor:"1,keyasint,omitempty"` // a raftpb.HardState; nil: unchanged
	// Entries are of type raftpb.Entry. They replace all from the index of the first one on.
	Entries [][]byte `cbor:"2,keyasint,omitempty"`
	// Snapshot is a raftpb.Snapshot, which replaces all entries up to its index.
	Snapshot []byte `cbor:"3,keyasint,omitempty"`
}
