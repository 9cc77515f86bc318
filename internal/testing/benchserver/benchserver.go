// Package benchserver plays the callers of a hop and the server behind it in a process of its own,
// so that what they allocate is not counted with the hop.
package benchserver

import (
	"fmt"
	"io"
	"net"

	"ryepaddle/internal/protocol/uwsgi"
	"ryepaddle/internal/testing/scenario"
)

// Play prints where its server listens, which answers with so many bytes, and then asks as many
// requests as each line of its input says, at the address that comes before. It prints how many
// were served, and ends with its input.
func Play(size int, in io.Reader, out io.Writer) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer ln.Close()
	response := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, make([]byte, size))
	go scenario.Serve(ln, func(c net.Conn) {
		if _, err := c.Read(make([]byte, 4096)); err == nil {
			_, _ = c.Write(response) // whoever asked may be gone
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
			return nil // whoever asked for it has done
		}
		served := 0
		for range n {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				return err
			}
			_, _ = c.Write(packet) // what fails is not served
			if got, _ := io.Copy(io.Discard, c); got > int64(size) {
				served++
			}
			c.Close()
		}
		fmt.Fprintln(out, served)
	}
}
