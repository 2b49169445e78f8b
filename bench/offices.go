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
	// backlogTasks is the least number of tasks that a team submits.
	backlogTasks = 200
)

// Galwad returns a workload in which wait times matter: late urgent revisions among nightly batches, feeds that run
// permanently, and media renders on accelerators. Each pool is offered 90% of its scarcest dimension.
func Galwad(seed uint64, horizon time.Duration) *Workload {
	g := newGenerator(seed, horizon)
	g.addWorkers(callsheet, 35, 4, claim(64, 128, 0))
	g.addWorkers(media, 13, 3, claim(32, 64, 8))
	small := []cell.Resources{claim(2, 4, 0), claim(4, 8, 0), claim(6, 8, 0)}
	large := []cell.Resources{claim(4, 8, 0), claim(8, 16, 0), claim(12, 24, 0), claim(16, 24, 0)}
	g.addStream(stream{name: "feed", pool: callsheet, kind: cell.KindService, class: cell.ClassService,
		claims: small, minRunTime: 2 * horizon, maxRunTime: 2*horizon + 1, offeredLoad: 0.30})
	g.addStream(stream{name: "revision", pool: callsheet, kind: cell.KindRequest, class: cell.ClassUrgent,
		claims: small, minRunTime: 2 * time.Second, maxRunTime: 30 * time.Second, offeredLoad: 0.03})
	g.addStream(stream{name: "dawn", pool: callsheet, kind: cell.KindRequest, class: cell.ClassUrgent,
		claims: small, minRunTime: 2 * time.Second, maxRunTime: 30 * time.Second, offeredLoad: 0.02, burstInterval: time.Hour, burstDuration: 5 * time.Minute})
	g.addStream(stream{name: "request", pool: callsheet, kind: cell.KindRequest, class: cell.ClassNormal,
		claims: small, minRunTime: 10 * time.Second, maxRunTime: 2 * time.Minute, offeredLoad: 0.15})
	g.addStream(stream{name: "sheets", pool: callsheet, kind: cell.KindBatch, class: cell.ClassBatch, stoppable: true,
		claims: large, minRunTime: 2 * time.Minute, maxRunTime: 20 * time.Minute, offeredLoad: 0.45, burstInterval: time.Hour, burstDuration: 2 * time.Minute})
	g.addStream(stream{name: "publish", pool: callsheet, kind: cell.KindGang, class: cell.ClassNormal,
		claims: large, minRunTime: time.Minute, maxRunTime: 5 * time.Minute, offeredLoad: 0.10, minGangSize: 4, maxGangSize: 16})
	g.addStream(stream{name: "preview", pool: media, kind: cell.KindRequest, class: cell.ClassUrgent,
		claims: []cell.Resources{claim(2, 4, 1)}, minRunTime: 5 * time.Second, maxRunTime: 30 * time.Second, offeredLoad: 0.05})
	g.addStream(stream{name: "render", pool: media, kind: cell.KindBatch, class: cell.ClassBatch, stoppable: true,
		claims:     []cell.Resources{claim(2, 4, 1), claim(6, 8, 2), claim(12, 24, 4)},
		minRunTime: 4 * time.Minute, maxRunTime: 30 * time.Minute, offeredLoad: 0.85, burstInterval: time.Hour, burstDuration: 2 * time.Minute})
	return g.finish()
}

// GalwadPolicy is the scheduling policy for the Galwad workload.
func GalwadPolicy() scheduler.Policy {
	return scheduler.Policy{PackingWeight: 0.5, UrgentWait: 2200 * time.Millisecond, AgeingStep: 30 * time.Minute, MaxQueued: 200_000}
}

// Rimac returns a workload in which packing matters: more batches than fit on the workers, settlements whose tasks start
// together, watchers that run permanently, and imaging on accelerators. Each pool is offered 115% of its scarcest dimension.
func Rimac(seed uint64, horizon time.Duration) *Workload {
	g := newGenerator(seed, horizon)
	g.addWorkers(exchange, 35, 4, claim(32, 64, 0))
	g.addWorkers(imaging, 13, 3, claim(128, 256, 8))
	small := []cell.Resources{claim(2, 4, 0), claim(3, 6, 0), claim(4, 8, 0)}
	mixed := []cell.Resources{claim(2, 2, 0), claim(3, 8, 0), claim(5, 12, 0), claim(6, 8, 0), claim(8, 20, 0)}
	g.addStream(stream{name: "watch", pool: exchange, kind: cell.KindService, class: cell.ClassService,
		claims: small, minRunTime: 2 * horizon, maxRunTime: 2*horizon + 1, offeredLoad: 0.15})
	g.addStream(stream{name: "validate", pool: exchange, kind: cell.KindBatch, class: cell.ClassBatch, stoppable: true,
		claims: mixed, minRunTime: time.Minute, maxRunTime: 8 * time.Minute, offeredLoad: 0.60, burstInterval: time.Hour, burstDuration: 10 * time.Minute})
	g.addStream(stream{name: "settle", pool: exchange, kind: cell.KindRequest, class: cell.ClassNormal,
		claims: mixed, minRunTime: 10 * time.Second, maxRunTime: 2 * time.Minute, offeredLoad: 0.20})
	g.addStream(stream{name: "session", pool: exchange, kind: cell.KindGang, class: cell.ClassNormal,
		claims: []cell.Resources{claim(4, 8, 0), claim(8, 16, 0), claim(16, 32, 0)}, minRunTime: time.Minute, maxRunTime: 6 * time.Minute, offeredLoad: 0.20, minGangSize: 4, maxGangSize: 12})
	g.addStream(stream{name: "read", pool: imaging, kind: cell.KindBatch, class: cell.ClassBatch, stoppable: true,
		claims:     []cell.Resources{claim(12, 20, 1), claim(16, 32, 1), claim(30, 56, 2), claim(60, 100, 4)},
		minRunTime: 2 * time.Minute, maxRunTime: 15 * time.Minute, offeredLoad: 0.95, burstInterval: time.Hour, burstDuration: 10 * time.Minute})
	g.addStream(stream{name: "compare", pool: imaging, kind: cell.KindGang, class: cell.ClassNormal,
		claims: []cell.Resources{claim(16, 32, 1), claim(32, 64, 2)}, minRunTime: time.Minute, maxRunTime: 6 * time.Minute, offeredLoad: 0.20, minGangSize: 3, maxGangSize: 8})
	return g.finish()
}

// RimacPolicy is the scheduling policy for the Rimac workload.
func RimacPolicy() scheduler.Policy {
	return scheduler.Policy{PackingWeight: 0.9, UrgentWait: 2200 * time.Millisecond, AgeingStep: 30 * time.Minute, MaxQueued: 200_000}
}

// Backlog returns a workload in which every team has more tasks waiting than the cell can run and the first teams have the
// most. All tasks of a team arrive before those of the next team.
func Backlog(seed uint64, horizon time.Duration) *Workload {
	g := newGenerator(seed, horizon)
	g.addWorkers(exchange, 35, 4, claim(32, 64, 0))
	claims := []cell.Resources{claim(2, 4, 0), claim(4, 8, 0), claim(6, 12, 0)}
	g.workload.Warmup = horizon / 2
	st := stream{name: "backlog", pool: exchange, kind: cell.KindBatch, class: cell.ClassBatch}
	for team := range teamCount {
		g.fixedTeam = teamName(team)
		for range backlogTasks + 2*(teamCount-team) {
			at := time.Duration(team) * time.Second
			g.addJob(st, at, g.drawDuration(time.Minute, 4*time.Minute), claims[g.rng.IntN(len(claims))], 1)
		}
	}
	return g.finish()
}

// SharedWorkers returns a workload in which batches that name no pool share the workers with imaging tasks that need
// accelerators.
func SharedWorkers(seed uint64, horizon time.Duration) *Workload {
	g := newGenerator(seed, horizon)
	g.addWorkers(exchange, 35, 4, claim(32, 64, 0))
	g.addWorkers(imaging, 13, 3, claim(128, 256, 8))
	g.addStream(stream{name: "read", pool: imaging, kind: cell.KindBatch, class: cell.ClassNormal,
		claims: []cell.Resources{claim(12, 20, 1), claim(16, 32, 1), claim(30, 56, 2)}, minRunTime: 2 * time.Minute, maxRunTime: 15 * time.Minute, offeredLoad: 0.80})
	g.addStream(stream{name: "validate", kind: cell.KindBatch, class: cell.ClassBatch,
		claims: []cell.Resources{claim(2, 2, 0), claim(3, 8, 0), claim(5, 12, 0)}, minRunTime: time.Minute, maxRunTime: 8 * time.Minute, offeredLoad: 0.60})
	return g.finish()
}

// Overload returns a workload with more normal tasks than the workers can run, and a few batch tasks.
func Overload(seed uint64, horizon time.Duration) *Workload {
	g := newGenerator(seed, horizon)
	g.addWorkers(exchange, 35, 4, claim(32, 64, 0))
	claims := []cell.Resources{claim(4, 8, 0), claim(8, 16, 0)}
	g.addStream(stream{name: "settle", pool: exchange, kind: cell.KindBatch, class: cell.ClassNormal,
		claims: claims, minRunTime: time.Minute, maxRunTime: 4 * time.Minute, offeredLoad: 1.20})
	g.addStream(stream{name: "validate", pool: exchange, kind: cell.KindBatch, class: cell.ClassBatch,
		claims: claims, minRunTime: time.Minute, maxRunTime: 4 * time.Minute, offeredLoad: 0.05})
	return g.finish()
}
