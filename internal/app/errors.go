package app

import "ryepaddle/internal/fault"

// Kinds of errors of the start, of reloads and of the control socket.
var (
	addressKind = fault.Define(
		"start.address",
		"An address that the program is to listen on is not to be had.",
		"See which process has it, or name another address; a second process of this runner needs the "+
			"same $TMPDIR.",
	)
	fixedKind = fault.Define("config.fixed", "A change at HUP holds for the life of the program.",
		"Give the field its value again, or start the program anew if the change is meant.")
	unknownKind = fault.Define("control.unknown", "A question names what there is not.",
		"Ask for what the answer lists; runner --help tells the questions.")
	noUsageKind = fault.Define("usage.off", "No account of usage is kept.",
		"Add a usage section to the operator's file, and start the program anew.")
	noPeersKind = fault.Define("peers.off", "This runner has no peers.",
		"Add a peers section to the operator's file, and start the program anew.")
)
