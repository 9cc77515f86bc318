package match

import (
	"cmp"
	"net/url"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Bounds and costs of the functions.
const (
	variableLookupCost = 16   // steps to find a variable in a request with the maximum number of them
	maxArgumentBytes   = 1024 // of the value of a query argument, as encoded
	maxArguments       = 256  // of a query; further ones are ignored
	argumentCost       = 8    // steps to split off and compare a query argument
	maxFoldBytes       = 512  // of a text that lower and upper convert
	maxPartIndex       = 1000
	partCost           = 2 // steps to split off a part
	maxBuckets         = 1_000_000
	maxNumberBytes     = 20 // digits and sign of the longest 64-bit number
	// maxEncodedLength is the length in bytes of the longest encoding of one byte of a query argument: %XX.
	maxEncodedLength = 3
)

// parameter describes one parameter of a function.
type parameter struct {
	resultType Type
	constant   bool // the argument has to be a literal
}

var (
	textParameter       = parameter{resultType: Text}
	intParameter        = parameter{resultType: Int}
	addrParameter       = parameter{resultType: Addr}
	constantTextLiteral = parameter{resultType: Text, constant: true}
	constantIntLiteral  = parameter{resultType: Int, constant: true}
)

// function is a function of the language. build sets up a node that calls it with arguments of the
// parameters' types, and returns the cost of the call in steps without that of the arguments.
type function struct {
	parameters []parameter
	build      func(n *node, arguments []*node) (cost int, err error)
}

// lookUpFunction returns the function with the given name.
func lookUpFunction(name string) (f function, ok bool) {
	switch name {
	case "var":
		return function{[]parameter{constantTextLiteral}, buildVariable}, true
	case "has":
		return function{[]parameter{constantTextLiteral}, buildHas}, true
	case "arg":
		return function{[]parameter{constantTextLiteral}, buildArgument}, true
	case "default":
		return function{[]parameter{textParameter, textParameter}, buildDefault}, true
	case "lower":
		return function{[]parameter{textParameter}, buildFold(strings.ToLower)}, true
	case "upper":
		return function{[]parameter{textParameter}, buildFold(strings.ToUpper)}, true
	case "first":
		return function{[]parameter{textParameter, constantIntLiteral}, buildFirst}, true
	case "part":
		return function{[]parameter{textParameter, constantTextLiteral, constantIntLiteral}, buildPart}, true
	case "len":
		return function{[]parameter{textParameter}, buildLength}, true
	case "number":
		return function{[]parameter{textParameter, intParameter}, buildNumber}, true
	case "bucket":
		return function{[]parameter{textParameter, constantIntLiteral}, buildBucket}, true
	case "known":
		return function{[]parameter{addrParameter}, buildKnown}, true
	}
	return function{}, false
}

// buildVariable compiles var(name): the value of a variable of the request, or an empty text.
func buildVariable(n *node, arguments []*node) (int, error) {
	name := arguments[0].evalText(nil)
	n.resultType = Text
	n.maxLength = maxFieldBytes
	n.evalText = func(r *Request) string {
		value, _ := r.Var(name)
		return value
	}
	return variableLookupCost, nil
}

// buildHas compiles has(name): whether the request has a variable.
func buildHas(n *node, arguments []*node) (int, error) {
	name := arguments[0].evalText(nil)
	n.resultType = Bool
	n.evalBool = func(r *Request) bool {
		_, ok := r.Var(name)
		return ok
	}
	return variableLookupCost, nil
}

// buildArgument compiles arg(name): the first value of an argument of the query, decoded. It is an
// empty text if the first maxArguments do not include the argument or its value cannot be decoded.
// Values of more than maxArgumentBytes are skipped.
func buildArgument(n *node, arguments []*node) (int, error) {
	name := arguments[0].evalText(nil)
	n.resultType = Text
	n.maxLength = maxArgumentBytes
	n.maxAllocated = maxArgumentBytes
	n.evalText = func(r *Request) string { return queryArgument(r.Query, name) }
	return scanCost(maxFieldBytes) + argumentCost*maxArguments, nil
}

// buildDefault compiles default(a, b): the first text, or the second one if the first is empty.
func buildDefault(n *node, arguments []*node) (int, error) {
	value := arguments[0]
	fallback := arguments[1]
	n.resultType = Text
	n.maxLength = max(value.maxLength, fallback.maxLength)
	n.evalText = func(r *Request) string { return cmp.Or(value.evalText(r), fallback.evalText(r)) }
	return 1, nil
}

// buildFold compiles lower(text) or upper(text). A text of more than maxFoldBytes is returned
// unchanged, to stay within the MaxTextBytes that an evaluation may allocate.
func buildFold(fold func(string) string) func(*node, []*node) (int, error) {
	return func(n *node, arguments []*node) (int, error) {
		text := arguments[0]
		n.resultType = Text
		n.maxLength = text.maxLength
		n.maxAllocated = min(text.maxLength, maxFoldBytes)
		n.evalText = func(r *Request) string {
			s := text.evalText(r)
			if len(s) > maxFoldBytes {
				return s
			}
			return fold(s)
		}
		return scanCost(maxFoldBytes), nil
	}
}

// buildFirst compiles first(text, n): the first n bytes of a text.
func buildFirst(n *node, arguments []*node) (int, error) {
	text, limit := arguments[0], arguments[1].evalInt(nil)
	if limit < 0 || limit > maxFieldBytes {
		return 0, errorAt(arguments[1].offset, "%d is not from 0 to %d", limit, maxFieldBytes)
	}
	n.resultType = Text
	n.maxLength = min(int(limit), text.maxLength)
	n.evalText = func(r *Request) string {
		s := text.evalText(r)
		return s[:min(len(s), int(limit))]
	}
	return 1, nil
}

// buildPart compiles part(text, separator, i): the part at index i, from 0, of a text that is split at
// each separator, or an empty text if there are fewer parts.
func buildPart(n *node, arguments []*node) (int, error) {
	text, separator, index := arguments[0], arguments[1].evalText(nil), arguments[2].evalInt(nil)
	if separator == "" {
		return 0, errorAt(arguments[1].offset, "the separator is empty")
	}
	if index < 0 || index > maxPartIndex {
		return 0, errorAt(arguments[2].offset, "%d is not from 0 to %d", index, maxPartIndex)
	}
	n.resultType = Text
	n.maxLength = text.maxLength
	n.evalText = func(r *Request) string { return nthPart(text.evalText(r), separator, int(index)) }
	return scanCost(text.maxLength) + partCost*int(index), nil
}

// buildLength compiles len(text): the length of a text in bytes.
func buildLength(n *node, arguments []*node) (int, error) {
	n.resultType = Int
	n.evalInt = func(r *Request) int64 { return int64(len(arguments[0].evalText(r))) }
	return 1, nil
}

// buildNumber compiles number(text, fallback): the decimal value of a text, or the fallback if the
// text is not a 64-bit number.
func buildNumber(n *node, arguments []*node) (int, error) {
	text := arguments[0]
	fallback := arguments[1]
	n.resultType = Int
	n.evalInt = func(r *Request) int64 {
		s := text.evalText(r)
		if len(s) > maxNumberBytes {
			return fallback.evalInt(r)
		}
		value, err := strconv.ParseInt(s, 10, 64)
		if err != nil {
			return fallback.evalInt(r)
		}
		return value
	}
	return 1, nil
}

// buildBucket compiles bucket(text, n): the hash of a text modulo n, which is the same on every
// runner.
func buildBucket(n *node, arguments []*node) (int, error) {
	text, buckets := arguments[0], arguments[1].evalInt(nil)
	if buckets < 1 || buckets > maxBuckets {
		return 0, errorAt(arguments[1].offset, "%d is not from 1 to %d", buckets, maxBuckets)
	}
	n.resultType = Int
	n.evalInt = func(r *Request) int64 {
		return int64(xxhash.Sum64String(text.evalText(r)) % uint64(buckets))
	}
	return scanCost(text.maxLength), nil
}

// buildKnown compiles known(address): whether an address is known.
func buildKnown(n *node, arguments []*node) (int, error) {
	n.resultType = Bool
	n.evalBool = func(r *Request) bool { return arguments[0].evalAddr(r).IsValid() }
	return 1, nil
}

// queryArgument returns the first value of an argument of a query string, decoded, as buildArgument
// describes.
func queryArgument(query, name string) string {
	for n := 0; len(query) > 0 && n < maxArguments; n++ {
		var pair string
		pair, query, _ = strings.Cut(query, "&")
		key, value, _ := strings.Cut(pair, "=")
		// Decoding never lengthens a text, so the encoded length bounds what it allocates.
		if len(key) > maxEncodedLength*maxArgumentBytes || len(value) > maxArgumentBytes {
			continue
		}
		if k, err := url.QueryUnescape(key); err != nil || k != name {
			continue
		}
		v, err := url.QueryUnescape(value)
		if err != nil {
			return ""
		}
		return v
	}
	return ""
}

// nthPart splits s at each separator and returns the part at an index, or an empty text if there are
// fewer parts.
func nthPart(s, separator string, index int) string {
	for ; ; index-- {
		head, tail, more := strings.Cut(s, separator)
		if index == 0 {
			return head
		}
		if !more {
			return ""
		}
		s = tail
	}
}
