// Package graph describes a job as a graph of steps: what each task claims, where it may run and what it waits for.
package graph

import (
	"fmt"
	"time"
)

// JobID identifies a job. The caller chooses it; sending it again names the same job.
type JobID string

// TaskID names one task of a job.
type TaskID struct {
	Job JobID
	// Occurrence counts a scheduled job's occurrences from 0; 0 for a job without a schedule.
	Occurrence int
	Step       int
	Index      int
}

// String returns the task's name for logs.
func (t TaskID) String() string {
	return fmt.Sprintf("%s/%d/%d/%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// Resources is what one task takes of a worker.
type Resources struct {
	MilliCPU     int64 `json:"cpu,omitempty"`
	MemoryMB     int64 `json:"mem,omitempty"`
	Accelerators int64 `json:"acc,omitempty"`
}

// Fits reports whether c fits into free.
func (c Resources) Fits(free Resources) bool {
	return c.MilliCPU <= free.MilliCPU && c.MemoryMB <= free.MemoryMB && c.Accelerators <= free.Accelerators
}

// Add returns c with d added.
func (c Resources) Add(d Resources) Resources {
	return Resources{c.MilliCPU + d.MilliCPU, c.MemoryMB + d.MemoryMB, c.Accelerators + d.Accelerators}
}

// Sub returns c with d taken off.
func (c Resources) Sub(d Resources) Resources {
	return Resources{c.MilliCPU - d.MilliCPU, c.MemoryMB - d.MemoryMB, c.Accelerators - d.Accelerators}
}

// Times returns c for n tasks.
func (c Resources) Times(n int) Resources {
	k := int64(n)
	return Resources{c.MilliCPU * k, c.MemoryMB * k, c.Accelerators * k}
}

// Scale returns c times a factor, rounded down.
func (c Resources) Scale(factor float64) Resources {
	part := func(n int64) int64 { return int64(float64(n) * factor) }
	return Resources{part(c.MilliCPU), part(c.MemoryMB), part(c.Accelerators)}
}

// Step is a set of equal tasks.
type Step struct {
	Count    int           `json:"n"`
	Claim    Resources     `json:"claim"`
	Estimate time.Duration `json:"est,omitempty"`
	// After lists the earlier steps whose tasks must all be done first.
	After []int `json:"after,omitempty"`
	// Checkpoints means that a task saves its progress and can resume on another worker.
	Checkpoints bool `json:"ckpt,omitempty"`
	// Gang means that the tasks work only while all of them run, and end together.
	Gang bool `json:"gang,omitempty"`
	// SameRack means that the tasks are slower when they run on more than one rack.
	SameRack bool `json:"same_rack,omitempty"`
	// Label must be among the worker's labels; empty for any worker.
	Label string `json:"label,omitempty"`
	// DataRack is the rack on which the tasks run at full speed; empty if all racks are alike.
	DataRack string `json:"data_rack,omitempty"`
	// MaxPerWorker bounds the tasks of one occurrence on one worker; 0 for no bound.
	MaxPerWorker int `json:"max_worker,omitempty"`
	// Speculative means that copies of a task may run in parallel; the first to finish counts.
	Speculative bool `json:"spec,omitempty"`
	// LongRunning means that the tasks run until the job is cancelled and are restarted however they end.
	LongRunning bool `json:"long,omitempty"`
	// Image names what the tasks run; tasks of one image behave alike.
	Image string `json:"image,omitempty"`
	// TailTarget bounds the tail latency of a long-running task's own users; 0 for none.
	TailTarget time.Duration `json:"tail,omitempty"`
	// Filler means that the tasks use processor time that others leave unused and claim none.
	Filler bool `json:"fill,omitempty"`
	// MaxUnavailable bounds the long-running tasks that the scheduler's own actions take down at once.
	MaxUnavailable int `json:"max_away,omitempty"`
}

// Allocation returns what a task of the step takes of its worker's capacity.
func (s *Step) Allocation() Resources {
	held := s.Claim
	if s.Filler {
		held.MilliCPU = 0
	}
	return held
}

// Spec is a job as its caller submits it.
type Spec struct {
	// Payload is handed to every task.
	Payload string `json:"payload"`
	Steps   []Step `json:"steps"`
	// Occurrences is how often the steps run on a schedule; 0 for once, at once.
	Occurrences int `json:"times,omitempty"`
	// StartAt is the time of day at which the first occurrence is due, since the Unix epoch.
	StartAt time.Duration `json:"start_at,omitempty"`
	// Interval is the time between two occurrences.
	Interval time.Duration `json:"every,omitempty"`
}

// OccurrenceCount returns how many occurrences the job has, 1 for a job without a schedule.
func (s *Spec) OccurrenceCount() int { return max(1, s.Occurrences) }

// DueAt returns the time of day at which occurrence k is due, since the Unix epoch; 0 for a job without a schedule.
func (s *Spec) DueAt(k int) time.Duration {
	if s.Occurrences == 0 {
		return 0
	}
	return s.StartAt + time.Duration(k)*s.Interval
}

// CriticalPaths returns, for each step, the longest chain of estimated run times from its start to the job's end. Each step takes
// extra time besides.
func (s *Spec) CriticalPaths(extra time.Duration) []time.Duration {
	chains := make([]time.Duration, len(s.Steps))
	for i := len(s.Steps) - 1; i >= 0; i-- {
		chains[i] += s.Steps[i].Estimate + extra
		for _, before := range s.Steps[i].After {
			chains[before] = max(chains[before], chains[i])
		}
	}
	return chains
}

// Bounds of a job that is accepted.
const (
	// MaxPayloadBytes bounds the payload.
	MaxPayloadBytes = 4000
	// MaxSteps bounds the steps of a job, so that a job's record fits a table row.
	MaxSteps = 64
	// MaxTasks bounds the tasks of one occurrence.
	MaxTasks = 10000
	// MaxOccurrences bounds the occurrences of a schedule.
	MaxOccurrences = 1000
	// MaxClaim bounds each part of a claim, so that sums never overflow.
	MaxClaim = 1 << 40
)

// Validate reports the first reason why the job can't be accepted.
func (s *Spec) Validate() error {
	if len(s.Payload) > MaxPayloadBytes {
		return fmt.Errorf("payload of %d bytes, at most %d", len(s.Payload), MaxPayloadBytes)
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return fmt.Errorf("%d steps, want 1 to %d", len(s.Steps), MaxSteps)
	}
	if s.Occurrences < 0 || s.Occurrences > MaxOccurrences || s.Interval < 0 || s.StartAt < 0 {
		return fmt.Errorf("schedule out of range")
	}
	tasks := 0
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		tasks += s.Steps[i].Count
	}
	if tasks > MaxTasks {
		return fmt.Errorf("%d tasks, at most %d", tasks, MaxTasks)
	}
	return nil
}

func (s *Step) validate(index int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return fmt.Errorf("%d tasks, want 1 to %d", s.Count, MaxTasks)
	}
	for _, part := range []int64{s.Claim.MilliCPU, s.Claim.MemoryMB, s.Claim.Accelerators} {
		if part < 0 || part > MaxClaim {
			return fmt.Errorf("claim out of range")
		}
	}
	if s.Estimate < 0 || s.TailTarget < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 {
		return fmt.Errorf("negative figure")
	}
	for _, before := range s.After {
		if before < 0 || before >= index {
			return fmt.Errorf("waits for step %d, which is not an earlier one", before)
		}
	}
	return nil
}

// PermitLatency is what a policy service's answer takes of its time.
type PermitLatency struct {
	Base      time.Duration `json:"base"`
	PerWorker time.Duration `json:"each"`
}

// For returns the time of an answer about n workers.
func (c PermitLatency) For(n int) time.Duration { return c.Base + time.Duration(n)*c.PerWorker }

// Queue is a queue's policy, as the configuration in force has it.
type Queue struct {
	Name string `json:"name"`
	// Pool names the workers that run the queue's tasks.
	Pool string `json:"pool"`
	// Priority orders queues; 0 comes first.
	Priority int `json:"prio"`
	// MaxAttempts bounds the failed runs of a task.
	MaxAttempts int `json:"attempts"`
	// Stretch times the critical path, plus Target, is the time in which a job should complete.
	Stretch float64       `json:"stretch"`
	Target  time.Duration `json:"target"`
	// Permit is set if the policy service must allow each worker for each step.
	Permit *PermitLatency `json:"permit,omitempty"`
}

// objectiveWorkers is how many workers the policy service is asked about for a step, as objectives count it: by the users'
// definition.
const objectiveWorkers = 30

// ExpectedPermitLatency returns what permits for a step take, as objectives count it.
func (q *Queue) ExpectedPermitLatency() time.Duration {
	if q.Permit == nil {
		return 0
	}
	return q.Permit.For(objectiveWorkers)
}

// Objective returns the time in which the job should complete.
func (q *Queue) Objective(s *Spec) time.Duration {
	var longest time.Duration
	for _, chain := range s.CriticalPaths(q.ExpectedPermitLatency()) {
		longest = max(longest, chain)
	}
	return time.Duration(q.Stretch*float64(longest)) + q.Target
}

// JobState is what a caller is told of a job.
type JobState string

// The states of a job.
const (
	Queued    JobState = "queued"
	Running   JobState = "running"
	Completed JobState = "completed"
	Failed    JobState = "failed"
	Cancelled JobState = "cancelled"
)

// Ended reports whether a job in the state runs nothing any more.
func (s JobState) Ended() bool { return s == Completed || s == Failed || s == Cancelled }
