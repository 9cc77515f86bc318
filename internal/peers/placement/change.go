package placement

import (
	"fmt"

	"ryepaddle/internal/wallclock"
)

// ChangeKind tells what a Change does to the table.
type ChangeKind uint8

// The kinds of changes. Their numbers are part of the wire protocol and of stored logs.
const (
	ChangeJoin         ChangeKind = iota + 1 // adds a member, or a new incarnation of it
	ChangeLost                               // declares an incarnation of a member lost
	ChangeRemove                             // deletes a member
	ChangeCaughtUp                           // a joining replica has all records of the slot at the epoch
	ChangeAddReplica                         // lets a member join a slot, to spread the slots better
	ChangeSetPrimary                         // makes a replica the primary of its slot
	ChangeLeave                              // marks a member as leaving: it gives up all its slots
	ChangeStay                               // clears the mark of ChangeLeave
	ChangeBootstrap                          // sets the time at which the consensus group was formed
	ChangeGrantLease                         // grants a lease that has no holder to a member
	ChangeReleaseLease                       // the holder releases a lease, with a handover for the next holder
	ChangeSetHandover                        // the holder replaces the handover for the next holder
	// ChangeJoinV2 is ChangeJoin, except that a delayed message of a process does not take its member
	// back to an earlier incarnation.
	ChangeJoinV2
	// ChangeJoinV3 is ChangeJoinV2, except that the incarnation of a process is not compared with those
	// of an earlier process under its name.
	ChangeJoinV3
)

// NewestChangeKind is the newest kind of change that this version understands.
const NewestChangeKind = ChangeJoinV3

// implicitChangeKind is the newest kind of change that a member understands if it announces none.
const implicitChangeKind = ChangeSetPrimary

// String returns the name of the kind for messages.
func (k ChangeKind) String() string {
	switch k {
	case ChangeJoin:
		return "join"
	case ChangeLost:
		return "lost"
	case ChangeRemove:
		return "remove"
	case ChangeCaughtUp:
		return "caught up"
	case ChangeAddReplica:
		return "add replica"
	case ChangeSetPrimary:
		return "set primary"
	case ChangeLeave:
		return "leave"
	case ChangeStay:
		return "stay"
	case ChangeBootstrap:
		return "bootstrap"
	case ChangeGrantLease:
		return "grant lease"
	case ChangeReleaseLease:
		return "release lease"
	case ChangeSetHandover:
		return "set handover"
	case ChangeJoinV2:
		return "join, version 2"
	case ChangeJoinV3:
		return "join, version 3"
	}
	return fmt.Sprintf("ChangeKind(%d)", uint8(k))
}

// Change is a change of the table, an entry of the consensus group's log.
type Change struct {
	Kind   ChangeKind `cbor:"1,keyasint"`
	Member Member     `cbor:"2,keyasint"`
	Slot   int        `cbor:"3,keyasint,omitempty"`
	// Epoch is the slot's epoch that the change refers to. With ChangeReleaseLease and ChangeSetHandover
	// it is the sequence number of the holder's change, which orders the changes under one token.
	Epoch uint64 `cbor:"4,keyasint,omitempty"`
	Lease string `cbor:"5,keyasint,omitempty"` // the name of the lease
	// Token is the newest token of the lease that the proposer knows. With ChangeBootstrap it is the
	// bootstrap time in Unix seconds.
	Token    uint64 `cbor:"6,keyasint,omitempty"`
	Handover []byte `cbor:"7,keyasint,omitempty"`
	// AskedAt is when the member that is granted a lease asked for it, by its own lease clock.
	AskedAt wallclock.Micros `cbor:"8,keyasint,omitempty"`
}
