// Command standin plays the script cases of this folder: it starts the deploy file's daemon as processes of its own on
// loopback addresses, with a stand-in store, stand-in servers and clients, and writes down what they saw.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	cases := map[string]func(*scenario) (bool, error){"memory": playMemory, "junk": playJunk, "smuggle": playSmuggle}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(*scenario) (bool, error), recordPath string) int {
	s, err := newScenario(recordPath, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	broken, err := run(s)
	s.end()
	switch {
	case err != nil:
		s.note("could not run: %v", err)
		return exitNotRun
	case broken:
		s.note("RESULT: the rule was broken")
		return exitBroken
	}
	s.note("RESULT: the rule held")
	return exitHeld
}
