package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"ryepaddle/internal/testing/benchserver"
)

// binary is the path of the program, which TestMain builds with the race detector.
var binary string

const (
	testTimeout  = time.Minute           // for events that need no further action of the test, also on a slow machine
	pollInterval = 10 * time.Millisecond // between two checks of a condition
)

// benchServerSize is an environment variable with the size of a response in bytes. If it is set, this
// binary runs the server and the callers of a benchmark instead of tests.
const benchServerSize = "HOP_FAR_END"

func TestMain(m *testing.M) {
	if size, err := strconv.Atoi(os.Getenv(benchServerSize)); err == nil {
		if err := benchserver.Play(size, os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	dir, err := os.MkdirTemp("", "ryepaddle")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "ryepaddle")
	if out, err := exec.Command("go", "build", "-race", "-o", binary, ".").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}
