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
		"See that it is there and that the program may write it; the file that is named says what is in the way.",
	)
	kindBusy = fault.Define("usage.busy", "Too many questions about the account wait for its disk.",
		"Ask again in a moment; if it stays so, see to the disk.")
	kindNotReplicated = fault.Define(
		"usage.unkept",
		"A correction is kept here, and the other runners could not be told in time.",
		"Give it again under the same id: it counts once.",
	)
	kindNoRoom = fault.Define("usage.no_room", "The disk of the account takes nothing.",
		"Make room on it; what is counted waits in memory as long as there is some.")
)

var (
	// ErrBusy is returned while maxQueuedCalls calls wait for the goroutine of the account.
	ErrBusy error = kindBusy.New("usage: too many questions about the account wait for its disk")
	// ErrNotReplicated is returned for a change that the replicas did not confirm in time.
	ErrNotReplicated error = kindNotReplicated.New(
		"usage: it is kept here, but was not replicated in time; submit it again",
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
		"usage: %s exists and is not the statement to be written; it is left as it is, and nothing more is written",
		e.name,
	)
}
