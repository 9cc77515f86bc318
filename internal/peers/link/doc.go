// Package link carries messages between the runners of an installation, on the event loop. Each
// runner has a connection of its own to each peer that it sends to; what comes back goes over the
// peer's connection. In a large installation a runner has links with the peers of its row and column
// in a grid only, and reaches the others by a relay; see package grid. A message that cannot be sent
// is dropped: its sender repeats it until it is answered.
package link
