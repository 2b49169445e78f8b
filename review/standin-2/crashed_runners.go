package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"
)

// The case of review/7: of eight runners the one that has just begun a job's tasks crashes, and later the one that has just begun them again.
const (
	crashes = 2
	// crashAfter is the time from the begin of a task to the crash of its runner, downFor how long the runner is down.
	crashAfter = 300 * time.Millisecond
	downFor    = 3500 * time.Millisecond
	jobID      = "5c0e7a21d94b36f8"
	taskCount  = 3
	taskTime   = "1400ms"
)

// runCrashedRunners returns the exit status of the case.
func runCrashedRunners(program, folder string) int {
	c, err := newCell(program, folder, 3, 8)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	job := map[string]any{"spec": taskTime, "steps": []any{map[string]any{"count": taskCount, "cpu": 6100, "mem_mb": 11000, "estimate_ms": 1300}}}
	status, answer := c.call(c.daemons[0], http.MethodPost, queuePrefix+jobID, job)
	c.record("client: POST %s%s: %d %s", queuePrefix, jobID, status, answer)
	if status != http.StatusOK {
		return notRun
	}
	if os.Getenv("TROUBLE") != "0" {
		for seen := 0; seen < crashes; seen++ {
			if !c.crashRunnerOf(jobID) {
				fmt.Fprintln(os.Stderr, "no task of the job has begun")
				break
			}
		}
	}
	return c.judge()
}

// crashRunnerOf waits until a runner that is up begins a task of the job, crashes it shortly after and starts it again under a new id.
func (c *cell) crashRunnerOf(job string) bool {
	var victim *runnerProcess
	found := await(20*time.Second, func() bool {
		ended := make(map[string]bool)
		for _, e := range c.eventsOf(job) {
			ended[fmt.Sprint(e.Runner, e.Task, e.Run)] = e.What == "ended"
		}
		for _, e := range c.eventsOf(job) {
			for _, r := range c.runners {
				if r.id == e.Runner && e.What == "began" && !ended[fmt.Sprint(e.Runner, e.Task, e.Run)] {
					victim = r
				}
			}
		}
		return victim != nil
	})
	if !found {
		return false
	}
	time.Sleep(crashAfter)
	c.kill(victim)
	time.Sleep(downFor)
	if err := c.startRunner(victim); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	return true
}

// judge asks for the job until it has ended, and compares its state with the ends that the runners have listed.
func (c *cell) judge() int {
	state := ""
	await(40*time.Second, func() bool {
		status, answer := c.call(c.daemons[1], http.MethodGet, queuePrefix+jobID, nil)
		var body struct{ State string }
		if status != http.StatusOK || json.Unmarshal([]byte(answer), &body) != nil {
			return false
		}
		if body.State != state {
			state = body.State
			c.record("client: GET %s%s: %d %s", queuePrefix, jobID, status, answer)
		}
		return state == "completed" || state == "failed" || state == "cancelled"
	})
	failed := 0
	for _, e := range c.eventsOf(jobID) {
		if e.How == "failed" {
			failed++
		}
	}
	c.record("the job is shown as %q; %d of its runs have ended failed, the queue allows fewer than %d for a task", state, failed, attempts)
	switch state {
	case "failed":
		if failed < attempts {
			fmt.Println("LOST: the job is shown as failed without cause")
			return ruleBroken
		}
		return notRun
	case "completed":
		fmt.Println("held: the job is completed")
		return ruleHeld
	}
	fmt.Println("the job has not ended:", state)
	return notRun
}
