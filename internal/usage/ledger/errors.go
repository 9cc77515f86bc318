package ledger

import "ryepaddle/internal/fault"

// Kinds of errors of this package.
var (
	kindFull = fault.Define(
		"usage.full",
		"Too many corrections wait for the next statement.",
		"Submit the correction again after the end of the period.",
	)
	kindCorrection = fault.Define(
		"usage.correction",
		"A correction lacks a field or has an invalid one.",
		"Change the field that the error names, and submit the correction again with the same id.",
	)
	kindDamaged = fault.Define(
		"usage.damaged",
		"A file of the account or a statement is truncated, or does not match its digest.",
		"Restore it from a copy; a bill made without a statement reports it as missing, and counts the others.",
	)
	kindFormat = fault.Define(
		"usage.format",
		"A file of the account has a newer format or an invalid field, or belongs to another account.",
		"Use the newer program, or give each account its own folder.",
	)
	kindIncompatible = fault.Define("usage.apart", "Statements with different periods or slices cannot make one bill.",
		"Make a separate bill for each setting of the periods and slices.")
	kindRing = fault.Define("usage.ring", "The ring file belongs to another account or is no ring.",
		"Nothing: a new ring replaces it, and the event usage.lost reports that its records are lost.")
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
