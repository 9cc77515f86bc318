// Package conform holds the conformance suite of the uwsgi side: cases as data, and one runner that
// plays them against a hop at any address. It is the caller in front of the hop and the server
// behind it, so that it sees what passes both ways.
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

// Clause is what a description says.
type Clause struct {
	ID     string `yaml:"id"`
	Source string `yaml:"source"`
	Text   string `yaml:"text"`
}

// Case is bytes in and what is expected out.
type Case struct {
	Name    string      `yaml:"name"`
	Clauses []string    `yaml:"clauses"`
	To      string      `yaml:"to"` // safe, the default, or keyed
	Vars    [][2]string `yaml:"vars"`
	Body    string      `yaml:"body"`
	Raw     string      `yaml:"raw"`
	Shut    bool        `yaml:"shut"` // the caller closes its side behind what it sends
	Sees    *ServerSees `yaml:"sees"`
	Server  string      `yaml:"server"`
	Then    string      `yaml:"then"` // end, the default, or hold: the server keeps the connection
	Want    Want        `yaml:"want"`
}

// ServerSees is what the server must have seen.
type ServerSees struct {
	Body   string            `yaml:"body"`
	Vars   map[string]string `yaml:"vars"`
	Absent []string          `yaml:"absent"`
}

// Want is what the caller must get.
type Want struct {
	Status   int               `yaml:"status"`
	Body     string            `yaml:"body"`
	Fields   map[string]string `yaml:"fields"` // several values of one name are joined by |
	Absent   []string          `yaml:"absent"`
	Interim  []int             `yaml:"interim"`
	Bytes    string            `yaml:"bytes"` // all that comes, in place of a response
	HeadOnly bool              `yaml:"headOnly"`
}

// Load reads the suite.
func Load() (cases []Case, clauses []Clause, err error) {
	strict := func(text []byte, v any) error {
		d := yaml.NewDecoder(bytes.NewReader(text))
		d.KnownFields(true)
		return d.Decode(v)
	}
	if err := strict(clausesText, &clauses); err != nil {
		return nil, nil, fmt.Errorf("conform: clauses: %w", err)
	}
	if err := strict(casesText, &cases); err != nil {
		return nil, nil, fmt.Errorf("conform: cases: %w", err)
	}
	return cases, clauses, nil
}

// Gateway is what is examined, and how it is set up.
type Gateway struct {
	Front   string // network address of its uwsgi front; a path is a unix socket
	Safe    string // path of a class that is safe to repeat, and leads to the server alone
	Keyed   string // path of a keyed class that does, too
	KeyVar  string
	Tenant  [2]string // variable and value
	Patient time.Duration
}

// Suite plays cases.
type Suite struct {
	hop  Gateway
	ln   net.Listener
	seen chan seen
	now  chan play // the case that the server plays next
	run  int64
}

type play struct {
	c    *Case
	byte bool
	over chan struct{} // closed when the server need not hold its connection any longer
}

type seen struct {
	r   *uwsgi.Request
	err error
}

// New makes a suite whose server answers on a listener, which the hop under examination knows of.
func New(hop Gateway, server net.Listener) *Suite {
	s := &Suite{
		hop:  hop,
		ln:   server,
		seen: make(chan seen, 16),
		now:  make(chan play, 1),
		run:  time.Now().UnixNano(),
	}
	go s.serve()
	return s
}

// Run plays a case, whole or a byte at a time, and says what was not as expected.
func (s *Suite) Run(c *Case, bytewise bool) error {
	s.run++
	key := fmt.Sprintf("conform-%d", s.run)
	path := s.hop.Safe
	if c.To == "keyed" {
		path = s.hop.Keyed
	}
	expand := strings.NewReplacer("$KEY", key, "$PATH", path).Replace
	for len(s.seen) > 0 {
		<-s.seen
	}
	p := play{c: c, byte: bytewise, over: make(chan struct{})}
	defer close(p.over)
	select {
	case <-s.now:
	default:
	}
	s.now <- p
	packet, err := s.packet(c, path, key, expand)
	if err != nil {
		return err
	}
	got, err := s.ask(packet, bytewise, c.Shut)
	if err != nil {
		return err
	}
	if err := c.Want.check(got); err != nil {
		return fmt.Errorf("%w (got %.300q)", err, got)
	}
	return s.checkSeen(c, expand)
}

// packet is what the caller sends.
func (s *Suite) packet(c *Case, path, key string, expand func(string) string) ([]byte, error) {
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
		uwsgi.Variable{Name: s.hop.Tenant[0], Value: s.hop.Tenant[1]},
	)
	if !given("REQUEST_METHOD") {
		r.Variables = append(r.Variables, uwsgi.Variable{Name: "REQUEST_METHOD", Value: "POST"})
	}
	if c.To == "keyed" {
		r.Variables = append(r.Variables, uwsgi.Variable{Name: s.hop.KeyVar, Value: key})
	}
	if !given("CONTENT_LENGTH") && !given("HTTP_TRANSFER_ENCODING") && c.Body != "" {
		r.Variables = append(r.Variables, uwsgi.Variable{Name: "CONTENT_LENGTH", Value: strconv.Itoa(len(c.Body))})
	}
	for _, v := range c.Vars {
		name := v[0]
		if name == "HTTP_X_DEDUPE_KEY" {
			name = s.hop.KeyVar
		}
		r.Variables = append(r.Variables, uwsgi.Variable{Name: name, Value: expand(v[1])})
	}
	return uwsgi.Append(nil, r)
}

// ask sends a packet and reads until the hop closes.
func (s *Suite) ask(packet []byte, bytewise, shut bool) ([]byte, error) {
	network := "tcp"
	if strings.HasPrefix(s.hop.Front, "/") {
		network = "unix"
	}
	conn, err := net.DialTimeout(network, s.hop.Front, s.hop.Patient)
	if err != nil {
		return nil, fmt.Errorf("conform: %w", err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(s.hop.Patient)) // an error of it shows in the next call
	go func() {
		send(conn, packet, bytewise)
		if half, ok := conn.(interface{ CloseWrite() error }); shut && ok {
			_ = half.CloseWrite() // an error of it shows in what comes back
		}
	}()
	got, err := io.ReadAll(conn)
	if err != nil && len(got) == 0 {
		return nil, fmt.Errorf("no answer: %w", err)
	}
	return got, nil
}

// send writes all of it at once or a byte at a time. What is not taken shows in what comes back.
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

// serve is the server behind the hop.
func (s *Suite) serve() {
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			return // the listener was closed
		}
		go s.answer(conn)
	}
}

func (s *Suite) answer(conn net.Conn) {
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(s.hop.Patient))
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
			return // it was only a connection
		}
		s.seen <- seen{r, bad}
		break
	}
	select {
	case p := <-s.now:
		send(conn, []byte(p.c.Server), p.byte)
		if p.c.Then == "hold" {
			<-p.over
		}
	default: // nobody plays: a case that was over has been tried again
	}
}

// check holds what came back against what is wanted.
func (w *Want) check(got []byte) error {
	if w.Bytes != "" {
		if string(got) != w.Bytes {
			return fmt.Errorf("want the bytes %q", w.Bytes)
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
		return fmt.Errorf("no response: %v", err)
	}
	if h.Status != w.Status {
		return fmt.Errorf("status %d, want %d", h.Status, w.Status)
	}
	body := got[n:]
	if h.Length >= 0 && !w.HeadOnly && len(body) != h.Length {
		return fmt.Errorf("a body of %d bytes, and %d stated", len(body), h.Length)
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
			return fmt.Errorf("%s is %q, want %q", name, values, want)
		}
	}
	for _, name := range w.Absent {
		if h.Get(name) != "" {
			return fmt.Errorf("%s reached the caller", name)
		}
	}
	return nil
}

// checkSeen holds what the server saw against what it must have.
func (s *Suite) checkSeen(c *Case, expand func(string) string) error {
	if c.Sees == nil {
		select {
		case v := <-s.seen:
			return fmt.Errorf("the server saw a request that is to be refused: %+v", v.r)
		default:
			return nil
		}
	}
	var v seen
	select {
	case v = <-s.seen:
	case <-time.After(s.hop.Patient):
		return fmt.Errorf("the server saw nothing")
	}
	if v.err != nil {
		return fmt.Errorf("the server got what it cannot read: %w", v.err)
	}
	if string(v.r.Body) != c.Sees.Body {
		return fmt.Errorf("the server saw the body %q, want %q", v.r.Body, c.Sees.Body)
	}
	names := map[string]int{}
	for _, x := range v.r.Variables {
		if names[x.Name]++; names[x.Name] > 1 {
			return fmt.Errorf("the server saw %s twice", x.Name)
		}
	}
	for name, want := range c.Sees.Vars {
		if name == "HTTP_X_DEDUPE_KEY" {
			name = s.hop.KeyVar
		}
		if got := v.r.Get(name); got != expand(want) {
			return fmt.Errorf("the server saw %s as %q, want %q", name, got, expand(want))
		}
	}
	for _, name := range c.Sees.Absent {
		if names[name] > 0 {
			return fmt.Errorf("the server saw %s", name)
		}
	}
	return nil
}
