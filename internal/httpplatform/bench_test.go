package httpplatform_test

import (
	"bytes"
	"fmt"
	"regexp"
	"strconv"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/httpplatform"
	"laburnumpoint/internal/platformapi"
	"laburnumpoint/internal/standin"
	"laburnumpoint/internal/standin/httpserver"
)

var byteCounter = regexp.MustCompile(`laburnumpoint_platform_bytes_total\{.*\} (\d+)`)

// bytesOnWire returns the number of bytes that the clients have sent and received so far.
func bytesOnWire(b *testing.B) float64 {
	var out bytes.Buffer
	metrics.WritePrometheus(&out, false)
	total := 0.0
	for _, m := range byteCounter.FindAllSubmatch(out.Bytes(), -1) {
		n, err := strconv.ParseFloat(string(m[1]), 64)
		if err != nil {
			b.Fatal(err)
		}
		total += n
	}
	return total
}

// benchFixture is a claimed worker that is called over HTTP, and its fleet, which is called directly.
type benchFixture struct {
	fleet    *standin.Fleet
	runners  *httpplatform.RunnerClient
	worker   cell.Worker
	bootID   string
	lastTask int // number of the last task
}

// newBenchFixture returns a worker with the given numbers of running and ended leases.
func newBenchFixture(b *testing.B, running, ended int) *benchFixture {
	b.Helper()
	host, err := httpserver.NewHost(standin.FleetOptions{Retention: time.Hour}, "127.0.0.1", []cell.Worker{{ID: "callsheet-1"}})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(host.Close)
	runners := httpplatform.NewRunnerClient(httpplatform.RunnerOptions{Member: "entry-1"})
	b.Cleanup(runners.Close)
	w := host.Workers()[0]
	unclaimed, err := runners.Claim(b.Context(), w, platformapi.WorkerClaim{Epoch: 1})
	if err != nil {
		b.Fatal(err)
	}
	f := &benchFixture{fleet: host.Fleet(), runners: runners, worker: w, bootID: unclaimed.BootID}
	f.claim(b)
	for range running {
		f.start(b, f.fleet, cell.KindService)
	}
	for range ended {
		f.start(b, f.fleet, cell.KindRequest)
	}
	f.claim(b)
	return f
}

func (f *benchFixture) claim(b *testing.B) {
	report, err := f.runners.Claim(b.Context(), f.worker, platformapi.WorkerClaim{Shard: "cardiff-0", Epoch: 1, BootID: f.bootID, TTL: time.Hour})
	if err != nil || !report.Claimed {
		b.Fatalf("claim: report %+v, error %v", report, err)
	}
}

func (f *benchFixture) start(b *testing.B, runner platformapi.RunnerClient, kind cell.TaskKind) {
	f.lastTask++
	id := cell.TaskID(fmt.Sprintf("task-%08d", f.lastTask))
	task := cell.Task{ID: id, Kind: kind, Team: "call-sheets", Class: cell.ClassNormal, Claim: cell.Resources{MilliCPU: 500, MemoryMiB: 512, Slots: 1}}
	if kind == cell.KindRequest {
		task.Payload = standin.Payload{RunMS: 1}.Encode()
	}
	reply := runner.Start(b.Context(), f.worker, f.bootID, cell.Attempt{Task: id, Epoch: 1, Number: 1}, task, time.Hour)
	if reply.Result != platformapi.StartFinished && reply.Result != platformapi.StartAccepted {
		b.Fatalf("start: reply %+v", reply)
	}
}

// BenchmarkClaim measures a heartbeat of one worker by the number of its running leases, of the leases that ended within
// the retention time, and of the requests that ended since the previous heartbeat. The time includes those requests'
// runs of 1 ms.
func BenchmarkClaim(b *testing.B) {
	for _, c := range []struct{ running, ended, since int }{{0, 0, 0}, {4, 0, 0}, {4, 24, 0}, {4, 240, 0}, {4, 24, 2}, {4, 24, 25}} {
		b.Run(fmt.Sprintf("running=%d/ended=%d/since=%d", c.running, c.ended, c.since), func(b *testing.B) {
			f := newBenchFixture(b, c.running, c.ended)
			before := bytesOnWire(b)
			for b.Loop() {
				for range c.since {
					f.start(b, f.fleet, cell.KindRequest)
				}
				f.claim(b)
			}
			b.ReportMetric((bytesOnWire(b)-before)/float64(b.N), "wire-B/op")
		})
	}
}

// BenchmarkStart measures a request with a run time of 1 ms.
func BenchmarkStart(b *testing.B) {
	f := newBenchFixture(b, 0, 0)
	before := bytesOnWire(b)
	for b.Loop() {
		f.start(b, f.runners, cell.KindRequest)
	}
	b.ReportMetric((bytesOnWire(b)-before)/float64(b.N), "wire-B/op")
}
