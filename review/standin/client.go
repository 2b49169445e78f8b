package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	queueHost     = "ficu95.example"
	queuePrefix   = "/lohu930/"
	clientTimeout = 3 * time.Second
	// attempts is how often a client sends a request: once, and four retries.
	attempts = 5
)

// step is a step of a job in the form in which clients send it. Fields that are 0 or false are left out.
type step struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu,omitempty"`
	MemMB         int    `json:"mem_mb,omitempty"`
	EstimateMS    int    `json:"estimate_ms,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	LongRunning   bool   `json:"long_running,omitempty"`
	After         []int  `json:"after,omitempty"`
	AntiAffinity  int    `json:"anti_affinity,omitempty"`
	Fills         bool   `json:"fills,omitempty"`
	Image         string `json:"image,omitempty"`
	TargetMS      int    `json:"target_ms,omitempty"`
}

type jobBody struct {
	Spec       string `json:"spec"`
	Steps      []step `json:"steps"`
	Times      int    `json:"times,omitempty"`
	StartAtMS  int64  `json:"start_at_ms,omitempty"`
	IntervalMS int64  `json:"interval_ms,omitempty"`
}

// job is a job of a client.
type job struct {
	id         string
	body       jobBody
	acceptedAt time.Time
	state      string
}

// clients send jobs to the machines in turn, and send again by another machine as the pages say.
type clients struct {
	record  *record
	daemons []*daemon

	mu   sync.Mutex
	next int
	jobs []*job
}

func specOf(w work) string {
	data, err := json.Marshal(w)
	if err != nil {
		panic(err)
	}
	return string(data)
}

// machine returns a machine that is ready, in turn; the platform's balancer does the same.
func (c *clients) machine() *daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return c.daemons[c.next%len(c.daemons)]
}

// send sends one request to one machine. The status is 0 if there is no answer.
func (c *clients) send(method, path string, body []byte) (status int, answer []byte, retryAfter time.Duration) {
	d := c.machine()
	request, err := http.NewRequest(method, "http://"+d.front+path, bytes.NewReader(body))
	if err != nil {
		fail("request: %v", err)
	}
	request.Host = queueHost
	request.Header.Set("Deadline-Ms", strconv.FormatInt(clientTimeout.Milliseconds(), 10))
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	client := http.Client{Timeout: clientTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, 0
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, 0
	}
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	return response.StatusCode, answer, time.Duration(seconds) * time.Second
}

// submit hands a job in and reports whether it was accepted.
func (c *clients) submit(j *job) bool {
	data, err := json.Marshal(j.body)
	if err != nil {
		panic(err)
	}
	for try := range attempts {
		status, _, wait := c.send(http.MethodPost, queuePrefix+j.id, data)
		c.record.line("POST %s try %d: %d", j.id, try+1, status)
		if status >= 200 && status < 300 {
			c.mu.Lock()
			j.acceptedAt = time.Now()
			c.jobs = append(c.jobs, j)
			c.mu.Unlock()
			return true
		}
		time.Sleep(max(wait, 200*time.Millisecond))
	}
	return false
}

// cancel cancels a job and reports whether that was acknowledged.
func (c *clients) cancel(j *job) bool {
	for try := range attempts {
		status, _, wait := c.send(http.MethodDelete, queuePrefix+j.id, nil)
		c.record.line("DELETE %s try %d: %d", j.id, try+1, status)
		if status == http.StatusGone || (status >= 200 && status < 300) {
			return true
		}
		time.Sleep(max(wait, 200*time.Millisecond))
	}
	return false
}

// ask asks for a job's state until there is an answer or the time is over. It returns "" for none, and "gone" for 410.
func (c *clients) ask(j *job, within time.Duration) string {
	for begin := time.Now(); ; {
		status, answer, _ := c.send(http.MethodGet, queuePrefix+j.id, nil)
		var body struct {
			State string `json:"state"`
		}
		switch {
		case status == http.StatusGone:
			return "gone"
		case status == http.StatusOK && json.Unmarshal(answer, &body) == nil:
			return body.State
		}
		if time.Since(begin) > within {
			return ""
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (c *clients) accepted() []*job {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*job(nil), c.jobs...)
}

// smallJobs hands in jobs of two steps with two short tasks each at the given interval until the time is over, and returns when all have an answer.
func (c *clients) smallJobs(interval, length time.Duration) {
	var sending sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	end := time.Now().Add(length)
	for n := 0; time.Now().Before(end); n++ {
		j := &job{
			id: fmt.Sprintf("%08x%08x", 0x5a11, n),
			body: jobBody{Spec: specOf(work{MS: 300}), Steps: []step{
				{Count: 2, CPU: 1000, MemMB: 256, EstimateMS: 300},
				{Count: 2, CPU: 1000, MemMB: 256, EstimateMS: 300, After: []int{0}},
			}},
		}
		sending.Go(func() { c.submit(j) })
		<-ticker.C
	}
	sending.Wait()
}
