package upstream

import (
	"errors"

	"ryepaddle/internal/fault"
)

var (
	connectKind = fault.Define(
		"upstream.connect",
		"No connection to the server could be established, so the request did not run.",
		"Check that the server is running and listens on the address in the inventory.",
	)
	interruptedKind = fault.Define(
		"upstream.interrupted",
		"The connection to a server failed, or its response was truncated or invalid; the request may have run.",
		"Look for the same request in the server's log.",
	)
	requestKind = fault.Define(
		"upstream.request",
		"A request does not fit into a uwsgi packet and was not sent.",
		"Check the caller's request: it has too many variables, or they are too long.",
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
