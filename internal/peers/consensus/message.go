package consensus

import (
	"fmt"

	"ryepaddle/internal/peers/placement"
	"ryepaddle/internal/wallclock"
)

// MessageType tells what a Message is for and which of its fields are set.
type MessageType uint8

// The message types. Their numbers are part of the wire protocol.
const (
	MsgRaft          MessageType = iota + 1 // a message of the Raft library between voters
	MsgHeartbeat                            // from each runner to the leader; with RequestedID to all other voters
	MsgHeartbeatResp                        // the response to a heartbeat
	MsgPropose                              // proposed changes of the table, to the leader
)

// String returns the name of the type's constant.
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

// Message is sent from one runner to another.
type Message struct {
	Type MessageType `cbor:"1,keyasint"`
	From string      `cbor:"2,keyasint"`
	To   string      `cbor:"3,keyasint"`
	Raft []byte      `cbor:"4,keyasint,omitempty"` // MsgRaft: an encoded raftpb.Message
	// MsgHeartbeat: what the sender announces of itself; MsgHeartbeatResp with AskedAt: the name and
	// incarnation of the runner that asked
	Member placement.Member `cbor:"5,keyasint,omitempty"`
	// MsgHeartbeat: the version of the sender's table; MsgHeartbeatResp: that of the leader's table
	Version uint64 `cbor:"6,keyasint,omitempty"`
	// MsgHeartbeatResp: the leader's name, if the sender is a voter that is not the leader
	Leader string `cbor:"7,keyasint,omitempty"`
	// MsgHeartbeatResp: the leader's table, if the receiver is no voter and has an older one
	Table   *placement.Table   `cbor:"8,keyasint,omitempty"`
	Changes []placement.Change `cbor:"9,keyasint,omitempty"` // MsgPropose: the proposed changes
	// MsgHeartbeat: when it was sent, by the sender's monotonic clock; MsgHeartbeatResp: the SentAt of
	// the heartbeat
	SentAt wallclock.Micros `cbor:"10,keyasint,omitempty"`
	// MsgHeartbeat: the voter ID that the sender, a voter without one, requests; MsgHeartbeatResp: the
	// requested ID, which is now in the Raft configuration
	RequestedID uint64 `cbor:"11,keyasint,omitempty"`
	// MsgHeartbeat with RequestedID: the sender's disk has a log
	HasLog bool `cbor:"12,keyasint,omitempty"`
	// MsgHeartbeat with RequestedID: it replies to another such heartbeat, and gets no reply itself
	IsReply bool `cbor:"13,keyasint,omitempty"`
	// MsgHeartbeat: the ID under which the sender votes; MsgHeartbeatResp: an ID that the group has
	// removed
	VoterID uint64 `cbor:"15,keyasint,omitempty"`
	// MsgHeartbeat: when the sender asked for leases, by its lease clock; MsgHeartbeatResp: the AskedAt
	// of a heartbeat after which a quorum confirmed the leader
	AskedAt wallclock.Micros `cbor:"14,keyasint,omitempty"`
}

// DurableRecord must be on disk before the messages that Ready returned with it are sent. Its byte
// fields are encoded by the Raft library.
type DurableRecord struct {
	// VoterID is set if the log starts anew with this record: all earlier records are void.
	VoterID   uint64 `cbor:"4,keyasint,omitempty"`
	HardState []byte `cbor:"1,keyasint,omitempty"` // a raftpb.HardState; nil: unchanged
	// Entries are of type raftpb.Entry. They replace all entries from the index of the first one on.
	Entries [][]byte `cbor:"2,keyasint,omitempty"`
	// Snapshot is a raftpb.Snapshot, which replaces all entries up to its index.
	Snapshot []byte `cbor:"3,keyasint,omitempty"`
}
