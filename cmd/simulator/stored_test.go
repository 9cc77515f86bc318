package main

import (
	"testing"

	"ryepaddle/internal/testing/golden"
)

// The output for a recording of version 1 must not change. The recording is the same file as in the test
// data of internal/telemetry/traffic.
func TestShowsRecordingOfVersion1(t *testing.T) {
	const file = "testdata/stored.traffic"
	for path, args := range map[string][]string{
		"testdata/show.out":      {"traffic", "show", file},
		"testdata/show-json.out": {"traffic", "show", file, "--json"},
	} {
		status, got, errs := run(t, args...)
		if status != 0 {
			t.Fatalf("traffic show: exit status = %d, want 0; stderr: %s", status, errs)
		}
		golden.Check(t, path, []byte(got))
	}
}
