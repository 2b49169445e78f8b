package shard

import "laburnumpoint/internal/cell"

// RunningTaskCount returns the number of a job's tasks with an attempt that runs or may run.
func (o *Owner) RunningTaskCount(id cell.JobID) int {
	return postAndWait(o, 0, func(reply func(int)) event { return countJob{job: id, reply: reply} })
}

// countJob requests the number of a job's tasks that run.
type countJob struct {
	job   cell.JobID
	reply func(int)
}

func (ev countJob) apply(c *controlLoop) {
	n := 0
	for id := range c.jobs[ev.job] {
		if c.entries[id].phase == phaseRunning {
			n++
		}
	}
	ev.reply(n)
}
