package main

import (
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"
)

// The case of review/9: the store's answers to the writes of one job get lost, and the writes are performed late. The job's client gets 504,
// tries once more, leaves and cancels the job, which is answered. Other clients hand in short jobs all the while.
const (
	lossFor = 4500 * time.Millisecond
	// performedLate is how long after its arrival a write without an answer is performed.
	performedLate = 5900 * time.Millisecond
	// leaveAfter is when the client leaves its second try without an answer, and cancelAfter when it cancels the job, after it was first sent.
	leaveAfter, cancelAfter = 4400 * time.Millisecond, 4700 * time.Millisecond
	longTask                = "20s"
	// Bounds of the rule, as in the daemons' settings.
	cancelBound   = 3000 * time.Millisecond
	contactBound  = 3000 * time.Millisecond
	checkMargin   = 100 * time.Millisecond
	maxLossShare  = 0.35
	otherJobDelay = 150 * time.Millisecond
)

// runCancelledThenStored returns the exit status of the case.
func runCancelledThenStored(program, folder string) int {
	c, err := newCell(program, folder, 3, 8, false)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	go c.sendOtherJobs(2000)
	time.Sleep(time.Second)
	job := map[string]any{"spec": longTask, "steps": []any{map[string]any{"count": 2, "cpu": 13000, "mem_mb": 19000, "estimate_ms": 9000}}}
	begun := time.Now()
	if os.Getenv("TROUBLE") != "0" {
		c.store.onLate = func(applied bool) {
			c.record("store: a late write of the job is performed, its condition held: %t", applied)
		}
		c.store.loseAnswers(func(r row) bool {
			value, err := base64.StdEncoding.DecodeString(r.Value)
			return err == nil && strings.Contains(string(value), `"`+longTask+`"`)
		}, performedLate)
		time.AfterFunc(lossFor, func() {
			c.store.loseAnswers(nil, 0)
			c.record("store: answers are no longer lost")
		})
	}
	status, answer := c.call(c.daemons[0], http.MethodPost, queuePrefix+jobID, job)
	c.record("client: POST %s%s: %d %s", queuePrefix, jobID, status, answer)
	if status == http.StatusOK && os.Getenv("TROUBLE") != "0" {
		return notRun
	}
	if status != http.StatusOK {
		status, answer = c.callUntil(c.daemons[2], http.MethodPost, queuePrefix+jobID, job, begun.Add(leaveAfter))
		c.record("client: POST %s%s once more: %d %s", queuePrefix, jobID, status, answer)
	}
	time.Sleep(time.Until(begun.Add(cancelAfter)))
	status, answer = c.call(c.daemons[1], http.MethodDelete, queuePrefix+jobID, nil)
	acknowledged := time.Now()
	c.record("client: DELETE %s%s: %d %s", queuePrefix, jobID, status, answer)
	if status != http.StatusOK && status != http.StatusGone {
		return notRun
	}
	if share := float64(c.store.lostWrites) / float64(max(1, c.store.writes)); c.store.lostWrites > 0 {
		c.record("store: %d of %d writes got no answer", c.store.lostWrites, c.store.writes)
		if share > maxLossShare {
			return notRun
		}
	}
	// The last late write may be performed until then; it counts as a disruption too. A stretch without one follows.
	calm := begun.Add(lossFor + performedLate + contactBound)
	time.Sleep(time.Until(calm.Add(cancelBound + stopGrace + checkMargin)))
	status, answer = c.call(c.daemons[1], http.MethodGet, queuePrefix+jobID, nil)
	c.record("client: GET %s%s: %d %s", queuePrefix, jobID, status, answer)
	running := make(map[string]bool)
	for _, e := range c.eventsOf(jobID) {
		running[fmt.Sprintf("%s run %d on %s", e.Task, e.Run, e.Runner)] = e.What == "began"
	}
	result := ruleHeld
	for run, runs := range running {
		if runs {
			c.record("%s runs %.1f s after the cancelling was acknowledged", run, time.Since(acknowledged).Seconds())
			result = ruleBroken
		}
	}
	if result == ruleBroken {
		fmt.Println("UNASKED: tasks of a job run whose cancelling was acknowledged")
		return result
	}
	fmt.Println("held: no task of the cancelled job runs")
	return result
}

// sendOtherJobs hands in short jobs of two tasks at all daemons. It never returns.
func (c *cell) sendOtherJobs(cpu int) {
	for n := 0; ; n++ {
		job := map[string]any{"spec": "300ms", "steps": []any{map[string]any{"count": 2, "cpu": cpu, "mem_mb": 1000, "estimate_ms": 300}}}
		go c.call(c.daemons[n%len(c.daemons)], http.MethodPost, fmt.Sprintf("%s%016x", queuePrefix, rand.Uint64()), job)
		time.Sleep(otherJobDelay)
	}
}
