// Package metering keeps the usage account of a running program. The event loop puts records into
// memory that survives a kill of the process; a goroutine counts them, and writes the account and its
// statements to a disk. A slow or failing disk delays no answer to a request; records that cannot be
// counted because of it are reported as lost.
//
// With replication, other runners hold replicas of the account, and this one holds replicas of theirs.
// If a runner is lost, its replicas write its final statement.
package metering
