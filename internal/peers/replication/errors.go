package replication

import "ryepaddle/internal/fault"

// The kinds of errors of this package.
var (
	kindTimeout = fault.Define(
		"peers.replication_timeout",
		"The replicas of a key did not answer in time.",
		"See which runners they are with runner peers key, and whether their links are up.",
	)
	kindUnavailable = fault.Define(
		"peers.unavailable",
		"No new keys are accepted: there are too few replicas, or the consensus group is not heard.",
		"See with runner peers which runners are lost; it ends by itself once a majority is connected.",
	)
	kindConflict = fault.Define(
		"peers.key_conflict",
		"The record of another attempt of the key is stored, at this runner or another.",
		"Nothing: the caller gets the result of the first attempt when it retries.",
	)
)

// Errors in the Result of a request.
var (
	// ErrTimeout is returned for a request that no primary answered before its deadline.
	ErrTimeout error = kindTimeout.New("replication: no primary answered before the deadline")
	// ErrUnavailable is returned for a request for a new key while no new keys are accepted.
	ErrUnavailable error = kindUnavailable.New("replication: no new keys are accepted")
	// ErrConflict is returned for a request that contradicts the stored record of another attempt.
	ErrConflict error = kindConflict.New("replication: the key has a stored record of another attempt")
)
