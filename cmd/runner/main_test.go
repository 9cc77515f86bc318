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

var binary string

// testTimeout bounds a wait for what comes by itself on a machine that is not starved, and pollInterval
// is how often it is looked at.
const (
	testTimeout  = time.Minute
	pollInterval = 10 * time.Millisecond
)

func TestMain(m *testing.M) {
	if size, err := strconv.Atoi(os.Getenv("HOP_FAR_END")); err == nil {
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
