package upstream

import (
	"slices"
	"strconv"

	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/protocol/traceparent"
	"ryepaddle/internal/protocol/uwsgi"
)

// left are variables that are about the caller's connection, or that a server takes for settings of
// its own.
var left = map[string]bool{"CONTENT_LENGTH": true, "HTTP_CONTENT_LENGTH": true, "HTTP_CONNECTION": true,
	"HTTP_TRANSFER_ENCODING": true, "HTTP_UPGRADE": true, "HTTP_TE": true, "HTTP_KEEP_ALIVE": true,
	"HTTP_PROXY_CONNECTION": true, "HTTP_PROXY": true, "HTTP_EXPECT": true}

func method(a *lifecycle.Attempt) string {
	for _, f := range a.Request.Metadata {
		if f.Name == "REQUEST_METHOD" {
			return f.Value
		}
	}
	return "POST"
}

// packet is the request as the server gets it: the caller's variables, and the length of the body
// as it is.
func packet(a *lifecycle.Attempt, opt *Options) ([]byte, error) {
	r := &uwsgi.Request{Body: a.Request.Body}
	named := []uwsgi.Variable{{Name: opt.KeyVar, Value: a.Request.Key}}
	if t := a.Request.Tenant; t >= 0 && t < len(opt.Tenants) {
		named = append(named, uwsgi.Variable{Name: opt.TenantVar, Value: opt.Tenants[t]})
	}
	if opt.TraceParent != nil {
		named = append(named, uwsgi.Variable{Name: traceparent.Variable, Value: opt.TraceParent(a)})
	}
	named = slices.DeleteFunc(named, func(v uwsgi.Variable) bool { return v.Name == "" || v.Value == "" })
	for _, f := range a.Request.Metadata {
		if !left[f.Name] && !slices.ContainsFunc(named, func(v uwsgi.Variable) bool { return v.Name == f.Name }) {
			r.Variables = append(r.Variables, uwsgi.Variable(f))
		}
	}
	r.Variables = append(r.Variables, named...)
	for _, v := range []uwsgi.Variable{{Name: "REQUEST_METHOD", Value: "POST"}, {Name: "SERVER_PROTOCOL", Value: "HTTP/1.1"},
		{Name: "PATH_INFO", Value: r.Get("SCRIPT_NAME")}, {Name: "REQUEST_URI", Value: r.Get("SCRIPT_NAME")},
		{Name: "QUERY_STRING"}} {
		if r.Get(v.Name) == "" {
			r.Variables = append(r.Variables, v)
		}
	}
	length := int64(len(r.Body))
	if a.Request.Upload != nil {
		length = a.Request.ContentLength
	}
	r.Variables = append(r.Variables, uwsgi.Variable{Name: "CONTENT_LENGTH", Value: strconv.FormatInt(length, 10)})
	return uwsgi.Append(nil, r)
}
