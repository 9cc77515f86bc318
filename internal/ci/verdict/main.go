// Command verdict reads the output of `go test -json` and decides whether the run is green: the tests that
// KNOWN-RED.txt lists must fail, and all others must not.
//
//	go test -race -json ./... | go run ./internal/ci/verdict KNOWN-RED.txt
//
// It prints each known failure and each problem. The exit code is 0 for green, 1 for red or unreadable
// input, and 2 for wrong arguments.
package main

import (
	"fmt"
	"io"
	"os"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(
			os.Stderr,
			"usage: verdict KNOWN-RED.txt, with the output of go test -json on standard input",
		)
		os.Exit(2)
	}
	green, err := run(os.Args[1], os.Stdin, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if err != nil || !green {
		os.Exit(1)
	}
}

// run evaluates the test run that it reads from in against the list at path, and writes the findings to out.
func run(path string, in io.Reader, out io.Writer) (green bool, err error) {
	file, err := os.Open(path)
	if err != nil {
		return false, err
	}
	defer file.Close()
	known, err := ReadKnown(file)
	if err != nil {
		return false, err
	}
	results, err := ReadResults(in, out)
	if err != nil {
		return false, err
	}
	problems := Evaluate(results, known)
	for i := range known {
		fmt.Fprintln(out, "known red, passed over:", &known[i])
	}
	for _, problem := range problems {
		fmt.Fprintln(out, "red:", problem)
	}
	return len(problems) == 0, nil
}
