// Package consensus replicates the placement table among the runners of an installation. The voters
// that the operator's file names form a Raft group (Ongaro, "Consensus: Bridging Theory and
// Practice", 2014), implemented by go.etcd.io/raft/v3 with pre-vote (section 9.6), a leader that
// steps down without a quorum (section 6.2) and linearizable reads by read index (section 6.4). The
// other runners are not part of the Raft group: they send heartbeats to its leader and receive newer
// tables in its responses.
//
// The package does no I/O and has no clock of its own. The caller passes in ticks and received
// messages, and takes from Ready the messages to send and the record that must be durable before
// they are sent. Times are durations since the caller's monotonic clock started, except lease times,
// which are read from Config.Clock.
package consensus
