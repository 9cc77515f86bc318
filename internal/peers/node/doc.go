// Package node is a runner's part among its peers. It ties the replica of keys, the consensus group,
// the leases and the links between runners to the event loop and to the disk, and is what the
// request lifecycle sees of them: a store of keys that are replicated, and reservations of keys.
package node
