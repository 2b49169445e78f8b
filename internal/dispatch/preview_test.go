package dispatch

import (
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"
	"time"

	"laburnumpoint/internal/graph"
)

// previewJob returns a job of one or two steps for the world's pool.
func (w *placesWorld) previewJob() JobInput {
	queue := wideQueue
	queue.Priority = w.rng.IntN(3)
	step := graph.Step{Count: 1 + w.rng.IntN(25), Claim: graph.Resources{MilliCPU: 4000 + w.rng.Int64N(30000), MemoryMB: 1000}, Estimate: time.Second}
	switch w.rng.IntN(4) {
	case 0:
		step.DataRack = "r03"
	case 1:
		step.SameRack = true
	case 2:
		step.SameRack, step.Gang = true, true
	}
	if w.rng.IntN(3) == 0 {
		step.MaxPerWorker = 1 + w.rng.IntN(2)
	}
	return JobInput{ID: graph.JobID(fmt.Sprint("previewed-", len(w.jobs))), Queue: queue, Spec: &graph.Spec{Steps: []graph.Step{step}}}
}

// settle plans until the steps that wait have taken what they can of the capacity that the last orders have freed.
func (w *placesWorld) settle() {
	for range 10 {
		orders := w.Plan(0)
		if len(orders) == 0 {
			return
		}
		for _, order := range orders {
			w.execute(order)
		}
	}
}

// A preview that chose otherwise than the next plan would mislead: for jobs of many shapes in a busy pool, the tasks that Plan starts
// and those that wait must be the previewed ones.
func TestPreviewChoosesAsPlanDoes(t *testing.T) {
	compared, placed, waits := 0, 0, 0
	for _, background := range []float64{0.2, 0.6} {
		l := localityLoad{background: background, hot: 0.6, rate: 34, gangs: 3, factor: 2}
		w := l.run(t, 1, nil, 2*time.Second)
		for range 100 {
			w.tick()
			w.settle()
			places, waiting := comparePreview(t, w)
			compared, placed, waits = compared+1, placed+places, waits+waiting
		}
	}
	t.Logf("%d jobs compared, %d workers chosen, %d tasks wait", compared, placed, waits)
	if placed < 100 || waits == 0 {
		t.Errorf("%d workers chosen, %d tasks wait: too few to compare", placed, waits)
	}
}

// comparePreview compares the preview of a job with the next plan. It returns the number of workers chosen and of tasks that wait.
func comparePreview(t *testing.T, w *placesWorld) (places, waiting int) {
	in := w.previewJob()
	preview, err := w.Preview(in)
	if err != nil {
		t.Fatal(err)
	}
	want, wantWait := make(map[WorkerID]int), 0
	for _, place := range preview.Steps[0].Places {
		want[place.Worker] = place.Tasks
	}
	if wait := preview.Steps[0].Wait; wait != nil {
		wantWait = wait.Tasks
	}
	j := w.add("previewed", in.Queue, 1, in.Spec.Steps...)
	got := make(map[WorkerID]int)
	for _, order := range w.Plan(0) {
		if start, ok := order.(Start); ok && start.Task.Job == j.id {
			got[start.Worker]++
		}
		w.execute(order)
	}
	for _, task := range w.Engine.jobs[j.id].occurrence(0).steps[0].tasks {
		if task.locality.wait != nil {
			waiting++
		}
	}
	if !maps.Equal(got, want) || waiting != wantWait {
		t.Fatalf("step %+v: Plan starts %v and lets %d wait, the preview was %v and %d", in.Spec.Steps[0], got, waiting, want, wantWait)
	}
	return len(got), waiting
}

// A preview must leave no trace: a world with previews in every round must give the same orders, counts and events as one without.
func TestPreviewChangesNothing(t *testing.T) {
	run := func(previews bool) *placesWorld {
		l := localityLoad{background: 0.6, hot: 0.6, rate: 34, gangs: 3, factor: 2, drains: true}
		w := l.run(t, 1, nil, 2*time.Second)
		for range 200 {
			w.tick()
			in := w.previewJob()
			if w.rng.IntN(2) == 0 {
				in.Queue.Permit = &graph.PermitLatency{Base: time.Millisecond}
			}
			if previews {
				if _, err := w.Preview(in); err != nil {
					t.Fatal(err)
				}
			}
		}
		return w
	}
	with, without := run(true), run(false)
	if !slices.Equal(with.orders, without.orders) {
		t.Error("the orders differ")
	}
	if a, b := with.Stats(), without.Stats(); a != b {
		t.Errorf("counts %+v, without previews %+v", a, b)
	}
	if a, b := with.LocalityStats(), without.LocalityStats(); a != b {
		t.Errorf("counts of waits %+v, without previews %+v", a, b)
	}
	if a, b := with.TakeLocalityEvents(), without.TakeLocalityEvents(); !reflect.DeepEqual(a, b) {
		t.Errorf("%d events, without previews %d", len(a), len(b))
	}
	if a, b := len(with.Engine.jobs), len(without.Engine.jobs); a != b {
		t.Errorf("%d jobs, without previews %d", a, b)
	}
}

// Each requirement that a worker fails must be counted under its own reason, and the expected times must include permits and the
// longer run away from the data.
func TestPreviewTellsReasons(t *testing.T) {
	c, _ := newRackFixture(t, 2, 5*time.Second)
	add := func(id string, change func(*Worker)) {
		w := Worker{ID: WorkerID(id), Pool: "p", Rack: "r2", Capacity: graph.Resources{MilliCPU: 1000, MemoryMB: 1000}, Labels: []string{"fast"}}
		change(&w)
		c.PutWorker(w)
		c.SetReachable(w.ID, true)
	}
	add("away", func(*Worker) {})
	add("draining", func(w *Worker) { w.Draining = true })
	add("unlabelled", func(w *Worker) { w.Labels = nil })
	add("small", func(w *Worker) { w.Capacity.MilliCPU = 50 })
	add("spare", func(*Worker) {})
	add("near", func(w *Worker) { w.Rack, w.Capacity.MilliCPU = "r1", 100 })
	c.planByKind()
	step := dataStep(12, time.Second)
	step.Label = "fast"
	later := plainStep(1, 0)
	preview, err := c.Preview(JobInput{Queue: plainQueue, Spec: &graph.Spec{Steps: []graph.Step{step, later}}})
	if err != nil {
		t.Fatal(err)
	}
	first := preview.Steps[0]
	if len(first.Places) != 2 || first.Places[0].Worker != "away" || first.Places[0].Tasks != 10 || first.Places[1].Tasks != 2 {
		t.Errorf("places %+v, want 10 tasks on one worker and 2 on another", first.Places)
	}
	for _, place := range first.Places {
		if !place.Away || place.Reason != PlaceAway || *place.StartMS != 0 || *place.EndMS != 2000 {
			t.Errorf("place %+v, want one away from the data from 0 to 2000 ms", place)
		}
	}
	want := []RefusedPreview{{RefusedUnavailable, 1, 0}, {RefusedLabel, 1, 0}, {RefusedRoom, 2, 1}}
	if !slices.Equal(first.Refused, want) {
		t.Errorf("refused %+v, want %+v", first.Refused, want)
	}
	if second := preview.Steps[1]; !slices.Equal(second.After, []int{0}) || len(second.Places) != 1 || second.Places[0].StartMS != nil {
		t.Errorf("second step %+v, want a place without times after step 0", second)
	}
	queue := plainQueue
	queue.Permit = &graph.PermitLatency{Base: 100 * time.Millisecond}
	preview, err = c.Preview(JobInput{Queue: queue, Spec: &graph.Spec{Steps: []graph.Step{plainStep(40)}}})
	if err != nil {
		t.Fatal(err)
	}
	permitted := preview.Steps[0]
	if permitted.Permits == nil || permitted.Permits.Workers != 5 || permitted.Permits.LatencyMS != 100 || *permitted.Places[0].StartMS != 100 {
		t.Errorf("step %+v, permits %+v, want 5 workers asked about, two of them full, and starts after 100 ms", permitted, permitted.Permits)
	}
	if permitted.NoRoom == nil || permitted.NoRoom.Tasks != 10 || *permitted.NoRoom.FirstStartMS != 5000 {
		t.Errorf("no room %+v, want 10 tasks, the first of them after 5 s", permitted.NoRoom)
	}
}

// A job that is large for the pool would keep the owner from its work: the preview must be refused.
func TestPreviewIsBounded(t *testing.T) {
	w := newPlacesWorld(t, 1, 2, 12, 21)
	w.tick()
	step := plainStep(maxPreviewEvaluations/252 + 1)
	var tooLarge *PreviewTooLargeError
	if _, err := w.Preview(JobInput{Queue: wideQueue, Spec: &graph.Spec{Steps: []graph.Step{step}}}); !errors.As(err, &tooLarge) {
		t.Errorf("error %v, want the job to be too large", err)
	}
	began := time.Now()
	step.Count--
	if _, err := w.Preview(JobInput{Queue: wideQueue, Spec: &graph.Spec{Steps: []graph.Step{step}}}); err != nil {
		t.Error(err)
	}
	t.Logf("the largest preview took %s", time.Since(began))
}

// A preview for a pool that has no workers must say so and not fail.
func TestPreviewWithoutWorkers(t *testing.T) {
	c := newFixture(t, 1)
	c.SetRemoteFactor(2)
	queue := plainQueue
	queue.Permit = &graph.PermitLatency{Base: time.Millisecond}
	gang := sameRackStep(2, true)
	preview, err := c.Preview(JobInput{Queue: queue, Spec: &graph.Spec{Steps: []graph.Step{gang, dataStep(1, time.Second)}}})
	if err != nil || preview.Steps[0].NoRoom == nil || preview.Steps[0].NoRoom.Tasks != 2 || preview.Steps[1].NoRoom == nil {
		t.Errorf("preview %+v, error %v, want no room for any task", preview, err)
	}
}

// A worker that fails its runs is named as such. The failure is an explanation by another reason, such as room, which sends an
// operator to look for the wrong fault.
func TestPreviewNamesEjectedWorkers(t *testing.T) {
	c, _ := ejectedFixture(t)
	preview, err := c.Preview(JobInput{Queue: plainQueue, Spec: &graph.Spec{Steps: []graph.Step{plainStep(9)}}})
	if err != nil {
		t.Fatal(err)
	}
	want := []RefusedPreview{{RefusedEjected, 1, 0}}
	if got := preview.Steps[0].Refused; !slices.Equal(got, want) {
		t.Errorf("refused %+v, want %+v", got, want)
	}
}
