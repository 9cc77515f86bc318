package wal

import "ryepaddle/internal/fault"

// kindDamaged is the kind of errors for files that cannot be read.
var kindDamaged = fault.Define("peers.damaged", "A file of the peers' folder is not whole.",
	"Nothing: what it held is sent anew by the others; if it comes back, see to the disk.")
