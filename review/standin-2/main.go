// Command standin-2 plays the users' platform, its runners and its clients for the scripts of the review.
//
//	standin-2 runner ID PUBLIC ADDRESS CONTROL KIND RACK   one process of a runner
//	standin-2 late-start DAEMON FOLDER                     the case of review/6
//	standin-2 large-jobs DAEMON FOLDER                     the case of review/8
//	standin-2 cancelled-then-stored DAEMON FOLDER          the case of review/9
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
	case len(args) == 7 && args[0] == "runner":
		fmt.Fprintln(os.Stderr, serveRunner(runnerConfig{args[1], args[2], args[3], args[4], args[5], args[6]}))
		os.Exit(notRun)
	case len(args) == 3 && args[0] == "late-start":
		os.Exit(runLateStart(args[1], args[2]))
	case len(args) == 3 && args[0] == "large-jobs":
		os.Exit(runLargeJobs(args[1], args[2]))
	case len(args) == 3 && args[0] == "cancelled-then-stored":
		os.Exit(runCancelledThenStored(args[1], args[2]))
	}
	fmt.Fprintln(os.Stderr, "usage: standin-2 CASE DAEMON FOLDER, with the case late-start, large-jobs or cancelled-then-stored")
	os.Exit(notRun)
}
