// Package lease has one runner at a time do a task for all. The consensus group's leader grants
// leases (Gray and Cheriton, "Leases", 1989) by changes of the placement table; a holder relies on a
// lease for a bounded time after it asked, and each grant has a fencing token that only grows. A
// lease cannot stop a holder that pauses between its look at the clock and its act: whatever takes
// the act has a Fence, which rejects older tokens.
//
// The package does no I/O and reads no clock. Instants are spans since a monotonic clock began: a
// Granter's since the leader's, a Holder's since a clock of its runner that also counts the time for
// which the machine was suspended.
package lease
