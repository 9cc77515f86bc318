package control

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// writeTestdata has the tests write testdata anew instead of reading it. It is set only to keep the
// messages of a program that is in use; the files are not changed to make a test pass.
const writeTestdata = "RYEPADDLE_WRITE_TESTDATA"

// A question and its answers have the form of version 1: commands and programs of two versions
// understand each other. A program refuses a question with fields that it does not know.
func TestMessagesKeepTheirForm(t *testing.T) {
	for name, sample := range map[string]any{
		"request": Request{
			Command: "explain", ID: "r-1", Key: "key-1", Class: "hand-in", Tenant: "north", Successor: "n1", Kind: "refused",
			Cause: "no server took it", NotServed: true, FromMs: 1, ToMs: 2, Limit: 3, Levels: []string{"peers=debug"},
			Correction: json.RawMessage(`{"id":"c-1"}`),
		},
		"reply": reply{OK: "done", Error: "unknown class", Kind: "control.question", Remedy: "ask again"},
	} {
		t.Run(name, func(t *testing.T) {
			for i := range reflect.TypeOf(sample).NumField() {
				if reflect.ValueOf(sample).Field(i).IsZero() {
					t.Errorf("%s is not set in the sample", reflect.TypeOf(sample).Field(i).Name)
				}
			}
			got, err := json.Marshal(sample)
			if err != nil {
				t.Fatal(err)
			}
			path := filepath.Join("testdata", name+".json")
			if os.Getenv(writeTestdata) != "" {
				if err := os.WriteFile(path, got, 0o644); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(string(want), string(got)); diff != "" {
				t.Errorf("written as (-want +got)\n%s", diff)
			}
			read := reflect.New(reflect.TypeOf(sample))
			d := json.NewDecoder(bytes.NewReader(want))
			d.DisallowUnknownFields()
			if err := d.Decode(read.Interface()); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(sample, read.Elem().Interface()); diff != "" {
				t.Errorf("read as (-want +got)\n%s", diff)
			}
		})
	}
}
