package store

import "ryepaddle/internal/fault"

// The kinds of error of this package, with what an operator can do about each.
var (
	faultLocked = fault.Define("store.locked", "Another process uses the folder of the idempotency keys.",
		"End that process, or configure another folder for this one.")
	faultDamaged = fault.Define(
		"store.damaged",
		"Files of the store are damaged in a way that no crash explains.",
		"Look at them with runner store verify; "+
			"with --repair the program keeps them aside and takes no new keys for a window.",
	)
	faultNewerFormat = fault.Define(
		"store.newer",
		"Files of the store were written by a newer program.",
		"Start the newer program again, or give this one an empty folder once the stored keys have expired.",
	)
	faultDown = fault.Define(
		"store.down",
		"The disk of the idempotency keys failed and has not recovered.",
		"Check its free space, permissions and health; requests with a key are accepted again once it works.",
	)
	faultSlow = fault.Define("store.slow", "The disk of the idempotency keys is too slow for the records.",
		"Move the folder to a faster disk, or set store.mode to a mode that waits less for the disk.")
	faultDisk = fault.Define("store.disk", "The folder of the idempotency keys cannot be read or written.",
		"Check that it exists, that the program may write to it, and that it has free space.")
)
