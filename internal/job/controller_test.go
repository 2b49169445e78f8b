package job

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platformapi"
	"laburnumpoint/internal/standin"
)

const testShard = cell.ShardID("a-0")

// fakeSubmitter keeps submitted tasks outstanding until the test ends them. It records a violation if a task is
// submitted while outstanding.
type fakeSubmitter struct {
	mu          sync.Mutex
	outstanding map[cell.TaskID]func(cell.Outcome)
	submitted   map[cell.TaskID]int
	violations  []string
	submissions chan cell.TaskID
}

func newFakeSubmitter() *fakeSubmitter {
	return &fakeSubmitter{
		outstanding: make(map[cell.TaskID]func(cell.Outcome)),
		submitted:   make(map[cell.TaskID]int),
		submissions: make(chan cell.TaskID, 1000),
	}
}

func (s *fakeSubmitter) SubmitTask(t cell.Task, done func(cell.Outcome)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outstanding[t.ID] != nil {
		s.violations = append(s.violations, fmt.Sprintf("%s submitted while outstanding", t.ID))
	}
	s.outstanding[t.ID] = done
	s.submitted[t.ID]++
	s.submissions <- t.ID
}

func (s *fakeSubmitter) CancelJob(id cell.JobID) int {
	s.mu.Lock()
	outstanding := s.outstanding
	s.outstanding = make(map[cell.TaskID]func(cell.Outcome))
	s.mu.Unlock()
	for _, done := range outstanding {
		go done(cell.NotRun(cell.Reason{Code: cell.ReasonCancelled}, 0))
	}
	return len(outstanding)
}

func (s *fakeSubmitter) end(t *testing.T, id cell.TaskID, o cell.Outcome) {
	t.Helper()
	s.mu.Lock()
	done := s.outstanding[id]
	delete(s.outstanding, id)
	s.mu.Unlock()
	if done == nil {
		t.Fatalf("%s is not outstanding", id)
	}
	done(o)
}

func (s *fakeSubmitter) await(t *testing.T, n int) []cell.TaskID {
	t.Helper()
	ids := make([]cell.TaskID, 0, n)
	for range n {
		ids = append(ids, <-s.submissions)
	}
	return ids
}

func testRecord(kind cell.TaskKind, count int) Record {
	return Record{
		Spec: Spec{
			ID:       "j",
			Kind:     kind,
			Count:    count,
			Template: cell.Task{Team: "t", Class: cell.ClassBatch, Idempotent: true},
		},
		Parts: []Part{{Shard: testShard, From: 0, To: count}},
	}
}

func startController(t *testing.T, store *Store, submitter TaskSubmitter) *Controller {
	t.Helper()
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	c := StartController(testShard, store, submitter, logger, func() {})
	t.Cleanup(func() { c.Stop(context.Background()) })
	return c
}

func awaitEnded(t *testing.T, store *Store) Record {
	t.Helper()
	for {
		r, _, err := store.Load(t.Context(), "j")
		if err != nil {
			t.Fatal(err)
		}
		if r.Ended() {
			return r
		}
		time.Sleep(time.Millisecond)
	}
}

func TestBatchRunsEachTaskToItsEnd(t *testing.T) {
	store := NewStore(standin.NewTable())
	if _, err := store.Create(t.Context(), testRecord(cell.KindBatch, 3)); err != nil {
		t.Fatal(err)
	}
	submitter := newFakeSubmitter()
	startController(t, store, submitter)
	submitter.await(t, 3)
	submitter.end(t, "j/0", cell.Outcome{Result: cell.ResultCompleted})
	submitter.end(t, "j/1", cell.Outcome{Result: cell.ResultFailed, Reason: cell.Reason{Code: cell.ReasonTaskFailed}})
	submitter.end(t, "j/2", cell.NotRun(cell.Reason{Code: cell.ReasonWorkerLost}, 0))
	submitter.await(t, 1)
	submitter.end(t, "j/2", cell.Outcome{Result: cell.ResultCompleted})
	got := awaitEnded(t, store).Closed[testShard]
	if want := (ResultCounts{Succeeded: 2, Failed: 1}); got != want {
		t.Errorf("counts = %+v, want %+v", got, want)
	}
	if len(submitter.violations) > 0 {
		t.Error(submitter.violations)
	}
}

func TestNextOwnerSkipsWhatIsDone(t *testing.T) {
	store := NewStore(standin.NewTable())
	if _, err := store.Create(t.Context(), testRecord(cell.KindBatch, 3)); err != nil {
		t.Fatal(err)
	}
	first := newFakeSubmitter()
	c := startController(t, store, first)
	first.await(t, 3)
	first.end(t, "j/1", cell.Outcome{Result: cell.ResultCompleted})
	c.Stop(context.Background())
	second := newFakeSubmitter()
	startController(t, store, second)
	second.await(t, 2)
	second.end(t, "j/0", cell.Outcome{Result: cell.ResultCompleted})
	second.end(t, "j/2", cell.Outcome{Result: cell.ResultCompleted})
	if got := awaitEnded(t, store).Closed[testShard].Succeeded; got != 3 {
		t.Errorf("succeeded = %d, want 3", got)
	}
	if n := second.submitted["j/1"]; n != 0 {
		t.Errorf("j/1, which had ended, was submitted %d times, want 0", n)
	}
}

func TestCancelledJobCloses(t *testing.T) {
	store := NewStore(standin.NewTable())
	if _, err := store.Create(t.Context(), testRecord(cell.KindBatch, 5)); err != nil {
		t.Fatal(err)
	}
	submitter := newFakeSubmitter()
	c := startController(t, store, submitter)
	submitter.await(t, 5)
	if _, err := store.Cancel(t.Context(), "j"); err != nil {
		t.Fatal(err)
	}
	c.NotifyJobChanged("j")
	if got := awaitEnded(t, store).Closed[testShard].Done(); got != 0 {
		t.Errorf("%d tasks of the cancelled job are counted as done, want 0", got)
	}
}

func TestServiceReplicaRestarts(t *testing.T) {
	store := NewStore(standin.NewTable())
	if _, err := store.Create(t.Context(), testRecord(cell.KindService, 1)); err != nil {
		t.Fatal(err)
	}
	submitter := newFakeSubmitter()
	startController(t, store, submitter)
	submitter.await(t, 1)
	submitter.end(t, "j/0", cell.Outcome{Result: cell.ResultFailed})
	submitter.await(t, 1)
}

func TestNonIdempotentTaskInDoubtIsNotSubmittedAgain(t *testing.T) {
	store := NewStore(standin.NewTable())
	r := testRecord(cell.KindBatch, 1)
	r.Spec.Template.Idempotent = false
	if _, err := store.Create(t.Context(), r); err != nil {
		t.Fatal(err)
	}
	submitter := newFakeSubmitter()
	startController(t, store, submitter)
	submitter.await(t, 1)
	submitter.end(t, "j/0", cell.Unknown(cell.Reason{Code: cell.ReasonInDoubt}, time.Second))
	if got := awaitEnded(t, store).Closed[testShard].InDoubt; got != 1 {
		t.Errorf("in doubt = %d, want 1", got)
	}
	if n := submitter.submitted["j/0"]; n != 1 {
		t.Errorf("j/0 was submitted %d times, want 1", n)
	}
}

func TestCreateResolvesALostAnswer(t *testing.T) {
	table := standin.NewTable()
	store := NewStore(table)
	table.SetFaults(standin.TableFaults{LoseAnswers: 1})
	if _, err := store.Create(t.Context(), testRecord(cell.KindBatch, 1)); err != nil {
		t.Errorf("Create whose answer was lost: %v", err)
	}
	if _, err := store.Create(t.Context(), testRecord(cell.KindBatch, 1)); err != nil {
		t.Errorf("Create of the same job again: %v", err)
	}
	if _, err := store.Create(t.Context(), testRecord(cell.KindBatch, 2)); !errors.Is(err, ErrExists) {
		t.Errorf("Create of another job with the same id: %v, want ErrExists", err)
	}
	table.SetFaults(standin.TableFaults{Down: true})
	if _, err := store.Create(t.Context(), testRecord(cell.KindBatch, 1)); !errors.Is(err, platformapi.ErrUnavailable) {
		t.Errorf("Create while the table is down: %v, want ErrUnavailable", err)
	}
}

func TestSweepRemovesEndedJobsOnly(t *testing.T) {
	store := NewStore(standin.NewTable())
	r := testRecord(cell.KindBatch, 2)
	r.Parts = []Part{{Shard: testShard, From: 0, To: 1}, {Shard: "b-0", From: 1, To: 2}}
	if _, err := store.Create(t.Context(), r); err != nil {
		t.Fatal(err)
	}
	hour := time.Unix(1_000_000, 0)
	closePart(t, store, testShard, hour)
	if err := store.Sweep(t.Context(), testShard, hour, hour.Add(time.Hour)); err != nil {
		t.Fatal(err)
	}
	if _, _, err := store.Load(t.Context(), "j"); err != nil {
		t.Fatalf("record of a job with an open part after the sweep: %v", err)
	}
	closePart(t, store, "b-0", hour)
	if err := store.Sweep(t.Context(), "b-0", hour, hour.Add(time.Hour)); err != nil {
		t.Fatal(err)
	}
	if _, _, err := store.Load(t.Context(), "j"); !errors.Is(err, platformapi.ErrNotFound) {
		t.Errorf("record of an ended job after the sweep: %v, want ErrNotFound", err)
	}
}

func closePart(t *testing.T, store *Store, shard cell.ShardID, now time.Time) {
	t.Helper()
	row, err := store.LoadPart(t.Context(), shard, "j")
	if err != nil {
		t.Fatal(err)
	}
	if err := store.ClosePart(t.Context(), shard, row, now); err != nil {
		t.Fatal(err)
	}
}

func TestSplit(t *testing.T) {
	capacities := []ShardCapacity{
		{Shard: "a-0", Zone: "a", Free: 10, Total: 100},
		{Shard: "b-0", Zone: "b", Free: 50, Total: 100},
		{Shard: "c-0", Zone: "c", Free: 0, Total: 50},
	}
	cases := []struct {
		name  string
		kind  cell.TaskKind
		count int
		want  string
	}{
		{"small batch goes to the shard with the most free capacity", cell.KindBatch, 10, "[{b-0 0 10}]"},
		{"large batch is divided by total capacity", cell.KindBatch, 251, "[{a-0 0 101} {b-0 101 201} {c-0 201 251}]"},
		{"gang stays in one shard", cell.KindGang, 60, "[{b-0 0 60}]"},
		{"gang too large for every shard", cell.KindGang, 101, "[]"},
		{"service is spread over zones", cell.KindService, 4, "[{a-0 0 2} {b-0 2 3} {c-0 3 4}]"},
	}
	for _, c := range cases {
		got := fmt.Sprint(Split(Spec{Kind: c.kind, Count: c.count}, capacities))
		if got != c.want {
			t.Errorf("%s: Split = %s, want %s", c.name, got, c.want)
		}
	}
}

// Guards against a job's task that ends its workers being submitted again without end, also by the next owner of the part.
func TestTaskThatEndsItsWorkersIsNotSubmittedForEver(t *testing.T) {
	lost := cell.Unknown(cell.Reason{Code: cell.ReasonRetryBudget}, 0)
	lost.LostAttempts = 1
	for _, kind := range []cell.TaskKind{cell.KindBatch, cell.KindService} {
		t.Run(string(kind), func(t *testing.T) {
			p := newPartState(testRecord(kind, 1), Part{Shard: testShard, To: 1}, PartRow{})
			now := time.Now()
			for n := 1; ; n++ {
				p.takeNext()
				_, again := p.recordOutcome(0, lost, now)
				if again != (n < maxLostAttempts) {
					t.Fatalf("submitted again after %d lost attempts: %t", n, again)
				}
				if !again {
					break
				}
				p.markResubmitted()
				p = newPartState(p.record, p.bounds, p.snapshot())
			}
			if !p.finished() {
				t.Error("the part is open although its only task was given up")
			}
		})
	}
}

// Guards against a service being given up for crashes that lie far apart.
func TestReplicaWithRareCrashesIsRestarted(t *testing.T) {
	lost := cell.Outcome{Result: cell.ResultFailed, Reason: cell.Reason{Code: cell.ReasonWorkerLost}, LostAttempts: 1}
	p := newPartState(testRecord(cell.KindService, 1), Part{Shard: testShard, To: 1}, PartRow{})
	p.takeNext()
	now := time.Now()
	for range 3 * maxLostAttempts {
		if _, again := p.recordOutcome(0, lost, now); !again {
			t.Fatal("the replica is not restarted")
		}
		p.markResubmitted()
		now = now.Add(time.Hour)
	}
}
