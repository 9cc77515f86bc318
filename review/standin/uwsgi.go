package standin

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// uwsgiPacket returns a request of the uwsgi protocol: modifier 0, the size of the variables, and each
// name and value behind its length.
func uwsgiPacket(vars [][2]string, body []byte) []byte {
	var content []byte
	for _, v := range vars {
		for _, text := range v {
			content = binary.LittleEndian.AppendUint16(content, uint16(len(text)))
			content = append(content, text...)
		}
	}
	head := []byte{0, 0, 0, 0}
	binary.LittleEndian.PutUint16(head[1:], uint16(len(content)))
	return append(append(head, content...), body...)
}

// readUwsgi reads one request.
func readUwsgi(r io.Reader) (vars map[string]string, body []byte, err error) {
	var head [4]byte
	if _, err = io.ReadFull(r, head[:]); err != nil {
		return nil, nil, err
	}
	content := make([]byte, binary.LittleEndian.Uint16(head[1:]))
	if _, err = io.ReadFull(r, content); err != nil {
		return nil, nil, err
	}
	vars = map[string]string{}
	text := func() string {
		if len(content) < 2 {
			err = io.ErrUnexpectedEOF
			return ""
		}
		n := int(binary.LittleEndian.Uint16(content))
		if len(content) < 2+n {
			err = io.ErrUnexpectedEOF
			return ""
		}
		s := string(content[2 : 2+n])
		content = content[2+n:]
		return s
	}
	for len(content) > 0 && err == nil {
		name := text()
		vars[name] = text()
	}
	if err != nil {
		return nil, nil, err
	}
	n, _ := strconv.Atoi(vars["CONTENT_LENGTH"])
	body = make([]byte, n)
	_, err = io.ReadFull(r, body)
	return vars, body, err
}

// UwsgiServer is a server that works for a time on each request and answers 200.
type UwsgiServer struct {
	Name, Addr string
	mu         sync.Mutex
	requests   []string
}

// Requests returns the keys of the requests that the server has received.
func (s *UwsgiServer) Requests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.requests...)
}

// NewUwsgiServer starts a server at an address.
func NewUwsgiServer(name, addr string, work time.Duration, record *Record) (*UwsgiServer, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &UwsgiServer{Name: name, Addr: addr}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				vars, body, err := readUwsgi(bufio.NewReader(c))
				if err != nil {
					return
				}
				key := vars["HTTP_X_DEDUPE_KEY"]
				s.mu.Lock()
				s.requests = append(s.requests, key)
				s.mu.Unlock()
				record.Line("server %s at %s: receives %s key %q body %q", name, addr, vars["SCRIPT_NAME"], key, body)
				time.Sleep(work)
				answer := "run by " + name + " for " + string(body)
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
			}()
		}
	}()
	return s, nil
}

// AskUwsgi sends one request of a uwsgi caller and returns the status and the body of the answer.
func AskUwsgi(addr, class, key string, body []byte, within time.Duration) (status int, answer []byte, err error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, nil, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(within))
	path := "/ops/" + class
	_, err = c.Write(uwsgiPacket([][2]string{
		{"REQUEST_METHOD", "POST"}, {"SCRIPT_NAME", path}, {"PATH_INFO", path}, {"REQUEST_URI", path}, {"QUERY_STRING", ""},
		{"SERVER_PROTOCOL", "HTTP/1.1"}, {"CONTENT_LENGTH", strconv.Itoa(len(body))}, {"HTTP_X_CUSTOMER", "malarskolan"},
		{"HTTP_X_DEDUPE_KEY", key},
	}, body))
	if err != nil {
		return 0, nil, err
	}
	all, err := io.ReadAll(c)
	if err != nil {
		return 0, nil, err
	}
	response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(all)), nil)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}
