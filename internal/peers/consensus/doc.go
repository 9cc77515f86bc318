// Package consensus has the runners of an installation agree on the placement table: a Raft group
// (Ongaro, "Consensus: Bridging Theory and Practice", 2014) of the voters that the operator's file
// names, over go.etcd.io/raft/v3 with pre-vote (section 9.6), leader check by quorum (6.2) and linear
// reads by read index (6.4). The other runners send heartbeats to the leader and learn of newer
// tables from its responses.
//
// The package does no I/O and reads no clock: messages and ticks come in; messages, and the record
// that has to be on disk before they are sent, come out. Instants are spans since the caller's
// monotonic clock began.
package consensus
