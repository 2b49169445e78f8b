package scheduler

import (
	"testing"
	"time"

	"laburnumpoint/internal/cell"
)

func TestTeamWithoutQuotaShareWaits(t *testing.T) {
	now := time.Unix(0, 0)
	claim := cell.Resources{MilliCPU: 1000, MemoryMiB: 10, Slots: 1}
	s := New(Policy{Teams: map[string]TeamPolicy{"t": {Weight: 1, Quota: cell.Resources{Slots: -1}}}})
	s.UpsertWorker(cell.Worker{ID: "w", State: cell.WorkerLive, Capacity: claim}, true)
	if ok, reason := s.Enqueue(now, QueueItem{Task: cell.Task{ID: "a", Team: "t", Class: cell.ClassNormal, Claim: claim}, Arrived: now}); !ok {
		t.Fatalf("refused: %s", reason)
	}
	if got := s.Schedule(now, 10); len(got) != 0 {
		t.Fatalf("decisions without a share: %+v", got)
	}
	if got := s.Teams()[0].QueuedClaims; got != claim {
		t.Errorf("queued claims %s, want %s", got, claim)
	}
	s.SetPolicy(Policy{Teams: map[string]TeamPolicy{"t": {Weight: 1, Quota: cell.Resources{Slots: 1}}}})
	if got := s.Schedule(now, 10); len(got) != 1 || got[0].Kind != Place {
		t.Errorf("decisions with a share = %+v, want one placement", got)
	}
	if got := s.Teams()[0].QueuedClaims; !got.IsZero() {
		t.Errorf("queued claims %s after the placement, want none", got)
	}
}
