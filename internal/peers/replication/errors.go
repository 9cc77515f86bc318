package replication

import "ryepaddle/internal/fault"

// The kinds of errors of this package.
var (
	kindTimeout = fault.Define(
		"peers.replication_timeout",
		"The primary of a key's slot did not answer a request in time.",
		"Find the replicas of the key with runner peers key, and check that they run and that their links are up.",
	)
	kindUnavailable = fault.Define(
		"peers.unavailable",
		"A key was rejected: this runner has no table yet, or the key's slot is in quarantine or has reached a limit.",
		"Check with runner peers that a majority is connected; a quarantine ends after the longest key window.",
	)
	kindConflict = fault.Define(
		"peers.key_conflict",
		"A request contradicts the stored record of its key, such as the record of another attempt.",
		"No action is needed: a caller that retries gets the result of the attempt that owns the key.",
	)
)

// Errors in the Result of a request.
var (
	// ErrTimeout is returned for a request that no primary answered before its deadline.
	ErrTimeout error = kindTimeout.New("replication: no primary answered before the deadline")
	// ErrUnavailable is returned for a request that is rejected with OutcomeUnavailable or made before this
	// runner has a table.
	ErrUnavailable error = kindUnavailable.New("replication: no new keys are accepted")
	// ErrConflict is returned for a request that contradicts the stored record of its key.
	ErrConflict error = kindConflict.New("replication: the request contradicts the stored record of the key")
)
