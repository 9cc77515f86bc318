// Package metering keeps the account of usage of a running program. Records pass from the event loop
// through memory that outlives a kill of the process; a goroutine counts them, and writes the account
// and its statements to a disk. A slow or failing disk delays no answer to a request, and records
// that are not counted for it are reported as lost.
//
// With replication, other runners hold replicas of the account, and this one holds replicas of theirs.
// Where a runner is lost, its replicas write its last statement.
package metering
