package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// backend is a stand-in for the back end. It answers each call after latency.
type backend struct {
	ln      net.Listener
	rec     *record
	latency time.Duration
	// after is called once a reply is written; it may write more on the connection.
	after func(conn net.Conn, reply []byte)
}

func startBackend(rec *record, latency time.Duration) (*backend, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{ln: ln, rec: rec, latency: latency}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	return b, nil
}

func (b *backend) addr() string { return b.ln.Addr().String() }

func (b *backend) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		conn.SetReadDeadline(time.Now().Add(10 * time.Second)) // idle connections are closed
		if _, err := in.ReadString('\n'); err != nil {
			return
		}
		head, err := textproto.NewReader(in).ReadMIMEHeader()
		if err != nil {
			return
		}
		length, _ := strconv.Atoi(head.Get("Content-Length"))
		body := make([]byte, length)
		if _, err := io.ReadFull(in, body); err != nil {
			return
		}
		time.Sleep(b.latency)
		text := replyTo(string(body))
		reply := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		b.rec.note("back end: %s for %s on %s", text, head.Get("Parent-Call"), port(conn))
		if _, err := conn.Write(reply); err != nil {
			return
		}
		if b.after != nil {
			b.after(conn, reply)
		}
	}
}

// port names a connection by the port of its other end.
func port(conn net.Conn) string {
	_, p, _ := strings.Cut(conn.RemoteAddr().String(), ":")
	return "connection " + p
}
