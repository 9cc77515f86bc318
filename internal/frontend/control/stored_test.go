package control

import (
	"bytes"
	"encoding/json"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/google/go-cmp/cmp"

	"ryepaddle/internal/testing/golden"
)

// Requests and replies keep the encoding of version 1, so that commands and programs of different
// versions understand each other. A program rejects a request with unknown fields.
func TestMessagesKeepTheirForm(t *testing.T) {
	for name, sample := range map[string]any{
		"request": Request{
			Command: "explain", ID: "r-1", Key: "key-1", Class: "hand-in", Tenant: "north", Successor: "n1",
			Kind:  "refused",
			Cause: "no server took it", NotServed: true, FromMs: 1, ToMs: 2, Limit: 3,
			Levels:     []string{"peers=debug"},
			Correction: json.RawMessage(`{"id":"c-1"}`),
		},
		"reply": reply{OK: "done", Error: "unknown class", Kind: "control.question", Remedy: "ask again"},
	} {
		t.Run(name, func(t *testing.T) {
			golden.RequireAllSet(t, name, sample)
			got, err := json.Marshal(sample)
			if err != nil {
				t.Fatal(err)
			}
			path := filepath.Join("testdata", name+".json")
			golden.Check(t, path, got)
			read := reflect.New(reflect.TypeOf(sample))
			d := json.NewDecoder(bytes.NewReader(golden.Read(t, path)))
			d.DisallowUnknownFields()
			if err := d.Decode(read.Interface()); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(sample, read.Elem().Interface()); diff != "" {
				t.Errorf("message decoded from its golden file (-want +got)\n%s", diff)
			}
		})
	}
}
