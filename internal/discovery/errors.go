package discovery

import "ryepaddle/internal/fault"

// shrunkKind is the kind of ErrShrunk.
var shrunkKind = fault.Define(
	"inventory.shrunk",
	"A list lacks so many of the servers in force that it is not believed.",
	"If it is meant, send HUP, which confirms it; else see why the list is short.",
)
