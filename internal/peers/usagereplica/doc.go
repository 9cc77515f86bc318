// Package usagereplica replicates the usage ledger of each runner to other runners, by state machine
// replication. The runner is the ledger's primary: it assigns sequence numbers to the operations on its
// ledger and sends them in order to the replicas. Each replica applies them to its own copy of the
// ledger; the same operations result in the same statements. If the runner is lost, each replica
// finishes its copy with the operations that it has, and billing uses the most complete final statement.
//
// The package does no I/O and reads no clock: the caller passes in messages, operations and tables, and
// takes out messages and statements. Instants are durations since the start of the caller's monotonic
// clock, except those within operations, which are Unix times.
package usagereplica
