package node

import "ryepaddle/internal/fault"

// The error kinds of this package.
var (
	kindReplacement = fault.Define(
		"peers.invalid_replacement",
		"The runner that is to replace another one is no member, or is leaving itself.",
		"Add it to all files and start it first, or name another one.",
	)
	kindDiskTimeout = fault.Define(
		"peers.disk_timeout",
		"The disk of the keys did not store a result in time; other runners have it.",
		"Check the disk; the result is not lost, and retries get it.",
	)
	kindDiskClose = fault.Define(
		"peers.close_timeout",
		"The peers' folder did not answer as the program stopped.",
		"Check its disk; what is stored counts at the next start, and the others send the rest.",
	)
)

var (
	errDiskClose   error = kindDiskClose.New("node: timeout closing the log; what is on disk is kept")
	errDiskTimeout error = kindDiskTimeout.New(
		"node: timeout storing the result on the local disk; other runners have it",
	)
)
