//go:build review

// Command cases plays the cases of the review: it starts routed daemons as
// separate processes between stand-ins of requesters, runners and the
// platform's store, brings one disruption about, and checks one rule.
//
// Usage: cases NUMBER FOLDER. With TROUBLE=0 in the environment the disruption
// is left out. The exit code is 1 if the rule was broken, 0 if it held and 2 if
// the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the function of each case, by the number of its folder.
var cases = map[string]func(*bed) error{}

// TestMain plays a case instead of tests, so that the file is a test file: only those may
// hold the names of the platform.
func TestMain(*testing.M) {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NUMBER FOLDER")
		return exitNotRun
	}
	record, err := os.Create(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	b, err := newBed(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer b.close()
	if err := cases[args[0]](b); err != nil {
		b.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitNotRun
	}
	if b.broken() > 0 {
		fmt.Printf("the rule was broken %d times\n", b.broken())
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}
