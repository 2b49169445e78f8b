package shard

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/config"
	"laburnumpoint/internal/platformapi"
)

// instantRunner is a runner whose tasks end at once.
type instantRunner struct{}

func (instantRunner) Claim(_ context.Context, w cell.Worker, c platformapi.WorkerClaim) (platformapi.WorkerReport, error) {
	return platformapi.WorkerReport{Worker: w.ID, Epoch: c.Epoch, BootID: "b", Claimed: c.BootID == "b"}, nil
}

func (instantRunner) Start(context.Context, cell.Worker, string, cell.Attempt, cell.Task, time.Duration) platformapi.StartReply {
	return platformapi.StartReply{Result: platformapi.StartFinished}
}

func (instantRunner) Await(context.Context, cell.Worker, cell.Attempt) platformapi.StartReply {
	return platformapi.StartReply{Result: platformapi.StartRefused}
}

func (instantRunner) Stop(context.Context, cell.Worker, cell.Attempt, cell.Epoch, platformapi.StopMode) (cell.Lease, error) {
	return cell.Lease{}, platformapi.ErrUnreachable
}

// BenchmarkRequest measures one request from submission to outcome, without network calls, on a shard of 180 workers.
func BenchmarkRequest(b *testing.B) {
	doc := config.Versioned{Version: 1, Document: config.Default()}
	o := Start(Params{
		Shard: "s", Epoch: 1, Runner: instantRunner{},
		ConfirmOwnership: func(context.Context) error { return nil },
		Config:           func() (config.Versioned, bool) { return doc, true },
	})
	var workers []cell.Worker
	for i := range 180 {
		workers = append(workers, cell.Worker{
			ID: cell.WorkerID(fmt.Sprint("w", i)), Rack: fmt.Sprint("r", i/4), State: cell.WorkerLive,
			Capacity: cell.Resources{MilliCPU: 64_000, MemoryMiB: 128 << 10, Slots: 8},
		})
	}
	o.SetWorkers(workers)
	for claimed := 0; claimed < len(workers); {
		_, claimed, _, _ = o.Status()
	}
	const inFlight = 64
	tokens := make(chan struct{}, inFlight)
	var wg sync.WaitGroup
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		tokens <- struct{}{}
		wg.Add(1)
		o.Submit(request(fmt.Sprint(i)), func(out cell.Outcome) {
			<-tokens
			wg.Done()
		})
	}
	wg.Wait()
	b.StopTimer()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	o.Release(ctx)
}
