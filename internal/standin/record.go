package standin

import (
	"time"

	"laburnumpoint/internal/history"
)

func (r *runner) recordLease(kind history.EntryKind, l *lease, at time.Time, cause history.EndCause) {
	r.recorder.Add(history.Entry{At: at, Kind: kind, Lease: &history.Lease{
		Worker:     r.worker.ID,
		BootID:     r.bootID,
		Attempt:    l.attempt,
		Claim:      l.task.Claim,
		Kind:       l.task.Kind,
		Team:       l.task.Team,
		Idempotent: l.task.Idempotent,
		Echo:       l.payload.Echo,
		Cause:      cause,
	}})
}

func (r *runner) recordWorker(change history.WorkerChange) {
	r.recorder.Add(history.Entry{Kind: history.KindWorker, Worker: &history.WorkerEvent{
		ID:       r.worker.ID,
		Change:   change,
		Capacity: r.worker.Capacity,
	}})
}
