package upstream

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/protocol/uwsgi"
)

// The runner's key and tenant replace the caller's variables of the same names. If a server got a
// caller's variable instead of the key that the runner used, it would take the attempts of one request
// for different requests.
func TestServerGetsTheKeyAndTenantThatTheRunnerUsed(t *testing.T) {
	a := &lifecycle.Attempt{
		Request: &lifecycle.Request{
			Key:    "a",
			Tenant: 1,
			Body:   []byte("essay"),
			Metadata: []lifecycle.Field{
				{Name: "SCRIPT_NAME", Value: "/ops/hand-in"},
				{Name: "HTTP_X_DEDUPE_KEY", Value: "a"},
				{Name: "HTTP_IDEMPOTENCY_KEY", Value: "evil"},
				{Name: "HTTP_SCHOOL", Value: "north"},
				{Name: "HTTP_EXPECT", Value: "100-continue"},
				{Name: "CONTENT_LENGTH", Value: "99"},
			},
		},
	}
	b, err := packetFor(a, &Options{
		KeyVariable:    "HTTP_IDEMPOTENCY_KEY",
		TenantVariable: "HTTP_SCHOOL",
		Tenants:        []string{"north", "south"},
	})
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
		"HTTP_SCHOOL":          {"south"},
		"REQUEST_METHOD":       {"POST"},
		"SERVER_PROTOCOL":      {"HTTP/1.1"},
		"PATH_INFO":            {"/ops/hand-in"},
		"REQUEST_URI":          {"/ops/hand-in"},
		"QUERY_STRING":         {""},
		"CONTENT_LENGTH":       {"5"},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("variables of the packet (-want +got)\n%s", diff)
	}
}
