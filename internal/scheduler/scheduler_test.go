package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platformapi"
)

// fixture is a Scheduler with workers of 8 cores, 8 GiB of memory and 8 slots, and a clock.
type fixture struct {
	*Scheduler
	t   *testing.T
	now time.Time
}

func newFixture(t *testing.T, workers int) *fixture {
	p := samplePolicy()
	p.MaxQueued = 1000
	f := &fixture{Scheduler: New(p), t: t, now: startTime}
	for i := range workers {
		f.addWorker(fmt.Sprintf("w%d", i), "x", 0)
	}
	return f
}

func (f *fixture) addWorker(id, pool string, accelerators int64) {
	w := cell.Worker{ID: cell.WorkerID(id), Zone: "z", Rack: "rack-" + id, Pool: pool, State: cell.WorkerLive}
	w.Capacity = cell.Resources{MilliCPU: 8000, MemoryMiB: 8192, Slots: 8, Accelerators: accelerators}
	f.UpsertWorker(w, true)
}

func task(id string, class cell.PriorityClass, cores int64) cell.Task {
	return cell.Task{ID: cell.TaskID(id), Kind: cell.KindBatch, Team: "a", Class: class, Claim: cell.Resources{MilliCPU: cores * 1000, Slots: 1}}
}

func (f *fixture) enqueue(tasks ...cell.Task) {
	f.t.Helper()
	for _, task := range tasks {
		if ok, reason := f.Enqueue(f.now, QueueItem{Task: task, Arrived: f.now}); !ok {
			f.t.Fatalf("%s refused: %s", task.ID, reason)
		}
	}
}

// schedule advances the clock by d, schedules, and returns the decisions as "place t w", "stop t w" and "expire t".
func (f *fixture) schedule(d time.Duration) string {
	f.now = f.now.Add(d)
	var out []string
	for _, d := range f.Schedule(f.now, 100) {
		switch d.Kind {
		case Place:
			out = append(out, fmt.Sprintf("place %s %s", d.Task.ID, d.Worker))
		case Stop:
			out = append(out, fmt.Sprintf("stop %s %s", d.Task.ID, d.Worker))
		case Expire:
			out = append(out, fmt.Sprintf("expire %s", d.Task.ID))
		}
	}
	return strings.Join(out, ", ")
}

func (f *fixture) expect(got, want string) {
	f.t.Helper()
	if got != want {
		f.t.Fatalf("decisions %q, want %q", got, want)
	}
}

func gangTasks(job string, size int, class cell.PriorityClass, cores int64) []cell.Task {
	var out []cell.Task
	for i := range size {
		m := task(fmt.Sprintf("%s-%d", job, i), class, cores)
		m.Kind, m.Job, m.GangSize = cell.KindGang, cell.JobID(job), size
		out = append(out, m)
	}
	return out
}

func TestAdmissionRefusals(t *testing.T) {
	f := newFixture(t, 2)
	big := task("big", cell.ClassBatch, 9)
	pool := task("pool", cell.ClassBatch, 1)
	pool.Pool = "media"
	gang := gangTasks("gang", 5, cell.ClassNormal, 4)[0]
	negative := task("negative", cell.ClassBatch, -1)
	late := QueueItem{Task: task("late", cell.ClassBatch, 1), Arrived: f.now, Deadline: f.now}
	cases := []struct {
		item QueueItem
		want cell.ReasonCode
	}{
		{QueueItem{Task: big}, cell.ReasonFitsNowhere},
		{QueueItem{Task: pool}, cell.ReasonFitsNowhere},
		{QueueItem{Task: gang}, cell.ReasonFitsNowhere},
		{QueueItem{Task: negative}, cell.ReasonInvalid},
		{late, cell.ReasonDeadline},
		{QueueItem{Task: task("fits", cell.ClassBatch, 8)}, cell.ReasonNone},
	}
	for _, c := range cases {
		ok, reason := f.Enqueue(f.now, c.item)
		if reason.Code != c.want || ok != (c.want == cell.ReasonNone) {
			t.Errorf("%s: accepted %v with %q, want %q", c.item.Task.ID, ok, reason, c.want)
		}
	}
}

func TestQueueBoundAllowsRequeues(t *testing.T) {
	f := newFixture(t, 1)
	f.policy.MaxQueued = 1
	f.enqueue(task("t1", cell.ClassBatch, 8))
	f.schedule(time.Second)
	f.enqueue(task("t2", cell.ClassBatch, 8))
	if _, reason := f.Enqueue(f.now, QueueItem{Task: task("t3", cell.ClassBatch, 8)}); reason.Code != cell.ReasonQueueFull {
		t.Fatalf("refused with %q, want queue_full", reason)
	}
	f.Requeue(f.now, QueueItem{Task: task("t1", cell.ClassBatch, 8), Arrived: startTime})
	f.expect(f.schedule(0), "place t1 w0")
}

func TestQueueBoundTakesGangsWhole(t *testing.T) {
	f := newFixture(t, 2)
	f.policy.MaxQueued = 4
	f.enqueue(task("t1", cell.ClassBatch, 8), task("t2", cell.ClassBatch, 8))
	f.enqueue(gangTasks("whole", 2, cell.ClassNormal, 4)...)
	f.Cancel("t2")
	if _, reason := f.Enqueue(f.now, QueueItem{Task: gangTasks("half", 2, cell.ClassNormal, 4)[0]}); reason.Code != cell.ReasonQueueFull {
		t.Fatalf("first task of a gang that does not fit into the queue: %q, want queue_full", reason)
	}
}

func TestDeadlineExpires(t *testing.T) {
	f := newFixture(t, 1)
	f.enqueue(task("t1", cell.ClassBatch, 8))
	f.schedule(0)
	f.Enqueue(f.now, QueueItem{Task: task("t2", cell.ClassBatch, 8), Arrived: f.now, Deadline: f.now.Add(time.Second)})
	f.expect(f.schedule(999*time.Millisecond), "")
	if wake := f.NextWake(f.now); !wake.Equal(startTime.Add(time.Second)) {
		t.Fatalf("NextWake = %v, want the deadline of t2", wake)
	}
	f.Release("t1")
	f.expect(f.schedule(time.Millisecond), "expire t2")
}

func TestOrderByClassThenShareThenAge(t *testing.T) {
	f := newFixture(t, 1)
	f.enqueue(task("blocker", cell.ClassBatch, 8))
	f.schedule(0)
	other := task("normal-c", cell.ClassNormal, 8)
	other.Team = "c"
	f.enqueue(task("batch", cell.ClassBatch, 8), task("normal-a", cell.ClassNormal, 8), task("normal-a2", cell.ClassNormal, 8), other)
	f.Release("blocker")
	f.expect(f.schedule(0), "place normal-a w0")
	f.Release("normal-a")
	f.Adopt(cell.Task{ID: "held", Team: "a", Claim: cell.Resources{MemoryMiB: 4096}}, "w0", f.now)
	f.expect(f.schedule(0), "place normal-c w0")
	f.Release("normal-c")
	f.now = f.now.Add(2 * time.Minute)
	f.enqueue(task("normal-a3", cell.ClassNormal, 8))
	f.expect(f.schedule(0), "place batch w0")
}

func TestAvoidedWorkersAreUsedLast(t *testing.T) {
	f := newFixture(t, 2)
	avoid := QueueItem{Task: task("t1", cell.ClassNormal, 4), Arrived: f.now, Avoid: []cell.WorkerID{"rack-w0"}}
	f.Enqueue(f.now, avoid)
	f.expect(f.schedule(0), "place t1 w1")
	avoid.Task = task("t2", cell.ClassNormal, 8)
	f.Enqueue(f.now, avoid)
	f.expect(f.schedule(0), "place t2 w0")
}

func TestAcceleratorsAreKeptForWorkThatNeedsThem(t *testing.T) {
	f := newFixture(t, 0)
	f.addWorker("a0", "x", 8)
	f.addWorker("b0", "x", 0)
	render := task("render", cell.ClassBatch, 1)
	render.Claim.Accelerators = 1
	f.enqueue(task("plain", cell.ClassBatch, 8), render, task("spill", cell.ClassBatch, 1))
	f.expect(f.schedule(0), "place plain b0, place render a0, place spill a0")
}

func TestServicesSpreadOverRacks(t *testing.T) {
	f := newFixture(t, 4)
	for i := range 4 {
		service := task(fmt.Sprintf("s%d", i), cell.ClassService, 1)
		service.Kind, service.Job = cell.KindService, "feed"
		service.Claim.MemoryMiB = 1024
		f.enqueue(service)
	}
	f.schedule(0)
	for _, w := range f.Workers() {
		if w.Tasks != 1 {
			t.Errorf("%s runs %d tasks of the service, want 1", w.Worker.ID, w.Tasks)
		}
	}
}

func TestPreemptionStopsTheCheapestSetAndHoldsItsCapacity(t *testing.T) {
	f := newFixture(t, 2)
	old, young, fixed := task("old", cell.ClassBatch, 8), task("young", cell.ClassBatch, 6), task("fixed", cell.ClassBatch, 2)
	old.Stoppable, young.Stoppable = true, true
	f.enqueue(old)
	f.schedule(0)
	f.enqueue(young, fixed)
	f.schedule(time.Minute)
	f.enqueue(task("urgent", cell.ClassUrgent, 4))
	f.now = f.now.Add(time.Second)
	stops := f.Schedule(f.now, 10)
	if len(stops) != 1 || stops[0].Kind != Stop || stops[0].Task.ID != "young" || stops[0].StopMode != platformapi.StopCheckpoint || stops[0].Preemptor != "urgent" {
		t.Fatalf("decisions %+v, want a stop of young for urgent with a checkpoint", stops)
	}
	f.enqueue(task("competitor", cell.ClassNormal, 6), task("small", cell.ClassNormal, 2))
	f.expect(f.schedule(0), "")
	f.Requeue(f.now, QueueItem{Task: young, Arrived: startTime})
	f.expect(f.schedule(time.Second), "place urgent w1, place small w1")
}

// TestHeldCapacityIsNotTaken frees the capacity that an urgent task holds in two steps, while a queued task would fit
// into what the first step frees.
func TestHeldCapacityIsNotTaken(t *testing.T) {
	f := newFixture(t, 1)
	for _, id := range []string{"v1", "v2"} {
		victim := task(id, cell.ClassBatch, 4)
		victim.Stoppable = true
		f.enqueue(victim)
	}
	f.schedule(0)
	f.enqueue(task("urgent", cell.ClassUrgent, 8))
	f.expect(f.schedule(0), "stop v1 w0, stop v2 w0")
	f.enqueue(task("competitor", cell.ClassNormal, 4))
	f.Release("v2")
	f.expect(f.schedule(time.Second), "")
	f.Release("v1")
	f.expect(f.schedule(time.Second), "place urgent w0")
}

func TestPreemptionSparesTasksStoppedOftenEnough(t *testing.T) {
	f := newFixture(t, 1)
	f.policy.PackingWeight = 1
	f.policy.MaxLostWorkShare = 1
	victim := task("victim", cell.ClassBatch, 8)
	victim.Stoppable = true
	f.enqueue(victim)
	f.schedule(0)
	for i := range defaultMaxPreemptions {
		id := fmt.Sprintf("urgent%d", i)
		f.enqueue(task(id, cell.ClassUrgent, 8))
		f.expect(f.schedule(0), "stop victim w0")
		f.Requeue(f.now, QueueItem{Task: victim, Arrived: startTime})
		f.expect(f.schedule(0), "place "+id+" w0")
		f.Release(cell.TaskID(id))
		f.expect(f.schedule(0), "place victim w0")
	}
	f.enqueue(task("last", cell.ClassUrgent, 8))
	f.expect(f.schedule(0), "")
}

func TestPreemptionIsBoundedByLostWork(t *testing.T) {
	f := newFixture(t, 1)
	victim := task("victim", cell.ClassBatch, 8)
	victim.Stoppable = true
	f.enqueue(victim)
	f.schedule(0)
	f.now = f.now.Add(time.Hour)
	f.enqueue(task("urgent", cell.ClassUrgent, 8))
	f.expect(f.schedule(0), "")
}

func TestHeadroomIsKeptForTheNextUrgentTask(t *testing.T) {
	f := newFixture(t, 1)
	f.policy.PackingWeight = 0.75
	f.enqueue(task("u1", cell.ClassUrgent, 4), task("long", cell.ClassNormal, 4))
	f.schedule(0)
	f.enqueue(task("batch", cell.ClassBatch, 4))
	f.Release("u1")
	f.expect(f.schedule(0), "")
	f.enqueue(task("u2", cell.ClassUrgent, 4))
	f.expect(f.schedule(time.Millisecond), "place u2 w0")
	f.Release("u2")
	f.expect(f.schedule(0), "")
	if wake := f.NextWake(f.now); !wake.Equal(f.now.Add(headroomDuration / 4)) {
		t.Fatalf("NextWake is %s from now, want the end of the headroom", wake.Sub(f.now))
	}
	f.expect(f.schedule(headroomDuration/4), "place batch w0")
}

func TestCapacityHoldExpiresWithoutRelease(t *testing.T) {
	f := newFixture(t, 2)
	victim := task("victim", cell.ClassBatch, 8)
	victim.Stoppable = true
	f.enqueue(victim, task("fixed", cell.ClassBatch, 8))
	f.schedule(0)
	f.enqueue(task("urgent", cell.ClassUrgent, 8))
	f.expect(f.schedule(0), "stop victim w0")
	f.Release("fixed")
	f.expect(f.schedule(time.Second), "")
	f.expect(f.schedule(2*time.Second), "place urgent w1")
}

func TestGangStartsWholeAndWaitsForItsMembers(t *testing.T) {
	f := newFixture(t, 2)
	gang := gangTasks("g", 3, cell.ClassNormal, 4)
	f.enqueue(gang[:2]...)
	f.expect(f.schedule(0), "")
	f.enqueue(gang[2])
	if got := f.schedule(0); strings.Count(got, "place g-") != len(gang) {
		t.Fatalf("decisions %q, want all 3 members placed", got)
	}
	var items []QueueItem
	for _, m := range gang {
		items = append(items, QueueItem{Task: m, Arrived: startTime})
	}
	f.Release("g-0")
	f.Requeue(f.now, items[2])
	f.RequeueGang(f.now, items[:2])
	f.enqueue(task("t", cell.ClassUrgent, 8))
	f.expect(f.schedule(0), "place t w0")
	f.Release("t")
	if got := f.schedule(0); strings.Count(got, "place g-") != len(gang) {
		t.Fatalf("decisions %q, want all 3 members placed", got)
	}
}

func TestGangStartsAgainWithoutMembersThatLeft(t *testing.T) {
	f := newFixture(t, 2)
	gang := gangTasks("g", 3, cell.ClassNormal, 4)
	f.enqueue(gang...)
	f.schedule(0)
	f.Release("g-0")
	f.RequeueGang(f.now, []QueueItem{{Task: gang[1], Arrived: startTime}, {Task: gang[2], Arrived: startTime}})
	if got := f.schedule(0); strings.Count(got, "place g-") != 2 {
		t.Fatalf("decisions %q, want the 2 members that are left placed", got)
	}
}

func TestUrgentGangStopsWorkAtOnce(t *testing.T) {
	f := newFixture(t, 2)
	for _, id := range []string{"v0", "v1"} {
		victim := task(id, cell.ClassBatch, 8)
		victim.Stoppable = true
		f.enqueue(victim)
	}
	f.schedule(0)
	f.enqueue(gangTasks("g", 2, cell.ClassUrgent, 8)...)
	f.expect(f.schedule(0), "stop v0 w0, stop v1 w1")
	f.enqueue(task("competitor", cell.ClassNormal, 8))
	f.Release("v0")
	f.expect(f.schedule(time.Second), "")
	f.Release("v1")
	f.expect(f.schedule(0), "place g-0 w0, place g-1 w1")
}

func TestReservationIsReleasedWhenItsWorkerIsLost(t *testing.T) {
	f := newFixture(t, 2)
	f.enqueue(task("r0", cell.ClassNormal, 8), task("r1", cell.ClassNormal, 8))
	f.schedule(0)
	f.enqueue(gangTasks("g", 2, cell.ClassNormal, 4)...)
	f.expect(f.schedule(0), "")
	f.RemoveWorker("w0")
	f.Release("r1")
	f.expect(f.schedule(0), "place g-0 w1, place g-1 w1")
}

// TestGangsThatCannotBePlannedHoldUpNoOther queues gangs that would have to wait for a service to end before a gang that
// would not.
func TestGangsThatCannotBePlannedHoldUpNoOther(t *testing.T) {
	f := newFixture(t, 2)
	service := task("service", cell.ClassService, 1)
	service.Kind = cell.KindService
	f.enqueue(service, task("r0", cell.ClassNormal, 7), task("r1", cell.ClassNormal, 8))
	f.schedule(0)
	f.enqueue(gangTasks("holder", 2, cell.ClassNormal, 4)...)
	f.schedule(0)
	for i := range 2 * maxPlansPerRound {
		for _, m := range gangTasks(fmt.Sprintf("big%d", i), 2, cell.ClassNormal, 8) {
			m.Claim.MemoryMiB = int64(i)
			f.enqueue(m)
		}
	}
	f.enqueue(gangTasks("ok", 2, cell.ClassNormal, 7)...)
	f.schedule(0)
	f.Cancel("holder-0")
	for range 4 {
		f.schedule(f.policy.AgeingStep / reservationSearchesPerStep)
	}
	if chain := f.Explain("ok-0").Chain; chain[0].Code != cell.ReasonGangReserved {
		t.Fatalf("the gang for which a reservation can be planned has none: %v", chain)
	}
}

// TestReservationOutlastsSmallWork keeps a full shard supplied with small tasks while a gang waits for whole workers.
func TestReservationOutlastsSmallWork(t *testing.T) {
	f := newFixture(t, 2)
	n := 0
	small := func() cell.Task {
		n++
		s := task(fmt.Sprintf("s%d", n), cell.ClassNormal, 1)
		s.EstimatedRun = time.Second
		return s
	}
	for range 32 {
		f.enqueue(small())
	}
	f.schedule(0)
	f.enqueue(gangTasks("g", 2, cell.ClassBatch, 8)...)
	for i := 1; i <= 16; i++ {
		f.schedule(time.Second)
		f.Release(cell.TaskID(fmt.Sprintf("s%d", i)))
		f.enqueue(small())
	}
	f.expect(f.schedule(time.Second), "place g-0 w0, place g-1 w1")
}

func TestBackfillCannotDelayTheReservedStart(t *testing.T) {
	cases := []struct {
		name      string
		estimate  time.Duration
		stoppable bool
		want      string
	}{
		{"ends in time at ten times its estimate", 6 * time.Second, false, "place fill w0"},
		{"might end late", 7 * time.Second, false, ""},
		{"no estimate", 0, false, ""},
		{"stoppable", 0, true, "place fill w0"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, 1)
			running := task("running", cell.ClassBatch, 4)
			running.EstimatedRun = time.Minute
			f.enqueue(running)
			f.schedule(0)
			f.enqueue(gangTasks("g", 2, cell.ClassNormal, 4)...)
			f.expect(f.schedule(0), "")
			fill := task("fill", cell.ClassNormal, 4)
			fill.EstimatedRun, fill.Stoppable = c.estimate, c.stoppable
			f.enqueue(fill)
			f.expect(f.schedule(0), c.want)
			if !c.stoppable {
				return
			}
			f.Release("running")
			f.expect(f.schedule(time.Second), "stop fill w0")
			f.Release("fill")
			f.expect(f.schedule(time.Second), "place g-0 w0, place g-1 w0")
		})
	}
}

func TestCancelledReservationFreesItsCapacity(t *testing.T) {
	f := newFixture(t, 1)
	f.enqueue(task("running", cell.ClassBatch, 4))
	f.schedule(0)
	f.enqueue(gangTasks("g", 2, cell.ClassNormal, 4)...)
	f.enqueue(task("t", cell.ClassBatch, 4))
	f.expect(f.schedule(0), "")
	f.Cancel("g-1")
	f.expect(f.schedule(0), "place t w0")
}

func TestExplainNamesTheFilters(t *testing.T) {
	f := newFixture(t, 2)
	f.addWorker("m0", "media", 8)
	f.enqueue(task("t1", cell.ClassNormal, 8), task("t2", cell.ClassNormal, 8))
	f.schedule(0)
	waiting := task("t3", cell.ClassBatch, 8)
	waiting.Pool = "x"
	limited := task("t4", cell.ClassBatch, 8)
	limited.Team = "b"
	f.enqueue(waiting, limited)
	f.Adopt(cell.Task{ID: "held", Team: "b", Claim: cell.Resources{MilliCPU: 16_000}}, "w0", f.now)
	f.schedule(0)
	cases := []struct {
		id   cell.TaskID
		want string
	}{
		{"t3", "behind_others: class batch, rank 3 after ageing, team share 0.3333, 0 units ahead; no_capacity: 3 workers: 1 of another pool, 0 not usable, 0 too small, 2 full, 0 set aside for other tasks, 0 with capacity"},
		{"t4", "quota: team b uses cpu=16000m mem=0MiB acc=0 slots=0"},
		{"t1", "placed: w0"},
	}
	for _, c := range cases {
		var chain []string
		for _, reason := range f.Explain(c.id).Chain {
			chain = append(chain, reason.String())
		}
		if got := strings.Join(chain, "; "); !strings.Contains(got, c.want) {
			t.Errorf("%s: %q, want %q", c.id, got, c.want)
		}
	}
}

// TestCancellationWaveLeavesNothingToScan cancels many queued tasks and counts what the next round would still visit.
func TestCancellationWaveLeavesNothingToScan(t *testing.T) {
	const wave = 100_000
	f := newFixture(t, 1)
	f.policy.MaxQueued = 2 * wave
	f.enqueue(task("running", cell.ClassNormal, 8))
	f.schedule(0)
	ids := make([]cell.TaskID, wave)
	for i := range ids {
		ids[i] = cell.TaskID(fmt.Sprintf("t%d", i))
		f.enqueue(task(string(ids[i]), cell.ClassNormal, int64(1+i%4)))
	}
	f.enqueue(task("last", cell.ClassBatch, 8))
	if dropped := f.Cancel(ids...); dropped != wave {
		t.Fatalf("Cancel dropped %d tasks, want 100000", dropped)
	}
	if len(f.entries) != 2 || len(f.lanes) != 1 || len(f.activeLanes) > 6 {
		t.Fatalf("%d entries, %d lanes and %d active lanes are left, want 2, 1 and at most 6", len(f.entries), len(f.lanes), len(f.activeLanes))
	}
	f.Release("running")
	f.expect(f.schedule(0), "place last w0")
}

// Guards against starts beyond the capacity of a worker that has shrunk, and against its capacity being lost when it grows again.
func TestWorkerWhoseCapacityShrinksAndGrows(t *testing.T) {
	f := newFixture(t, 1)
	f.enqueue(task("r0", cell.ClassNormal, 2), task("r1", cell.ClassNormal, 2))
	f.expect(f.schedule(0), "place r0 w0, place r1 w0")
	resize := func(cores int64) {
		w := cell.Worker{ID: "w0", Zone: "z", Rack: "rack-w0", Pool: "x", State: cell.WorkerLive}
		w.Capacity = cell.Resources{MilliCPU: 1000 * cores, MemoryMiB: 8192, Slots: 8}
		f.UpsertWorker(w, true)
	}
	resize(3)
	f.enqueue(task("r2", cell.ClassNormal, 2))
	f.expect(f.schedule(time.Second), "")
	f.Release("r0")
	f.expect(f.schedule(time.Second), "")
	resize(8)
	f.expect(f.schedule(time.Second), "place r2 w0")
}
