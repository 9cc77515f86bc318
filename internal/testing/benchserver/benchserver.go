// Package benchserver runs the callers of a gateway and the server behind it in a process of their own, so
// that their allocations are not counted with the gateway's.
package benchserver

import (
	"fmt"
	"io"
	"net"

	"ryepaddle/internal/protocol/uwsgi"
	"ryepaddle/internal/testing/scenario"
)

// Play starts a server whose responses have a body of size bytes, and writes its address to out. For each line
// of in, which has an address and a number of requests, it sends the requests to the address one after the other
// and writes the number of complete responses to out. Play returns at the end of in.
func Play(size int, in io.Reader, out io.Writer) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer ln.Close()
	response := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, make([]byte, size))
	go scenario.Serve(ln, func(c net.Conn) {
		if _, err := c.Read(make([]byte, 4096)); err == nil {
			_, _ = c.Write(response) // the caller may have closed the connection
		}
	})
	fmt.Fprintln(out, ln.Addr())
	packet, err := uwsgi.Append(
		nil,
		&uwsgi.Request{Variables: []uwsgi.Variable{{Name: "PATH_INFO", Value: "/ops/quick-check"},
			{Name: "HTTP_X_CUSTOMER", Value: "north"}, {Name: "REQUEST_METHOD", Value: "GET"}}},
	)
	if err != nil {
		return err
	}
	for {
		var addr string
		var n int
		if _, err := fmt.Fscanln(in, &addr, &n); err != nil {
			return nil // the end of the input
		}
		served := 0
		for range n {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				return err
			}
			_, _ = c.Write(packet) // a failure shows in the response
			if got, _ := io.Copy(io.Discard, c); got > int64(size) {
				served++
			}
			c.Close()
		}
		fmt.Fprintln(out, served)
	}
}
