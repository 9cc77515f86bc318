package consensus

import "ryepaddle/internal/fault"

// The kinds of errors of this package.
var (
	kindUnknownMember = fault.Define("peers.stranger", "No member of the runners that keep copies has the name.",
		"Look at the names with runner peers; a new runner is added to all files and started first.")
	kindVersionTooOld = fault.Define(
		"peers.older",
		"A voter is of an older version, which does not know what was asked for.",
		"Bring the voters up to one version, one after the other, and ask again.",
	)
	kindTooFewMembers = fault.Define(
		"peers.nobody",
		"Too few other runners are left to hold the copies of one that leaves.",
		"Add a runner first, or wait until one that was lost is back.",
	)
	kindVoters = fault.Define(
		"peers.voters",
		"The voters of the file, or what the disk has of this one, cannot be.",
		"Correct peers.members: an odd number of voters; a voter keeps its name and its folder.",
	)
	kindConsensusFailed = fault.Define("peers.council", "The consensus group of the runners cannot go on here.",
		"Start this runner anew; the others go on without it.")
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
