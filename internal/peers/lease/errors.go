package lease

import "ryepaddle/internal/fault"

// kindFenced is the error kind of operations that a Fence rejects, and of rejected health reports.
var kindFenced = fault.Define(
	"peers.fenced",
	"A runner acted under a lease that it had lost meanwhile, and the act was rejected.",
	"Nothing, if its process or clock had stopped; else see with runner peers who holds the lease, "+
		"and check the voters' clocks.",
)
