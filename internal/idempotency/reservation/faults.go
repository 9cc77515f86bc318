package reservation

import "ryepaddle/internal/fault"

// The kinds of error of this package, with what an operator can do about each.
var (
	faultPeerIncomplete = fault.Define(
		"claims.unwritten",
		"Another process of this runner could not write what it runs.",
		"See to the space of $TMPDIR; hand-ins are refused until the keys of that process are known.",
	)
	faultLockHeld = fault.Define("claims.held", "Another process of this runner holds the lock of the claims.",
		"Nothing, if it lasts for moments; else end the process that is stopped or starved.")
	faultFolder = fault.Define(
		"claims.folder",
		"The folder in which the processes of a runner share what they run cannot be used.",
		"See that $TMPDIR is there, that the program may write it, and that it has space.",
	)
)
