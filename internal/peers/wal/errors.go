package wal

import "ryepaddle/internal/fault"

// kindDamaged is the kind of errors of files that cannot be decoded.
var kindDamaged = fault.Define(
	"peers.file_damaged",
	"A file of the peers' folder is damaged.",
	"No action is needed, as the other runners send the records again; if it recurs, check the disk.",
)
