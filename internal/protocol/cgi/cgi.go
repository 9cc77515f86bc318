// Package cgi makes one reading of a request out of its variables, before anybody goes by them: the
// core, the routes and the server behind must not each take another of two values for the one that
// counts. It holds no sockets.
//
// What names a request (its method, path, length, tenant, key) may be given once, or again alike;
// anything else is an error. Other variables of one name are joined as RFC 3875, 4.1.18, says. What
// comes out names each variable once.
package cgi

import (
	"cmp"
	"fmt"
	"net/netip"
	"net/url"
	"path"
	"slices"
	"strconv"
	"strings"

	"ryepaddle/internal/match"
)

// Variable is one variable, under its CGI name.
type Variable struct{ Name, Value string }

// Error is what is wrong with a request, and the status that says so.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return e.Reason }

func bad(format string, v ...any) error { return &Error{400, fmt.Sprintf(format, v...)} }

// Request is one reading of a request.
type Request struct {
	Method string
	// that classes go by: PATH_INFO, or SCRIPT_NAME where that is empty; without dot segments
	Path    string
	Query   string
	Host    string
	Scheme  string // http or https
	Remote  netip.Addr
	Length  int64 // of the body, as stated; -1: it is not
	Chunked bool  // the body comes in chunks
	// it ends as the caller closes its side, which it says by the coding identity and no length
	UntilClose      bool
	ExpectsContinue bool       // the caller waits for an interim answer before it sends the body
	Variables       []Variable // each name once
}

// names are those that name a request beside the ones that the operator's file gives.
var names = []string{
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

const (
	mostVars  = 512
	mostValue = 32 << 10
)

// Get is the value of a variable, or nothing.
func (r *Request) Get(name string) string {
	v, _ := r.Lookup(name)
	return v
}

// Lookup is Get, and tells whether there is one.
func (r *Request) Lookup(name string) (string, bool) {
	for _, v := range r.Variables {
		if v.Name == name {
			return v.Value, true
		}
	}
	return "", false
}

// MatchRequest are what expressions look at.
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

// Read makes the one reading. once are further variables that name a request.
func Read(vars []Variable, once ...string) (*Request, error) {
	if len(vars) > mostVars {
		return nil, &Error{431, fmt.Sprintf("%d variables", len(vars))}
	}
	r := &Request{Variables: make([]Variable, 0, len(vars)), Length: -1}
	at := make(map[string]int, len(vars))
	for _, v := range vars {
		if err := check(v, once); err != nil {
			return nil, err
		}
		i, known := at[v.Name]
		if !known {
			at[v.Name] = len(r.Variables)
			r.Variables = append(r.Variables, v)
			continue
		}
		old := &r.Variables[i]
		switch {
		case old.Value == v.Value:
		case isOnce(v.Name, once) || !strings.HasPrefix(v.Name, "HTTP_"):
			return nil, bad("%s is given twice, as %q and %q", v.Name, old.Value, v.Value)
		case v.Name == "HTTP_COOKIE":
			old.Value += "; " + v.Value
		default:
			old.Value += ", " + v.Value
		}
		if len(old.Value) > mostValue {
			return nil, &Error{431, v.Name + " is too long"}
		}
	}
	for _, part := range []func(*Request) error{
		(*Request).readMethod,
		(*Request).readPath,
		(*Request).readBody,
		(*Request).readPeer,
	} {
		if err := part(r); err != nil {
			return nil, err
		}
	}
	return r, nil
}

func isOnce(name string, once []string) bool {
	return slices.Contains(names, name) || slices.Contains(once, name)
}

// check refuses a variable that a server could take for another, or for two.
func check(v Variable, once []string) error {
	if v.Name == "" || strings.ContainsAny(v.Name, "=\x00\r\n") {
		return bad("a variable named %q", v.Name)
	}
	if strings.ContainsFunc(v.Value, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }) {
		return bad("%s holds a control character", v.Name)
	}
	// A server that folds names would find HTTP_X_DEDUPE_KEY in http-x-dedupe-key, beside the one
	// that the core went by.
	folded := strings.ToUpper(strings.ReplaceAll(v.Name, "-", "_"))
	if folded != v.Name && (isOnce(folded, once) || strings.HasPrefix(folded, "HTTP_")) {
		return bad("a variable named %q, which reads like %s", v.Name, folded)
	}
	return nil
}

func token(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool {
		return r <= ' ' || r >= 0x7f || strings.ContainsRune(`"(),/:;<=>?@[\]{}`, r)
	})
}

// set changes a variable, or adds it.
func (r *Request) set(name, value string) {
	for i := range r.Variables {
		if r.Variables[i].Name == name {
			r.Variables[i].Value = value
			return
		}
	}
	r.Variables = append(r.Variables, Variable{name, value})
}

func (r *Request) drop(name string) {
	r.Variables = slices.DeleteFunc(r.Variables, func(v Variable) bool { return v.Name == name })
}

func (r *Request) readMethod() error {
	r.Method = cmp.Or(r.Get("REQUEST_METHOD"), "POST")
	if !token(r.Method) {
		return bad("REQUEST_METHOD %q", r.Method)
	}
	if r.Method == "CONNECT" {
		return &Error{501, "the method CONNECT is not served"}
	}
	r.Scheme = cmp.Or(r.Get("REQUEST_SCHEME"), r.Get("UWSGI_SCHEME"), "http")
	if s := strings.ToLower(r.Scheme); s != "http" && s != "https" {
		return bad("REQUEST_SCHEME %q", r.Scheme)
	}
	return nil
}

// readPath takes dot segments out of the path. A REQUEST_URI that says otherwise than path and
// query, as one from before a rewrite does, is written anew: a server may go by either.
func (r *Request) readPath() error {
	for _, name := range []string{"PATH_INFO", "SCRIPT_NAME"} {
		given := r.Get(name)
		if given == "" {
			continue
		}
		clean, err := cleanPath(given)
		if err != nil {
			return bad("%s %q %v", name, given, err)
		}
		r.set(name, clean)
	}
	r.Path = cmp.Or(r.Get("PATH_INFO"), r.Get("SCRIPT_NAME"))
	r.Query = r.Get("QUERY_STRING")
	if strings.ContainsAny(r.Query, " \t#") {
		return bad("QUERY_STRING %q", r.Query)
	}
	uri := r.Get("REQUEST_URI")
	if uri == "" {
		return nil
	}
	whole := r.Get("PATH_INFO")
	if script := r.Get("SCRIPT_NAME"); script != whole {
		whole = strings.TrimSuffix(script, "/") + whole
	}
	anew := (&url.URL{Path: whole, RawQuery: r.Query}).RequestURI()
	u, err := url.ParseRequestURI(uri)
	if err != nil {
		return bad("REQUEST_URI %q", uri)
	}
	if p, err := cleanPath(u.Path); err != nil || p != whole || u.RawQuery != r.Query || u.Host != "" {
		r.set("REQUEST_URI", anew)
	}
	return nil
}

// cleanPath is a decoded path without empty and dot segments. One that leads above the root is
// refused, not clipped: the one who wrote it meant another place.
func cleanPath(p string) (string, error) {
	if !strings.HasPrefix(p, "/") {
		return "", fmt.Errorf("does not begin with /")
	}
	if strings.Contains(p, "\\") {
		return "", fmt.Errorf("holds a backslash")
	}
	depth := 0
	for _, part := range strings.Split(p, "/") {
		switch part {
		case "", ".":
		case "..":
			if depth--; depth < 0 {
				return "", fmt.Errorf("leads above the root")
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

// readBody settles how the body is framed. Two ways at once are how one request is smuggled in
// another.
func (r *Request) readBody() error {
	length := r.Get("CONTENT_LENGTH")
	if also := r.Get("HTTP_CONTENT_LENGTH"); also != "" {
		if length != "" && length != also {
			return bad("CONTENT_LENGTH %q and HTTP_CONTENT_LENGTH %q", length, also)
		}
		length = also
	}
	if length != "" {
		n, err := strconv.ParseUint(length, 10, 62)
		if err != nil || length[0] == '+' {
			return bad("bad CONTENT_LENGTH: %q", length)
		}
		r.Length = int64(n)
	}
	switch te := strings.ToLower(strings.Trim(r.Get("HTTP_TRANSFER_ENCODING"), " \t")); {
	case te == "":
	case te == "identity":
		r.UntilClose = length == ""
	case te != "chunked":
		return &Error{501, fmt.Sprintf("HTTP_TRANSFER_ENCODING %q", te)}
	case length != "":
		return bad("a body both of a stated length and in chunks")
	default:
		r.Chunked = true
	}
	switch expect := strings.ToLower(r.Get("HTTP_EXPECT")); {
	case expect == "":
	case expect != "100-continue":
		return &Error{417, fmt.Sprintf("HTTP_EXPECT %q", expect)}
	default: // this hop answers it; the server gets the whole body
		r.ExpectsContinue = r.Chunked || r.Length > 0
		r.drop("HTTP_EXPECT")
	}
	return nil
}

// readPeer reads who asks, and whom. An address that is none is left out rather than passed on.
func (r *Request) readPeer() error {
	r.Host = r.Get("HTTP_HOST")
	if strings.ContainsAny(r.Host, " \t/\\@,?#") {
		return bad("HTTP_HOST %q", r.Host)
	}
	if text := r.Get("REMOTE_ADDR"); text != "" {
		addr, err := netip.ParseAddr(text)
		if err != nil {
			r.drop("REMOTE_ADDR")
		}
		r.Remote = addr
	}
	return nil
}
