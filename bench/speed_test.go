package bench

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/scheduler"
)

const (
	// fullCellPlaced and fullCellQueued are the numbers of running and of queued tasks in a full-size cell.
	fullCellPlaced = 10_000
	fullCellQueued = 30_000
	// maxAllocsPerDecision bounds the heap allocations for one arrival, placement and release.
	maxAllocsPerDecision = 12
)

// steadyState is a scheduler with a full cell and a long queue. Each step ends one task and places another.
type steadyState struct {
	scheduler      *scheduler.Scheduler
	rng            *rand.Rand
	now            time.Time
	placed         []cell.TaskID
	lastTaskNumber int
}

func newSteadyState(workers, placed, queued int, packing float64) *steadyState {
	st := &steadyState{rng: rand.New(rand.NewPCG(3, 3)), now: StartTime}
	st.scheduler = scheduler.New(scheduler.Policy{PackingWeight: packing, UrgentWait: 2200 * time.Millisecond, AgeingStep: time.Hour})
	g := newGenerator(1, time.Hour)
	g.addWorkers(callsheet, workers, 4, claim(64, 128, 0))
	for _, w := range g.workload.Workers {
		st.scheduler.UpsertWorker(w, true)
	}
	for len(st.placed) < placed {
		st.enqueue(st.newTask(cell.ClassBatch))
		st.schedule()
	}
	for range queued {
		st.enqueue(st.newWholeWorkerTask())
	}
	st.schedule()
	return st
}

func (st *steadyState) newTask(class cell.PriorityClass) cell.Task {
	st.lastTaskNumber++
	return cell.Task{
		ID: cell.TaskID(fmt.Sprintf("t%d", st.lastTaskNumber)), Kind: cell.KindBatch, Team: fmt.Sprintf("team-%d", st.rng.IntN(teamCount)), Class: class, Pool: callsheet,
		Claim:     cell.Resources{MilliCPU: int64(1+st.rng.IntN(8)) * milliPerCore, MemoryMiB: int64(1+st.rng.IntN(8)) * mibPerGiB, Slots: 1},
		Stoppable: st.rng.IntN(2) == 0, EstimatedRun: time.Minute,
	}
}

// newWholeWorkerTask returns a task that needs all slots of a worker, so that it stays queued.
func (st *steadyState) newWholeWorkerTask() cell.Task {
	t := st.newTask(cell.ClassBatch)
	t.Claim = cell.Resources{MilliCPU: int64(57+st.rng.IntN(8)) * milliPerCore, MemoryMiB: 64 * mibPerGiB, Slots: 8}
	return t
}

func (st *steadyState) enqueue(t cell.Task) {
	if ok, reason := st.scheduler.Enqueue(st.now, scheduler.QueueItem{Task: t, Arrived: st.now}); !ok {
		panic(reason.String())
	}
}

func (st *steadyState) schedule() {
	for _, d := range st.scheduler.Schedule(st.now, scheduleBudget) {
		if d.Kind == scheduler.Place {
			st.placed = append(st.placed, d.Task.ID)
		}
	}
}

// step ends one task, enqueues another and schedules.
func (st *steadyState) step() {
	st.now = st.now.Add(time.Millisecond)
	i := st.rng.IntN(len(st.placed))
	id := st.placed[i]
	st.placed[i] = st.placed[len(st.placed)-1]
	st.placed = st.placed[:len(st.placed)-1]
	st.scheduler.Release(id)
	st.enqueue(st.newTask(cell.ClassNormal))
	st.schedule()
}

// cellSize returns the numbers of running and queued tasks for a cell with the given number of workers.
func cellSize(workers int) (placed, queued int) {
	return min(fullCellPlaced, workers*4), min(fullCellQueued, workers*100)
}

// BenchmarkDecision reports the time of one release, arrival and placement.
func BenchmarkDecision(b *testing.B) {
	for _, workers := range []int{35, 300, 3000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			placed, queued := cellSize(workers)
			st := newSteadyState(workers, placed, queued, 0.5)
			b.ReportAllocs()
			for b.Loop() {
				st.step()
			}
		})
	}
}

// BenchmarkDistinctClaims reports the time of one decision while no two queued tasks have the same claim.
func BenchmarkDistinctClaims(b *testing.B) {
	st := newSteadyState(3000, fullCellPlaced, 0, 0.5)
	for range fullCellQueued {
		t := st.newWholeWorkerTask()
		t.Claim.MemoryMiB -= int64(st.lastTaskNumber)
		st.enqueue(t)
	}
	st.schedule()
	b.ReportAllocs()
	for b.Loop() {
		st.step()
	}
}

// BenchmarkPreemption reports the time of one urgent arrival in a cell full of stoppable tasks.
func BenchmarkPreemption(b *testing.B) {
	for _, workers := range []int{35, 300, 3000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			st := newStoppableState(workers)
			b.ReportAllocs()
			for b.Loop() {
				st.preempt(b)
			}
		})
	}
}

// newStoppableState returns a cell full of stoppable tasks. The packing weight is 1, so that the scheduler keeps no headroom
// for urgent tasks.
func newStoppableState(workers int) *steadyState {
	st := newSteadyState(workers, 0, 0, 1)
	for range 8 * workers {
		t := st.newTask(cell.ClassBatch)
		t.Claim = claim(8, 16, 0)
		t.Stoppable = true
		st.enqueue(t)
	}
	for range workers {
		st.schedule()
	}
	return st
}

// preempt enqueues an urgent task, stops its victim, starts and ends the urgent task, and starts a task like the victim.
func (st *steadyState) preempt(tb testing.TB) {
	st.now = st.now.Add(time.Second)
	urgent := st.newTask(cell.ClassUrgent)
	urgent.Claim = claim(8, 16, 0)
	st.enqueue(urgent)
	decisions := st.scheduler.Schedule(st.now, scheduleBudget)
	if len(decisions) != 1 || decisions[0].Kind != scheduler.Stop {
		tb.Fatalf("decisions %+v, want one stop", decisions)
	}
	victim := decisions[0].Task
	st.scheduler.Release(victim.ID)
	st.scheduler.Schedule(st.now, scheduleBudget)
	st.scheduler.Release(urgent.ID)
	st.lastTaskNumber++
	victim.ID = cell.TaskID(fmt.Sprintf("t%d", st.lastTaskNumber))
	st.enqueue(victim)
	st.scheduler.Schedule(st.now, scheduleBudget)
}

// BenchmarkCancellationWave reports the time to cancel 100,000 queued tasks.
func BenchmarkCancellationWave(b *testing.B) {
	const wave = 100_000
	for b.Loop() {
		b.StopTimer()
		st := newSteadyState(35, 140, 0, 0.5)
		ids := make([]cell.TaskID, wave)
		for i := range ids {
			t := st.newWholeWorkerTask()
			ids[i] = t.ID
			st.enqueue(t)
		}
		st.schedule()
		b.StartTimer()
		st.scheduler.Cancel(ids...)
		st.schedule()
	}
}

func TestAllocationsPerDecision(t *testing.T) {
	for _, workers := range []int{35, 3000} {
		placed, queued := cellSize(workers)
		st := newSteadyState(workers, placed, queued, 0.5)
		if got := testing.AllocsPerRun(2000, st.step); got > maxAllocsPerDecision {
			t.Errorf("%d workers: %.1f allocations for each release, arrival and placement, want at most %d", workers, got, maxAllocsPerDecision)
		}
	}
}

// BenchmarkMemory reports the heap memory of a full cell per worker, placed task and queued task.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		empty := heapInUse()
		bare := newSteadyState(3000, 0, 0, 0.5)
		workers := heapInUse()
		placed := newSteadyState(3000, fullCellPlaced, 0, 0.5)
		withPlaced := heapInUse()
		queued := newSteadyState(3000, 0, fullCellQueued, 0.5)
		withQueued := heapInUse()
		b.ReportMetric(float64(workers-empty)/3000, "B/worker")
		b.ReportMetric((float64(withPlaced-workers)-float64(workers-empty))/fullCellPlaced, "B/placed")
		b.ReportMetric((float64(withQueued-withPlaced)-float64(workers-empty))/fullCellQueued, "B/queued")
		runtime.KeepAlive(bare)
		runtime.KeepAlive(placed)
		runtime.KeepAlive(queued)
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
