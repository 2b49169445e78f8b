package owner

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
)

// A wait for room on a rack begins and ends: an operator must find a line for each, with the rack, the gain, the deadline and how it ended,
// and the counters must follow, each event once.
func TestWaitsForRacksAreLoggedAndCounted(t *testing.T) {
	var lines bytes.Buffer
	set := metrics.NewSet()
	d := &Daemon{Options: Options{Log: &log.Logger{Writer: &log.IOWriter{Writer: &lines}}, Metrics: set}}
	d.instruments = newInstruments(set, d)
	c := &controller{Daemon: d, engine: dispatch.New(1)}
	c.engine.SetRemoteFactor(2)
	now := monotime.Instant(time.Second)
	c.engine.SetNow(now)
	queue := graph.Queue{Name: "q", Pool: "p", MaxAttempts: 1, Stretch: 2, Target: time.Second}
	claim := graph.Resources{MilliCPU: 100}
	addWorker := func(id dispatch.WorkerID, rack string) {
		c.engine.PutWorker(dispatch.Worker{ID: id, Pool: "p", Rack: rack, Capacity: claim})
		c.engine.SetReachable(id, true)
	}
	addWorker("near", "r1")
	c.engine.AddJob(dispatch.JobInput{ID: "occupant", Queue: queue, Spec: &graph.Spec{Steps: []graph.Step{{Count: 1, Claim: claim, Estimate: 100 * time.Millisecond}}}, ArrivedAt: now})
	c.engine.Plan(0)
	addWorker("away", "r2")
	c.engine.AddJob(dispatch.JobInput{ID: "j", Queue: queue, Spec: &graph.Spec{Steps: []graph.Step{{Count: 1, Claim: claim, Estimate: time.Second, DataRack: "r1"}}}, ArrivedAt: now})
	c.engine.Plan(0)
	c.recordLocality()
	c.engine.SetNow(now.Add(2 * time.Second))
	c.engine.Plan(0)
	c.recordLocality()
	c.recordLocality()
	for _, want := range []string{`"rack":"r1","tasks":1,"gain":900,"deadline":1000,"message":"rack wait began"`, `"outcome":"deadline","kept":0,"waited":2000,"message":"rack wait ended"`} {
		if !strings.Contains(lines.String(), want) {
			t.Errorf("log %s lacks %s", lines.String(), want)
		}
	}
	var exposed bytes.Buffer
	set.WritePrometheus(&exposed)
	for outcome, want := range map[string]string{"begun": "1", "kept": "0", "given_up": "1", "won": "0", "lost": "1"} {
		if line := `laburnumpoint_rack_waits_total{outcome="` + outcome + `"} ` + want + "\n"; !strings.Contains(exposed.String(), line) {
			t.Errorf("metrics lack %s", line)
		}
	}
}
