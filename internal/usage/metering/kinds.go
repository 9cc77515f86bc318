package metering

import "ryepaddle/internal/fault"

// What can go wrong here, and what an operator can do about it.
var (
	account = fault.Define(
		"usage.account",
		"The folder of the account cannot be used as it is.",
		"See that it is there and that the program may write it; the file that is named says what is in the way.",
	)
	busy = fault.Define("usage.busy", "Too many questions about the account wait for its disk.",
		"Ask again in a moment; if it stays so, see to the disk.")
	unkept = fault.Define(
		"usage.unkept",
		"A correction is kept here, and the other runners could not be told in time.",
		"Give it again under the same id: it counts once.",
	)
	noRoom = fault.Define("usage.no_room", "The disk of the account takes nothing.",
		"Make room on it; what is counted waits in memory as long as there is some.")
)
