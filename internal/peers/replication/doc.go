// Package replication keeps the records of idempotency keys on several runners. Keys are divided
// into slots; package placement determines which runners replicate a slot and which of them is its
// primary. This is primary-backup replication with epochs: the primary assigns sequence numbers to the
// records of its slots and sends them to the followers. A record is committed once every required
// replica of the epoch has stored it, and replicas reject messages of older epochs. A runner that
// receives a request with an idempotency key asks the primary of the key's slot whether the run may
// begin.
//
// The package does no I/O and reads no clock: the caller passes in messages, tables and times, and
// takes out messages, results and proposals for the consensus group. Instants are durations since the
// start of the caller's monotonic clock. Runners do not share a clock, therefore a message carries the
// remaining time of a key's window and not the instant at which it ends.
package replication
