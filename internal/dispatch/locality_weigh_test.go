package dispatch

import (
	"flag"
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
	// gangs is the number of gangs a second whose members want one rack.
	gangs float64
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
	due, gangsDue := 0.0, 0.0
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
		for gangsDue += l.gangs * worldTick.Seconds(); gangsDue >= 1; gangsDue-- {
			est := 3*time.Second + time.Duration(w.rng.Int64N(int64(1500*time.Millisecond)))
			claim := graph.Resources{MilliCPU: 31000, MemoryMB: 20000, Accelerators: 2 + 2*w.rng.Int64N(4)}
			w.add("gang", gangQueue, 0.9+0.2*w.rng.Float64(), graph.Step{Count: 4 + w.rng.IntN(2), Claim: claim, Estimate: est, Gang: true, SameRack: true})
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

// fixedDelay returns a way to decide that lets every task wait for the given share of its run time, whatever the forecast, within the
// bounds of every wait.
func fixedDelay(share float64) func(*placesWorld) {
	return func(w *placesWorld) {
		w.locality.reviewInterval = time.Hour // the forecast ends no wait
		w.locality.decide = func(c nearChoice) nearDecision {
			deadline := min(c.deadline(), c.now.Add(time.Duration(share*float64(c.runTime))))
			if deadline <= c.now {
				return nearDecision{}
			}
			return nearDecision{tasks: c.tasks, deadline: deadline}
		}
	}
}

// backlog returns what the pool had no room for in the plan before, as a share of its processors.
func (w *placesWorld) backlog() float64 {
	p := w.pools["p"]
	waiting := 0.0
	for _, demand := range p.locality.demandBefore {
		waiting += float64(demand.MilliCPU)
	}
	return waiting / float64(p.capacity.MilliCPU)
}

// backlogCost returns a way to decide that adds to the cost of a start elsewhere what its longer run takes from others: the longer run
// time times the backlog as a share of the pool, times the weight.
func backlogCost(weight float64) func(*placesWorld) {
	return func(w *placesWorld) {
		w.locality.decide = func(c nearChoice) nearDecision {
			longer := float64(c.runTime) * (c.factor - 1)
			longest := c.now.Add(time.Duration(longer * (1 + weight*min(1, w.backlog()))))
			d := nearDecision{deadline: longest}
			switch {
			case c.lastRemoteStart > c.now:
				d.deadline = min(d.deadline, c.lastRemoteStart)
			case c.lastNearStart > c.now:
				d.deadline = min(d.deadline, c.lastNearStart)
			}
			if c.permitsEnd > 0 {
				d.deadline = min(d.deadline, c.permitsEnd)
			}
			for _, start := range c.nearStarts[:min(c.tasks, len(c.nearStarts))] {
				if start > d.deadline || start.Add(time.Duration(minGainShare*float64(c.runTime))) > longest {
					break
				}
				d.tasks++
			}
			return d
		}
	}
}

var weighAll = flag.Bool("weigh-all", false, "weigh the ways to decide about waits under all loads and factors, for docs/design/placement-near-data.md")

// The ways to decide about waits are weighed under loads of a cell. The one that is kept must leave fewer quick jobs late than a cell
// without waits, and than the other ways over all loads together, and must make gangs and wide jobs no later.
func TestWeighWaysToWait(t *testing.T) {
	ways := []struct {
		name string
		set  func(*placesWorld)
	}{
		{"before", func(w *placesWorld) { w.SetRemoteFactor(1) }},
		{"no waits", never},
		{"fixed 0.25", fixedDelay(0.25)},
		{"fixed 0.5", fixedDelay(0.5)},
		{"fixed 1", fixedDelay(1)},
		{"backlog 1", backlogCost(1)},
		{"backlog 3", backlogCost(3)},
		{"expected ends", nil},
	}
	loads := []struct {
		name string
		load localityLoad
	}{
		{"60% full", localityLoad{background: 0.25, hot: 0.6, rate: 34, gangs: 3}},
		{"90% full", localityLoad{background: 0.5, hot: 0.6, rate: 34, gangs: 3}},
		{"100% full", localityLoad{background: 0.62, hot: 0.6, rate: 34, gangs: 3}},
		{"drained rack", localityLoad{background: 0.25, hot: 0.6, rate: 34, gangs: 3, drains: true}},
		{"wrong estimates", localityLoad{background: 0.5, hot: 0.6, rate: 34, gangs: 3, wrong: true}},
		{"no hot rack", localityLoad{background: 0.5, rate: 34, gangs: 3}},
	}
	factors, seeds, length := []float64{1.5, 2, 3}, uint64(2), 12*time.Second
	if !*weighAll {
		loads, factors, seeds, length = loads[1:2], []float64{1.5, 3}, 1, 6*time.Second
	}
	late := make(map[string]int)
	othersLate := make(map[string]int)
	for _, factor := range factors {
		for _, l := range loads {
			l.load.factor = factor
			for _, way := range ways {
				var jobs, lateHere, veryLate, others, won, lost int
				var p50, p99 time.Duration
				for seed := uint64(1); seed <= seeds; seed++ {
					w := l.load.run(t, seed, way.set, length)
					q := w.result("quick")
					jobs, lateHere, veryLate = jobs+q.jobs, lateHere+q.late, veryLate+q.veryLate
					others += w.result("gang").late + w.result("wide").late
					won, lost = won+int(w.LocalityStats().Won), lost+int(w.LocalityStats().Lost)
					p50, p99 = p50+q.p50/time.Duration(seeds), p99+q.p99/time.Duration(seeds)
				}
				late[way.name] += lateHere
				othersLate[way.name] += others
				t.Logf("factor %.1f | %-15s | %-13s | %3d quick jobs, %3d late, %3d very late, p50 %s, p99 %s | %2d others late | won %4d, lost %4d", factor, l.name, way.name, jobs, lateHere, veryLate, p50, p99, others, won, lost)
			}
		}
	}
	t.Logf("late quick jobs: %v; late others: %v", late, othersLate)
	kept := late["expected ends"]
	for _, way := range ways[:len(ways)-1] {
		if margin := kept / 20; kept > late[way.name]+margin {
			t.Errorf("%d quick jobs are late, %d with %s", kept, late[way.name], way.name)
		}
	}
	if othersLate["expected ends"] > othersLate["no waits"] {
		t.Errorf("%d other jobs are late, %d without waits", othersLate["expected ends"], othersLate["no waits"])
	}
}
