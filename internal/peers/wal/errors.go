package wal

import "ryepaddle/internal/fault"

// kindDamaged is the kind of errors for files that cannot be read.
var kindDamaged = fault.Define(
	"peers.file_damaged",
	"A file of the peers' folder is damaged.",
	"Nothing: the other runners send what it had; if it happens again, check the disk.",
)
