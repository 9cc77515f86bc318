package lease

import "ryepaddle/internal/fault"

// kindFenced is the kind of errors of a Fence.
var kindFenced = fault.Define(
	"peers.fenced",
	"Something was done for a duty by a runner that had lost it meanwhile, and was not taken.",
	"Nothing, if its clock or process had stopped; if it goes on, see with runner peers who holds the duty and whether clocks of the voters are right.",
)
