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

// errorAt returns an *Error for an offset in the source.
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

// token is one lexical element of the source.
type token struct {
	kind   tokenKind
	offset int    // in the source, in bytes
	text   string // as in the source; of a tokenText the value, without quotes and escapes
	number int64  // value of a tokenNumber
}

func (t token) String() string {
	switch t.kind {
	case tokenEnd:
		return "the end of the expression"
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

// Bounds of the source. Together they bound the work and the stack of the parser.
const (
	maxSourceBytes = 4096
	maxDepth       = 64 // levels of nesting
)

// lex splits a source into tokens, the last of which is tokenEnd.
func lex(s string) ([]token, error) {
	if len(s) > maxSourceBytes {
		return nil, errorAt(0, "the expression has %d bytes, more than the limit of %d", len(s), maxSourceBytes)
	}
	if !utf8.ValidString(s) {
		return nil, errorAt(0, "the expression is not valid UTF-8")
	}
	var tokens []token
	for i := 0; i < len(s); {
		if isSpace(s[i]) {
			i++
			continue
		}
		t, length, err := lexToken(s, i)
		if err != nil {
			return nil, err
		}
		tokens = append(tokens, t)
		i += length
	}
	return append(tokens, token{kind: tokenEnd, offset: len(s)}), nil
}

// lexToken reads the token at an offset, and returns it with its length in the source.
func lexToken(s string, offset int) (t token, length int, err error) {
	rest := s[offset:]
	switch c := rest[0]; {
	case c == '"' || c == '\'':
		text, length, err := lexString(rest)
		if err != nil {
			return token{}, 0, errorAt(offset, "%v", err)
		}
		return token{kind: tokenText, offset: offset, text: text}, length, nil
	case isDigit(c):
		digits := lexWord(rest)
		number, err := strconv.ParseInt(digits, 10, 64)
		if err != nil {
			return token{}, 0, errorAt(offset, "%s is not a whole number of 64 bits", digits)
		}
		return token{tokenNumber, offset, digits, number}, len(digits), nil
	case isLetter(c):
		word := lexWord(rest)
		kind := tokenName
		if operatorWords[word] {
			kind = tokenOperator
		}
		return token{kind: kind, offset: offset, text: word}, len(word), nil
	}
	operator := lexOperator(rest)
	if operator == "" {
		r, _ := utf8.DecodeRuneInString(rest)
		return token{}, 0, errorAt(offset, "unexpected character %q", r)
	}
	return token{kind: tokenOperator, offset: offset, text: operator}, len(operator), nil
}

// lexWord returns the letters, digits and underscores at the front of s.
func lexWord(s string) string {
	n := 0
	for n < len(s) && (isDigit(s[n]) || isLetter(s[n])) {
		n++
	}
	return s[:n]
}

// lexOperator returns the operator or bracket at the front of s, or an empty string.
func lexOperator(s string) string {
	if len(s) > 1 && s[1] == '=' && strings.IndexByte("=!<>", s[0]) >= 0 {
		return s[:2]
	}
	if strings.IndexByte("<>()[],+-", s[0]) >= 0 {
		return s[:1]
	}
	return ""
}

// isSpace reports whether c separates tokens.
func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\n' || c == '\r' }

// isDigit reports whether c is a decimal digit.
func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// isLetter reports whether c may begin a name.
func isLetter(c byte) bool { return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' }

// lexString reads a quoted text and returns its value and its length in the source, including the
// quotes. A backslash escapes a quote or another backslash.
func lexString(s string) (text string, n int, err error) {
	var b strings.Builder
	for i := 1; i < len(s); i++ {
		switch c := s[i]; {
		case c == s[0]:
			return b.String(), i + 1, nil
		case c == '\\':
			if i++; i == len(s) || s[i] != '\\' && s[i] != '"' && s[i] != '\'' {
				return "", 0, fmt.Errorf("a backslash has to precede a quote or another backslash")
			}
			b.WriteByte(s[i])
		default:
			b.WriteByte(c)
		}
	}
	return "", 0, fmt.Errorf("the text that begins here has no closing quote")
}
