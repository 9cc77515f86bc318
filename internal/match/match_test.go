package match

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func request() *Request {
	vars := map[string]string{"HTTP_X_EXERCISE": "intro-loops", "HTTP_X_EMPTY": "", "HTTP_X_N": "42"}
	return &Request{
		Method: "POST",
		Path:   "/ops/exam/7",
		Query:  "group=a%20b&n=3&group=c",
		Host:   "North.example.org",
		Scheme: "https",
		Tenant: "north",
		Remote: netip.MustParseAddr(
			"::ffff:10.1.2.3",
		),
		Length: 1200,
		Var:    func(name string) (string, bool) { v, ok := vars[name]; return v, ok },
	}
}

// conditionCases maps conditions to their values for request().
var conditionCases = map[string]bool{
	`both`:          true,
	`not both`:      false,
	`who == school`: true,
	`method != "POST" or exam and not (scheme == "http")`: true,
	`length > 1000 and length <= 1200`:                    true,
	`length - 1200 == 0`:                                  true,
	`length in [1, 1200]`:                                 true,
	`length not in [1, -1]`:                               true,
	`var("HTTP_X_EXERCISE") matches "intro-*"`:            true,
	`var("HTTP_X_EXERCISE") matches "*loop"`:              false,
	`var("HTTP_X_EXERCISE") matches "i*o*o*s"`:            true,
	`path matches "/ops/*/7"`:                             true,
	`path matches "/ops/exam/7"`:                          true,
	`path matches "/ops/exam/7*7"`:                        false,
	`"aba" matches "ab*ba"`:                               false,
	`has("HTTP_X_EMPTY") and not has("HTTP_X_NONE")`:      true,
	`var("HTTP_X_NONE") == ""`:                            true,
	`default(var("HTTP_X_NONE"), "x") == "x"`:             true,
	`number(var("HTTP_X_N"), 0) >= 42`:                    true,
	`number(var("HTTP_X_NONE"), -1) == -1`:                true,
	`number("99999999999999999999999", 7) == 7`:           true,
	`arg("group") == 'a b'`:                               true,
	`arg("none") == ""`:                                   true,
	`number(arg("n"), 0) + 1 == 4`:                        true,
	`remote within "10.0.0.0/8"`:                          true,
	`remote within "10.2.0.0/16"`:                         false,
	`known(remote)`:                                       true,
	`host endswith ".example.org"`:                        true,
	`host contains "exam"`:                                true,
	`part(path, "/", 9) == ""`:                            true,
	`first(path, 4) == "/ops"`:                            true,
	`len(school) == 5`:                                    true,
	`upper("a" + first(school, 1)) == "AN"`:               true,
	`bucket(school, 1) == 0`:                              true,
	`bucket(school, 100) == bucket("north", 100)`:         true,
	`"a\"b" == 'a"b'`:                                     true,
	`9223372036854775807 + 1 == 9223372036854775807`:      true, `0 - 9223372036854775807 - 9 < 0`: true,
}

func TestConditionsEvaluateAsWritten(t *testing.T) {
	names := Definitions{
		"exam": `path startswith "/ops/exam"`,
		"ours": `school in ["north", "south"]`,
		"both": "exam and ours",
		"who":  `lower(part(host, ".", 0))`,
	}
	for text, want := range conditionCases {
		e, err := Compile(text, Bool, names)
		if err != nil {
			t.Errorf("Compile(%s) = %v", text, err)
		} else if got := e.Matches(request()); got != want {
			t.Errorf("%s: Matches() = %v, want the opposite", text, got)
		}
	}
	emptyRequest := &Request{Length: -1, Var: func(string) (string, bool) { return "", false }}
	for _, text := range []string{
		`remote within "0.0.0.0/0"`,
		`known(remote)`,
		`has("X")`,
		`length >= 0`,
		`path startswith "/"`,
	} {
		if e, err := Compile(text, Bool, nil); err != nil || e.Matches(emptyRequest) {
			t.Errorf("%s: holds for an empty request, or Compile failed: %v", text, err)
		}
	}
}

// invalidCases maps invalid expressions to a part of their error message.
var invalidCases = map[string]string{
	``: "column 1: found the end of the expression, expected a value", `path`: "column 1: it is a text, " +
		"expected a condition", `path == 1`: "column 6: a text cannot be compared with a number",
	`path and true`:          "there is no field and no expression named true",
	`path and method == "x"`: `column 1: a side of "and" is a text, expected a condition`,
	`not length`:             `column 5: the operand of "not"`,
	`a`: "column 1: in a: column 1: in b: column 1: a " +
		"refers to itself", `text`: "column 1: it is a text",
	`bad == 1`:                   "in bad: column 4: found the end of the expression",
	`d39 == ""`:                  "could allocate",
	`c39`:                        "could cost",
	`school in []`:               "the list is empty",
	`school in ["a", "a"]`:       "column 17: the list contains this value twice",
	`school in ["a", 1]`:         "column 17: each value of the list has to be a text",
	`school in [path]`:           "as a literal",
	`length == 1 == 2`:           "two comparisons in a row",
	`1 < length < 3`:             "two comparisons in a row",
	`path matches school`:        "the pattern has to be a literal",
	`path contains school`:       `the right side of "contains" has to be a literal`,
	`remote within "10.0.0.1/8"`: "is 10.0.0.0/8 meant?",
	`remote within "x"`:          "is not a network",
	`remote within path`:         "the network has to be a text literal",
	`path within "10.0.0.0/8"`:   "is a text, expected an address",
	`remote == remote`:           "does not apply to an address",
	`remote in ["x"]`:            "an address cannot be looked up in a list",
	`part(path, "", 1) == ""`:    "the separator is empty",
	`part(path, "/", 0-1) == ""`: "has to be a literal",
	`part(path, "/") == ""`:      "takes 3 argument(s), got 2",
	`lower(1) == ""`:             "argument 1 of lower is a number",
	`nothing(1)`:                 "there is no function named nothing",
	`var(path) == ""`:            "has to be a literal",
	`bucket(path, 0) == 0`:       "is not from 1",
	`first(path, -1) == ""`:      "is not from 0",
	`path - path == ""`:          "- does not apply to",
	`"a`:                         "has no closing quote",
	`"\n" == ""`:                 "a backslash has to precede",
	`path = "x"`:                 `unexpected character '='`,
	`12x == 1`:                   "12x is not a whole number",
	`path == "x" path`:           "unexpected path after the expression",
	`(path == "x"`:               `expected ")"`,
	`- path == 1`:                "a minus has to precede a number",
	strings.Repeat(
		"(",
		70,
	): "more than 64 levels deep", strings.Repeat(
		"not ",
		70,
	) + "a": "more than 64 levels deep", strings.Repeat(
		"x",
		5000,
	): "5000 bytes, more than the limit of 4096", "\xff": "not valid UTF-8",
	`length not 1`: `expected "in"`, `len(path, path) == 1`: "len takes only 1 argument",
}

func TestInvalidExpressionsAreRejectedWithTheirPlace(t *testing.T) {
	names := Definitions{"a": "b and b", "b": "a", "text": `"x"`, "bad": "1 +", "d0": `school + school`}
	for i := 1; i < 40; i++ { // each definition costs twice as much as the one before
		names[fmt.Sprint("d", i)] = fmt.Sprintf("d%d + d%d", i-1, i-1)
		names[fmt.Sprint("c", i)] = fmt.Sprintf("c%d and c%d", i-1, i-1)
	}
	names["c0"] = `var("A") contains "x"`
	for text, want := range invalidCases {
		_, err := Compile(text, Bool, names)
		var at *Error
		if !errors.As(err, &at) || !strings.Contains(err.Error(), want) {
			t.Errorf("Compile(%.40s) = %v, want an *Error with %q", text, err, want)
		}
	}
	if _, err := Compile("school", Text, nil, "school"); err == nil ||
		!strings.Contains(err.Error(), "has no value yet") {
		t.Error(`Compile with an unavailable field: want an error with "has no value yet", got`, err)
	}
}

func TestRulesApplyByLongestPrefixThenOrder(t *testing.T) {
	when := func(text string) *Expression {
		e, err := Compile(text, Bool, nil)
		if err != nil {
			t.Fatal(err)
		}
		return e
	}
	rules := []Rule{
		{"/", nil},
		{"/ops", when(`school == "south"`)},
		{"/ops/exam/", when(`length > 5000`)},
		{"/ops/exam/", when(`method == "POST"`)},
		{"/ops/exam", nil},
	}
	table, err := NewRuleTable(rules)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		path, method, tenant string
		length               int64
		want                 int
	}{{
		"/ops/exam/1",
		"POST",
		"north",
		9000,
		2,
	}, {
		"/ops/exam/1",
		"POST",
		"north",
		1,
		3,
	}, {"/ops/exam/1", "GET", "south", 1, 4}, {"/ops/examine", "POST", "south", 1, 1},
		{"/ops/examine", "POST", "north", 1, 0}, {"/ops", "POST", "south", 1, 1}, {"x", "", "", 0, -1}} {
		if got := table.Find(
			&Request{Path: c.path, Method: c.method, Tenant: c.tenant, Length: c.length},
		); got != c.want {
			t.Errorf("case %+v: Find() = %d", c, got)
		}
	}
	var unreachable *UnreachableRuleError
	if _, err := NewRuleTable(
		append(rules, Rule{"/ops/exam", when(`length == 1`)}),
	); !errors.As(err, &unreachable) ||
		unreachable.Rule != 5 ||
		unreachable.Before != 4 {
		t.Error("want an UnreachableRuleError for rule 5 behind rule 4, got", err)
	}
	for range 60 {
		rules = append(rules, Rule{"/x", when(`var("A") contains "x"`)})
	}
	if _, err := NewRuleTable(rules); err == nil ||
		!strings.Contains(err.Error(), "conditions together could cost") {
		t.Error("want an error for conditions that together exceed MaxCost, got", err)
	}
}

// matchesPattern agrees with a naive recursive implementation.
func TestPatternsMatchLikeAPlainReading(t *testing.T) {
	var naive func(s, p string) bool
	naive = func(s, p string) bool {
		if p == "" {
			return s == ""
		}
		if p[0] == '*' {
			return naive(s, p[1:]) || s != "" && naive(s[1:], p)
		}
		return s != "" && s[0] == p[0] && naive(s[1:], p[1:])
	}
	rapid.Check(t, func(t *rapid.T) {
		s, p := rapid.StringMatching(
			`[ab]{0,8}`,
		).Draw(
			t,
			"s",
		), rapid.StringMatching(
			`[ab*]{0,6}`,
		).Draw(
			t,
			"p",
		)
		if got := matchesPattern(s, strings.Split(p, "*")); got != naive(s, p) {
			t.Fatalf("text %q, pattern %q: matchesPattern() = %v, the naive implementation differs", s, p, got)
		}
	})
}

// Compile returns for any text, and a compiled expression stays within its bounds.
func FuzzCompile(f *testing.F) {
	for _, s := range []string{
		`both`,
		`school in ["a", "b"] and length > 3`,
		`lower(part(host, ".", 0)) == "x"`,
		`remote within "10.0.0.0/8"`,
		`not (a or a) and arg("x") matches "*a*"`,
	} {
		f.Add(s)
	}
	names := Definitions{"a": `path startswith "/"`, "both": "a and a"}
	long := strings.Repeat("ab/=&.%20", maxFieldBytes/9)
	f.Fuzz(func(t *testing.T, s string) {
		for _, want := range []Type{Bool, Text} {
			e, err := Compile(s, want, names)
			if err != nil {
				continue
			}
			if e.Cost() > MaxCost {
				t.Error("cost over MaxCost:", e.Cost())
			}
			for _, r := range []*Request{
				request(),
				{
					Path:  long,
					Query: long,
					Host:  long[:200],
					Var:   func(string) (string, bool) { return long, true },
				},
			} {
				if want == Bool {
					e.Matches(r)
				} else if n := len(e.Text(r)); n > maxFieldBytes+MaxTextBytes {
					t.Errorf("evaluates to %d bytes, more than a field and MaxTextBytes together", n)
				}
			}
		}
	})
}

// BenchmarkWorst evaluates expressions of the highest allowed cost on fields of the maximum length,
// and reports the time per step.
func BenchmarkWorst(b *testing.B) {
	long := strings.Repeat("b", maxFieldBytes-1) + "a"
	r := &Request{
		Path:  long,
		Query: strings.Repeat("a%41=b&", maxFieldBytes/7),
		Var:   func(string) (string, bool) { return long, true },
	}
	for name, condition := range map[string]string{
		"contains": `path contains "aa"`,
		"pattern":  `path matches "*a*a"`,
		"part":     `part(path, "b", 1000) == "x"`,
		"arg":      `arg("x") == "y"`,
		"fold":     `lower(path) == "x"`,
		"list":     `path in ["x"]`,
		"bucket":   `bucket(path, 7) == 9`,
	} {
		b.Run(name, func(b *testing.B) {
			text, e := condition, (*Expression)(nil)
			for {
				longer, err := Compile(text, Bool, nil)
				if err != nil {
					break
				}
				e, text = longer, text+" or "+condition
			}
			b.ReportAllocs()
			for b.Loop() {
				e.Matches(r)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(e.Cost()), "ns/step")
		})
	}
}

// BenchmarkUsual evaluates a condition of typical size on a typical request.
func BenchmarkUsual(b *testing.B) {
	e, err := Compile(
		`school in ["north", "south"] and path startswith "/ops/exam" and `+
			`(length < 20000 or var("HTTP_X_EXERCISE") matches "intro-*")`,
		Bool,
		nil,
	)
	if err != nil {
		b.Fatal(err)
	}
	r := request()
	b.ReportAllocs()
	for b.Loop() {
		e.Matches(r)
	}
}
