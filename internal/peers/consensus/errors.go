package consensus

import "ryepaddle/internal/fault"

// The error kinds of this package.
var (
	kindUnknownMember = fault.Define(
		"peers.unknown_member",
		"No member of the installation has the given name.",
		"Look up the names with runner peers; add a new runner to every operator's file and start it first.",
	)
	kindVersionTooOld = fault.Define(
		"peers.voter_too_old",
		"A voter runs an older version that does not support the request.",
		"Upgrade all voters to the same version, one at a time, and repeat the request.",
	)
	kindTooFewMembers = fault.Define(
		"peers.too_few_members",
		"Too few other members would remain to replicate the slots of the leaving member.",
		"Add a runner first, or wait until a lost member has rejoined.",
	)
	kindVoters = fault.Define(
		"peers.invalid_voters",
		"The voters in the operator's file or the log on this voter's disk are invalid.",
		"Correct peers.members: the number of voters must be odd, and a voter must keep its name and its folder.",
	)
	kindConsensusFailed = fault.Define(
		"peers.consensus",
		"This runner's participation in the consensus group has failed.",
		"Restart this runner; the other runners continue without it.",
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
