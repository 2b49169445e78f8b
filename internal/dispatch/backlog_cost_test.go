package dispatch

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"laburnumpoint/internal/graph"
)

// BenchmarkBacklog summarises 2,000 waiting steps of jobs of two queues in a pool of 350 workers.
func BenchmarkBacklog(b *testing.B) {
	e := New(1)
	rng := rand.New(rand.NewPCG(1, 1))
	e.SetNow(1)
	for i := range 350 {
		id := WorkerID(fmt.Sprintf("w%03d", i))
		e.PutWorker(Worker{ID: id, Pool: "p", Capacity: graph.Resources{MilliCPU: 64000, MemoryMB: 131072}})
		e.SetReachable(id, true)
	}
	for i := range 2000 {
		queue := graph.Queue{Name: fmt.Sprint("q", i%2), Pool: "p", Priority: i % 2, MaxAttempts: 2, Stretch: 4, Target: 300 * time.Millisecond}
		spec := &graph.Spec{Steps: []graph.Step{{Count: 10, Claim: graph.Resources{MilliCPU: 11000}, Estimate: time.Duration(rng.Int64N(int64(10 * time.Second)))}}}
		e.AddJob(JobInput{ID: graph.JobID(fmt.Sprint(i)), Queue: queue, Spec: spec, ArrivedAt: 1})
	}
	e.Plan(0)
	b.ReportAllocs()
	size := 0
	for b.Loop() {
		data, err := json.Marshal(e.Backlog())
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "bytes")
}
