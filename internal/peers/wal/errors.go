package wal

import "ryepaddle/internal/fault"

// kindDamaged is the kind of errors of files that cannot be decoded.
var kindDamaged = fault.Define(
	"peers.file_damaged",
	"A file of the peers' folder is damaged.",
	"Nothing: the other runners send what it had; if it happens again, check the disk.",
)
