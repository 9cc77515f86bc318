// Command toy is a newcomer's server and client for the example: it speaks uwsgi, with the codec of
// the runner.
//
//	toy serve 127.0.0.1:3041         answers each request after a moment, and counts its runs
//	toy ask 127.0.0.1:3031 /ops/hand-in KEY BODY
package main

import (
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

func main() {
	args := os.Args[1:]
	var err error
	switch {
	case len(args) == 2 && args[0] == "serve":
		err = serve(args[1])
	case len(args) == 5 && args[0] == "ask":
		err = ask(args[1], args[2], args[3], args[4])
	default:
		err = fmt.Errorf("toy serve ADDRESS | toy ask ADDRESS PATH KEY BODY")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "toy:", err)
		os.Exit(1)
	}
}

func serve(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	log.Printf("toy: listens on %v", ln.Addr())
	var runs atomic.Int64
	for {
		c, err := ln.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer c.Close()
			if err := answer(c, &runs); err != nil {
				log.Printf("toy: %v", err)
			}
		}()
	}
}

func answer(c net.Conn, runs *atomic.Int64) error {
	var in []byte
	buf := make([]byte, 4096)
	for {
		n, err := c.Read(buf)
		if err != nil {
			return err
		}
		in = append(in, buf[:n]...)
		r, used, err := uwsgi.Read(in, uwsgi.MaxVariablesBytes, 1<<20)
		if err != nil {
			return err
		}
		if used == 0 {
			continue
		}
		run := runs.Add(1)
		log.Printf(
			"toy: run %d: %s for %s, %d bytes",
			run,
			r.Get("PATH_INFO"),
			r.Get("HTTP_X_CUSTOMER"),
			len(r.Body),
		)
		time.Sleep(100 * time.Millisecond)
		_, err = c.Write(uwsgi.AppendResponse(nil, &uwsgi.Response{Status: 200,
			Fields: []httpmessage.Field{{Name: "Content-Type", Value: "text/plain"}},
			Body:   fmt.Appendf(nil, "run %d graded %q\n", run, r.Body)}, false))
		return err
	}
}

func ask(addr, path, key, body string) error {
	packet, err := uwsgi.Append(nil, &uwsgi.Request{Body: []byte(body), Variables: []uwsgi.Variable{
		{
			Name:  "REQUEST_METHOD",
			Value: "POST",
		}, {Name: "PATH_INFO", Value: path}, {Name: "HTTP_X_CUSTOMER", Value: "north"},
		{Name: "HTTP_X_DEDUPE_KEY", Value: key}, {Name: "CONTENT_LENGTH", Value: strconv.Itoa(len(body))}}})
	if err != nil {
		return err
	}
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close()
	if _, err := c.Write(packet); err != nil {
		return err
	}
	_, err = io.Copy(os.Stdout, c)
	return err
}
