package ledger

import "ryepaddle/internal/fault"

// Kinds of errors of this package.
var (
	kindFull = fault.Define(
		"usage.full",
		"There is no room for a further correction before the next statement.",
		"Give it again after the end of the period.",
	)
	kindCorrection = fault.Define(
		"usage.correction",
		"A correction lacks a field, or has one that cannot be.",
		"Correct the field that is named, and give it again under the same id.",
	)
	kindDamaged = fault.Define(
		"usage.damaged",
		"A file of the account or a statement is cut off, or is not as it was written.",
		"Take it from a copy; a bill names the statements that are missing, and the next statement goes on without it.",
	)
	kindFormat = fault.Define(
		"usage.format",
		"A file of the account is of a newer format, or of another account.",
		"Use the newer program, or give each account a folder of its own.",
	)
	kindIncompatible = fault.Define("usage.apart", "Statements do not go together into one bill.",
		"Make a bill of the statements of one setting of periods at a time.")
	kindRing = fault.Define("usage.ring", "The file that outlives a kill is none of this account.",
		"Move it away; what was in it is told as missing.")
)

var (
	// ErrTooManyCorrections is returned while maxCorrectionIDs corrections wait for the next statement.
	ErrTooManyCorrections error = kindFull.New("usage: too many corrections since the last statement")
	// ErrTruncated is returned for a file whose end is missing.
	ErrTruncated error = kindDamaged.New("the file is truncated")
	// ErrDigestMismatch is returned for a file whose contents do not match its digest.
	ErrDigestMismatch error = kindDamaged.New("it is not as it was written")
	// ErrForeignRing is returned for memory that holds no ring of this account.
	ErrForeignRing error = kindRing.New("usage: the memory holds no ring of this account")
)
