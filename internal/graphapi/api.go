// Package graphapi is the HTTP interface of graph jobs for callers: the JSON of jobs, the handler that daemons serve and a
// client.
//
//	PUT    /v1/queues/{queue}/jobs/{id}      submit a job; an answer with status 200 means that it is durable
//	GET    /v1/queues/{queue}/jobs/{id}      get the job's state
//	GET    /v1/queues/{queue}/jobs/{id}/why  get the job's state and the reasons for it
//	DELETE /v1/queues/{queue}/jobs/{id}      cancel the job
//	POST   /v1/queues/{queue}/explain        ask where a job's tasks would go now, without submitting it
//	GET    /v1/queues/{queue}                get the number of jobs of which no task has started
package graphapi

import (
	"time"

	"laburnumpoint/internal/graph"
)

// HeaderTimeout names the header with the time that the caller waits for the answer, as a Go duration.
const HeaderTimeout = "Laburnumpoint-Timeout"

// HeaderKey names the header with the caller's key. Authorization with a bearer token does as well.
const HeaderKey = "Laburnumpoint-Key"

// Job is the JSON of a job as callers submit it.
type Job struct {
	// Payload is passed to every task.
	Payload string `json:"payload"`
	Steps   []Step `json:"steps"`
	// Occurrences is how often the steps run: first at StartAt, then once per IntervalMS. 0 means once and immediately.
	Occurrences int       `json:"occurrences,omitempty"`
	StartAt     time.Time `json:"start_at,omitzero"`
	IntervalMS  int64     `json:"interval_ms,omitempty"`
}

// Step is a set of identical tasks. The fields are those of graph.Step.
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

// Spec converts the job to the scheduler's type.
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

// Answer is the JSON of every answer to a caller.
type Answer struct {
	Queue string         `json:"queue"`
	ID    string         `json:"id,omitempty"`
	State graph.JobState `json:"state,omitempty"`
	// Pending counts the queue's jobs of which no task has started.
	Pending *int `json:"pending,omitempty"`
	// Reasons explain the job's current state.
	Reasons []string `json:"reasons,omitempty"`
	// Result is the code of a refusal or failure, Error its text.
	Result string `json:"result,omitempty"`
	Error  string `json:"error,omitempty"`
}
