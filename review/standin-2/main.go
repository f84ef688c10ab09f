// Command standin-2 runs the scripts of the second review: it starts entry daemons as processes of their own with the
// command of the deploy file, and plays the platform, the servers and the clients before them.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario is one case. It returns whether the rule was broken.
type scenario func(world *world) (broken bool, err error)

var scenarios = map[string]scenario{
	"surplus":  surplusAnswers,
	"versions": streamVersions,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		return exitNotRun
	}
	world, err := newWorld(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer world.close()
	broken, err := scenarios[os.Args[1]](world)
	switch {
	case err != nil:
		world.record("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitNotRun
	case broken:
		world.record("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	world.record("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// elapsed formats the time since the start of a case.
func elapsed(since time.Time) string { return fmt.Sprintf("%8.3f s", time.Since(since).Seconds()) }
