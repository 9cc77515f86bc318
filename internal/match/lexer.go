package match

import (
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Error reports what is wrong with an expression, and where.
type Error struct {
	Offset int // byte of the source, from 0
	Reason string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("column %d: %s", e.Offset+1, e.Reason) }

// errorAt returns an *Error for a place of the source.
func errorAt(at int, format string, args ...any) error {
	return &Error{at, fmt.Sprintf(format, args...)}
}

// tokenKind is the kind of a token.
type tokenKind uint8

const (
	tokenEnd tokenKind = iota
	tokenName
	tokenText
	tokenNumber
	tokenOperator // an operator or a bracket
)

// token is one word of the source.
type token struct {
	kind   tokenKind
	offset int
	text   string // of a text: what it stands for
	number int64
}

func (t token) String() string {
	switch t.kind {
	case tokenEnd:
		return "the end"
	case tokenText:
		return strconv.Quote(t.text)
	}
	return t.text
}

// operatorWords are the operators that are spelled as names.
var operatorWords = map[string]bool{
	"and":        true,
	"or":         true,
	"not":        true,
	"in":         true,
	"startswith": true,
	"endswith":   true,
	"contains":   true,
	"matches":    true,
	"within":     true,
}

// Bounds of the source; together they bound the work and the stack of the parser.
const (
	maxSourceBytes = 4096
	maxDepth       = 64
)

// lex splits a source into tokens, the last of which is tokenEnd.
func lex(s string) ([]token, error) {
	if len(s) > maxSourceBytes {
		return nil, errorAt(0, "it has %d bytes; %d is the most", len(s), maxSourceBytes)
	}
	if !utf8.ValidString(s) {
		return nil, errorAt(0, "it is not valid UTF-8")
	}
	var out []token
	for i := 0; i < len(s); {
		c, from := s[i], i
		switch {
		case c == ' ' || c == '\t' || c == '\n' || c == '\r':
			i++
			continue
		case c == '"' || c == '\'':
			text, n, err := lexString(s[i:])
			if err != nil {
				return nil, errorAt(i, "%v", err)
			}
			i += n
			out = append(out, token{tokenText, from, text, 0})
			continue
		case isDigit(c):
			for i < len(s) && (isDigit(s[i]) || isLetter(s[i])) {
				i++
			}
			n, err := strconv.ParseInt(s[from:i], 10, 64)
			if err != nil {
				return nil, errorAt(from, "%s is no whole number", s[from:i])
			}
			out = append(out, token{tokenNumber, from, s[from:i], n})
			continue
		case isLetter(c):
			for i < len(s) && (isDigit(s[i]) || isLetter(s[i])) {
				i++
			}
			kind := tokenName
			if operatorWords[s[from:i]] {
				kind = tokenOperator
			}
			out = append(out, token{kind, from, s[from:i], 0})
			continue
		}
		n := 1
		if i+1 < len(s) && s[i+1] == '=' && strings.IndexByte("=!<>", c) >= 0 {
			n = 2
		} else if strings.IndexByte("<>()[],+-", c) < 0 {
			r, _ := utf8.DecodeRuneInString(s[i:])
			return nil, errorAt(i, "%q means nothing here", r)
		}
		i += n
		out = append(out, token{tokenOperator, from, s[from:i], 0})
	}
	return append(out, token{tokenEnd, len(s), "", 0}), nil
}

// isDigit reports whether c is a decimal digit.
func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// isLetter reports whether c may begin a name.
func isLetter(c byte) bool { return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' }

// lexString reads a quoted text and returns its value and its length in the source with the quotes.
// A backslash escapes a quote or another backslash.
func lexString(s string) (text string, n int, err error) {
	var b strings.Builder
	for i := 1; i < len(s); i++ {
		switch c := s[i]; {
		case c == s[0]:
			return b.String(), i + 1, nil
		case c == '\\':
			if i++; i == len(s) || s[i] != '\\' && s[i] != '"' && s[i] != '\'' {
				return "", 0, fmt.Errorf("a backslash stands before a quote or another backslash")
			}
			b.WriteByte(s[i])
		default:
			b.WriteByte(c)
		}
	}
	return "", 0, fmt.Errorf("the text that begins here has no end")
}
