package usagereplica

import "errors"

// Errors that a Replica reports with TakeErrors.
var (
	// ErrDiverged is the error of a ledger that came to another statement than its runner's. The
	// replica asks for the ledger anew.
	ErrDiverged = errors.New("usagereplica: a ledger differs from its runner's")
	// ErrInvalidPart is the error of a part of a ledger with impossible numbers.
	ErrInvalidPart = errors.New("usagereplica: a part of a ledger is not valid")
	// ErrWrongOwner is the error of a ledger that is not of the runner which sent it.
	ErrWrongOwner = errors.New("usagereplica: a ledger is not of the runner that sent it")
	// ErrWrongName is the error of a statement that came under another name than its own.
	ErrWrongName = errors.New("usagereplica: a statement does not have the name that it came under")
)
