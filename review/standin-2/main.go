// Command standin-2 plays the users' platform, its runners and its clients for the scripts of the review.
//
//	standin-2 runner ID ADDRESS CONTROL RACK      one life of a runner
//	standin-2 crashed-runners DAEMON FOLDER       the case of review/7
//	standin-2 cancelled-then-stored DAEMON FOLDER the case of review/8
package main

import (
	"fmt"
	"os"
)

// Exit statuses of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

func main() {
	args := os.Args[1:]
	switch {
	case len(args) == 5 && args[0] == "runner":
		fmt.Fprintln(os.Stderr, serveRunner(runnerConfig{args[1], args[2], args[3], args[4]}))
		os.Exit(notRun)
	case len(args) == 3 && args[0] == "crashed-runners":
		os.Exit(runCrashedRunners(args[1], args[2]))
	case len(args) == 3 && args[0] == "cancelled-then-stored":
		os.Exit(runCancelledThenStored(args[1], args[2]))
	}
	fmt.Fprintln(os.Stderr, "usage: standin-2 runner ID ADDRESS CONTROL RACK | crashed-runners DAEMON FOLDER | cancelled-then-stored DAEMON FOLDER")
	os.Exit(notRun)
}
