package metering

import (
	"fmt"

	"ryepaddle/internal/fault"
)

// Kinds of errors of this package.
var (
	kindAccount = fault.Define(
		"usage.account",
		"The folder of the account cannot be used as it is.",
		"Check that it exists and that the program may write to it; the error names the file that is in the way.",
	)
	kindBusy = fault.Define("usage.busy", "Too many queries and corrections of the account wait for its disk.",
		"Try again in a moment; if that does not help, check the disk.")
	kindNotReplicated = fault.Define(
		"usage.unkept",
		"A correction is kept here, but was not replicated in time.",
		"Submit it again with the same id: it counts once.",
	)
	kindNoRoom = fault.Define("usage.no_room", "The disk of the account accepts no writes.",
		"Check its free space and health; records wait in memory as long as there is room for them.")
)

var (
	// ErrBusy is returned while maxQueuedCalls calls wait for the goroutine of the account.
	ErrBusy error = kindBusy.New("usage: too many queries and corrections of the account wait for its disk")
	// ErrNotReplicated is returned for a change that the replicas did not confirm in time.
	ErrNotReplicated error = kindNotReplicated.New(
		"usage: the change is kept here, but was not replicated in time; submit it again",
	)

	errNoRoom   error = kindNoRoom.New("usage: no room for a record, as the disk accepts no writes")
	errBacklog  error = kindNoRoom.New("usage: too many statements of other runners wait for the disk")
	errDiskSlow error = kindNoRoom.New(
		"usage: the disk does not respond; records that are not saved are counted at the next start",
	)
)

// fileConflictError reports an existing file that has the name of a statement but other contents.
type fileConflictError struct{ name string }

func (e *fileConflictError) Error() string {
	return fmt.Sprintf(
		"usage: %s exists and is not the statement to be written; it is kept, and the statement is not written",
		e.name,
	)
}
