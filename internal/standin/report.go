package standin

import (
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platform"
)

// ClaimReport is a worker's report with only the leases that changed after a revision.
type ClaimReport struct {
	// Report is the report without leases.
	Report  platform.WorkerReport
	Changed []ReportedLease
	// Revision is the number of changes of leases since the runner's boot.
	Revision uint64
	// Full means that Changed holds every lease, since one that changed after the revision asked for was forgotten.
	Full bool
	// Retention is how long ended leases are kept.
	Retention time.Duration
}

// ReportedLease is a lease in a ClaimReport.
type ReportedLease struct {
	cell.Lease
	// EndedAgo is the time since the lease's end; 0 while it runs.
	EndedAgo time.Duration
}

// report describes the runner. What its tasks use is reported as of the report before.
func (r *runner) report(now time.Time, since uint64) ClaimReport {
	report := ClaimReport{
		Report: platform.WorkerReport{
			Worker:  r.worker.ID,
			BootID:  r.bootID,
			Epoch:   r.epoch,
			Claimed: true,
			Leaving: r.leaving,
			Usage:   platform.Usage{Worker: r.worker.ID, Used: r.used},
		},
		Revision:  r.revision,
		Full:      since == 0 || since < r.forgotten,
		Retention: r.retention,
	}
	r.used = cell.Resources{}
	for _, l := range r.leases {
		if l.phase == cell.LeaseRunning {
			r.used = r.used.Add(l.task.Claim)
		}
		if report.Full || l.revision > since {
			report.Changed = append(report.Changed, r.describeChange(l, now))
		}
	}
	return report
}

func (r *runner) describeChange(l *lease, now time.Time) ReportedLease {
	reported := ReportedLease{Lease: r.describe(l, now)}
	if l.phase != cell.LeaseRunning {
		reported.EndedAgo = now.Sub(l.ended)
	}
	return reported
}

func (r *runner) runningLeases() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	running := 0
	for _, l := range r.leases {
		if l.phase == cell.LeaseRunning {
			running++
		}
	}
	return running
}

func (r *runner) describe(l *lease, now time.Time) cell.Lease {
	until := now
	if l.phase != cell.LeaseRunning {
		until = l.ended
	}
	return cell.Lease{Attempt: l.attempt, Worker: r.worker.ID, Phase: l.phase, Task: l.task, Elapsed: until.Sub(l.started)}
}
