// Package job stores submitted jobs in the table and runs their tasks.
//
// A job is split into parts when it is submitted. Each part is a range of task indices that only one shard's owner
// runs. The split is stored in the job's record, so that two owners never run the same task.
//
// Table rows:
//
//	job/<id>                       Record: what was submitted, how it is split, and the counts of closed parts
//	jobpart/<shard>/<id>           Progress of an open part, written by the shard's owner at intervals
//	jobdone/<shard>/<hour>/<id>    index of closed parts by the hour of closing, for removal after endedJobRetention
package job

import (
	"fmt"
	"strconv"
	"strings"

	"laburnumpoint/internal/cell"
)

// Spec is a job as the caller submits it.
type Spec struct {
	ID   cell.JobID    `json:"id"`
	Kind cell.TaskKind `json:"kind"`
	// Count is the number of tasks, or of replicas for a service.
	Count int `json:"count"`
	// Template is the task that each task of the job copies. Its ID, Job, Kind and GangSize are ignored.
	Template cell.Task `json:"template"`
}

// Part is the range [From, To) of a job's task indices that runs in Shard.
type Part struct {
	Shard cell.ShardID `json:"shard"`
	From  int          `json:"from"`
	To    int          `json:"to"`
}

// Record is a job as stored in the table.
type Record struct {
	Spec      Spec   `json:"spec"`
	Parts     []Part `json:"parts"`
	Cancelled bool   `json:"cancelled,omitempty"`
	// Closed holds the final counts of each closed part: one of which no task runs or will run.
	Closed map[cell.ShardID]ResultCounts `json:"closed,omitempty"`
}

// Ended reports whether every part is closed.
func (r Record) Ended() bool {
	return len(r.Closed) == len(r.Parts)
}

// Task returns the job's task with index i.
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

// PartOf returns the part that contains task index i, or false if there is none.
func (r Record) PartOf(i int) (Part, bool) {
	for _, p := range r.Parts {
		if i >= p.From && i < p.To {
			return p, true
		}
	}
	return Part{}, false
}

// TaskID returns the id of the task with index i of a job.
func TaskID(id cell.JobID, i int) cell.TaskID {
	return cell.TaskID(fmt.Sprintf("%s/%d", id, i))
}

// ParseTaskID returns the job and the index in a task's id, or false if the id is not that of a job's task.
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

// ResultCounts holds the number of tasks that have ended, by result.
type ResultCounts struct {
	Succeeded int `json:"succeeded"`
	Failed    int `json:"failed"`
	// InDoubt counts non-idempotent tasks that may have run.
	InDoubt int `json:"in_doubt,omitempty"`
}

// Done returns the number of tasks that have ended.
func (c ResultCounts) Done() int {
	return c.Succeeded + c.Failed + c.InDoubt
}

// Progress is the state of an open part as stored in the table.
type Progress struct {
	Counts ResultCounts `json:"counts"`
	// Done has the bit i set if the part's task i, counted from the part's first, has ended.
	Done bitmap `json:"done,omitempty"`
	// LostAttempts counts, by the part's task, the attempts that ended with their workers.
	LostAttempts map[int]int `json:"lost,omitempty"`
}
