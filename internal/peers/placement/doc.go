// Package placement is the table that the runners of an installation agree on: which runners are
// members, which of them replicate which slot of the keys at which epoch, and which of them hold
// which leases. It is the state machine of the consensus group's log: it does no I/O and reads no
// clock, and the same changes in the same order give the same table everywhere. A change that is
// added here is one that voters of an older version do not know; see Table.AllUnderstand.
package placement
