// Package placement implements the table that the runners of an installation agree on: which runners
// are members, which of them replicate which slot of the keys at which epoch, and which of them hold
// which leases. The table is the state machine of the consensus group's log: it does no I/O and reads
// no clock, and the same changes in the same order result in the same table at all runners. Voters of
// an older version do not understand kinds of changes that were added later; see Table.AllUnderstand.
package placement
