// Package graphapi is the HTTP interface of graph jobs for callers: the JSON of jobs, the handler that daemons serve and a
// client.
//
//	PUT    /v1/queues/{queue}/jobs/{id}      submit a job; it is durable once this is answered with 200
//	GET    /v1/queues/{queue}/jobs/{id}      its state
//	GET    /v1/queues/{queue}/jobs/{id}/why  its state, and why it is there
//	DELETE /v1/queues/{queue}/jobs/{id}      cancel it
//	GET    /v1/queues/{queue}                how many jobs have begun nothing yet
package graphapi

import (
	"time"

	"laburnumpoint/internal/graph"
)

// HeaderTimeout is a Go duration: how long the caller waits for the answer.
const HeaderTimeout = "Laburnumpoint-Timeout"

// Job is a job as callers send it.
type Job struct {
	// Payload is handed to every task.
	Payload string `json:"payload"`
	Steps   []Step `json:"steps"`
	// Occurrences is how often the steps run on a schedule, the first at StartAt, then at each Interval; 0 for once, at once.
	Occurrences int       `json:"occurrences,omitempty"`
	StartAt     time.Time `json:"start_at,omitzero"`
	IntervalMS  int64     `json:"interval_ms,omitempty"`
}

// Step is a set of equal tasks; the fields are those of graph.Step.
type Step struct {
	Count          int    `json:"count"`
	MilliCPU       int64  `json:"milli_cpu,omitempty"`
	MemoryMB       int64  `json:"memory_mb,omitempty"`
	Accelerators   int64  `json:"accelerators,omitempty"`
	EstimateMS     int64  `json:"estimate_ms,omitempty"`
	After          []int  `json:"after,omitempty"`
	Checkpoints    bool   `json:"checkpoints,omitempty"`
	Gang           bool   `json:"gang,omitempty"`
	SameRack       bool   `json:"same_rack,omitempty"`
	Label          string `json:"label,omitempty"`
	DataRack       string `json:"data_rack,omitempty"`
	MaxPerWorker   int    `json:"max_per_worker,omitempty"`
	Speculative    bool   `json:"speculative,omitempty"`
	LongRunning    bool   `json:"long_running,omitempty"`
	Image          string `json:"image,omitempty"`
	TailTargetMS   int64  `json:"tail_target_ms,omitempty"`
	Filler         bool   `json:"filler,omitempty"`
	MaxUnavailable int    `json:"max_unavailable,omitempty"`
}

// Spec returns the job as the cell has it.
func (j *Job) Spec() *graph.Spec {
	spec := &graph.Spec{Payload: j.Payload, Occurrences: j.Occurrences, Interval: milliseconds(j.IntervalMS)}
	if !j.StartAt.IsZero() {
		spec.StartAt = time.Duration(j.StartAt.UnixNano())
	}
	for _, s := range j.Steps {
		spec.Steps = append(spec.Steps, s.step())
	}
	return spec
}

func (s *Step) step() graph.Step {
	return graph.Step{
		Count:          s.Count,
		Claim:          graph.Resources{MilliCPU: s.MilliCPU, MemoryMB: s.MemoryMB, Accelerators: s.Accelerators},
		Estimate:       milliseconds(s.EstimateMS),
		After:          s.After,
		Checkpoints:    s.Checkpoints,
		Gang:           s.Gang,
		SameRack:       s.SameRack,
		Label:          s.Label,
		DataRack:       s.DataRack,
		MaxPerWorker:   s.MaxPerWorker,
		Speculative:    s.Speculative,
		LongRunning:    s.LongRunning,
		Image:          s.Image,
		TailTarget:     milliseconds(s.TailTargetMS),
		Filler:         s.Filler,
		MaxUnavailable: s.MaxUnavailable,
	}
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// Answer is what a caller is told.
type Answer struct {
	Queue string         `json:"queue"`
	ID    string         `json:"id,omitempty"`
	State graph.JobState `json:"state,omitempty"`
	// Pending counts the queue's jobs of which no task has started.
	Pending *int `json:"pending,omitempty"`
	// Reasons tell why the job is where it is.
	Reasons []string `json:"reasons,omitempty"`
	// Result is the reason code of a refusal, Error its text.
	Result string `json:"result,omitempty"`
	Error  string `json:"error,omitempty"`
}
