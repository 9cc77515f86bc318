// Command verdict reads what `go test -json` prints and decides whether the run is green. Tests
// that KNOWN-RED.txt lists are to fail, and all others to pass:
//
//	go test -race -json ./... | go run ./internal/ci/verdict KNOWN-RED.txt
package main

import (
	"fmt"
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
	green, err := run(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if err != nil || !green {
		os.Exit(1)
	}
}

func run(path string) (green bool, err error) {
	file, err := os.Open(path)
	if err != nil {
		return false, err
	}
	defer file.Close()
	known, err := ReadKnown(file)
	if err != nil {
		return false, err
	}
	results, err := ReadResults(os.Stdin, os.Stdout)
	if err != nil {
		return false, err
	}
	problems := Judge(results, known)
	for _, k := range known {
		fmt.Printf("known red: %s, %s, %s\n", k.Test, k.Cause, k.Issue)
	}
	for _, p := range problems {
		fmt.Println("red:", p)
	}
	return len(problems) == 0, nil
}
