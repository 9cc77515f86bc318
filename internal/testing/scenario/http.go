package scenario

import (
	"errors"
	"fmt"
	"io"
	"net"

	"ryepaddle/internal/protocol/httpmessage"
	"ryepaddle/internal/protocol/uwsgi"
)

// ReadHead reads a uwsgi request up to the end of its variables. It returns the value of the first variable, which
// is the path, and the part of the body that has arrived.
func ReadHead(c net.Conn) (path string, body []byte, err error) {
	var in []byte
	buf := make([]byte, 64<<10)
	for {
		n, err := c.Read(buf)
		if err != nil {
			return "", nil, err
		}
		in = append(in, buf[:n]...)
		head, used, err := uwsgi.ReadHead(in, uwsgi.MaxVariablesBytes)
		if err != nil || used > 0 && len(head.Variables) == 0 {
			return "", nil, errors.New("scenario: not a uwsgi request with variables")
		}
		if used > 0 {
			return head.Variables[0].Value, in[used:], nil
		}
	}
}

// ReadAnswer reads an answer until the connection ends. complete reports whether the connection ended without a
// reset and the body has its stated length, if one is stated.
func ReadAnswer(c io.Reader) (status int, body []byte, complete bool) {
	all, err := io.ReadAll(c)
	head, n, bad := httpmessage.Read(all)
	if bad != nil || n == 0 {
		return 0, nil, false
	}
	body = all[n:]
	return head.Status, body, err == nil && (head.Length < 0 || head.Length == len(body))
}

// responsePartBytes is the size of the pieces in which Respond writes.
const responsePartBytes = 50_000

// Respond sends a response with status 200. Its body has a Content-Length if length is true, and is chunked
// otherwise.
func Respond(c net.Conn, body []byte, length bool) error {
	if length {
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body)); err != nil {
			return err
		}
	} else if _, err := io.WriteString(
		c,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	); err != nil {
		return err
	}
	for at := 0; at < len(body); {
		n := min(responsePartBytes, len(body)-at)
		part := body[at : at+n]
		if !length {
			part = httpmessage.AppendChunk(nil, part)
		}
		if _, err := c.Write(part); err != nil {
			return err
		}
		at += n
	}
	if !length {
		_, err := c.Write(httpmessage.AppendChunk(nil, nil))
		return err
	}
	return nil
}
