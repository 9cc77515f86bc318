package placement

import (
	"fmt"

	"ryepaddle/internal/wallclock"
)

// ChangeKind is what a change does to the table.
type ChangeKind uint8

// The kinds of changes. Their numbers are part of the protocol and of stored logs.
const (
	ChangeJoin         ChangeKind = iota + 1 // a member is there, in a new incarnation
	ChangeLost                               // a member is lost in that incarnation
	ChangeRemove                             // a member does not belong any more
	ChangeCaughtUp                           // a joining replica has all records of the slot at that epoch
	ChangeAddReplica                         // a member is to join a slot, for a better spread
	ChangeSetPrimary                         // a replica is to be its slot's primary
	ChangeLeave                              // a member is to give up all its slots
	ChangeStay                               // a member that leaves is to stay after all
	ChangeBootstrap                          // sets the time at which the consensus group began
	ChangeGrantLease                         // a member is to hold a lease that nobody holds
	ChangeReleaseLease                       // the holder releases a lease, with a handover for the next one
	ChangeSetHandover                        // the holder replaces the handover for the next one
	// ChangeJoinV2 is ChangeJoin, except that a process is not taken back to an earlier incarnation
	// by what it sent before.
	ChangeJoinV2
	// ChangeJoinV3 is ChangeJoinV2, except that incarnations of an earlier process do not count.
	ChangeJoinV3
)

// NewestChangeKind is the newest kind of change that this version understands.
const NewestChangeKind = ChangeJoinV3

// implicitChangeKind is the newest kind that a member understands which does not announce one.
const implicitChangeKind = ChangeSetPrimary

// String returns the kind in words.
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

// Change leads from one table to the next. It is stored in the consensus group's log.
type Change struct {
	Kind   ChangeKind `cbor:"1,keyasint"`
	Member Member     `cbor:"2,keyasint"`
	Slot   int        `cbor:"3,keyasint,omitempty"`
	// Epoch is that of the slot. With ChangeReleaseLease and ChangeSetHandover it counts the holder's
	// changes under its token.
	Epoch uint64 `cbor:"4,keyasint,omitempty"`
	Lease string `cbor:"5,keyasint,omitempty"`
	// Token is the newest token of the lease that the proposer knows. With ChangeBootstrap it is Unix
	// seconds.
	Token    uint64 `cbor:"6,keyasint,omitempty"`
	Handover []byte `cbor:"7,keyasint,omitempty"`
	// AskedAt is when the member that is granted a lease asked, by its own clock.
	AskedAt wallclock.Micros `cbor:"8,keyasint,omitempty"`
}
