package main

import (
	"fmt"
	"os"
	"time"
)

// The case of review/6: a runner's machine loses power and is back under its id. Its next process takes a start, and is cut off soon after.
const (
	powerLostFor = 600 * time.Millisecond
	// startAfter is how long after the runner's return the job is sent, cutAfter how long after the start the runner is cut off.
	startAfter, cutAfter = 100 * time.Millisecond, 200 * time.Millisecond
	cutFor               = 9 * time.Second
	cutTask              = "20s"
)

// runCutAfterRestart returns the exit status of the case.
func runCutAfterRestart(program, folder string) int {
	c, err := newCell(program, folder, 3, 8, true)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	if err := c.playCutAfterRestart(os.Getenv("TROUBLE") != "0"); err != nil {
		c.record("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	return c.judgeRunsAtOnce()
}

// playCutAfterRestart plays the case until a little after the cut; without trouble until the job has ended.
func (c *cell) playCutAfterRestart(trouble bool) error {
	victim := c.runners[0] // an idle cell fills it first
	time.Sleep(5 * time.Second)
	if trouble {
		victim.link.losePower()
		c.kill(victim)
		time.Sleep(powerLostFor)
		if err := c.startProcess(victim, heartbeat); err != nil {
			return err
		}
		victim.link.setSilent(false)
		time.Sleep(startAfter)
	}
	if err := c.submit(jobID, cutTask, "", 13000); err != nil {
		return err
	}
	began := c.awaitBegin(jobID, 2*time.Second)
	if began == nil {
		return fmt.Errorf("the job's task has not begun")
	}
	if !trouble {
		if !await(40*time.Second, func() bool { return len(c.eventsOf(jobID)) == 2 }) {
			return fmt.Errorf("the job has not ended")
		}
		return nil
	}
	if began.Runner != victim.id {
		return fmt.Errorf("the job's task began on %s, not on the runner that had restarted", began.Runner)
	}
	time.Sleep(time.Until(began.at.Add(cutAfter)))
	c.record("runner %s is cut off", victim.id)
	victim.link.setSilent(true)
	victim.platform.setSilent(true)
	time.Sleep(cutFor)
	c.record("the cut ends")
	victim.link.setSilent(false)
	victim.platform.setSilent(false)
	time.Sleep(3 * time.Second)
	return nil
}
