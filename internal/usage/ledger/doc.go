// Package ledger keeps the usage account of an instance: sums by tenant, class and period, which are
// sealed into statements and reconciled with those of other instances into a bill. It does no I/O
// and reads no clock. Package metering runs a ledger in a program, package usagereplica replicates
// it, and the commands of cmd/runner read its statements and bills.
//
// A period is settled once, when it is sealed. A record or a correction of a sealed period goes into
// the next statement, as an amendment of the period to which it belongs.
//
// Instants are Unix time in microseconds and spans are whole microseconds; both are stored as plain
// integers. Stored fields and commands call a tenant a school.
package ledger
