// Package link is the transport of messages between the runners of an installation, on the event loop.
// A runner opens a connection to each peer that it sends to and only sends on it; the peer sends over a
// connection of its own. In a large installation a runner has links only with the peers of its row and
// column in a grid and reaches the others through a relay; see package grid. A message that cannot be
// sent is dropped: senders resend their messages until they are answered.
package link
