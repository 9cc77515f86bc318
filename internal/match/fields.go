package match

import (
	"net/netip"
)

// Maximum lengths in bytes of the short fields, on which the cost of an expression is based.
const (
	maxMethodBytes = 64
	maxSchemeBytes = 8
	maxNameBytes   = 256 // of a host or a tenant
)

// fields maps the names of the request fields that expressions can use to their nodes. The field
// "school" is the tenant, and the host has no port.
var fields = map[string]*node{
	"method": textField(maxMethodBytes, func(r *Request) string { return r.Method }),
	"path":   textField(maxFieldBytes, func(r *Request) string { return r.Path }),
	"query":  textField(maxFieldBytes, func(r *Request) string { return r.Query }),
	"host":   textField(maxNameBytes, func(r *Request) string { return r.Host }),
	"scheme": textField(maxSchemeBytes, func(r *Request) string { return r.Scheme }),
	"school": textField(maxNameBytes, func(r *Request) string { return r.Tenant }),
	"length": {resultType: Int, cost: 1, evalInt: func(r *Request) int64 { return r.Length }},
	"remote": {resultType: Addr, cost: 1, evalAddr: func(r *Request) netip.Addr { return r.Remote }},
}

// textField returns a node for a text field of at most maxLength bytes.
func textField(maxLength int, get func(*Request) string) *node {
	return &node{resultType: Text, cost: 1, maxLength: maxLength, evalText: get}
}
