package dispatch

import (
	"fmt"
	"time"

	"laburnumpoint/internal/graph"
)

// Explain describes why a job is in its state: a line for the job, and a line for each step that is not done with what its tasks
// wait for. wall is the time of day since the Unix epoch. It returns nil for a job that the engine doesn't know.
func (e *Engine) Explain(id graph.JobID, wall time.Duration) []string {
	j := e.jobs[id]
	if j == nil {
		return nil
	}
	lines := []string{fmt.Sprintf("%s, arrived %s ago, objective %s", j.state, roundToMS(e.now.Sub(j.arrivedAt)), roundToMS(j.objective)) + e.explainOrganisation(j)}
	if j.state.Ended() {
		if j.failure != "" {
			lines = append(lines, j.failure)
		}
		return lines
	}
	for _, o := range j.openOccurrences() {
		for _, s := range o.steps {
			if s.openTasks > 0 {
				lines = append(lines, e.explainStep(s, wall))
			}
		}
	}
	if line := j.explainCalendar(wall); line != "" {
		lines = append(lines, line)
	}
	return lines
}

// explainCalendar describes what the occurrences wait for that are not due yet; empty if there are none.
func (j *job) explainCalendar(wall time.Duration) string {
	left := j.spec.Occurrences - j.nextDue
	switch late := wall - j.nextDueAt(); {
	case left <= 0:
		return ""
	case late < 0:
		return fmt.Sprintf("%d of %d occurrences not due, the next one in %s", left, j.spec.Occurrences, roundToMS(-late))
	default:
		return fmt.Sprintf("%d of %d occurrences left, the next one waits for earlier ones", left, j.spec.Occurrences)
	}
}

func roundToMS(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

func (e *Engine) explainStep(s *step, wall time.Duration) string {
	line := fmt.Sprintf("step %d of occurrence %d: %d of %d tasks done, %d placed", s.index, s.occurrence, len(s.tasks)-s.openTasks, len(s.tasks), s.placedTasks)
	if s.suspects > 0 {
		line += fmt.Sprintf(", %d may have crashed their worker", s.suspects)
	}
	if n := s.countAwaitingRecord(); n > 0 {
		line += fmt.Sprintf(", %d wait until the crash of a worker is recorded", n)
	}
	if s.unplacedCount() == 0 {
		return line
	}
	if waits, all := e.explainWaits(s); all {
		return line + ", " + waits
	} else if waits != "" {
		line += ", " + waits
	}
	return line + ", " + e.waitReason(s, wall)
}

// waitReason describes what the unplaced tasks of a step wait for.
func (e *Engine) waitReason(s *step, wall time.Duration) string {
	p := e.pools[s.job.queue.Pool]
	switch {
	case s.unfinishedDependencies > 0:
		return fmt.Sprintf("waiting for %d earlier steps", s.unfinishedDependencies)
	case !s.active:
		return fmt.Sprintf("due in %s", roundToMS(s.job.spec.DueAt(s.occurrence)-wall))
	case s.job.unconfirmed && e.awaitsReports(s.job):
		return "waiting for the reports of workers that an earlier owner used"
	case p == nil || len(p.workers) == 0:
		return fmt.Sprintf("pool %s has no workers that take new runs", s.job.queue.Pool)
	case e.organisationsPending && s.job.organisation != nil:
		return "waiting for the configuration, which holds the organisation's limit"
	}
	if reason := e.explainLimit(s); reason != "" {
		return reason
	}
	if s.pendingPermitRequests > 0 {
		return "waiting for the policy service"
	}
	return e.explainCapacity(s, p) + e.explainOrder(s.job)
}

// explainCapacity describes how many of the pool's workers remain after each requirement of the step.
func (e *Engine) explainCapacity(s *step, p *pool) string {
	counts := s.runsPerWorker()
	labelled, permitted, withCapacity := 0, 0, 0
	for _, w := range p.workers {
		if !s.eligible(w) {
			continue
		}
		labelled++
		if !s.hasPermit(w, e.now) {
			continue
		}
		permitted++
		if e.hasCapacity(s, w, graph.Resources{}, counts) {
			withCapacity++
		}
	}
	noun := "tasks"
	if s.def.Gang {
		noun = "tasks of a gang"
	}
	return fmt.Sprintf("%d %s waiting for capacity: of %d workers in the pool %d match the label, %d of these have a permit, %d of these have capacity for one task",
		s.unplacedCount(), noun, len(p.workers), labelled, permitted, withCapacity)
}
