package app

import "ryepaddle/internal/fault"

// Kinds of errors of the start, of reloads and of the control socket.
var (
	addressKind = fault.Define(
		"start.address",
		"The program could not listen on an address.",
		"Find the process that uses the address, or configure another one; a second process of the same "+
			"runner needs the same $TMPDIR.",
	)
	fixedKind = fault.Define("config.fixed", "A reload changes a field that cannot change while the program runs.",
		"Restore the field's old value, or restart the program if the change is intended.")
	unknownKind = fault.Define("control.unknown", "A command has an unknown name or a value out of range.",
		"Correct the name or value in the error; runner --help lists the commands.")
	noUsageKind = fault.Define("usage.off", "Usage is not metered.",
		"Add a usage section to the operator's file, and restart the program.")
	noPeersKind = fault.Define("peers.off", "This runner has no peers.",
		"Add a peers section to the operator's file, and restart the program.")
)
