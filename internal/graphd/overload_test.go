package graphd

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/graphapi"
	"laburnumpoint/internal/graphproto"
)

// A pool is full with urgent work that has a long objective. Jobs behind it are refused with 429 by every daemon and never run,
// also if their caller tries again; jobs that were accepted before get their 200; and jobs are accepted once the backlog is gone.
func TestOverloadedCell(t *testing.T) {
	const urgent, later = "urgent", "later"
	c := &testCell{T: t, refuseOverload: true, retention: time.Hour, otherQueues: []graphproto.Queue{
		{Name: urgent, Pool: "sheets", Priority: 0, MaxAttempts: 2, Stretch: 20, TargetMS: 60_000},
		{Name: later, Pool: "sheets", Priority: 2, MaxAttempts: 2, Stretch: 1.5, TargetMS: 300},
	}}
	c.startCluster()
	for i := range 2 {
		c.startDaemon(fmt.Sprint("vm-", i))
	}
	submit := func(daemon int, queue, id string, tasks int) int {
		client := graphapi.Client{Servers: []string{c.caller.Servers[daemon]}, HTTP: c.caller.HTTP}
		job := &graphapi.Job{Payload: `{"run_ms":500}`, Steps: []graphapi.Step{{Count: tasks, MilliCPU: 500, MemoryMB: 100, EstimateMS: 500}}}
		_, err := client.Submit(t.Context(), queue, id, job)
		var refused *graphapi.RefusedError
		switch {
		case errors.As(err, &refused):
			return refused.Status
		case err != nil:
			t.Fatal(err)
		}
		return http.StatusOK
	}
	nextID := 0
	newID := func() string {
		nextID++
		return fmt.Sprintf("%016x", nextID)
	}
	// The owner learns how long the tasks of both queues take.
	known := map[string]string{}
	for range 20 {
		for _, queue := range []string{urgent, later} {
			id := newID()
			known[id] = queue
			if got := submit(0, queue, id, 1); got != http.StatusOK {
				t.Fatalf("status %d, want 200", got)
			}
		}
	}
	for id, queue := range known {
		c.eventually("job completed", func() bool {
			answer, err := c.caller.State(t.Context(), queue, id)
			return err == nil && answer.State == graph.Completed
		})
	}
	// The four workers run 32 tasks at a time: the backlog takes 47 seconds.
	waiting := newID()
	if got := submit(0, later, waiting, 40); got != http.StatusOK {
		t.Fatalf("status %d, want 200", got)
	}
	if got := submit(0, urgent, idA, 3000); got != http.StatusOK {
		t.Fatalf("status %d, want 200", got)
	}
	var refused []string
	for daemon := range 2 {
		c.eventually("refusal", func() bool {
			id := newID()
			if submit(daemon, later, id, 1) != http.StatusTooManyRequests {
				return false
			}
			refused = append(refused, id)
			return true
		})
	}
	for _, id := range refused {
		if _, err := c.caller.State(t.Context(), later, id); err == nil {
			t.Errorf("job %s was refused and is known", id)
		}
	}
	for daemon := range 2 {
		for id, queue := range map[string]string{waiting: later, idA: urgent} {
			if got := submit(daemon, queue, id, 1); got != http.StatusOK {
				t.Errorf("daemon %d: status %d for a job that was accepted before, want 200", daemon, got)
			}
		}
	}
	if _, err := c.caller.Cancel(t.Context(), urgent, idA); err != nil {
		t.Fatal(err)
	}
	after := newID()
	c.eventually("accepted after the backlog", func() bool { return submit(1, later, after, 1) == http.StatusOK })
	c.eventually("job completed", func() bool {
		answer, err := c.caller.State(t.Context(), later, after)
		return err == nil && answer.State == graph.Completed
	})
	for _, r := range c.cluster.Workers.Runs() {
		for _, id := range refused {
			if string(r.Key.Task.Job) == id {
				t.Errorf("job %s was refused and has run", id)
			}
		}
	}
}
