package shard

import (
	"testing"
	"time"

	"laburnumpoint/internal/cell"
)

// TestRequestRefusedForCapacityStaysRefused sends a request to a shard whose only worker is leaving, and again after a worker
// has joined. By then the first send may run in another shard.
func TestRequestRefusedForCapacityStaysRefused(t *testing.T) {
	runWithFakeClock(t, 2, time.Second, func(t *testing.T, r *fixture) {
		o := r.startOwner(1)
		time.Sleep(time.Second)
		list := r.workers
		leaving := list[0]
		leaving.State = cell.WorkerLeaving
		o.SetWorkers([]cell.Worker{leaving})
		key := request("k")
		key.MaybeResent = true
		if out := o.Run(t.Context(), key); out.Result != cell.ResultNotRun || out.Reason.Code != cell.ReasonFitsNowhere {
			t.Fatalf("outcome in a shard without a live worker: %s %s", out.Result, out.Reason)
		}
		o.SetWorkers([]cell.Worker{leaving, list[1]})
		time.Sleep(time.Second)
		if out := o.Run(t.Context(), request("other")); out.Result != cell.ResultCompleted {
			t.Fatalf("outcome once a worker has joined: %s %s", out.Result, out.Reason)
		}
		if out := o.Run(t.Context(), key); out.Result != cell.ResultNotRun || out.Reason.Code != cell.ReasonFitsNowhere {
			t.Errorf("request that was refused before: %s %s", out.Result, out.Reason)
		}
	})
}
