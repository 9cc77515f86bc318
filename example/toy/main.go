// Command toy is the server and the client of the example. Both speak uwsgi with the codec of the
// runner.
//
//	toy serve 127.0.0.1:3041         answers each request after a moment, and counts its runs
//	toy ask 127.0.0.1:3031 /ops/hand-in KEY BODY
package main

import (
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"ryepaddle/internal/protocol/httpmessage"
	"ryepaddle/internal/protocol/uwsgi"
)

const (
	readSize    = 4096    // bytes of one read
	maxBodySize = 1 << 20 // bytes
	runTime     = 100 * time.Millisecond
)

var errUsage = errors.New("toy serve ADDRESS | toy ask ADDRESS PATH KEY BODY")

func main() {
	args := os.Args[1:]
	err := errUsage
	switch {
	case len(args) == 2 && args[0] == "serve":
		err = serve(args[1])
	case len(args) == 5 && args[0] == "ask":
		err = ask(args[1], args[2], args[3], args[4])
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "toy:", err)
		os.Exit(1)
	}
}

// serve answers the requests that arrive at an address.
func serve(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	log.Printf("toy: listens on %v", listener.Addr())
	var runs atomic.Int64
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer conn.Close()
			if err := answer(conn, &runs); err != nil {
				log.Printf("toy: %v", err)
			}
		}()
	}
}

// answer reads one request from a connection, runs it and writes the response.
func answer(conn net.Conn, runs *atomic.Int64) error {
	request, err := readRequest(conn)
	if err != nil {
		return err
	}
	run := runs.Add(1)
	log.Printf("toy: run %d: %s for %s, %d bytes",
		run, request.Get("PATH_INFO"), request.Get("HTTP_X_CUSTOMER"), len(request.Body))
	time.Sleep(runTime)
	response := &uwsgi.Response{
		Status: 200,
		Fields: []httpmessage.Field{{Name: "Content-Type", Value: "text/plain"}},
		Body:   fmt.Appendf(nil, "run %d graded %q\n", run, request.Body),
	}
	_, err = conn.Write(uwsgi.AppendResponse(nil, response, false))
	return err
}

// readRequest reads from a connection until a request is complete.
func readRequest(conn net.Conn) (*uwsgi.Request, error) {
	var in []byte
	buf := make([]byte, readSize)
	for {
		n, err := conn.Read(buf)
		if err != nil {
			return nil, err
		}
		in = append(in, buf[:n]...)
		request, used, err := uwsgi.Read(in, uwsgi.MaxVariablesBytes, maxBodySize)
		if err != nil || used > 0 {
			return request, err
		}
	}
}

// ask sends one request with an idempotency key and prints the response.
func ask(address, path, key, body string) error {
	packet, err := uwsgi.Append(nil, &uwsgi.Request{
		Body: []byte(body),
		Variables: []uwsgi.Variable{
			{Name: "REQUEST_METHOD", Value: "POST"},
			{Name: "PATH_INFO", Value: path},
			{Name: "HTTP_X_CUSTOMER", Value: "north"},
			{Name: "HTTP_X_DEDUPE_KEY", Value: key},
			{Name: "CONTENT_LENGTH", Value: strconv.Itoa(len(body))},
		},
	})
	if err != nil {
		return err
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	if _, err := conn.Write(packet); err != nil {
		return err
	}
	_, err = io.Copy(os.Stdout, conn)
	return err
}
