// Package usagereplica replicates the ledger of usage of each runner to other runners. The runner is
// the ledger's primary: it numbers the operations on its ledger and sends them in order to replicas,
// which apply them to a ledger of their own (state machine replication); the same operations make
// the same statements. If the runner is lost, each replica finishes the ledger as far as it has it,
// and a bill takes the statement that has most.
//
// The package does no I/O and reads no clock: messages, operations and tables come in; messages and
// statements come out. Instants are spans since the caller's monotonic clock began, but for those
// within operations, which are Unix times.
package usagereplica
