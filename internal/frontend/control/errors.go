package control

import "ryepaddle/internal/fault"

// Kinds of errors.
var (
	unreachableKind = fault.Define("control.unreachable", "No program answers on the control socket.",
		"See that it runs and that its operator's file names this socket under control.")
	invalidRequestKind = fault.Define("control.question", "A question on the control socket cannot be read.",
		"Ask with ryepaddle of the same version; a line has one question of 4 KB at the most.")
	forbiddenKind = fault.Define(
		"control.forbidden",
		"Another user than the program's asked on the control socket.",
		"Ask as the program's user or as root.",
	)
	rejectedKind = fault.Define("control.refused", "A running program turned a question down.",
		"Do as the text of its answer says.")
)
