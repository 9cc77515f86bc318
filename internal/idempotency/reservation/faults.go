package reservation

import "ryepaddle/internal/fault"

// The kinds of error of this package, with what an operator can do about each.
var (
	faultPeerIncomplete = fault.Define(
		"claims.unwritten",
		"Another process of this runner could not write its reservations.",
		"Check the free space of $TMPDIR; requests with a key are rejected until the keys of that process are known.",
	)
	faultLockHeld = fault.Define("claims.held", "Another process of this runner holds the lock of the reservations.",
		"Nothing if it lasts only moments; otherwise end the process that is stopped or gets no CPU.")
	faultFolder = fault.Define(
		"claims.folder",
		"The folder in which the processes of a runner share their reservations cannot be used.",
		"Check that $TMPDIR exists, that the program may write to it, and that it has free space.",
	)
)
