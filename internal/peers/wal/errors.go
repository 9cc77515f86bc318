package wal

import "ryepaddle/internal/fault"

// What can go wrong here, and what an operator can do about it.
var (
	kindDamaged = fault.Define("peers.damaged", "A file of the peers' folder is not whole.",
		"Nothing: what it held is sent anew by the others; if it comes back, see to the disk.")
)
