package cgi

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// vars parses variables in the form "A=b C=d", with ~ for a space in a value.
func vars(text string) (out []Variable) {
	for _, pair := range strings.Fields(text) {
		name, value, _ := strings.Cut(pair, "=")
		out = append(out, Variable{name, strings.ReplaceAll(value, "~", " ")})
	}
	return out
}

const key = "HTTP_X_DEDUPE_KEY"

func TestRequestsAreNormalized(t *testing.T) {
	for _, c := range []struct{ name, in, want string }{
		{
			"the same value twice",
			"PATH_INFO=/a HTTP_X_DEDUPE_KEY=k HTTP_X_DEDUPE_KEY=k",
			"PATH_INFO=/a HTTP_X_DEDUPE_KEY=k",
		},
		{
			"lists are joined",
			"PATH_INFO=/a HTTP_ACCEPT=x HTTP_ACCEPT=y HTTP_COOKIE=a=1 HTTP_COOKIE=b=2",
			"PATH_INFO=/a HTTP_ACCEPT=x,~y HTTP_COOKIE=a=1;~b=2",
		},
		{"dot segments", "PATH_INFO=/a/./b//../c/ SCRIPT_NAME=/s", "PATH_INFO=/a/c/ SCRIPT_NAME=/s"},
		{
			"a URI that agrees with the path and the query is kept",
			"PATH_INFO=/a~b QUERY_STRING=x=1 REQUEST_URI=/a%20b?x=1",
			"PATH_INFO=/a~b QUERY_STRING=x=1 REQUEST_URI=/a%20b?x=1",
		},
		{
			"a URI that differs from the path and the query is replaced",
			"PATH_INFO=/a QUERY_STRING=x=1 REQUEST_URI=/old?y=2",
			"PATH_INFO=/a QUERY_STRING=x=1 REQUEST_URI=/a?x=1",
		},
		{
			"a URI with an encoded slash that leads to another path is replaced",
			"PATH_INFO=/ops/quick-check REQUEST_URI=/ops/x/..%2fhand-in",
			"PATH_INFO=/ops/quick-check REQUEST_URI=/ops/quick-check",
		},
		{"a URI without a path", "PATH_INFO=/ REQUEST_URI=A:", "PATH_INFO=/ REQUEST_URI=/"},
		{
			"a path below SCRIPT_NAME",
			"SCRIPT_NAME=/app PATH_INFO=/a REQUEST_URI=/app/a",
			"SCRIPT_NAME=/app PATH_INFO=/a REQUEST_URI=/app/a",
		},
		{
			"HTTP_EXPECT is removed",
			"PATH_INFO=/a CONTENT_LENGTH=5 HTTP_EXPECT=100-Continue",
			"PATH_INFO=/a CONTENT_LENGTH=5",
		},
		{"a malformed REMOTE_ADDR is removed", "PATH_INFO=/a REMOTE_ADDR=unix:", "PATH_INFO=/a"},
		{
			"variables of other programs are kept",
			"PATH_INFO=/a wsgi.url_scheme=http UWSGI_FILE=x",
			"PATH_INFO=/a wsgi.url_scheme=http UWSGI_FILE=x",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, err := Read(vars(c.in), key)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(vars(c.want), r.Variables); diff != "" {
				t.Errorf("(-want +got)\n%s", diff)
			}
		})
	}
}

func TestBodiesAreFramedInOneWay(t *testing.T) {
	for in, want := range map[string]Request{
		"":                               {Length: -1},
		"CONTENT_LENGTH=":                {Length: -1},
		"CONTENT_LENGTH=0":               {Length: 0},
		"CONTENT_LENGTH=12":              {Length: 12},
		"HTTP_CONTENT_LENGTH=12":         {Length: 12},
		"HTTP_TRANSFER_ENCODING=Chunked": {Length: -1, Chunked: true},
		"HTTP_TRANSFER_ENCODING=identity CONTENT_LENGTH=3": {Length: 3},
		"HTTP_TRANSFER_ENCODING=identity":                  {Length: -1, UntilClose: true},
		"HTTP_EXPECT=100-continue":                         {Length: -1},
		"HTTP_EXPECT=100-continue CONTENT_LENGTH=3":        {Length: 3, ExpectsContinue: true},
	} {
		r, err := Read(vars(in))
		if err != nil || r.Length != want.Length || r.Chunked != want.Chunked || r.UntilClose != want.UntilClose ||
			r.ExpectsContinue != want.ExpectsContinue {
			t.Errorf("Read(%s) = %+v, error %v; want the length and the framing of the case", in, r, err)
		}
	}
}

func TestAmbiguousRequestsAreRejected(t *testing.T) {
	for _, c := range []struct {
		in     string
		status int
		want   string
	}{
		{"HTTP_X_DEDUPE_KEY=a HTTP_X_DEDUPE_KEY=b", 400, `HTTP_X_DEDUPE_KEY is given twice, as "a" and "b"`},
		{"HTTP_X_DEDUPE_KEY=a http-x-dedupe-key=b", 400, "which reads like HTTP_X_DEDUPE_KEY"},
		{"HTTP_X_DEDUPE_KEY=a HTTP_X-DEDUPE_KEY=b", 400, "which reads like HTTP_X_DEDUPE_KEY"},
		{"PATH_INFO=/a PATH_INFO=/b", 400, "PATH_INFO is given twice"},
		{"path_info=/a", 400, "which reads like PATH_INFO"},
		{"CONTENT_LENGTH=1 CONTENT_LENGTH=2", 400, "CONTENT_LENGTH is given twice"},
		{"CONTENT_LENGTH=1 HTTP_CONTENT_LENGTH=2", 400, "HTTP_CONTENT_LENGTH"},
		{"CONTENT_LENGTH=1 HTTP_TRANSFER_ENCODING=chunked", 400, "both of a stated length and in chunks"},
		{"CONTENT_LENGTH=-1", 400, `bad CONTENT_LENGTH: "-1"`},
		{"CONTENT_LENGTH=+1", 400, `bad CONTENT_LENGTH: "+1"`},
		{"CONTENT_LENGTH=99999999999999999999", 400, "bad CONTENT_LENGTH"},
		{"HTTP_TRANSFER_ENCODING=gzip,~chunked", 501, "HTTP_TRANSFER_ENCODING"},
		{"HTTP_EXPECT=miracles", 417, "HTTP_EXPECT"},
		{"REQUEST_METHOD=GET~/", 400, "REQUEST_METHOD"},
		{"REQUEST_METHOD=CONNECT", 501, "CONNECT"},
		{"PATH_INFO=a", 400, "does not begin with /"},
		{"PATH_INFO=/a/../../b", 400, "leads above the root"},
		{"PATH_INFO=/a\\b", 400, "holds a backslash"},
		{"QUERY_STRING=a~b", 400, "QUERY_STRING"},
		{"REQUEST_URI=no", 400, "REQUEST_URI"},
		{"HTTP_HOST=a,~b", 400, "HTTP_HOST"},
		{"REQUEST_SCHEME=ftp", 400, "REQUEST_SCHEME"},
		{"REMOTE_USER=a REMOTE_USER=b", 400, "REMOTE_USER is given twice"},
		{"=b", 400, "a variable named"},
		{"A=" + strings.Repeat("x", 10) + strings.Repeat(" HTTP_B=1 HTTP_C=2", 300), 431, "variables"},
	} {
		_, err := Read(vars(c.in), key)
		var e *Error
		if !errors.As(err, &e) || e.Status != c.status || !strings.Contains(e.Reason, c.want) {
			t.Errorf("Read(%s): error %v, want status %d and a reason with %q", c.in, err, c.status, c.want)
		}
	}
	if _, err := Read([]Variable{{"HTTP_A", "x\r\nB: c"}}); err == nil {
		t.Error("Read accepted a value that contains a line end")
	}
}

// Read is idempotent, so that two hops in a row cannot disagree, and its result has each name once.
func TestEachIdentifyingVariableHasOneValue(t *testing.T) {
	name := rapid.SampledFrom(
		[]string{"PATH_INFO", "SCRIPT_NAME", "REQUEST_URI", "QUERY_STRING", "HTTP_ACCEPT", "HTTP_COOKIE",
			"CONTENT_LENGTH", "HTTP_EXPECT", "REMOTE_ADDR", key, "HTTP_HOST", "X"},
	)
	value := rapid.SampledFrom(
		[]string{
			"",
			"/",
			"/a",
			"/a/../b/",
			"//x/./y",
			"/a%2f?b=c",
			"1",
			"12",
			"100-continue",
			"a b",
			"::1",
			"k",
		},
	)
	rapid.Check(t, func(t *rapid.T) {
		var in []Variable
		for range rapid.IntRange(0, 8).Draw(t, "n") {
			in = append(in, Variable{name.Draw(t, "name"), value.Draw(t, "value")})
		}
		once, err := Read(in, key)
		if err != nil {
			return
		}
		twice, err := Read(once.Variables, key)
		if err != nil {
			t.Fatalf("Read rejected its own result: %v", err)
		}
		if diff := cmp.Diff(once.Variables, twice.Variables); diff != "" {
			t.Fatalf("(-once +twice)\n%s", diff)
		}
		seen := map[string]bool{}
		for _, v := range once.Variables {
			if seen[v.Name] {
				t.Fatalf("the result has %s twice", v.Name)
			}
			seen[v.Name] = true
		}
	})
}

// FuzzRead checks that paths begin with / and have no .. segments, and that Read is idempotent.
func FuzzRead(f *testing.F) {
	f.Add("/a/../b", "x=1", "/b?x=1", "host")
	f.Fuzz(func(t *testing.T, path, query, uri, host string) {
		r, err := Read(
			[]Variable{
				{"PATH_INFO", path},
				{"QUERY_STRING", query},
				{"REQUEST_URI", uri},
				{"HTTP_HOST", host},
			},
		)
		if err != nil {
			return
		}
		if strings.Contains(r.Path+"/", "/../") || path != "" && !strings.HasPrefix(r.Path, "/") {
			t.Fatalf("Path = %q, want one without .. segments that begins with /", r.Path)
		}
		again, err := Read(r.Variables)
		if err != nil || again.Path != r.Path || again.Get("REQUEST_URI") != r.Get("REQUEST_URI") {
			t.Fatalf("the first Read returned %+v, the second Read %+v, %v", r, again, err)
		}
	})
}
