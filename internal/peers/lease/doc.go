// Package lease implements leases (Gray and Cheriton, "Leases", 1989), by which one runner at a time
// does a task for all runners. The consensus group's leader grants leases by changes of the placement
// table. A holder relies on a lease for a bounded time after it asked for it, and each grant has a
// fencing token that is greater than those of all earlier grants. A lease cannot stop a holder that
// pauses between checking its clock and acting: the resource that it acts on therefore has a Fence,
// which rejects older tokens.
//
// The package does no I/O and reads no clock. Times are durations since a clock started: those of a
// Granter by the leader's monotonic clock, those of a Holder by a clock of its runner that also
// advances while the machine is suspended.
package lease
