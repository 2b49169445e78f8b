package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The case of review/8: large jobs come at once. Small jobs are handed in before and after them.
const (
	largeJobs, largeTasks = 160, 10000
	// largeJobDelay is the time between two of them in a burst of 1.8 times 18 a second, which lasts for burstFor; usualDelay is that after it.
	largeJobDelay, usualDelay = 31 * time.Millisecond, 56 * time.Millisecond
	burstFor                  = 4 * time.Second
	// smallJobs is how many small jobs are handed in before the large ones, and again after them.
	smallJobs     = 20
	smallJobDelay = 50 * time.Millisecond
	smallJobTasks = 4
	// memoryLimit is that of a daemon's machine, restartDelay how long its process is away after it was killed.
	memoryLimit  = 284 << 20
	restartDelay = 500 * time.Millisecond
	// Bounds of the rule.
	finishBound = 14 * time.Second
	stillBound  = 3 * time.Second
)

// runLargeJobs returns the exit status of the case.
func runLargeJobs(program, folder string) int {
	c, err := newCell(program, folder, 3, 8, false)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	stop := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() { c.watchMemory(stop) })
	jobs := c.submitSmall(nil)
	if os.Getenv("TROUBLE") != "0" {
		c.submitLarge()
	}
	jobs = c.submitSmall(jobs)
	c.record("client: %d small jobs have been accepted", len(jobs))
	time.Sleep(finishBound)
	still := c.standStill(jobs)
	close(stop)
	watch.Wait()
	c.record("%d of %d small jobs are not done, and had nothing running for %s, %s after the last job was sent", still, len(jobs), stillBound, finishBound)
	if len(jobs) == 0 {
		return notRun
	}
	if still > 0 {
		fmt.Println("LOST: accepted jobs have nothing running, while their tasks' turn has come and nearly all runners are free")
		return ruleBroken
	}
	fmt.Println("held: no accepted job stands still")
	return ruleHeld
}

// submitSmall hands in small jobs of two steps of two tasks, each at one daemon after the other until it is accepted. It returns the given jobs
// and those that were accepted.
func (c *cell) submitSmall(jobs []string) []string {
	step := func(after ...int) map[string]any {
		return map[string]any{"count": smallJobTasks / 2, "cpu": 2000, "mem_mb": 1000, "estimate_ms": 500, "after": after}
	}
	job := map[string]any{"spec": "500ms", "steps": []any{step(), step(0)}}
	for range smallJobs {
		id := fmt.Sprintf("%016x", 0x5000+len(jobs))
		for _, d := range c.daemons {
			status, _ := c.call(d, http.MethodPost, queuePrefix+id, job)
			if status == http.StatusOK {
				jobs = append(jobs, id)
				break
			}
		}
		time.Sleep(smallJobDelay)
	}
	return jobs
}

// submitLarge hands in the large jobs. Each is due at once, so that it isn't refused for the time that it would wait.
func (c *cell) submitLarge() {
	answers := make(map[int]int)
	var mu sync.Mutex
	var clients sync.WaitGroup
	begun := time.Now()
	for n := range largeJobs {
		clients.Go(func() {
			status, _ := c.call(c.daemons[n%len(c.daemons)], http.MethodPost, fmt.Sprintf("%s%016x", queuePrefix, 0xa000+n), map[string]any{
				"spec": "4500ms", "times": 1, "interval_ms": 1000, "start_at_ms": time.Now().UnixMilli(), "steps": []any{
					map[string]any{"count": largeTasks, "cpu": 100, "mem_mb": 100, "estimate_ms": 4500, "anti_affinity": 1},
				}})
			mu.Lock()
			answers[status]++
			mu.Unlock()
		})
		if time.Since(begun) < burstFor {
			time.Sleep(largeJobDelay)
		} else {
			time.Sleep(usualDelay)
		}
	}
	clients.Wait()
	c.record("client: POST of %d jobs of %d tasks, answers by status: %v", largeJobs, largeTasks, answers)
}

// standStill returns how many of the jobs are not done, and had nothing running for as long as the rule says.
func (c *cell) standStill(jobs []string) (still int) {
	from := time.Now()
	time.Sleep(stillBound)
	for _, id := range jobs {
		done, going, moved := 0, 0, false
		for _, e := range c.eventsOf(id) {
			moved = moved || e.at.After(from)
			if e.What == "began" {
				going++
			} else {
				going--
			}
			if e.How == "done" {
				done++
			}
		}
		if done < smallJobTasks && going == 0 && !moved {
			still++
		}
	}
	return still
}

// watchMemory kills daemons that exceed the memory of their machines, and starts them again, as the platform does, until stop is closed.
func (c *cell) watchMemory(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		for _, d := range c.daemons {
			used, err := privateMemory(d.cmd.Process.Pid)
			if err != nil || used <= memoryLimit {
				continue
			}
			c.record("daemon %s uses %d MB and is killed", d.name, used/1_000_000)
			_ = d.cmd.Process.Kill() // it may have ended
			_ = d.cmd.Wait()         // it was killed
			time.Sleep(restartDelay)
			if err := c.startDaemonProcess(d); err != nil {
				c.record("%v", err)
				return
			}
		}
	}
}

// privateMemory returns the resident memory of a process that it shares with no file, in bytes.
func privateMemory(pid int) (int, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(data))
	if len(fields) < 3 {
		return 0, fmt.Errorf("statm of %d has %d fields", pid, len(fields))
	}
	resident, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0, err
	}
	shared, err := strconv.Atoi(fields[2])
	return (resident - shared) * os.Getpagesize(), err
}
