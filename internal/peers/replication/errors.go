package replication

import "ryepaddle/internal/fault"

// The kinds of errors of this package.
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

// Errors of a request.
var (
	// ErrTimeout is the error of a request that no primary answered in time.
	ErrTimeout error = kindTimeout.New("replication: no replica answered in time")
	// ErrUnavailable is the error of a request for a new key while no new keys are accepted.
	ErrUnavailable error = kindUnavailable.New("replication: no new keys are accepted")
	// ErrConflict is the error of a request that contradicts a stored record of another attempt.
	ErrConflict error = kindConflict.New("replication: the record of another attempt is stored")
)
