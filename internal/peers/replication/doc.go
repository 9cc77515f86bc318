// Package replication keeps the records of idempotency keys on several runners. Keys are divided
// into slots; package placement says which runners replicate a slot and which of them is its primary.
// A primary numbers the records of its slots and sends them to the followers, as in primary-backup
// replication with epochs: a record is committed once every replica without which the epoch may not
// go on has stored it, and a replica rejects what comes from an older epoch. A runner that has a
// request asks the slot's primary for the key.
//
// The package does no I/O and reads no clock: messages, tables and times come in; messages, results
// and proposals for the consensus group come out. Instants are spans since the caller's monotonic
// clock began. Runners share no clock, so that a message says how much of a key's window remains and
// not when it ends.
package replication
