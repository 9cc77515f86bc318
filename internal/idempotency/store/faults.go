package store

import "ryepaddle/internal/fault"

// The kinds of error of this package, with what an operator can do about each.
var (
	faultLocked = fault.Define("store.locked", "Another process has the folder of the keys.",
		"End that process, or name another folder for this one.")
	faultDamaged = fault.Define(
		"store.damaged",
		"Files of the store are damaged in a way that no crash explains.",
		"Look at them with runner store verify; "+
			"with --repair the program keeps them aside and takes no new keys for a window.",
	)
	faultNewerFormat = fault.Define(
		"store.newer",
		"Files of the store were written by a newer program.",
		"Start the newer program again, or give this one an empty folder once the window of the keys is over.",
	)
	faultDown = fault.Define(
		"store.down",
		"The disk of the keys failed and has not come back.",
		"See to its space, its rights and its health; keyed requests are taken again by themselves once it works.",
	)
	faultSlow = fault.Define("store.slow", "The disk of the keys is too slow for what is kept on it.",
		"Give the folder a faster disk, or set store.sync to a mode that waits less.")
	faultDisk = fault.Define("store.disk", "The folder of the keys cannot be read or written.",
		"See that it is there, that the program may write it, and that it has space.")
)
