package node

import "ryepaddle/internal/fault"

// The error kinds of this package.
var (
	kindReplacement = fault.Define(
		"peers.invalid_replacement",
		"The runner named as the replacement is not a member, or is itself leaving.",
		"Add that runner to every operator's file and start it first, or name another runner.",
	)
	kindDiskTimeout = fault.Define(
		"peers.disk_timeout",
		"The local disk did not store the result of a run in time; other runners have the result.",
		"Check the disk; the result is not lost, and retries of the request receive it.",
	)
	kindDiskClose = fault.Define(
		"peers.close_timeout",
		"The disk of the peers' folder did not respond in time while the runner was stopping.",
		"Check the disk; the next start uses what it has stored, and the other runners send the rest.",
	)
)

var (
	errDiskClose   error = kindDiskClose.New("node: timeout closing the log; what is on disk is kept")
	errDiskTimeout error = kindDiskTimeout.New(
		"node: timeout storing the result on the local disk; other runners have it",
	)
)
