package lease

import "ryepaddle/internal/fault"

// kindFenced is the error kind of operations that a Fence rejects, and of rejected health reports.
var kindFenced = fault.Define(
	"peers.fenced",
	"An operation was rejected because its runner had lost the lease under which it acted.",
	"Do nothing if the runner's process or clock had stopped; otherwise find the lease's holder with "+
		"runner peers, and check the voters' clocks.",
)
