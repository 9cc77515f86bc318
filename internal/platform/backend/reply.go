package backend

import (
	"bytes"
	"errors"
	"strings"

	"ryepaddle/internal/protocol/httpmessage"
)

// maxBodyBytes is the largest body of a call or a reply.
const maxBodyBytes = 64 << 10

// reply is a complete response.
type reply struct {
	status    int
	rejected  bool // it has the header Turned-Away
	keepAlive bool // the connection may carry another call
	body      []byte
}

// errBodyTooLong reports a reply of more than maxBodyBytes.
var errBodyTooLong = errors.New("reply body over its limit")

// parseReply decodes a response at the start of b and returns how many bytes it takes, or 0 if b holds
// only a part of it. A reply that does not state the length of its body is never complete: its call
// ends when the connection is closed.
func parseReply(b []byte) (reply, int, error) {
	head, headSize, err := httpmessage.Read(b)
	if err != nil || headSize == 0 {
		return reply{}, 0, err
	}
	if head.Length > maxBodyBytes {
		return reply{}, 0, errBodyTooLong
	}
	size := headSize + head.Length
	if head.Length < 0 || len(b) < size {
		return reply{}, 0, nil
	}
	isClosed := strings.EqualFold(head.Get("Connection"), "close")
	return reply{
		status:    head.Status,
		rejected:  head.Get("Turned-Away") == "1",
		keepAlive: head.Proto == "HTTP/1.1" && !isClosed,
		body:      bytes.Clone(b[headSize:size]),
	}, size, nil
}
