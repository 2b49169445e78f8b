package bench

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/scheduler"
)

const (
	// teams is the number of teams among which loads are divided.
	teams = 73
	// estimateError is the factor by which declared run times are wrong at most.
	estimateError = 10
	gib           = 1024
	core          = 1000
)

// StartTime is the virtual time at which loads begin.
var StartTime = time.Unix(1_800_000_000, 0)

// WorkloadTask is one task of a load and its true run time.
type WorkloadTask struct {
	Item    scheduler.QueueItem
	RunTime time.Duration
}

// Workload is a set of workers and the work that arrives at them, in order of arrival.
type Workload struct {
	Workers []cell.Worker
	Tasks   []WorkloadTask
	// Horizon is the time after Start at which arrivals and measurement end.
	Horizon time.Duration
	// Warmup is the time after Start from which the teams' work is counted.
	Warmup time.Duration
}

// stream describes one kind of arriving work.
type stream struct {
	name  string
	pool  string
	kind  cell.TaskKind
	class cell.PriorityClass
	// claims are drawn evenly.
	claims    []cell.Resources
	runFrom   time.Duration
	runTo     time.Duration
	stoppable bool
	// gangFrom and gangTo bound the gang size; 0 for work that is no gang.
	gangFrom int
	gangTo   int
	// load is the share of the pool's scarcest dimension that the stream claims on average.
	load float64
	// wave is the time between lumps in which the stream arrives; 0 for steady arrivals.
	wave time.Duration
	// waveLength is how long a lump lasts.
	waveLength time.Duration
}

type generator struct {
	rng  *rand.Rand
	load *Workload
	jobs int
	// fixedTeam is the team of all work; empty to draw teams.
	fixedTeam string
}

func claim(cores, gibs, accelerators int64) cell.Resources {
	return cell.Resources{MilliCPU: cores * core, MemoryMiB: gibs * gib, Accelerators: accelerators, Slots: 1}
}

func newGenerator(seed uint64, horizon time.Duration) *generator {
	return &generator{rng: rand.New(rand.NewPCG(seed, 1)), load: &Workload{Horizon: horizon}}
}

func (g *generator) workers(pool string, n, perRack int, capacity cell.Resources) {
	capacity.Slots = 8
	for i := range n {
		rack := i / perRack
		g.load.Workers = append(g.load.Workers, cell.Worker{
			ID:       cell.WorkerID(fmt.Sprintf("%s-%04d", pool, i)),
			Zone:     fmt.Sprintf("zone-%d", rack%4),
			Rack:     fmt.Sprintf("%s-rack-%d", pool, rack),
			Pool:     pool,
			Capacity: capacity,
			State:    cell.WorkerLive,
		})
	}
}

// add draws the arrivals of one stream over the horizon.
func (g *generator) add(st stream) {
	budget := st.load * g.load.Horizon.Seconds()
	capacity := PoolCapacity(g.load.Workers, st.pool)
	for budget > 0 {
		at := g.arrival(st)
		run := g.duration(st.runFrom, st.runTo)
		c := st.claims[g.rng.IntN(len(st.claims))]
		size := 1
		if st.gangTo > 0 {
			size = st.gangFrom + g.rng.IntN(st.gangTo-st.gangFrom+1)
		}
		budget -= c.DominantShare(capacity) * run.Seconds() * float64(size)
		g.job(st, at, run, c, size)
	}
}

func (g *generator) job(st stream, at, run time.Duration, c cell.Resources, size int) {
	g.jobs++
	job := fmt.Sprintf("%s-%d", st.name, g.jobs)
	task := cell.Task{
		Job: cell.JobID(job), Kind: st.kind, Team: g.team(), Class: st.class, Pool: st.pool, Claim: c,
		Stoppable: st.stoppable, Idempotent: true, EstimatedRun: g.estimate(run),
	}
	if st.gangTo > 0 {
		task.GangSize = size
	}
	for i := range size {
		task.ID = cell.TaskID(fmt.Sprintf("%s/%d", job, i))
		g.load.Tasks = append(g.load.Tasks, WorkloadTask{Item: scheduler.QueueItem{Task: task, Arrived: StartTime.Add(at)}, RunTime: run})
	}
}

func (g *generator) arrival(st stream) time.Duration {
	if st.kind == cell.KindService {
		return 0
	}
	if st.wave == 0 {
		return time.Duration(g.rng.Int64N(int64(g.load.Horizon)))
	}
	wave := time.Duration(g.rng.IntN(int(g.load.Horizon/st.wave))) * st.wave
	return wave + time.Duration(g.rng.Int64N(int64(st.waveLength)))
}

// duration draws from a distribution that is even on a logarithmic scale.
func (g *generator) duration(from, to time.Duration) time.Duration {
	ratio := float64(to) / float64(from)
	return time.Duration(float64(from) * math.Pow(ratio, g.rng.Float64()))
}

// estimate returns a declared run time that is wrong by a factor of up to estimateError either way.
func (g *generator) estimate(run time.Duration) time.Duration {
	return time.Duration(float64(run) * math.Pow(estimateError, 2*g.rng.Float64()-1))
}

// team draws a team, the first ones far more often.
func (g *generator) team() string {
	if g.fixedTeam != "" {
		return g.fixedTeam
	}
	return teamName(int(math.Pow(g.rng.Float64(), 2) * teams))
}

func teamName(n int) string {
	return fmt.Sprintf("team-%02d", n)
}

func (g *generator) done() *Workload {
	slices.SortStableFunc(g.load.Tasks, func(a, b WorkloadTask) int { return cmp.Compare(a.Item.Arrived.UnixNano(), b.Item.Arrived.UnixNano()) })
	return g.load
}

// PoolCapacity sums the capacity of the workers of one pool, or of all if pool is empty.
func PoolCapacity(workers []cell.Worker, pool string) cell.Resources {
	var sum cell.Resources
	for _, w := range workers {
		if pool == "" || w.Pool == pool {
			sum = sum.Add(w.Capacity)
		}
	}
	return sum
}
