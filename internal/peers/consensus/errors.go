package consensus

import "ryepaddle/internal/fault"

// The error kinds of this package.
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

// Errors returned by SetLeaving.
var (
	// ErrUnknownMember is returned if no member has the given name.
	ErrUnknownMember error = kindUnknownMember.New("consensus: no member has that name")
	// ErrVersionTooOld is returned if a voter does not understand the change that marks a member as
	// leaving or staying.
	ErrVersionTooOld error = kindVersionTooOld.New(
		"consensus: a voter runs an older version that does not support leaving members",
	)
	// ErrTooFewMembers is returned if the remaining members are too few to hold all replicas of a slot.
	ErrTooFewMembers error = kindTooFewMembers.New(
		"consensus: too few other members remain to replicate the slots of the leaving member",
	)
)
