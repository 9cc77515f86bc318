package main

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ryepaddle/internal/telemetry/traffic"
	"ryepaddle/internal/testing/scenario"
)

// recordTraffic starts a program that records traffic, plays a script, and reads the recording.
func recordTraffic(t *testing.T, script string) *traffic.Recording {
	t.Helper()
	dir := t.TempDir()
	engine := scenario.NewEngine(t)
	addr := engine.Listener.Addr().String()
	p := launch(t, map[string]any{"engine": addr, "backend": addr}, "record: {dir: "+dir+", max_mb: 1}\n")
	scenario.Play(t, "engine expect ATTACH 0"+script, map[string]scenario.Actor{"engine": engine, "runner": p,
		"balancer": scenario.NewBalancer(t, p.listen["platform"], false)})
	files, err := filepath.Glob(filepath.Join(dir, "n0-*.traffic"))
	if err != nil || len(files) != 1 {
		t.Fatal("want one recording; files and error:", files, err)
	}
	rec, err := traffic.Read(files[0])
	if err != nil {
		t.Fatal(err)
	}
	return rec
}

const threeRequests = `
	balancer send 1 quick-check body=code
	engine expect RUN 1 quick-check code
	engine send done 1 fine 5/5
	balancer expect 1 200 5/5
	balancer send 2 hand-in key=a body=essay
	engine expect RUN 2 hand-in essay
	engine send done 2 fine 1/1
	balancer expect 2 200 1/1
	balancer send 3 hand-in key=a body=essay
	balancer expect 3 200 1/1
`

// A recording has all requests once the program has exited, with the hashes by which retries are
// recognized.
func TestTrafficIsRecorded(t *testing.T) {
	t.Parallel()
	rec := recordTraffic(t, threeRequests+"\nrunner send TERM\nrunner expect exit 0")
	if rec.Truncation != nil || rec.Lost.Any() || rec.Runner != "n0" || len(rec.Requests) != 3 {
		t.Fatalf("recording = %+v, want 3 requests of n0, complete", rec)
	}
	var classes []string
	for _, q := range rec.Requests {
		classes = append(classes, rec.Classes[q.Class])
	}
	if diff := cmp.Diff([]string{"quick-check", "hand-in", "hand-in"}, classes); diff != "" {
		t.Errorf("classes of the requests (-want +got)\n%s", diff)
	}
	first, further := rec.WithoutRetries(func(int) time.Duration { return 4300 * time.Millisecond })
	if len(first) != 2 || further != 1 || rec.Requests[1].KeyHash == 0 || rec.Requests[0].BodyHash == 0 {
		t.Errorf("%d first attempts, %d retries, want 2 and 1, with hashes: %+v", len(first), further, rec.Requests)
	}
}

// A killed program leaves a recording that can be read, and that is marked as truncated.
func TestTruncatedRecordingIsRead(t *testing.T) {
	t.Parallel()
	rec := recordTraffic(t, threeRequests+"\nrunner close")
	if rec.Truncation == nil || !strings.Contains(rec.Truncation.Error(), "the file ends without a trailer") {
		t.Fatalf("recording = %+v, want a truncated one", rec)
	}
}

// If the recording's file cannot be created, the program serves requests and logs the error.
func TestRecordingFailureCostsNoRequest(t *testing.T) {
	t.Parallel()
	engine := scenario.NewEngine(t)
	addr := engine.Listener.Addr().String()
	dir := filepath.Join("/proc", "self") // a folder in which no file can be created
	p := launch(t, map[string]any{"engine": addr, "backend": addr}, "record: {dir: "+dir+"}\n")
	scenario.Play(t, "engine expect ATTACH 0"+threeRequests, map[string]scenario.Actor{"engine": engine,
		"balancer": scenario.NewBalancer(t, p.listen["platform"], false)})
	if !strings.Contains(p.log(), "event=record.failed") {
		t.Error("the log lacks event=record.failed:", p.log())
	}
}
