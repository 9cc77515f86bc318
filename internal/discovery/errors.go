package discovery

import "ryepaddle/internal/fault"

// shrunkKind is the kind of ErrShrunk.
var shrunkKind = fault.Define(
	"inventory.shrunk",
	"A list of servers lacks too many of the servers in force and was rejected.",
	"If the loss is intended, send SIGHUP to accept the list; otherwise find out why it is short.",
)
