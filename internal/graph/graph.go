// Package graph describes a job as a graph of steps: the resources that each task needs, where it may run and which steps it
// depends on.
package graph

import (
	"fmt"
	"time"
)

// JobID identifies a job. The caller chooses it, so that a job sent again is the same job.
type JobID string

// TaskID identifies one task of a job.
type TaskID struct {
	Job JobID
	// Occurrence numbers the occurrences of a scheduled job from 0; it is 0 for a job without a schedule.
	Occurrence int
	Step       int
	Index      int
}

// String returns the task's name for logs.
func (t TaskID) String() string {
	return fmt.Sprintf("%s/%d/%d/%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// Resources is an amount of each resource of a worker: what a task claims, or what a worker has.
type Resources struct {
	MilliCPU     int64 `json:"cpu,omitempty"`
	MemoryMB     int64 `json:"mem,omitempty"`
	Accelerators int64 `json:"acc,omitempty"`
}

// Fits reports whether r fits into free.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// Add returns r with other added.
func (r Resources) Add(other Resources) Resources {
	return Resources{r.MilliCPU + other.MilliCPU, r.MemoryMB + other.MemoryMB, r.Accelerators + other.Accelerators}
}

// Sub returns r with other subtracted.
func (r Resources) Sub(other Resources) Resources {
	return Resources{r.MilliCPU - other.MilliCPU, r.MemoryMB - other.MemoryMB, r.Accelerators - other.Accelerators}
}

// AtLeastZero returns r with 0 in place of negative amounts.
func (r Resources) AtLeastZero() Resources {
	return Resources{max(0, r.MilliCPU), max(0, r.MemoryMB), max(0, r.Accelerators)}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int) Resources {
	k := int64(n)
	return Resources{r.MilliCPU * k, r.MemoryMB * k, r.Accelerators * k}
}

// CheckRange returns an error unless each resource is from 0 to MaxClaim, so that sums over all workers don't overflow.
func (r Resources) CheckRange() error {
	for _, amount := range []int64{r.MilliCPU, r.MemoryMB, r.Accelerators} {
		if amount < 0 || amount > MaxClaim {
			return fmt.Errorf("%d of one resource, want 0 to %d", amount, int64(MaxClaim))
		}
	}
	return nil
}

// Scale returns r times a factor, rounded down.
func (r Resources) Scale(factor float64) Resources {
	scale := func(n int64) int64 { return int64(float64(n) * factor) }
	return Resources{scale(r.MilliCPU), scale(r.MemoryMB), scale(r.Accelerators)}
}

// Step is a set of equal tasks.
type Step struct {
	// Count is the number of tasks.
	Count int `json:"n"`
	// Claim is what each task needs.
	Claim Resources `json:"claim"`
	// Estimate is the estimated run time of a task.
	Estimate time.Duration `json:"est,omitempty"`
	// After lists the earlier steps whose tasks must all be done before tasks of this one start.
	After []int `json:"after,omitempty"`
	// Checkpoints means that a task saves its progress and can resume from it on another worker.
	Checkpoints bool `json:"ckpt,omitempty"`
	// Gang means that the tasks work only while all of them run, and end together.
	Gang bool `json:"gang,omitempty"`
	// SameRack means that the tasks are slower when they run on more than one rack.
	SameRack bool `json:"same_rack,omitempty"`
	// Label must be one of the worker's labels; empty allows any worker.
	Label string `json:"label,omitempty"`
	// DataRack is the rack on which the tasks run at full speed; empty if the rack makes no difference.
	DataRack string `json:"data_rack,omitempty"`
	// MaxPerWorker bounds the step's tasks of one occurrence on one worker; 0 means no bound.
	MaxPerWorker int `json:"max_worker,omitempty"`
	// Speculative means that copies of a task may run in parallel; the first to finish counts.
	Speculative bool `json:"spec,omitempty"`
	// LongRunning means that the tasks run until the job is cancelled and are restarted however they end.
	LongRunning bool `json:"long,omitempty"`
	// Image names the software that the tasks run; tasks with the same image behave alike.
	Image string `json:"image,omitempty"`
	// TailTarget is the tail latency target that a long-running task has towards its own users; 0 for none.
	TailTarget time.Duration `json:"tail,omitempty"`
	// Filler means that the tasks are allocated no CPU and use what CPU time other tasks leave.
	Filler bool `json:"fill,omitempty"`
	// MaxUnavailable bounds the long-running tasks that the scheduler itself may take down at the same time.
	MaxUnavailable int `json:"max_away,omitempty"`
}

// Allocation returns the resources that a task of the step takes on its worker.
func (s *Step) Allocation() Resources {
	held := s.Claim
	if s.Filler {
		held.MilliCPU = 0
	}
	return held
}

// Spec is a job as its caller submits it.
type Spec struct {
	// Payload is passed to every task.
	Payload string `json:"payload"`
	Steps   []Step `json:"steps"`
	// Occurrences is how often a scheduled job runs its steps; 0 for a job without a schedule, which runs them once at once.
	Occurrences int `json:"times,omitempty"`
	// StartAt is the time of day at which the first occurrence is due, since the Unix epoch.
	StartAt time.Duration `json:"start_at,omitempty"`
	// Interval is the time between two occurrences.
	Interval time.Duration `json:"every,omitempty"`
}

// OccurrenceCount returns how many occurrences the job has; a job without a schedule has 1.
func (s *Spec) OccurrenceCount() int { return max(1, s.Occurrences) }

// DueAt returns the time of day at which occurrence k is due, since the Unix epoch; 0 for a job without a schedule.
func (s *Spec) DueAt(k int) time.Duration {
	if s.Occurrences == 0 {
		return 0
	}
	return s.StartAt + time.Duration(k)*s.Interval
}

// CriticalPaths returns, for each step, the longest chain of estimated run times from the step's start to the job's end. extra
// is added to the estimate of each step.
func (s *Spec) CriticalPaths(extra time.Duration) []time.Duration {
	paths := make([]time.Duration, len(s.Steps))
	for i := len(s.Steps) - 1; i >= 0; i-- {
		paths[i] += s.Steps[i].Estimate + extra
		for _, dependency := range s.Steps[i].After {
			paths[dependency] = max(paths[dependency], paths[i])
		}
	}
	return paths
}

// Bounds of jobs that are accepted.
const (
	// MaxPayloadBytes bounds the payload.
	MaxPayloadBytes = 4000
	// MaxSteps bounds the steps of a job, so that a job's record fits a table row.
	MaxSteps = 64
	// MaxTasks bounds the tasks of one occurrence.
	MaxTasks = 10000
	// MaxOccurrences bounds the occurrences of a schedule.
	MaxOccurrences = 1000
	// MaxClaim bounds each resource of a claim, so that sums never overflow.
	MaxClaim = 1 << 40
)

// Validate returns the first reason why the job can't be accepted, or nil.
func (s *Spec) Validate() error {
	if len(s.Payload) > MaxPayloadBytes {
		return fmt.Errorf("payload of %d bytes, want at most %d", len(s.Payload), MaxPayloadBytes)
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return fmt.Errorf("%d steps, want 1 to %d", len(s.Steps), MaxSteps)
	}
	if s.Occurrences < 0 || s.Occurrences > MaxOccurrences || s.Interval < 0 || s.StartAt < 0 {
		return fmt.Errorf("schedule out of range: %d occurrences (want 0 to %d), start at %s, interval %s (neither may be negative)", s.Occurrences, MaxOccurrences, s.StartAt, s.Interval)
	}
	tasks := 0
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		tasks += s.Steps[i].Count
	}
	if tasks > MaxTasks {
		return fmt.Errorf("%d tasks in all steps, want at most %d", tasks, MaxTasks)
	}
	return nil
}

func (s *Step) validate(index int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return fmt.Errorf("%d tasks, want 1 to %d", s.Count, MaxTasks)
	}
	if err := s.Claim.CheckRange(); err != nil {
		return fmt.Errorf("claim: %w", err)
	}
	if s.Estimate < 0 || s.TailTarget < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 {
		return fmt.Errorf("negative value: estimate %s, tail target %s, %d tasks per worker, %d unavailable", s.Estimate, s.TailTarget, s.MaxPerWorker, s.MaxUnavailable)
	}
	for _, dependency := range s.After {
		if dependency < 0 || dependency >= index {
			return fmt.Errorf("depends on step %d, which is not an earlier step", dependency)
		}
	}
	return nil
}

// PermitLatency is how long the policy service takes to answer a permit request: Base, plus PerWorker for each worker in the
// request.
type PermitLatency struct {
	Base      time.Duration `json:"base"`
	PerWorker time.Duration `json:"each"`
}

// For returns the time of an answer about n workers.
func (l PermitLatency) For(n int) time.Duration { return l.Base + time.Duration(n)*l.PerWorker }

// Queue is a queue's policy in the configuration in force.
type Queue struct {
	Name string `json:"name"`
	// Pool names the pool of workers that run the queue's tasks.
	Pool string `json:"pool"`
	// Priority orders queues; 0 is the most urgent.
	Priority int `json:"prio"`
	// MaxAttempts bounds the failed runs of a task.
	MaxAttempts int `json:"attempts"`
	// Stretch times the job's critical path, plus Target, is the time in which a job should complete.
	Stretch float64       `json:"stretch"`
	Target  time.Duration `json:"target"`
	// Permit is set if the policy service must allow each worker for each step.
	Permit *PermitLatency `json:"permit,omitempty"`
}

// Bounds of queues and organisations, so that times and shares that are computed from them don't overflow.
const (
	MaxPriority = 1 << 20
	MaxAttempts = 1 << 20
	MaxStretch  = 1e6
	MaxTarget   = 30 * 24 * time.Hour
	// MaxPermitLatency bounds each part of the policy service's latency.
	MaxPermitLatency = time.Hour
	MaxWeight        = 1e9
)

// CheckRange returns the first number of the policy that is out of range as an error, or nil.
func (q *Queue) CheckRange() error {
	if q.Priority < -MaxPriority || q.Priority > MaxPriority || q.MaxAttempts > MaxAttempts {
		return fmt.Errorf("priority %d or %d attempts out of range", q.Priority, q.MaxAttempts)
	}
	if !(q.Stretch >= 0 && q.Stretch <= MaxStretch) || q.Target < 0 || q.Target > MaxTarget {
		return fmt.Errorf("stretch %g, want 0 to %g, or target %s, want 0 to %s", q.Stretch, MaxStretch, q.Target, MaxTarget)
	}
	if l := q.Permit; l != nil && (min(l.Base, l.PerWorker) < 0 || max(l.Base, l.PerWorker) > MaxPermitLatency) {
		return fmt.Errorf("latency of the policy service %s and %s for each worker, want 0 to %s", l.Base, l.PerWorker, MaxPermitLatency)
	}
	return nil
}

// Organisation is an organisation's policy in the configuration in force.
type Organisation struct {
	Name string
	// Weight is the organisation's share when capacity is short, in proportion to the others' weights. It is also the rate of
	// jobs, in jobs per second, up to which it is entitled to that share.
	Weight float64
	// Limit bounds the claims of its runs on all workers together. A resource of 0 is not bounded.
	Limit Resources
}

// CheckRange returns the first number of the policy that is out of range as an error, or nil.
func (o *Organisation) CheckRange() error {
	if !(o.Weight >= 0 && o.Weight <= MaxWeight) {
		return fmt.Errorf("weight %g, want 0 to %g", o.Weight, float64(MaxWeight))
	}
	if err := o.Limit.CheckRange(); err != nil {
		return fmt.Errorf("limit: %w", err)
	}
	return nil
}

// objectiveWorkers is the number of workers in a permit request that objectives count with, as the users define it.
const objectiveWorkers = 30

// ExpectedPermitLatency returns the time that objectives count for a step's permits; 0 if the queue needs none.
func (q *Queue) ExpectedPermitLatency() time.Duration {
	if q.Permit == nil {
		return 0
	}
	return q.Permit.For(objectiveWorkers)
}

// Objective returns the time from arrival in which the job should complete.
func (q *Queue) Objective(s *Spec) time.Duration {
	var longest time.Duration
	for _, path := range s.CriticalPaths(q.ExpectedPermitLatency()) {
		longest = max(longest, path)
	}
	return time.Duration(q.Stretch*float64(longest)) + q.Target
}

// JobState is a job's state as callers see it.
type JobState string

// The states of a job.
const (
	Queued    JobState = "queued"
	Running   JobState = "running"
	Completed JobState = "completed"
	Failed    JobState = "failed"
	Cancelled JobState = "cancelled"
)

// Ended reports whether the state is final: the job runs nothing any more.
func (s JobState) Ended() bool { return s == Completed || s == Failed || s == Cancelled }
