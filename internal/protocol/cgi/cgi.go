// Package cgi normalizes the variables of a request (RFC 3875) before any other part uses them, so
// that the runner and the server behind it cannot disagree about which of two values counts. It
// does no I/O. The uwsgi frontend uses it.
//
// A variable that identifies a request (its method, path, length, tenant, key) may have one value
// only: a second, different value is an error. Repeated variables of any other name are joined
// (RFC 3875, 4.1.18). The result has each name once.
package cgi

import (
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"path"
	"slices"
	"strconv"
	"strings"

	"ryepaddle/internal/match"
	"ryepaddle/internal/protocol/httpmessage"
)

// Variable is one variable of a request, with its CGI name.
type Variable struct{ Name, Value string }

// Error reports a request that is rejected.
type Error struct {
	Status int // HTTP status of the answer
	Reason string
}

// Error implements error.
func (e *Error) Error() string { return e.Reason }

// badRequest returns an *Error with status 400.
func badRequest(format string, v ...any) error {
	return &Error{Status: http.StatusBadRequest, Reason: fmt.Sprintf(format, v...)}
}

// Request is a normalized request.
type Request struct {
	Method string
	// Path is PATH_INFO, or SCRIPT_NAME if PATH_INFO is empty, without dot segments.
	Path    string
	Query   string
	Host    string
	Scheme  string     // http or https
	Remote  netip.Addr // address of the caller; invalid: unknown
	Length  int64      // stated length of the body in bytes; -1: not stated
	Chunked bool       // the body has the chunked transfer coding
	// UntilClose reports that the body ends when the caller closes its side of the connection: it
	// has the transfer coding identity and no stated length.
	UntilClose bool
	// ExpectsContinue reports that the caller waits for an interim response (100 Continue) before it
	// sends the body.
	ExpectsContinue bool
	Variables       []Variable // each name once
}

// identifying lists the variables that may have one value only, in addition to those that are
// passed to Read.
var identifying = []string{
	"REQUEST_METHOD",
	"PATH_INFO",
	"SCRIPT_NAME",
	"QUERY_STRING",
	"CONTENT_LENGTH",
	"HTTP_CONTENT_LENGTH",
	"HTTP_TRANSFER_ENCODING",
	"HTTP_EXPECT",
	"HTTP_HOST",
	"REQUEST_SCHEME",
	"HTTP_X_QUEUE_START",
	"HTTP_X_SOURCE",
	"SERVER_PROTOCOL",
	"REQUEST_URI",
	"REMOTE_ADDR",
}

// Bounds of a request.
const (
	maxVariables  = 512
	maxValueBytes = 32 << 10
)

// Get returns the value of a variable, or an empty string.
func (r *Request) Get(name string) string {
	v, _ := r.Lookup(name)
	return v
}

// Lookup returns the value of a variable and whether the request has it.
func (r *Request) Lookup(name string) (string, bool) {
	for _, v := range r.Variables {
		if v.Name == name {
			return v.Value, true
		}
	}
	return "", false
}

// MatchRequest returns the properties of the request that match expressions use.
func (r *Request) MatchRequest() *match.Request {
	return &match.Request{
		Method: r.Method,
		Path:   r.Path,
		Query:  r.Query,
		Host:   r.Host,
		Scheme: r.Scheme,
		Remote: r.Remote,
		Length: r.Length,
		Var:    r.Lookup,
	}
}

// Read normalizes a request. alsoIdentifying names further variables that may have one value only.
// All errors are *Error.
func Read(variables []Variable, alsoIdentifying ...string) (*Request, error) {
	r, err := merge(variables, alsoIdentifying)
	if err != nil {
		return nil, err
	}
	for _, read := range []func(*Request) error{
		(*Request).readMethod,
		(*Request).readPath,
		(*Request).readBody,
		(*Request).readPeer,
	} {
		if err := read(r); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// merge returns a request that has each variable once, with repeated ones joined.
func merge(variables []Variable, alsoIdentifying []string) (*Request, error) {
	if len(variables) > maxVariables {
		return nil, &Error{
			Status: http.StatusRequestHeaderFieldsTooLarge,
			Reason: fmt.Sprintf("%d variables", len(variables)),
		}
	}
	r := &Request{Variables: make([]Variable, 0, len(variables)), Length: -1}
	indexes := make(map[string]int, len(variables))
	for _, v := range variables {
		if err := check(v, alsoIdentifying); err != nil {
			return nil, err
		}
		i, known := indexes[v.Name]
		if !known {
			indexes[v.Name] = len(r.Variables)
			r.Variables = append(r.Variables, v)
			continue
		}
		if err := r.Variables[i].join(v.Value, alsoIdentifying); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// join adds another value of the same name to the variable. It returns an error if the variable may
// have one value only and the values differ.
func (v *Variable) join(value string, alsoIdentifying []string) error {
	switch {
	case v.Value == value:
	case isIdentifying(v.Name, alsoIdentifying) || !strings.HasPrefix(v.Name, "HTTP_"):
		return badRequest("%s is given twice, as %q and %q", v.Name, v.Value, value)
	case v.Name == "HTTP_COOKIE":
		v.Value += "; " + value
	default:
		v.Value += ", " + value
	}
	if len(v.Value) > maxValueBytes {
		return &Error{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: v.Name + " is too long"}
	}
	return nil
}

// isIdentifying reports whether a variable may have one value only.
func isIdentifying(name string, also []string) bool {
	return slices.Contains(identifying, name) || slices.Contains(also, name)
}

// check rejects a variable that a server could mistake for another variable, or for two.
func check(v Variable, alsoIdentifying []string) error {
	if v.Name == "" || strings.ContainsAny(v.Name, "=\x00\r\n") {
		return badRequest("a variable named %q", v.Name)
	}
	isControl := func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }
	if strings.ContainsFunc(v.Value, isControl) {
		return badRequest("%s holds a control character", v.Name)
	}
	// A server that normalizes names reads http-x-dedupe-key as HTTP_X_DEDUPE_KEY.
	folded := strings.ToUpper(strings.ReplaceAll(v.Name, "-", "_"))
	if folded != v.Name && (isIdentifying(folded, alsoIdentifying) || strings.HasPrefix(folded, "HTTP_")) {
		return badRequest("a variable named %q, which reads like %s", v.Name, folded)
	}
	return nil
}

// set changes or adds a variable.
func (r *Request) set(name, value string) {
	for i := range r.Variables {
		if r.Variables[i].Name == name {
			r.Variables[i].Value = value
			return
		}
	}
	r.Variables = append(r.Variables, Variable{name, value})
}

// remove removes a variable.
func (r *Request) remove(name string) {
	r.Variables = slices.DeleteFunc(r.Variables, func(v Variable) bool { return v.Name == name })
}

// readMethod sets the method, POST by default, and the scheme, http by default.
func (r *Request) readMethod() error {
	r.Method = cmp.Or(r.Get("REQUEST_METHOD"), "POST")
	if !httpmessage.IsToken(r.Method) {
		return badRequest("REQUEST_METHOD %q", r.Method)
	}
	if r.Method == "CONNECT" {
		return &Error{Status: http.StatusNotImplemented, Reason: "the method CONNECT is not served"}
	}
	r.Scheme = cmp.Or(r.Get("REQUEST_SCHEME"), r.Get("UWSGI_SCHEME"), "http")
	if s := strings.ToLower(r.Scheme); s != "http" && s != "https" {
		return badRequest("REQUEST_SCHEME %q", r.Scheme)
	}
	return nil
}

// readPath sets the path, without dot segments, and the query. A REQUEST_URI that differs from
// them, for example because the web server rewrote the path, is replaced, since a server may use
// either.
func (r *Request) readPath() error {
	for _, name := range []string{"PATH_INFO", "SCRIPT_NAME"} {
		given := r.Get(name)
		if given == "" {
			continue
		}
		clean, err := cleanPath(given)
		if err != nil {
			return badRequest("%s %q %v", name, given, err)
		}
		r.set(name, clean)
	}
	r.Path = cmp.Or(r.Get("PATH_INFO"), r.Get("SCRIPT_NAME"))
	r.Query = r.Get("QUERY_STRING")
	if strings.ContainsAny(r.Query, " \t#") {
		return badRequest("QUERY_STRING %q", r.Query)
	}
	return r.readURI()
}

// readURI replaces a REQUEST_URI that differs from the path and the query.
func (r *Request) readURI() error {
	uri := r.Get("REQUEST_URI")
	if uri == "" {
		return nil
	}
	fullPath := r.Get("PATH_INFO")
	if script := r.Get("SCRIPT_NAME"); script != fullPath {
		fullPath = strings.TrimSuffix(script, "/") + fullPath
	}
	u, err := url.ParseRequestURI(uri)
	if err != nil {
		return badRequest("REQUEST_URI %q", uri)
	}
	uriPath, err := cleanPath(u.Path)
	if err != nil || uriPath != fullPath || u.RawQuery != r.Query || u.Host != "" {
		r.set("REQUEST_URI", (&url.URL{Path: fullPath, RawQuery: r.Query}).RequestURI())
	}
	return nil
}

// cleanPath returns a decoded path without empty and dot segments. A path that leads above the root
// is an error: without its dot segments it would name another resource.
func cleanPath(p string) (string, error) {
	if !strings.HasPrefix(p, "/") {
		return "", errors.New("does not begin with /")
	}
	if strings.Contains(p, "\\") {
		return "", errors.New("holds a backslash")
	}
	depth := 0
	for _, part := range strings.Split(p, "/") {
		switch part {
		case "", ".":
		case "..":
			depth--
			if depth < 0 {
				return "", errors.New("leads above the root")
			}
		default:
			depth++
		}
	}
	clean := path.Clean(p)
	if strings.HasSuffix(p, "/") && clean != "/" {
		clean += "/"
	}
	return clean, nil
}

// readBody determines how the body is framed. Two framings at once are an error, since they would
// allow request smuggling.
func (r *Request) readBody() error {
	for _, read := range []func() error{r.readLength, r.readTransferEncoding, r.readExpect} {
		if err := read(); err != nil {
			return err
		}
	}
	return nil
}

// readLength sets the stated length of the body.
func (r *Request) readLength() error {
	length := r.Get("CONTENT_LENGTH")
	if also := r.Get("HTTP_CONTENT_LENGTH"); also != "" {
		if length != "" && length != also {
			return badRequest("CONTENT_LENGTH %q and HTTP_CONTENT_LENGTH %q", length, also)
		}
		length = also
	}
	if length == "" {
		return nil
	}
	n, err := strconv.ParseUint(length, 10, 62)
	if err != nil || length[0] == '+' {
		return badRequest("bad CONTENT_LENGTH: %q", length)
	}
	r.Length = int64(n)
	return nil
}

// readTransferEncoding sets the framing of a body that has a transfer coding. readLength has to run
// before it.
func (r *Request) readTransferEncoding() error {
	hasLength := r.Length >= 0
	switch coding := strings.ToLower(strings.Trim(r.Get("HTTP_TRANSFER_ENCODING"), " \t")); {
	case coding == "":
	case coding == "identity":
		r.UntilClose = !hasLength
	case coding != "chunked":
		return &Error{
			Status: http.StatusNotImplemented,
			Reason: fmt.Sprintf("HTTP_TRANSFER_ENCODING %q", coding),
		}
	case hasLength:
		return badRequest("a body both of a stated length and in chunks")
	default:
		r.Chunked = true
	}
	return nil
}

// readExpect sets whether the caller waits for an interim response before it sends the body.
func (r *Request) readExpect() error {
	switch expect := strings.ToLower(r.Get("HTTP_EXPECT")); {
	case expect == "":
	case expect != "100-continue":
		return &Error{Status: http.StatusExpectationFailed, Reason: fmt.Sprintf("HTTP_EXPECT %q", expect)}
	default: // the runner sends the interim response, and the server gets the complete body
		r.ExpectsContinue = r.Chunked || r.Length > 0
		r.remove("HTTP_EXPECT")
	}
	return nil
}

// readPeer sets the host and the address of the caller. A malformed address is removed.
func (r *Request) readPeer() error {
	r.Host = r.Get("HTTP_HOST")
	if strings.ContainsAny(r.Host, " \t/\\@,?#") {
		return badRequest("HTTP_HOST %q", r.Host)
	}
	if text := r.Get("REMOTE_ADDR"); text != "" {
		addr, err := netip.ParseAddr(text)
		if err != nil {
			r.remove("REMOTE_ADDR")
		}
		r.Remote = addr
	}
	return nil
}
