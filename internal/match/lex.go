package match

import (
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Error is what is wrong with an expression, and where.
type Error struct {
	At   int // byte of the expression, from 0
	What string
}

func (e *Error) Error() string { return fmt.Sprintf("column %d: %s", e.At+1, e.What) }

func wrong(at int, format string, args ...any) error { return &Error{at, fmt.Sprintf(format, args...)} }

type kind uint8

const (
	tokEnd kind = iota
	tokName
	tokText
	tokNumber
	tokSign // an operator or a bracket
)

type token struct {
	kind kind
	at   int
	text string // of a text: what it stands for
	n    int64
}

func (t token) String() string {
	switch t.kind {
	case tokEnd:
		return "the end"
	case tokText:
		return strconv.Quote(t.text)
	}
	return t.text
}

// words are names that are operators. In capitals or not they mean nothing else.
var words = map[string]bool{
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

// mostText is how long an expression may be, in bytes. With mostDeep it bounds what reading it
// takes.
const (
	mostText = 4096
	mostDeep = 64
)

// lex reads an expression into its words.
func lex(s string) ([]token, error) {
	if len(s) > mostText {
		return nil, wrong(0, "it has %d bytes; %d is the most", len(s), mostText)
	}
	if !utf8.ValidString(s) {
		return nil, wrong(0, "it is not valid UTF-8")
	}
	var out []token
	for i := 0; i < len(s); {
		c, from := s[i], i
		switch {
		case c == ' ' || c == '\t' || c == '\n' || c == '\r':
			i++
			continue
		case c == '"' || c == '\'':
			text, n, err := quoted(s[i:])
			if err != nil {
				return nil, wrong(i, "%v", err)
			}
			i += n
			out = append(out, token{tokText, from, text, 0})
			continue
		case isDigit(c):
			for i < len(s) && (isDigit(s[i]) || isLetter(s[i])) {
				i++
			}
			n, err := strconv.ParseInt(s[from:i], 10, 64)
			if err != nil {
				return nil, wrong(from, "%s is no whole number", s[from:i])
			}
			out = append(out, token{tokNumber, from, s[from:i], n})
			continue
		case isLetter(c):
			for i < len(s) && (isDigit(s[i]) || isLetter(s[i])) {
				i++
			}
			kind := tokName
			if words[s[from:i]] {
				kind = tokSign
			}
			out = append(out, token{kind, from, s[from:i], 0})
			continue
		}
		n := 1
		if i+1 < len(s) && s[i+1] == '=' && strings.IndexByte("=!<>", c) >= 0 {
			n = 2
		} else if strings.IndexByte("<>()[],+-", c) < 0 {
			r, _ := utf8.DecodeRuneInString(s[i:])
			return nil, wrong(i, "%q means nothing here", r)
		}
		i += n
		out = append(out, token{tokSign, from, s[from:i], 0})
	}
	return append(out, token{tokEnd, len(s), "", 0}), nil
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isLetter(c byte) bool { return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' }

// quoted reads a text in quotes, and says how long it is with them. A backslash stands before a
// quote or another backslash.
func quoted(s string) (text string, n int, err error) {
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
