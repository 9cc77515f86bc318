// Package node connects a runner to its peers. It drives the key replica, the consensus participant,
// the leases and the links between runners from the event loop, and makes their state durable. To the
// request lifecycle it provides a replicated key store and the reservation of keys.
package node
