package dispatch

import (
	"fmt"
	"testing"
	"time"

	"laburnumpoint/internal/graph"
)

// never sets that no task waits.
func never(w *placesWorld) {
	w.locality.decide = func(nearChoice) nearDecision { return nearDecision{} }
}

// localityLoad is a load under which ways to decide about waits are compared.
type localityLoad struct {
	// background is the share of the pool that tasks without a preference fill.
	background float64
	// hot is the share of the quick jobs whose data are on one rack; the others' are spread over all racks.
	hot float64
	// rate is the number of quick jobs a second.
	rate float64
	// wrong means that the run times of a third of the jobs are up to ten times or a tenth of their estimates.
	wrong bool
	// drains means that the hot rack drains for a while.
	drains bool
	factor float64
}

func (l localityLoad) run(t testing.TB, seed uint64, set func(*placesWorld), d time.Duration) *placesWorld {
	w := newPlacesWorld(t, seed, l.factor, 12, 21)
	if set != nil {
		set(w)
	}
	const backgroundCPU = 8000
	pool := float64(len(w.racks)) * float64(worldCapacity.MilliCPU)
	backgroundTasks := int(l.background * pool / backgroundCPU)
	// Background tasks run 1 to 5 s and are replaced as they end: one job of 20 tasks after another.
	running := func() int {
		n := 0
		for _, j := range w.open {
			if j.kind == "wide" {
				n += 20
			}
		}
		return n
	}
	due := 0.0
	w.runFor(d, func() {
		for running() < backgroundTasks {
			est := time.Second + time.Duration(w.rng.Int64N(int64(4*time.Second)))
			truth := 1.0
			if l.wrong && w.rng.IntN(3) == 0 {
				truth = wrongTruth(w.rng.Float64())
			}
			w.add("wide", wideQueue, truth, graph.Step{Count: 20, Claim: graph.Resources{MilliCPU: backgroundCPU, MemoryMB: 1000}, Estimate: est, Checkpoints: true})
		}
		if w.now < 1000*1000*1000 {
			return // the background fills the pool first
		}
		for due += l.rate * worldTick.Seconds(); due >= 1; due-- {
			rack := fmt.Sprintf("r%02d", w.rng.IntN(12))
			if w.rng.Float64() < l.hot {
				rack = "r03"
			}
			truth := 0.9 + 0.2*w.rng.Float64()
			if l.wrong && w.rng.IntN(3) == 0 {
				truth = wrongTruth(w.rng.Float64())
			}
			steps := []graph.Step{quickStep(rack)}
			if w.rng.IntN(2) == 0 {
				steps = append(steps, quickStep(rack, 0))
			}
			w.add("quick", quickQueue, truth, steps...)
		}
		if l.drains {
			switch w.now.Add(-worldTick) / 1e9 * 1e9 {
			case 4e9:
				w.drain("r03", true)
			case 7e9:
				w.drain("r03", false)
			}
		}
	})
	return w
}

// wrongTruth returns a factor between a tenth and ten, evenly spread by its logarithm.
func wrongTruth(u float64) float64 {
	x := 0.1
	for range int(u * 20) {
		x *= 1.2589
	}
	return x
}
