package deployment

import (
	"bytes"
	"encoding/json"
	"flag"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"ryepaddle/internal/config"
	"ryepaddle/internal/simulator/day"
	"ryepaddle/internal/simulator/fleet"
	"ryepaddle/internal/testing/daytest"
)

// With any allowed settings a runner must start, answer each request once and in time, and break no rule
// of the simulator. A long run by hand:
// go test ./internal/testing/deployment -run Everywhere -rapid.checks=20000
func TestEverywhere(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		d := Draw(t, Wide)
		drawn := day.Draw(d.Spec, d.Seed)
		settings := drawn.Settings
		d.ChangeSettings(&settings)
		text, err := json.Marshal(
			map[string]any{
				"name":     "n1",
				"listen":   "127.0.0.1:1",
				"stop_ms":  1,
				"limits":   map[string]int{"sockets": 512, "memory_mb": 48},
				"settings": daytest.Settings(&settings),
			},
		)
		if err != nil {
			t.Fatal(err)
		}
		read, err := config.ParsePlatform(text)
		if err != nil {
			t.Fatalf("ParsePlatform(): %v\n%s", err, text)
		}
		if diff := cmp.Diff(settings, read.Settings); diff != "" {
			t.Fatalf("settings read from the platform's file (-want +got)\n%s", diff)
		}
		run, err := fleet.Play(drawn, fleet.Options{Settings: d.ChangeSettings})
		if err != nil {
			t.Fatalf("Play(): %v\n%s", err, text)
		}
		if run.Broken > 0 {
			t.Fatalf("broken rules %v: %v\n%s", run.Rules, run.Notes, text)
		}
	})
}

// Plays a few deployments on real processes over sockets, with the platform's frontend.
func TestOnProcesses(t *testing.T) {
	t.Parallel()
	bin := filepath.Join(t.TempDir(), "ryepaddle")
	if out, err := exec.Command(
		"go",
		"build",
		"-race",
		"-o",
		bin,
		"../../../cmd/runner",
	).CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	drawn := rapid.Custom(func(t *rapid.T) *Deployment { return Draw(t, Real) })
	var read atomic.Int64
	t.Cleanup(func() {
		if read.Load() < int64(*processes) {
			t.Errorf("requests read = %d, too few for a meaningful test", read.Load())
		}
	})
	for seed := range *processes {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			d := drawn.Example(seed)
			var log bytes.Buffer
			run, err := daytest.Play(
				t.Context(),
				day.Draw(d.Spec, d.Seed),
				fleet.Options{Settings: d.ChangeSettings},
				bin,
				&log,
			)
			if err != nil {
				t.Fatalf("Play(): %v\n%s", err, log.String())
			}
			if read.Add(int64(run.AttemptsRead)); run.Broken > 0 {
				t.Errorf("broken rules %v: %v\n%s", run.Rules, run.Notes, log.String())
			}
		})
	}
}

var processes = flag.Int("deployments", 6, "number of deployments to play on real processes")
