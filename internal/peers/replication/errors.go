package replication

import "ryepaddle/internal/fault"

// What can go wrong here, and what an operator can do about it.
var (
	kindTimeout = fault.Define("peers.slow", "The copies of a key were not to be had in time.",
		"See which runners hold them with runner peers key, and whether their links are up.")
	kindUnavailable = fault.Define(
		"peers.shut",
		"No new keys are taken, as there are not enough copies or no word of the consensus group.",
		"See with runner peers which runners are not heard of; it ends by itself once a majority hears each other.",
	)
	kindConflict = fault.Define("peers.denied", "Another try of the key is kept, at this runner or another.",
		"Nothing: the caller gets the result of the first try when it repeats.")
)
