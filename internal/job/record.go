// Package job keeps submitted jobs durable in the table and runs them.
//
// A job is split into parts when it is submitted: each part is a range of the job's task indices that one shard's owner
// runs alone. The split is part of the durable record, so that two owners never run the same task.
//
// Table rows:
//
//	job/<id>                       Record: what was submitted, how it is split, and the counts of closed parts
//	jobpart/<shard>/<id>           Progress of an open part, written by the shard's owner at intervals
//	jobdone/<shard>/<hour>/<id>    index of closed parts by the hour of closing, for removal after the retention time
package job

import (
	"fmt"
	"strconv"
	"strings"

	"laburnumpoint/internal/cell"
)

// Spec is a job as its caller submits it.
type Spec struct {
	ID   cell.JobID `json:"id"`
	Kind cell.Kind  `json:"kind"`
	// Count is the number of tasks, or of replicas for a service.
	Count int `json:"count"`
	// Template is repeated by every task; its ID, Job and GangSize are ignored.
	Template cell.Task `json:"template"`
}

// Part is the range [From, To) of task indices that runs in Shard.
type Part struct {
	Shard cell.ShardID `json:"shard"`
	From  int          `json:"from"`
	To    int          `json:"to"`
}

// Record is the durable form of a job.
type Record struct {
	Spec      Spec   `json:"spec"`
	Parts     []Part `json:"parts"`
	Cancelled bool   `json:"cancelled,omitempty"`
	// Closed holds the final counts of each part of which nothing runs or will run.
	Closed map[cell.ShardID]ResultCounts `json:"closed,omitempty"`
}

// Ended reports whether every part is closed.
func (r Record) Ended() bool {
	return len(r.Closed) == len(r.Parts)
}

// Task returns the task with index i.
func (r Record) Task(i int) cell.Task {
	t := r.Spec.Template
	t.ID = TaskID(r.Spec.ID, i)
	t.Job = r.Spec.ID
	t.Kind = r.Spec.Kind
	t.GangSize = 0
	if r.Spec.Kind == cell.KindGang {
		t.GangSize = r.Spec.Count
	}
	return t
}

// PartOf returns the part that runs task i.
func (r Record) PartOf(i int) (Part, bool) {
	for _, p := range r.Parts {
		if i >= p.From && i < p.To {
			return p, true
		}
	}
	return Part{}, false
}

// TaskID returns the id of a job's task with index i.
func TaskID(id cell.JobID, i int) cell.TaskID {
	return cell.TaskID(fmt.Sprintf("%s/%d", id, i))
}

// ParseTaskID returns the job and index in a task's id, or false if the task is not a job's.
func ParseTaskID(id cell.TaskID) (cell.JobID, int, bool) {
	cut := strings.LastIndexByte(string(id), '/')
	if cut < 0 {
		return "", 0, false
	}
	i, err := strconv.Atoi(string(id[cut+1:]))
	if err != nil || i < 0 {
		return "", 0, false
	}
	return cell.JobID(id[:cut]), i, true
}

// ResultCounts is the number of a job's tasks that ended, by result.
type ResultCounts struct {
	Succeeded int `json:"succeeded"`
	Failed    int `json:"failed"`
	// InDoubt counts non-idempotent tasks that may have run.
	InDoubt int `json:"in_doubt,omitempty"`
}

// Done returns the number of tasks that ended.
func (c ResultCounts) Done() int {
	return c.Succeeded + c.Failed + c.InDoubt
}

// Progress is the durable state of one part.
type Progress struct {
	Counts ResultCounts `json:"counts"`
	// Done has a bit for each task of the part that has ended, the lowest index first.
	Done bitmap `json:"done,omitempty"`
}
