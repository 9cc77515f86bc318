package upstream

import (
	"strconv"

	"shalesail/internal/core"
	"shalesail/internal/uwsgi"
)

// left are variables that are about the caller's connection, or that a server takes for settings of its own.
var left = map[string]bool{"CONTENT_LENGTH": true, "HTTP_CONTENT_LENGTH": true, "HTTP_CONNECTION": true,
	"HTTP_TRANSFER_ENCODING": true, "HTTP_UPGRADE": true, "HTTP_TE": true, "HTTP_KEEP_ALIVE": true,
	"HTTP_PROXY_CONNECTION": true, "HTTP_PROXY": true}

func method(a *core.Attempt) string {
	for _, f := range a.Request.Meta {
		if f.Name == "REQUEST_METHOD" {
			return f.Value
		}
	}
	return "POST"
}

// packet is the request as the server gets it: the caller's variables, and the length of the body as it is.
func packet(a *core.Attempt) ([]byte, error) {
	r := &uwsgi.Request{Body: a.Request.Body}
	for _, f := range a.Request.Meta {
		if !left[f.Name] {
			r.Vars = append(r.Vars, uwsgi.Var(f))
		}
	}
	for _, v := range []uwsgi.Var{{Name: "REQUEST_METHOD", Value: "POST"}, {Name: "SERVER_PROTOCOL", Value: "HTTP/1.1"},
		{Name: "PATH_INFO", Value: r.Get("SCRIPT_NAME")}, {Name: "REQUEST_URI", Value: r.Get("SCRIPT_NAME")},
		{Name: "QUERY_STRING"}} {
		if r.Get(v.Name) == "" {
			r.Vars = append(r.Vars, v)
		}
	}
	r.Vars = append(r.Vars, uwsgi.Var{Name: "CONTENT_LENGTH", Value: strconv.Itoa(len(r.Body))})
	return uwsgi.Append(nil, r)
}
