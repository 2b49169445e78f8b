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
	// teamCount is the number of teams that submit the tasks of a workload.
	teamCount = 73
	// estimateError is the largest factor between an estimated run time and the true one.
	estimateError = 10
	mibPerGiB     = 1024
	milliPerCore  = 1000
)

// StartTime is the virtual time at which workloads begin.
var StartTime = time.Unix(1_800_000_000, 0)

// WorkloadTask is one task of a workload and its true run time.
type WorkloadTask struct {
	Item    scheduler.QueueItem
	RunTime time.Duration
}

// Workload is a set of workers and the tasks that arrive, in order of arrival.
type Workload struct {
	Workers []cell.Worker
	Tasks   []WorkloadTask
	// Horizon is the time after StartTime at which arrivals and measurement end.
	Horizon time.Duration
	// Warmup is the time after StartTime from which TeamUsage is measured.
	Warmup time.Duration
}

// stream describes one kind of arriving tasks.
type stream struct {
	name  string
	pool  string
	kind  cell.TaskKind
	class cell.PriorityClass
	// claims are drawn with equal probability.
	claims     []cell.Resources
	minRunTime time.Duration
	maxRunTime time.Duration
	stoppable  bool
	// minGangSize and maxGangSize bound the gang size; both are 0 for tasks outside a gang.
	minGangSize int
	maxGangSize int
	// offeredLoad is the share of the pool's scarcest dimension that the stream claims on average over the horizon.
	offeredLoad float64
	// burstInterval is the time between the starts of two bursts of arrivals; 0 for steady arrivals.
	burstInterval time.Duration
	// burstDuration is how long a burst lasts.
	burstDuration time.Duration
}

type generator struct {
	rng      *rand.Rand
	workload *Workload
	jobs     int
	// fixedTeam is the team of all jobs; empty to draw a team for each.
	fixedTeam string
}

func claim(cores, gibs, accelerators int64) cell.Resources {
	return cell.Resources{MilliCPU: cores * milliPerCore, MemoryMiB: gibs * mibPerGiB, Accelerators: accelerators, Slots: 1}
}

func newGenerator(seed uint64, horizon time.Duration) *generator {
	return &generator{rng: rand.New(rand.NewPCG(seed, 1)), workload: &Workload{Horizon: horizon}}
}

func (g *generator) addWorkers(pool string, n, perRack int, capacity cell.Resources) {
	capacity.Slots = 8
	for i := range n {
		rack := i / perRack
		g.workload.Workers = append(g.workload.Workers, cell.Worker{
			ID:       cell.WorkerID(fmt.Sprintf("%s-%04d", pool, i)),
			Zone:     fmt.Sprintf("zone-%d", rack%4),
			Rack:     fmt.Sprintf("%s-rack-%d", pool, rack),
			Pool:     pool,
			Capacity: capacity,
			State:    cell.WorkerLive,
		})
	}
}

// addStream draws jobs of one stream until their claims amount to its offered load.
func (g *generator) addStream(st stream) {
	remaining := st.offeredLoad * g.workload.Horizon.Seconds()
	capacity := PoolCapacity(g.workload.Workers, st.pool)
	for remaining > 0 {
		at := g.drawArrival(st)
		run := g.drawDuration(st.minRunTime, st.maxRunTime)
		c := st.claims[g.rng.IntN(len(st.claims))]
		size := 1
		if st.maxGangSize > 0 {
			size = st.minGangSize + g.rng.IntN(st.maxGangSize-st.minGangSize+1)
		}
		remaining -= c.DominantShare(capacity) * run.Seconds() * float64(size)
		g.addJob(st, at, run, c, size)
	}
}

func (g *generator) addJob(st stream, at, run time.Duration, c cell.Resources, size int) {
	g.jobs++
	job := fmt.Sprintf("%s-%d", st.name, g.jobs)
	task := cell.Task{
		Job: cell.JobID(job), Kind: st.kind, Team: g.drawTeam(), Class: st.class, Pool: st.pool, Claim: c,
		Stoppable: st.stoppable, Idempotent: true, EstimatedRun: g.drawEstimate(run),
	}
	if st.maxGangSize > 0 {
		task.GangSize = size
	}
	for i := range size {
		task.ID = cell.TaskID(fmt.Sprintf("%s/%d", job, i))
		g.workload.Tasks = append(g.workload.Tasks, WorkloadTask{Item: scheduler.QueueItem{Task: task, Arrived: StartTime.Add(at)}, RunTime: run})
	}
}

func (g *generator) drawArrival(st stream) time.Duration {
	if st.kind == cell.KindService {
		return 0
	}
	if st.burstInterval == 0 {
		return time.Duration(g.rng.Int64N(int64(g.workload.Horizon)))
	}
	burstStart := time.Duration(g.rng.IntN(int(g.workload.Horizon/st.burstInterval))) * st.burstInterval
	return burstStart + time.Duration(g.rng.Int64N(int64(st.burstDuration)))
}

// drawDuration draws from a log-uniform distribution.
func (g *generator) drawDuration(from, to time.Duration) time.Duration {
	ratio := float64(to) / float64(from)
	return time.Duration(float64(from) * math.Pow(ratio, g.rng.Float64()))
}

// drawEstimate returns an estimated run time that is too short or too long by a factor of up to estimateError.
func (g *generator) drawEstimate(run time.Duration) time.Duration {
	return time.Duration(float64(run) * math.Pow(estimateError, 2*g.rng.Float64()-1))
}

// drawTeam draws a team; the density falls from the first teams to the last.
func (g *generator) drawTeam() string {
	if g.fixedTeam != "" {
		return g.fixedTeam
	}
	return teamName(int(math.Pow(g.rng.Float64(), 2) * teamCount))
}

func teamName(n int) string {
	return fmt.Sprintf("team-%02d", n)
}

func (g *generator) finish() *Workload {
	slices.SortStableFunc(g.workload.Tasks, func(a, b WorkloadTask) int { return cmp.Compare(a.Item.Arrived.UnixNano(), b.Item.Arrived.UnixNano()) })
	return g.workload
}

// PoolCapacity returns the total capacity of the workers of one pool, or of all workers if pool is empty.
func PoolCapacity(workers []cell.Worker, pool string) cell.Resources {
	var sum cell.Resources
	for _, w := range workers {
		if pool == "" || w.Pool == pool {
			sum = sum.Add(w.Capacity)
		}
	}
	return sum
}
