package usagereplica

import "errors"

// Errors that a Replica reports with TakeErrors.
var (
	// ErrDiverged reports that an operation had another effect on the replica's ledger than on the
	// primary's. The replica drops its copy, so that the primary sends the ledger again.
	ErrDiverged = errors.New("usagereplica: the replica of a ledger diverged from the primary's ledger")
	// ErrInvalidPart reports a part of a snapshot with values out of range.
	ErrInvalidPart = errors.New("usagereplica: invalid part of a snapshot")
	// ErrWrongOwner reports a snapshot of a ledger that does not belong to its sender.
	ErrWrongOwner = errors.New("usagereplica: the ledger does not belong to the runner that sent it")
	// ErrWrongName reports a statement that was sent under a file name other than its own.
	ErrWrongName = errors.New("usagereplica: a statement was sent under another statement's file name")
)
