package link

import "ryepaddle/internal/fault"

// kindLink is the kind of errors of links and of the messages on them.
var kindLink = fault.Define(
	"peers.link",
	"A link between runners was closed or not established in time, or a message on it was invalid.",
	"If the link stays down, check that both runners are up and of the same installation and version.",
)

var (
	errNotInFile      error = kindLink.New("link: the peer was removed from the operator's file")
	errIdle           error = kindLink.New("link: the link was idle for too long")
	errConnectTimeout error = kindLink.New("link: the connection was not established in time")
	errUnexpectedData error = kindLink.New("link: received data on a connection that is used for sending only")
)
