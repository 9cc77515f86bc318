package upstream

import (
	"errors"

	"ryepaddle/internal/fault"
)

var (
	connectKind = fault.Define(
		"upstream.connect",
		"No connection to a server was established, so that the request did not run.",
		"See that the server is up and listens at the address that the inventory names.",
	)
	interruptedKind = fault.Define(
		"upstream.interrupted",
		"A server broke a request off, which may have run.",
		"Look in the log of the server for the same request.",
	)
	requestKind = fault.Define(
		"upstream.request",
		"A request cannot be sent to a server as it is.",
		"See what the caller sends: its variables are too many or too long.",
	)
)

var (
	errConnectTimeout  = errors.New("connection takes too long")
	errConnectDeadline = errors.New("connection does not stand in time")
	errClosed          = errors.New("closed")
	errTruncated       = errors.New("closed before the answer was whole")
	errUnsolicited     = errors.New("something came before it was asked for")
)

// withoutRequestKind returns the cause of an error of requestKind, as the log names it.
func withoutRequestKind(err error) error {
	var f *fault.Error
	if errors.As(err, &f) && f.Kind == requestKind {
		return f.Err
	}
	return err
}
