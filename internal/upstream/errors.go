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
	errConnectTimeout  = errors.New("connection not established within the connect timeout")
	errConnectDeadline = errors.New("connection not established before the deadline of the request")
	errClosed          = errors.New("connection closed by the server")
	errTruncated       = errors.New("connection closed before the response was complete")
	errUnsolicited     = errors.New("data received on a connection without a request")
)

// withoutRequestKind returns the cause of an error of requestKind, so that the log shows the cause
// without the kind. It returns any other error unchanged.
func withoutRequestKind(err error) error {
	var f *fault.Error
	if errors.As(err, &f) && f.Kind == requestKind {
		return f.Err
	}
	return err
}
