package shard

import "laburnumpoint/internal/cell"

// RunningTaskCount returns how many tasks of a job have an attempt that runs or may run.
func (o *Owner) RunningTaskCount(id cell.JobID) int {
	return postAndWait(o, 0, func(reply func(int)) event { return countJob{job: id, reply: reply} })
}

// countJob asks how many tasks of a job run.
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
