package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"time"
)

// server is a stand-in for a uwsgi server: it reads one request on each connection and answers it.
type server struct {
	name string
	ln   net.Listener
	rec  *record
	work time.Duration

	mu   sync.Mutex
	keys []string // of the requests that it got
}

func startServer(name, addr string, rec *record, work time.Duration) (*server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &server{name: name, ln: ln, rec: rec, work: work}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s, nil
}

func (s *server) addr() string { return s.ln.Addr().String() }

// got returns the keys of the requests that the server got.
func (s *server) got() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string{}, s.keys...)
}

func (s *server) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	variables, err := readVariables(in)
	if err != nil {
		return
	}
	length, _ := strconv.Atoi(variables["CONTENT_LENGTH"])
	if _, err := io.ReadFull(in, make([]byte, length)); err != nil {
		return
	}
	key := variables["HTTP_X_DEDUPE_KEY"]
	s.mu.Lock()
	s.keys = append(s.keys, key)
	s.mu.Unlock()
	s.rec.note("server %s got %s key %q", s.name, variables["SCRIPT_NAME"], key)
	time.Sleep(s.work)
	body := "by " + s.name
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// readVariables reads the packet of a request.
func readVariables(in io.Reader) (map[string]string, error) {
	var head [4]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return nil, err
	}
	packet := make([]byte, binary.LittleEndian.Uint16(head[1:]))
	if _, err := io.ReadFull(in, packet); err != nil {
		return nil, err
	}
	variables := map[string]string{}
	text := func() string {
		n := int(binary.LittleEndian.Uint16(packet))
		t := string(packet[2 : 2+n])
		packet = packet[2+n:]
		return t
	}
	for len(packet) > 0 {
		name := text()
		variables[name] = text()
	}
	return variables, nil
}
