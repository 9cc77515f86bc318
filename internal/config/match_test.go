package config

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"ryepaddle/internal/admission"
)

// invalidExpressionCases are texts of operator's files with an invalid expression; want is a part of the
// error.
var invalidExpressionCases = []struct{ file, want string }{
	{
		"expressions: {a: b, b: a}\nroutes: [{path: /, class: check}]",
		"o.yaml:2: field expressions.a: column 1: in b: column 1: a refers to itself",
	},
	{"expressions: {path: length}\nroutes: [{path: /, class: check}]", "path is a field of requests"},
	{"expressions: {a-b: length}\nroutes: [{path: /, class: check}]", `"a-b" is not a valid name`},
	{
		"expressions: {a: 'nothing + 1'}\nroutes: [{path: /, class: check}]",
		"field expressions.a: column 1: there is no field",
	},
	{
		"routes:\n  - {path: /, class: check, when: path}",
		"o.yaml:3: field routes.0.when: column 1: it is a text, expected a condition",
	},
	{
		"routes:\n  - {path: /, class: check, key: length}",
		"field routes.0.key: column 1: it is a number, expected a text",
	},
	{
		"tenant: {from: school}\nroutes: [{path: /, class: check}]",
		"field tenant.from: column 1: school has no value yet at this point",
	},
	{
		"routes:\n  - {path: /, class: check}\n  - {path: /, class: exam, when: length > 9}",
		"o.yaml:4: field routes.1.path: no request reaches this route: route no. 1, with the same path",
	},
	{
		"routes:\n  - {path: /, class: check}\n  - {path: /, class: exam}",
		"field routes.1.path: no request reaches this route",
	},
	{
		"routes:\n  - {path: /, class: check, when: 'path contains \"x\"'}" + manyRoutes("\n"),
		"conditions together could cost",
	},
}

func TestInvalidExpressionsAreRejectedWithLineAndField(t *testing.T) {
	p := &Platform{MemoryMB: 192, MaxDescriptors: 1024, Engine: netip.MustParseAddrPort("127.0.0.1:9")}
	p.Settings.Classes = []admission.Class{
		{Name: "check", PriorityWeight: 1, Timeout: 3e9},
		{Name: "exam", PriorityWeight: 1, Timeout: 3e9},
	}
	file := filepath.Join(t.TempDir(), "o.yaml")
	read := func(text string) (*Operator, error) {
		if err := os.WriteFile(file, []byte("listen: 127.0.0.1:0\n"+text), 0o600); err != nil {
			t.Fatal(err)
		}
		return ReadOperator(file, p)
	}
	for _, c := range invalidExpressionCases {
		if _, err := read(c.file); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("ReadOperator() of %.60s: error = %v, want %s", c.file, err, c.want)
		}
	}
	o, err := read(
		"expressions: {big: length > 9}\nroutes: [{path: /, class: exam, when: big, key: 'first(path, " +
			"9)'}, {path: /, class: check}]",
	)
	if err != nil || o.Matcher.Rules == nil || o.Routes[0].KeyExpression.String() != "first(path, 9)" {
		t.Fatalf("ReadOperator() of valid routes: error = %v, or the rules or the key are not compiled", err)
	}
}

func manyRoutes(end string) string {
	return strings.Repeat("\n  - {path: /, class: check, when: 'query contains \"x\"'}", 30) + end
}
