package consensus

import "ryepaddle/internal/fault"

// The kinds of errors of this package.
var (
	kindUnknownMember = fault.Define(
		"peers.unknown_member",
		"No member has the name.",
		"Look at the names with runner peers; a new runner is added to all files and started first.",
	)
	kindVersionTooOld = fault.Define(
		"peers.voter_too_old",
		"A voter is of an older version, which does not support the request.",
		"Upgrade the voters to one version, one after the other, and repeat the request.",
	)
	kindTooFewMembers = fault.Define(
		"peers.too_few_members",
		"The members that stay are too few to replicate the slots of one that leaves.",
		"Add a runner first, or wait until a lost one is back.",
	)
	kindVoters = fault.Define(
		"peers.invalid_voters",
		"The voters of the operator's file, or this voter's log, are not valid.",
		"Correct peers.members: an odd number of voters; a voter keeps its name and its folder.",
	)
	kindConsensusFailed = fault.Define(
		"peers.consensus",
		"This runner's part in the consensus group has failed.",
		"Restart this runner; the others go on without it.",
	)
)

// Errors of SetLeaving.
var (
	// ErrUnknownMember is the error for a name that no member has.
	ErrUnknownMember error = kindUnknownMember.New("consensus: no member has that name")
	// ErrVersionTooOld is the error while a voter does not understand members that leave.
	ErrVersionTooOld error = kindVersionTooOld.New(
		"consensus: a voter is of an older version, which knows nothing of members that leave",
	)
	// ErrTooFewMembers is the error if the members that stay could not hold all copies.
	ErrTooFewMembers error = kindTooFewMembers.New("consensus: too few others are left to hold its copies")
)
