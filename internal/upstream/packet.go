package upstream

import (
	"slices"
	"strconv"

	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/protocol/traceparent"
	"ryepaddle/internal/protocol/uwsgi"
)

const defaultMethod = "POST"

// isDropped reports whether a variable of the caller is not forwarded: it describes the caller's
// connection or the length and transfer of its body, or is HTTP_PROXY, which a server may take for its
// own proxy setting (httpoxy).
func isDropped(name string) bool {
	switch name {
	case "CONTENT_LENGTH", "HTTP_CONTENT_LENGTH", "HTTP_CONNECTION", "HTTP_TRANSFER_ENCODING",
		"HTTP_UPGRADE", "HTTP_TE", "HTTP_KEEP_ALIVE", "HTTP_PROXY_CONNECTION", "HTTP_PROXY", "HTTP_EXPECT":
		return true
	}
	return false
}

func methodOf(a *lifecycle.Attempt) string {
	for _, f := range a.Request.Metadata {
		if f.Name == "REQUEST_METHOD" {
			return f.Value
		}
	}
	return defaultMethod
}

// packetFor returns the uwsgi packet of an attempt: the caller's variables, the variables that the
// runner sets, and the part of the body that has been read.
func packetFor(a *lifecycle.Attempt, options *Options) ([]byte, error) {
	own := runnerVariables(a, options)
	r := &uwsgi.Request{Body: a.Request.Body}
	for _, f := range a.Request.Metadata {
		isOwn := slices.ContainsFunc(own, func(v uwsgi.Variable) bool { return v.Name == f.Name })
		if !isOwn && !isDropped(f.Name) {
			r.Variables = append(r.Variables, uwsgi.Variable(f))
		}
	}
	r.Variables = append(r.Variables, own...)
	for _, v := range []uwsgi.Variable{
		{Name: "REQUEST_METHOD", Value: defaultMethod},
		{Name: "SERVER_PROTOCOL", Value: "HTTP/1.1"},
		{Name: "PATH_INFO", Value: r.Get("SCRIPT_NAME")},
		{Name: "REQUEST_URI", Value: r.Get("SCRIPT_NAME")},
		{Name: "QUERY_STRING"},
	} {
		if r.Get(v.Name) == "" {
			r.Variables = append(r.Variables, v)
		}
	}
	length := int64(len(r.Body))
	if a.Request.Upload != nil {
		length = a.Request.ContentLength
	}
	r.Variables = append(
		r.Variables,
		uwsgi.Variable{Name: "CONTENT_LENGTH", Value: strconv.FormatInt(length, 10)},
	)
	packet, err := uwsgi.Append(nil, r)
	return packet, requestKind.Wrap(err)
}

// runnerVariables returns the variables for the idempotency key, the tenant and the trace context
// that the runner uses for the request. They replace the caller's variables of the same names.
func runnerVariables(a *lifecycle.Attempt, options *Options) []uwsgi.Variable {
	own := []uwsgi.Variable{{Name: options.KeyVariable, Value: a.Request.Key}}
	if t := a.Request.Tenant; t >= 0 && t < len(options.Tenants) {
		own = append(own, uwsgi.Variable{Name: options.TenantVariable, Value: options.Tenants[t]})
	}
	if options.TraceParent != nil {
		own = append(own, uwsgi.Variable{Name: traceparent.Variable, Value: options.TraceParent(a)})
	}
	return slices.DeleteFunc(own, func(v uwsgi.Variable) bool { return v.Name == "" || v.Value == "" })
}
