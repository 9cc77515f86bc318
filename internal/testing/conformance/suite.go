// Package conformance is a conformance suite for uwsgi gateways: cases as data, and a Suite that runs them
// against a gateway at any address. The suite is both the caller in front of the gateway and the server
// behind it, so that it checks both directions.
package conformance

import (
	"bytes"
	_ "embed"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"ryepaddle/internal/protocol/httpmessage"
	"ryepaddle/internal/protocol/uwsgi"
)

//go:embed cases.yaml
var casesText []byte

//go:embed clauses.yaml
var clausesText []byte

// Clause is one requirement of a specification.
type Clause struct {
	ID     string `yaml:"id"`
	Source string `yaml:"source"`
	Text   string `yaml:"text"`
}

// Case is a request and the server's response, with what the server and the caller must receive.
type Case struct {
	Name          string      `yaml:"name"`
	Clauses       []string    `yaml:"clauses"`
	Class         string      `yaml:"to"` // "safe" (the default) or "keyed"
	Vars          [][2]string `yaml:"vars"`
	Body          string      `yaml:"body"`
	Raw           string      `yaml:"raw"`
	CloseWrite    bool        `yaml:"shut"` // the caller closes its side for writing after the request
	ServerSees    *ServerSees `yaml:"sees"`
	Server        string      `yaml:"server"`
	AfterResponse string      `yaml:"then"` // "end" (the default) or "hold": the server keeps the connection open
	Want          Want        `yaml:"want"`
}

// ServerSees is what the server must receive.
type ServerSees struct {
	Body   string            `yaml:"body"`
	Vars   map[string]string `yaml:"vars"`
	Absent []string          `yaml:"absent"`
}

// Want is what the caller must receive.
type Want struct {
	Status   int               `yaml:"status"`
	Body     string            `yaml:"body"`
	Fields   map[string]string `yaml:"fields"` // several values of one name are joined by |
	Absent   []string          `yaml:"absent"`
	Interim  []int             `yaml:"interim"`
	Bytes    string            `yaml:"bytes"` // all received bytes; if set, they are not parsed as a response
	HeadOnly bool              `yaml:"headOnly"`
}

// Load returns the cases and the clauses that they cover.
func Load() (cases []Case, clauses []Clause, err error) {
	strict := func(text []byte, v any) error {
		d := yaml.NewDecoder(bytes.NewReader(text))
		d.KnownFields(true)
		return d.Decode(v)
	}
	if err := strict(clausesText, &clauses); err != nil {
		return nil, nil, fmt.Errorf("conformance: clauses: %w", err)
	}
	if err := strict(casesText, &cases); err != nil {
		return nil, nil, fmt.Errorf("conformance: cases: %w", err)
	}
	return cases, clauses, nil
}

// Gateway is the gateway under test.
type Gateway struct {
	FrontendAddr   string        // address of its uwsgi frontend; a path is a unix socket
	IdempotentPath string        // path of an idempotent class whose only server is the suite's
	KeyedPath      string        // path of a class with idempotency keys whose only server is the suite's
	KeyVariable    string        // variable that carries the idempotency key
	Tenant         [2]string     // variable and value
	Timeout        time.Duration // of each connection, and of the wait for a request
}

// Suite runs cases. It is not safe for concurrent use.
type Suite struct {
	gateway  Gateway
	listener net.Listener
	received chan receivedRequest
	current  chan currentCase // the case of the server's next response
	lastRun  int64
}

// currentCase is the case that the server responds to.
type currentCase struct {
	testCase *Case
	bytewise bool
	done     chan struct{} // closed at the end of the case, when the server may close its connection
}

// receivedRequest is a request that the server received.
type receivedRequest struct {
	request *uwsgi.Request
	err     error
}

// New returns a suite whose server accepts the gateway's connections on a listener.
func New(gateway Gateway, server net.Listener) *Suite {
	s := &Suite{
		gateway:  gateway,
		listener: server,
		received: make(chan receivedRequest, 16),
		current:  make(chan currentCase, 1),
		lastRun:  time.Now().UnixNano(),
	}
	go s.serve()
	return s
}

// Run runs a case, with its bytes sent at once or one at a time. It returns an error that describes the first
// deviation from the case.
func (s *Suite) Run(c *Case, bytewise bool) error {
	s.lastRun++
	key := fmt.Sprintf("conform-%d", s.lastRun)
	path := s.gateway.IdempotentPath
	if c.Class == "keyed" {
		path = s.gateway.KeyedPath
	}
	expand := strings.NewReplacer("$KEY", key, "$PATH", path).Replace
	for len(s.received) > 0 {
		<-s.received
	}
	p := currentCase{testCase: c, bytewise: bytewise, done: make(chan struct{})}
	defer close(p.done)
	select {
	case <-s.current:
	default:
	}
	s.current <- p
	packet, err := s.encodeRequest(c, path, key, expand)
	if err != nil {
		return err
	}
	got, err := s.exchange(packet, bytewise, c.CloseWrite)
	if err != nil {
		return err
	}
	if err := c.Want.check(got); err != nil {
		return fmt.Errorf("%w (got %.300q)", err, got)
	}
	return s.checkReceived(c, expand)
}

// encodeRequest returns the bytes that the caller sends.
func (s *Suite) encodeRequest(c *Case, path, key string, expand func(string) string) ([]byte, error) {
	if c.Raw != "" {
		return []byte(c.Raw), nil
	}
	r := &uwsgi.Request{Body: []byte(c.Body)}
	given := func(name string) bool {
		return slices.ContainsFunc(c.Vars, func(v [2]string) bool { return v[0] == name })
	}
	r.Variables = append(
		r.Variables,
		uwsgi.Variable{Name: "PATH_INFO", Value: path},
		uwsgi.Variable{Name: s.gateway.Tenant[0], Value: s.gateway.Tenant[1]},
	)
	if !given("REQUEST_METHOD") {
		r.Variables = append(r.Variables, uwsgi.Variable{Name: "REQUEST_METHOD", Value: "POST"})
	}
	if c.Class == "keyed" {
		r.Variables = append(r.Variables, uwsgi.Variable{Name: s.gateway.KeyVariable, Value: key})
	}
	if !given("CONTENT_LENGTH") && !given("HTTP_TRANSFER_ENCODING") && c.Body != "" {
		r.Variables = append(r.Variables, uwsgi.Variable{Name: "CONTENT_LENGTH", Value: strconv.Itoa(len(c.Body))})
	}
	for _, v := range c.Vars {
		name := v[0]
		if name == "HTTP_X_DEDUPE_KEY" {
			name = s.gateway.KeyVariable
		}
		r.Variables = append(r.Variables, uwsgi.Variable{Name: name, Value: expand(v[1])})
	}
	return uwsgi.Append(nil, r)
}

// exchange sends a packet and returns all bytes received until the gateway closes the connection.
func (s *Suite) exchange(packet []byte, bytewise, closeWrite bool) ([]byte, error) {
	network := "tcp"
	if strings.HasPrefix(s.gateway.FrontendAddr, "/") {
		network = "unix"
	}
	conn, err := net.DialTimeout(network, s.gateway.FrontendAddr, s.gateway.Timeout)
	if err != nil {
		return nil, fmt.Errorf("conformance: %w", err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(s.gateway.Timeout)) // an error also shows in the next call
	go func() {
		send(conn, packet, bytewise)
		if half, ok := conn.(interface{ CloseWrite() error }); closeWrite && ok {
			_ = half.CloseWrite() // an error shows in the response
		}
	}()
	got, err := io.ReadAll(conn)
	if err != nil && len(got) == 0 {
		return nil, fmt.Errorf("no answer from the gateway: %w", err)
	}
	return got, nil
}

// send writes a text at once or one byte at a time. A failure shows in the response.
func send(conn net.Conn, text []byte, bytewise bool) {
	if !bytewise {
		_, _ = conn.Write(text)
		return
	}
	for i := range text {
		if _, err := conn.Write(text[i : i+1]); err != nil {
			return
		}
	}
}

// serve is the server behind the gateway.
func (s *Suite) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return // the listener was closed
		}
		go s.answer(conn)
	}
}

// answer reads one request and sends the response of the current case.
func (s *Suite) answer(conn net.Conn) {
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(s.gateway.Timeout))
	var in []byte
	buf := make([]byte, 32<<10)
	for {
		n, err := conn.Read(buf)
		in = append(in, buf[:n]...)
		r, used, bad := uwsgi.Read(in, uwsgi.MaxVariablesBytes, 64<<20)
		if bad == nil && used == 0 && err == nil {
			continue
		}
		if bad == nil && used == 0 {
			return // a connection without a request
		}
		s.received <- receivedRequest{r, bad}
		break
	}
	select {
	case p := <-s.current:
		send(conn, []byte(p.testCase.Server), p.bytewise)
		if p.testCase.AfterResponse == "hold" {
			<-p.done
		}
	default: // the gateway retries the request of a case that was already answered
	}
}

// check compares the bytes that the caller received with the wanted response.
func (w *Want) check(got []byte) error {
	if w.Bytes != "" {
		if string(got) != w.Bytes {
			return fmt.Errorf("wrong bytes, want %q", w.Bytes)
		}
		return nil
	}
	var interim []int
	for {
		head, rest, ok := bytes.Cut(got, []byte("\r\n\r\n"))
		words := strings.Fields(string(head))
		if !ok || len(words) < 2 || !strings.HasPrefix(words[1], "1") {
			break
		}
		n, err := strconv.Atoi(words[1])
		if err != nil {
			return err
		}
		interim, got = append(interim, n), rest
	}
	if !slices.Equal(interim, w.Interim) {
		return fmt.Errorf("interim responses %v, want %v", interim, w.Interim)
	}
	h, n, err := httpmessage.Read(got)
	if err != nil || n == 0 {
		return fmt.Errorf("no complete response: %v", err)
	}
	if h.Status != w.Status {
		return fmt.Errorf("status %d, want %d", h.Status, w.Status)
	}
	body := got[n:]
	if h.Length >= 0 && !w.HeadOnly && len(body) != h.Length {
		return fmt.Errorf("body of %d bytes, but a stated length of %d", len(body), h.Length)
	}
	if w.Status < 400 && string(body) != w.Body {
		return fmt.Errorf("body %q, want %q", body, w.Body)
	}
	for name, want := range w.Fields {
		var values []string
		for _, f := range h.Fields {
			if strings.EqualFold(f.Name, name) {
				values = append(values, f.Value)
			}
		}
		if strings.Join(values, "|") != want {
			return fmt.Errorf("header field %s is %q, want %q", name, values, want)
		}
	}
	for _, name := range w.Absent {
		if h.Get(name) != "" {
			return fmt.Errorf("header field %s reached the caller, want it absent", name)
		}
	}
	return nil
}

// checkReceived compares the request that the server received with the wanted one.
func (s *Suite) checkReceived(c *Case, expand func(string) string) error {
	if c.ServerSees == nil {
		select {
		case v := <-s.received:
			return fmt.Errorf("the server received a request that the gateway must refuse: %+v", v.request)
		default:
			return nil
		}
	}
	var v receivedRequest
	select {
	case v = <-s.received:
	case <-time.After(s.gateway.Timeout):
		return fmt.Errorf("the server received no request")
	}
	if v.err != nil {
		return fmt.Errorf("the server received an invalid request: %w", v.err)
	}
	if string(v.request.Body) != c.ServerSees.Body {
		return fmt.Errorf("the server received the body %q, want %q", v.request.Body, c.ServerSees.Body)
	}
	names := map[string]int{}
	for _, x := range v.request.Variables {
		if names[x.Name]++; names[x.Name] > 1 {
			return fmt.Errorf("the server received the variable %s twice", x.Name)
		}
	}
	for name, want := range c.ServerSees.Vars {
		if name == "HTTP_X_DEDUPE_KEY" {
			name = s.gateway.KeyVariable
		}
		if got := v.request.Get(name); got != expand(want) {
			return fmt.Errorf("the server received the variable %s as %q, want %q", name, got, expand(want))
		}
	}
	for _, name := range c.ServerSees.Absent {
		if names[name] > 0 {
			return fmt.Errorf("the server received the variable %s, want it absent", name)
		}
	}
	return nil
}
