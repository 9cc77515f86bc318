package ledger

import "ryepaddle/internal/fault"

// What can go wrong here, and what an operator can do about it.
var (
	full = fault.Define("usage.full", "There is no room for a further correction before the next statement.",
		"Give it again after the end of the period.")
	correction = fault.Define("usage.correction", "A correction lacks a field, or has one that cannot be.",
		"Correct the field that is named, and give it again under the same id.")
	damaged = fault.Define(
		"usage.damaged",
		"A file of the account or a statement is cut off, or is not as it was written.",
		"Take it from a copy; a bill names the statements that are missing, and the next statement goes on without it.",
	)
	format = fault.Define(
		"usage.format",
		"A file of the account is of a newer format, or of another account.",
		"Use the newer program, or give each account a folder of its own.",
	)
	apart = fault.Define("usage.apart", "Statements do not go together into one bill.",
		"Make a bill of the statements of one setting of periods at a time.")
	ring = fault.Define("usage.ring", "The file that outlives a kill is none of this account.",
		"Move it away; what was in it is told as missing.")
)
