package link

import "ryepaddle/internal/fault"

// kindLink is the kind of errors that close links.
var kindLink = fault.Define(
	"peers.link",
	"A link between runners was closed: an invalid message came on it, or it was idle.",
	"Nothing, if it is up again soon; else check that both runners are of this installation and version.",
)

var (
	errNotInFile      error = kindLink.New("link: the peer was removed from the operator's file")
	errIdle           error = kindLink.New("link: the link was idle for too long")
	errConnectTimeout error = kindLink.New("link: the connection was not established in time")
	errUnexpectedData error = kindLink.New("link: received data on a connection that is used for sending only")
)
