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
	"laburnumpoint/internal/platform"
	"laburnumpoint/internal/standin"
	"laburnumpoint/internal/standin/httpserver"
)

var byteCounter = regexp.MustCompile(`laburnumpoint_platform_bytes_total\{.*\} (\d+)`)

// bytesOnWire returns the bytes that the adapters have sent and received so far.
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

// benchSubject is a claimed worker, reached over HTTP, and its fleet, reached without.
type benchSubject struct {
	fleet   *standin.Fleet
	runners *httpplatform.RunnerClient
	worker  cell.Worker
	boot    string
	next    int // number of the next task
}

// newBenchSubject returns a worker with so many running and ended leases.
func newBenchSubject(b *testing.B, running, ended int) *benchSubject {
	b.Helper()
	host, err := httpserver.NewHost(standin.FleetOptions{Retention: time.Hour}, "127.0.0.1", []cell.Worker{{ID: "callsheet-1"}})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(host.Close)
	runners := httpplatform.NewRunnerClient(httpplatform.RunnerOptions{Member: "entry-1"})
	b.Cleanup(runners.Close)
	w := host.Workers()[0]
	asked, err := runners.Claim(b.Context(), w, platform.WorkerClaim{Epoch: 1})
	if err != nil {
		b.Fatal(err)
	}
	s := &benchSubject{fleet: host.Fleet(), runners: runners, worker: w, boot: asked.BootID}
	s.claim(b)
	for range running {
		s.start(b, s.fleet, cell.KindService)
	}
	for range ended {
		s.start(b, s.fleet, cell.KindRequest)
	}
	s.claim(b)
	return s
}

func (s *benchSubject) claim(b *testing.B) {
	report, err := s.runners.Claim(b.Context(), s.worker, platform.WorkerClaim{Shard: "cardiff-0", Epoch: 1, BootID: s.boot, TTL: time.Hour})
	if err != nil || !report.Claimed {
		b.Fatalf("claim: %+v, %v", report, err)
	}
}

func (s *benchSubject) start(b *testing.B, by platform.RunnerClient, kind cell.TaskKind) {
	s.next++
	id := cell.TaskID(fmt.Sprintf("task-%08d", s.next))
	task := cell.Task{ID: id, Kind: kind, Team: "call-sheets", Class: cell.ClassNormal, Claim: cell.Resources{MilliCPU: 500, MemoryMiB: 512, Slots: 1}}
	if kind == cell.KindRequest {
		task.Payload = standin.Payload{RunMS: 1}.Encode()
	}
	reply := by.Start(b.Context(), s.worker, s.boot, cell.Attempt{Task: id, Epoch: 1, Number: 1}, task, time.Hour)
	if reply.Result != platform.StartFinished && reply.Result != platform.StartAccepted {
		b.Fatalf("start: %+v", reply)
	}
}

// BenchmarkClaim measures a heartbeat of one worker with so many running leases, leases that ended within the retention
// time, and requests that ended since the heartbeat before. The time includes those requests' runs of 1 ms.
func BenchmarkClaim(b *testing.B) {
	for _, c := range []struct{ running, ended, since int }{{0, 0, 0}, {4, 0, 0}, {4, 24, 0}, {4, 240, 0}, {4, 24, 2}, {4, 24, 25}} {
		b.Run(fmt.Sprintf("running=%d/ended=%d/since=%d", c.running, c.ended, c.since), func(b *testing.B) {
			s := newBenchSubject(b, c.running, c.ended)
			before := bytesOnWire(b)
			for b.Loop() {
				for range c.since {
					s.start(b, s.fleet, cell.KindRequest)
				}
				s.claim(b)
			}
			b.ReportMetric((bytesOnWire(b)-before)/float64(b.N), "wire-B/op")
		})
	}
}

// BenchmarkStart measures a request of 1 ms run time.
func BenchmarkStart(b *testing.B) {
	s := newBenchSubject(b, 0, 0)
	before := bytesOnWire(b)
	for b.Loop() {
		s.start(b, s.runners, cell.KindRequest)
	}
	b.ReportMetric((bytesOnWire(b)-before)/float64(b.N), "wire-B/op")
}
