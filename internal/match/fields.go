package match

import (
	"net/netip"
)

// fields are the properties of a request that expressions can name. host has no port.
var fields = map[string]*node{
	"method": textField(64, func(r *Request) string { return r.Method }),
	"path":   textField(maxFieldBytes, func(r *Request) string { return r.Path }),
	"query":  textField(maxFieldBytes, func(r *Request) string { return r.Query }),
	"host":   textField(256, func(r *Request) string { return r.Host }),
	"scheme": textField(8, func(r *Request) string { return r.Scheme }),
	"school": textField(256, func(r *Request) string { return r.School }),
	"length": {resultType: Int, cost: 1, evalInt: func(r *Request) int64 { return r.Length }},
	"remote": {resultType: Addr, cost: 1, evalAddr: func(r *Request) netip.Addr { return r.Remote }},
}

// textField returns a node for a text property of at most maxLength bytes.
func textField(long int, get func(*Request) string) *node {
	return &node{resultType: Text, cost: 1, maxLength: long, evalText: get}
}
