package bench

import (
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/scheduler"
)

const (
	callsheet = "callsheet"
	media     = "media"
	exchange  = "exchange"
	imaging   = "imaging"
	// backlogTasks is the number of tasks that the team with the least work has waiting.
	backlogTasks = 200
)

// Galwad returns a load in which waiting time counts: late urgent revisions among nightly batches, standing feeds,
// and media renders on accelerators. Each pool is offered 90% of its scarcest dimension.
func Galwad(seed uint64, horizon time.Duration) *Workload {
	g := newGenerator(seed, horizon)
	g.workers(callsheet, 35, 4, claim(64, 128, 0))
	g.workers(media, 13, 3, claim(32, 64, 8))
	small := []cell.Resources{claim(2, 4, 0), claim(4, 8, 0), claim(6, 8, 0)}
	large := []cell.Resources{claim(4, 8, 0), claim(8, 16, 0), claim(12, 24, 0), claim(16, 24, 0)}
	g.add(stream{name: "feed", pool: callsheet, kind: cell.KindService, class: cell.ClassService,
		claims: small, runFrom: 2 * horizon, runTo: 2*horizon + 1, load: 0.30})
	g.add(stream{name: "revision", pool: callsheet, kind: cell.KindRequest, class: cell.ClassUrgent,
		claims: small, runFrom: 2 * time.Second, runTo: 30 * time.Second, load: 0.03})
	g.add(stream{name: "dawn", pool: callsheet, kind: cell.KindRequest, class: cell.ClassUrgent,
		claims: small, runFrom: 2 * time.Second, runTo: 30 * time.Second, load: 0.02, wave: time.Hour, waveLength: 5 * time.Minute})
	g.add(stream{name: "request", pool: callsheet, kind: cell.KindRequest, class: cell.ClassNormal,
		claims: small, runFrom: 10 * time.Second, runTo: 2 * time.Minute, load: 0.15})
	g.add(stream{name: "sheets", pool: callsheet, kind: cell.KindBatch, class: cell.ClassBatch, stoppable: true,
		claims: large, runFrom: 2 * time.Minute, runTo: 20 * time.Minute, load: 0.45, wave: time.Hour, waveLength: 2 * time.Minute})
	g.add(stream{name: "publish", pool: callsheet, kind: cell.KindGang, class: cell.ClassNormal,
		claims: large, runFrom: time.Minute, runTo: 5 * time.Minute, load: 0.10, gangFrom: 4, gangTo: 16})
	g.add(stream{name: "preview", pool: media, kind: cell.KindRequest, class: cell.ClassUrgent,
		claims: []cell.Resources{claim(2, 4, 1)}, runFrom: 5 * time.Second, runTo: 30 * time.Second, load: 0.05})
	g.add(stream{name: "render", pool: media, kind: cell.KindBatch, class: cell.ClassBatch, stoppable: true,
		claims:  []cell.Resources{claim(2, 4, 1), claim(6, 8, 2), claim(12, 24, 4)},
		runFrom: 4 * time.Minute, runTo: 30 * time.Minute, load: 0.85, wave: time.Hour, waveLength: 2 * time.Minute})
	return g.done()
}

// GalwadPolicy is the policy that Galwad is measured with.
func GalwadPolicy() scheduler.Policy {
	return scheduler.Policy{PackingWeight: 0.5, UrgentWait: 2200 * time.Millisecond, AgeingStep: 30 * time.Minute, MaxQueued: 200_000}
}

// Rimac returns a load in which packing counts: more batches than the workers hold, settlements that start together,
// standing watchers, and imaging on accelerators. Each pool is offered 115% of its scarcest dimension.
func Rimac(seed uint64, horizon time.Duration) *Workload {
	g := newGenerator(seed, horizon)
	g.workers(exchange, 35, 4, claim(32, 64, 0))
	g.workers(imaging, 13, 3, claim(128, 256, 8))
	small := []cell.Resources{claim(2, 4, 0), claim(3, 6, 0), claim(4, 8, 0)}
	mixed := []cell.Resources{claim(2, 2, 0), claim(3, 8, 0), claim(5, 12, 0), claim(6, 8, 0), claim(8, 20, 0)}
	g.add(stream{name: "watch", pool: exchange, kind: cell.KindService, class: cell.ClassService,
		claims: small, runFrom: 2 * horizon, runTo: 2*horizon + 1, load: 0.15})
	g.add(stream{name: "validate", pool: exchange, kind: cell.KindBatch, class: cell.ClassBatch, stoppable: true,
		claims: mixed, runFrom: time.Minute, runTo: 8 * time.Minute, load: 0.60, wave: time.Hour, waveLength: 10 * time.Minute})
	g.add(stream{name: "settle", pool: exchange, kind: cell.KindRequest, class: cell.ClassNormal,
		claims: mixed, runFrom: 10 * time.Second, runTo: 2 * time.Minute, load: 0.20})
	g.add(stream{name: "session", pool: exchange, kind: cell.KindGang, class: cell.ClassNormal,
		claims: []cell.Resources{claim(4, 8, 0), claim(8, 16, 0), claim(16, 32, 0)}, runFrom: time.Minute, runTo: 6 * time.Minute, load: 0.20, gangFrom: 4, gangTo: 12})
	g.add(stream{name: "read", pool: imaging, kind: cell.KindBatch, class: cell.ClassBatch, stoppable: true,
		claims:  []cell.Resources{claim(12, 20, 1), claim(16, 32, 1), claim(30, 56, 2), claim(60, 100, 4)},
		runFrom: 2 * time.Minute, runTo: 15 * time.Minute, load: 0.95, wave: time.Hour, waveLength: 10 * time.Minute})
	g.add(stream{name: "compare", pool: imaging, kind: cell.KindGang, class: cell.ClassNormal,
		claims: []cell.Resources{claim(16, 32, 1), claim(32, 64, 2)}, runFrom: time.Minute, runTo: 6 * time.Minute, load: 0.20, gangFrom: 3, gangTo: 8})
	return g.done()
}

// RimacPolicy is the policy that Rimac is measured with.
func RimacPolicy() scheduler.Policy {
	return scheduler.Policy{PackingWeight: 0.9, UrgentWait: 2200 * time.Millisecond, AgeingStep: 30 * time.Minute, MaxQueued: 200_000}
}

// Backlog returns a load in which every team has more work waiting than the cell can run, the first teams by far the most,
// and all of a team's work arrives before the next team's.
func Backlog(seed uint64, horizon time.Duration) *Workload {
	g := newGenerator(seed, horizon)
	g.workers(exchange, 35, 4, claim(32, 64, 0))
	claims := []cell.Resources{claim(2, 4, 0), claim(4, 8, 0), claim(6, 12, 0)}
	g.load.Warmup = horizon / 2
	st := stream{name: "backlog", pool: exchange, kind: cell.KindBatch, class: cell.ClassBatch}
	for team := range teams {
		g.fixedTeam = teamName(team)
		for range backlogTasks + 2*(teams-team) {
			at := time.Duration(team) * time.Second
			g.job(st, at, g.duration(time.Minute, 4*time.Minute), claims[g.rng.IntN(len(claims))], 1)
		}
	}
	return g.done()
}

// SharedWorkers returns a load in which plain batches that name no pool and imaging work that needs accelerators share all workers.
func SharedWorkers(seed uint64, horizon time.Duration) *Workload {
	g := newGenerator(seed, horizon)
	g.workers(exchange, 35, 4, claim(32, 64, 0))
	g.workers(imaging, 13, 3, claim(128, 256, 8))
	g.add(stream{name: "read", pool: imaging, kind: cell.KindBatch, class: cell.ClassNormal,
		claims: []cell.Resources{claim(12, 20, 1), claim(16, 32, 1), claim(30, 56, 2)}, runFrom: 2 * time.Minute, runTo: 15 * time.Minute, load: 0.80})
	g.add(stream{name: "validate", kind: cell.KindBatch, class: cell.ClassBatch,
		claims: []cell.Resources{claim(2, 2, 0), claim(3, 8, 0), claim(5, 12, 0)}, runFrom: time.Minute, runTo: 8 * time.Minute, load: 0.60})
	return g.done()
}

// Overload returns a load of more normal work than the workers run, and a little batch work beside it.
func Overload(seed uint64, horizon time.Duration) *Workload {
	g := newGenerator(seed, horizon)
	g.workers(exchange, 35, 4, claim(32, 64, 0))
	claims := []cell.Resources{claim(4, 8, 0), claim(8, 16, 0)}
	g.add(stream{name: "settle", pool: exchange, kind: cell.KindBatch, class: cell.ClassNormal,
		claims: claims, runFrom: time.Minute, runTo: 4 * time.Minute, load: 1.20})
	g.add(stream{name: "validate", pool: exchange, kind: cell.KindBatch, class: cell.ClassBatch,
		claims: claims, runFrom: time.Minute, runTo: 4 * time.Minute, load: 0.05})
	return g.done()
}
