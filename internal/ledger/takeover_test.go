package ledger

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"reflect"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"pgregory.net/rapid"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime/monotimetest"
	"laburnumpoint/internal/rowstore"
)

// interruptibleStore turns its daemon away while it is shut, and answers after a millisecond otherwise.
type interruptibleStore struct {
	*rowstore.Memory
	unavailable atomic.Bool
}

func (s *interruptibleStore) checkAvailable() error {
	time.Sleep(time.Millisecond)
	if s.unavailable.Load() {
		return rowstore.ErrUnavailable
	}
	return nil
}

func (s *interruptibleStore) Apply(ctx context.Context, tx rowstore.Tx) (uint64, []rowstore.Row, error) {
	if err := s.checkAvailable(); err != nil {
		return 0, nil, err
	}
	return s.Memory.Apply(ctx, tx)
}

func (s *interruptibleStore) Range(ctx context.Context, table, part, from, to string) ([]rowstore.Row, string, uint64, error) {
	if err := s.checkAvailable(); err != nil {
		return nil, "", 0, err
	}
	return s.Memory.Range(ctx, table, part, from, to)
}

func (s *interruptibleStore) Feed(ctx context.Context, table string, after uint64, wait time.Duration) ([]rowstore.Change, uint64, error) {
	if err := s.checkAvailable(); err != nil {
		return nil, 0, err
	}
	return s.Memory.Feed(ctx, table, after, wait)
}

// takeoverFixture is an owner that records ends at a high rate, and a daemon that the store turns away now and then and that
// takes over at any moment.
type takeoverFixture struct {
	successorStore *interruptibleStore
	owner          *Ownership
	successor      *Replica
	committed      map[graph.JobID]dispatch.Progress
	runs           uint64
}

func newTakeoverFixture(ctx context.Context) (*takeoverFixture, error) {
	clock := monotimetest.Clock{Start: time.Now()}
	quiet := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	memory := rowstore.NewMemory()
	w := &takeoverFixture{successorStore: &interruptibleStore{Memory: memory}, committed: make(map[graph.JobID]dispatch.Progress)}
	w.successor = NewReplica(w.successorStore, clock, quiet, DaemonInfo{Incarnation: "b"})
	w.successor.SetDaemonCount(40)
	go w.successor.Run(ctx)
	owner := NewReplica(memory, clock, quiet, DaemonInfo{Incarnation: "a"})
	var err error
	w.owner, err = owner.Acquire(ctx, owner.Owner(), OwnerRecord{Node: "a", Incarnation: "a"})
	time.Sleep(time.Second)
	return w, err
}

// record has the owner record ends of so many of a hundred jobs.
func (w *takeoverFixture) record(ctx context.Context, jobs, first int) error {
	batch := Batch{Progress: make(map[graph.JobID]dispatch.Progress)}
	for n := range jobs {
		w.runs++
		id := graph.JobID(fmt.Sprintf("%016x", (first+n)%100))
		batch.Progress[id] = dispatch.Progress{State: graph.Running, Started: true, Steps: []dispatch.StepProgress{{FailedRuns: []uint64{w.runs}}}}
	}
	if err := w.owner.Commit(ctx, batch); err != nil {
		return err
	}
	maps.Copy(w.committed, batch.Progress)
	return nil
}

// takeOver makes the other daemon the owner, and compares what it knows before its first order with what is durable.
func (w *takeoverFixture) takeOver(ctx context.Context) error {
	if err := w.successor.ReadOwner(ctx); err != nil {
		return err
	}
	tenure, err := w.successor.Acquire(ctx, w.successor.Owner(), OwnerRecord{Node: "b", Incarnation: "b"})
	if err != nil {
		return err
	}
	if err := tenure.CatchUp(ctx); err != nil {
		return err
	}
	for id, want := range w.committed {
		if !w.successorHas(id, want) {
			return fmt.Errorf("job %s: the successor has another progress than the store", id)
		}
	}
	return nil
}

func (w *takeoverFixture) successorHas(id graph.JobID, want dispatch.Progress) bool {
	w.successor.mu.RLock()
	defer w.successor.mu.RUnlock()
	j := w.successor.jobs[id]
	return j != nil && reflect.DeepEqual(*j.Progress, want)
}

// takeoverAction is one step of a random history.
type takeoverAction struct {
	kind string
	// jobs and first choose the jobs that the owner records; wait is how long nothing happens.
	jobs, first int
	wait        time.Duration
}

func drawTakeover(t *rapid.T) []takeoverAction {
	actions := make([]takeoverAction, rapid.IntRange(1, 80).Draw(t, "actions"))
	for i := range actions {
		actions[i] = takeoverAction{
			kind:  rapid.SampledFrom([]string{"record", "record", "record", "shut", "open", "wait"}).Draw(t, "kind"),
			jobs:  rapid.IntRange(1, 80).Draw(t, "jobs"),
			first: rapid.IntRange(0, 99).Draw(t, "first"),
			wait:  time.Duration(rapid.IntRange(1, 600).Draw(t, "ms")) * time.Millisecond,
		}
	}
	return actions
}

func runTakeover(ctx context.Context, actions []takeoverAction) error {
	w, err := newTakeoverFixture(ctx)
	if err != nil {
		return err
	}
	for _, a := range actions {
		switch a.kind {
		case "record":
			if err := w.record(ctx, a.jobs, a.first); err != nil {
				return err
			}
		case "shut":
			w.successorStore.unavailable.Store(true)
		case "open":
			w.successorStore.unavailable.Store(false)
		case "wait":
			time.Sleep(a.wait)
		}
	}
	w.successorStore.unavailable.Store(false)
	return w.takeOver(ctx)
}

// Pattern: the owner records several hundred ends a second while another daemon, which the store had turned away, is behind
// by more than one answer of the feed, and takes over. Before its first order it knows all that is durable.
func TestSuccessorKnowsAllThatIsDurable(t *testing.T) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(rt *rapid.T) {
		actions := drawTakeover(rt)
		var err error
		synctest.Test(t, func(*testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancelAndWait(cancel)
			err = runTakeover(ctx, actions)
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// A copy that is behind by several answers of the feed is not taken for a current one, and catches up without pauses.
func TestCopyThatIsBehindIsNotCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancelAndWait(cancel)
		w, err := newTakeoverFixture(ctx)
		if err != nil {
			t.Fatal(err)
		}
		w.successorStore.unavailable.Store(true)
		time.Sleep(time.Second)
		for range 100 {
			if err := w.record(ctx, 80, 0); err != nil {
				t.Fatal(err)
			}
		}
		w.successorStore.unavailable.Store(false)
		returned := time.Now()
		const last = graph.JobID("0000000000000000")
		for !w.successorHas(last, w.committed[last]) {
			if age := w.successor.Age(); age < time.Since(returned) {
				t.Fatalf("a copy that lacks changes says that it is %s old, %s after the return", age, time.Since(returned))
			}
			time.Sleep(time.Millisecond)
		}
		if took := time.Since(returned); took > time.Second {
			t.Errorf("caught up after %s, want within a second", took)
		}
	})
}
