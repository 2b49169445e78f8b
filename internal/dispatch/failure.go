package dispatch

import "laburnumpoint/internal/graph"

// FailureCause is the kind of evidence on which the engine ends a job as failed.
type FailureCause int

// The causes of failed jobs.
const (
	// FailedByAttempts means that workers reported as many failed runs of a task as its queue allows.
	FailedByAttempts FailureCause = iota
	// FailedByCrashes means that a task was given up since it crashes its workers.
	FailedByCrashes
	// FailedByRecord means that the store rejects the job's progress.
	FailedByRecord
)

var failureCauseNames = [...]string{"attempts", "crashes", "record"}

// String returns the name of the cause in logs and metrics.
func (c FailureCause) String() string { return failureCauseNames[c] }

// FailureCauses returns all causes.
func FailureCauses() []FailureCause {
	return []FailureCause{FailedByAttempts, FailedByCrashes, FailedByRecord}
}

// JobFailure is a job that the engine has ended as failed, for the log.
type JobFailure struct {
	Job   graph.JobID
	Cause FailureCause
	// Reason is for operators; Evidence is each end that counted.
	Reason   string
	Evidence []string
}

// failJob ends a job as failed. stopReason is that of the stops of its runs.
func (e *Engine) failJob(j *job, cause FailureCause, reason string, evidence []string, stopReason string) {
	j.failure, j.failedByCrashes = reason, cause == FailedByCrashes
	e.jobFailures = append(e.jobFailures, JobFailure{j.id, cause, reason, evidence})
	e.endJob(j, graph.Failed, stopReason)
}

// TakeJobFailures returns the jobs that were ended as failed since the last call.
func (e *Engine) TakeJobFailures() []JobFailure {
	failures := e.jobFailures
	e.jobFailures = nil
	return failures
}
