package main

import (
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// writeTestdata has the tests write testdata anew instead of reading it. It is set only to keep the
// files of a program that is in use; they are not changed to make a test pass.
const writeTestdata = "RYEPADDLE_WRITE_TESTDATA"

// A recording of version 1 is shown as version 1 showed it. The file is the one that
// internal/telemetry/traffic keeps as test data.
func TestShowsRecordingOfVersion1(t *testing.T) {
	const file = "testdata/stored.traffic"
	for path, args := range map[string][]string{
		"testdata/show.out":      {"traffic", "show", file},
		"testdata/show-json.out": {"traffic", "show", file, "--json"},
	} {
		status, got, errs := run(t, args...)
		if status != 0 {
			t.Fatalf("status %d: %s", status, errs)
		}
		if os.Getenv(writeTestdata) != "" {
			if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		want, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(string(want), got); diff != "" {
			t.Errorf("%v (-want +got)\n%s", args, diff)
		}
	}
}
