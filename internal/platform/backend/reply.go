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
var errBodyTooLong = errors.New("body over its limit")

// parseReply decodes a response from the front of b and returns how many bytes it takes, or 0 if b
// holds only a part of it. A body without a stated length ends with the stream, which end reports.
func parseReply(b []byte, end bool) (reply, int, error) {
	head, headSize, err := httpmessage.Read(b)
	if err != nil || headSize == 0 {
		return reply{}, 0, err
	}
	r := reply{status: head.Status, rejected: head.Get("Turned-Away") == "1"}
	r.keepAlive = head.Proto == "HTTP/1.1" && head.Length >= 0 && !strings.EqualFold(head.Get("Connection"), "close")
	length := head.Length
	if length < 0 && end {
		length = len(b) - headSize
	}
	if length > maxBodyBytes {
		return reply{}, 0, errBodyTooLong
	}
	if length < 0 || len(b) < headSize+length {
		return reply{}, 0, nil
	}
	r.body = bytes.Clone(b[headSize : headSize+length])
	return r, headSize + length, nil
}
