package upstream

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/protocol/uwsgi"
)

// A server goes by the key and the tenant that the core went by, whatever came with the request
// under their names here. A balancer's key in another variable, beside one that it set itself, made
// two hand-ins of one.
func TestServersGetWhatTheCoreWentBy(t *testing.T) {
	a := &lifecycle.Attempt{
		Request: &lifecycle.Request{Key: "a", Tenant: 1, Body: []byte("essay"), Metadata: []lifecycle.Field{
			{
				Name:  "SCRIPT_NAME",
				Value: "/ops/hand-in",
			}, {Name: "HTTP_X_DEDUPE_KEY", Value: "a"}, {Name: "HTTP_IDEMPOTENCY_KEY", Value: "evil"},
			{
				Name:  "HTTP_SCHOOL",
				Value: "north",
			}, {Name: "HTTP_EXPECT", Value: "100-continue"}, {Name: "CONTENT_LENGTH", Value: "99"}}},
	}
	b, err := packet(
		a,
		&Options{
			KeyVar:    "HTTP_IDEMPOTENCY_KEY",
			TenantVar: "HTTP_SCHOOL",
			Tenants:   []string{"north", "south"},
		},
	)
	if err != nil {
		t.Fatal(err)
	}
	r, _, err := uwsgi.Read(b, uwsgi.MaxVariablesBytes, 1000)
	if err != nil {
		t.Fatal(err)
	}
	got := map[string][]string{}
	for _, v := range r.Variables {
		got[v.Name] = append(got[v.Name], v.Value)
	}
	want := map[string][]string{
		"SCRIPT_NAME":          {"/ops/hand-in"},
		"HTTP_X_DEDUPE_KEY":    {"a"},
		"HTTP_IDEMPOTENCY_KEY": {"a"},
		"HTTP_SCHOOL": {
			"south",
		},
		"REQUEST_METHOD":  {"POST"},
		"SERVER_PROTOCOL": {"HTTP/1.1"},
		"PATH_INFO":       {"/ops/hand-in"},
		"REQUEST_URI":     {"/ops/hand-in"},
		"QUERY_STRING":    {""},
		"CONTENT_LENGTH":  {"5"},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got)\n%s", diff)
	}
}
