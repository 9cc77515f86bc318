package control

import "ryepaddle/internal/fault"

// Kinds of errors.
var (
	unreachableKind = fault.Define("control.unreachable", "No program answers on the control socket.",
		"Check that the program runs and that its operator's file names this socket under control.")
	invalidRequestKind = fault.Define("control.question",
		"A request on the control socket is malformed or too long, or its reply is too long.",
		"Use ryepaddle of the same version as the program, and keep requests below 4 KB and replies below 4 MB.")
	forbiddenKind = fault.Define(
		"control.forbidden",
		"A user other than root and the program's own connected to the control socket.",
		"Run the command as the program's user or as root.",
	)
	rejectedKind = fault.Define("control.refused", "A running program rejected a request on the control socket.",
		"Correct the request as the text of the error says.")
)
