package node

import "ryepaddle/internal/fault"

// The kinds of errors of this package.
var (
	kindReplacement = fault.Define(
		"peers.leaves",
		"The runner in whose favour another is to leave is not in, or leaves itself.",
		"Add it to all files and start it first, or name another one.",
	)
	kindDiskTimeout = fault.Define(
		"peers.disk_hangs",
		"The disk of the keys did not take a result in time, which other runners have.",
		"See to its disk; the result is not lost, and repeats get it.",
	)
	kindDiskClose = fault.Define("peers.unsaved", "The peers' folder did not answer as the program ended.",
		"See to its disk; what is there counts at the next start, and the others send the rest.")
)

var (
	errDiskClose   error = kindDiskClose.New("node: the disk does not answer; what is there counts")
	errDiskTimeout error = kindDiskTimeout.New(
		"node: the disk does not answer in time; other runners have the result",
	)
)
