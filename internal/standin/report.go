package standin

import (
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platformapi"
)

// ClaimReport is a worker's answer to a claim, with only the leases that changed after a revision.
type ClaimReport struct {
	// Report is the worker's report without its leases.
	Report  platformapi.WorkerReport
	Changed []ReportedLease
	// Revision is the number of lease changes since the runner booted.
	Revision uint64
	// Full means that Changed holds every lease: the claim asked for all of them, or a lease that changed after the
	// requested revision was forgotten.
	Full bool
	// Retention is how long the runner keeps ended leases.
	Retention time.Duration
}

// ReportedLease is a lease in a ClaimReport.
type ReportedLease struct {
	cell.Lease
	// EndedAgo is the time since the lease's end; 0 while it runs.
	EndedAgo time.Duration
}

// report returns the runner's report. The usage in it is the one at the time of the previous report.
func (r *runner) report(now time.Time, since uint64) ClaimReport {
	report := ClaimReport{
		Report: platformapi.WorkerReport{
			Worker:  r.worker.ID,
			BootID:  r.bootID,
			Epoch:   r.epoch,
			Claimed: true,
			Leaving: r.leaving,
			Usage:   platformapi.Usage{Worker: r.worker.ID, Used: r.lastUsed},
		},
		Revision:  r.revision,
		Full:      since == 0 || since < r.forgottenRevision,
		Retention: r.retention,
	}
	r.lastUsed = cell.Resources{}
	for _, l := range r.leases {
		if l.phase == cell.LeaseRunning {
			r.lastUsed = r.lastUsed.Add(l.task.Claim)
		}
		if report.Full || l.revision > since {
			report.Changed = append(report.Changed, r.reportLease(l, now))
		}
	}
	return report
}

func (r *runner) reportLease(l *lease, now time.Time) ReportedLease {
	reported := ReportedLease{Lease: r.leaseState(l, now)}
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

func (r *runner) leaseState(l *lease, now time.Time) cell.Lease {
	until := now
	if l.phase != cell.LeaseRunning {
		until = l.ended
	}
	return cell.Lease{Attempt: l.attempt, Worker: r.worker.ID, Phase: l.phase, Task: l.task, Elapsed: until.Sub(l.started)}
}
