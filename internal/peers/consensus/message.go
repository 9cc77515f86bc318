package consensus

import "ryepaddle/internal/peers/placement"

// MessageType is what a message is for.
type MessageType uint8

// Message goes from one runner to another.
type Message struct {
	Type   MessageType      `cbor:"1,keyasint"`
	From   string           `cbor:"2,keyasint"`
	To     string           `cbor:"3,keyasint"`
	Raft   []byte           `cbor:"4,keyasint,omitempty"`
	Member placement.Member `cbor:"5,keyasint,omitempty"`
	// MsgHeartbeat: of the table that is known; Heard: that the leader has
	Version uint64 `cbor:"6,keyasint,omitempty"`
	// MsgHeartbeatResp: who to turn to, if it is not the one that says so
	Leader  string             `cbor:"7,keyasint,omitempty"`
	Table   *placement.Table   `cbor:"8,keyasint,omitempty"`
	Changes []placement.Change `cbor:"9,keyasint,omitempty"`
	// MsgHeartbeat: by the clock of its sender; Heard gives it back
	SentAt int64 `cbor:"10,keyasint,omitempty"`
	// MsgHeartbeat: of a voter that has just started, the number that it asks for; Heard: it has it
	RequestedID uint64 `cbor:"11,keyasint,omitempty"`
	HasLog      bool   `cbor:"12,keyasint,omitempty"` // MsgHeartbeat: its disk has something
	// MsgHeartbeat: to another one's, which is not answered again
	IsReply bool `cbor:"13,keyasint,omitempty"`
	// MsgHeartbeat: under which this voter votes; Heard: nobody does under that one
	VoterID uint64 `cbor:"15,keyasint,omitempty"`
	// MsgHeartbeat: by the clock that duties go by; Heard gives it back once the consensus group has
	// confirmed its leader
	AskedAt int64 `cbor:"14,keyasint,omitempty"`
}

// DurableRecord is what has to be on the disk before the messages that came with it go out. Its parts are
// the library's, in its own form.
type DurableRecord struct {
	// the voter's number; with one, the disk begins anew
	VoterID   uint64 `cbor:"4,keyasint,omitempty"`
	HardState []byte `cbor:"1,keyasint,omitempty"` // a raftpb.HardState; nil: as before
	// raftpb.Entry, in place of those from the first one's index on
	Entries [][]byte `cbor:"2,keyasint,omitempty"`
	// a raftpb.Snapshot; entries up to its index are not needed any more
	Snapshot []byte `cbor:"3,keyasint,omitempty"`
}
