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

// interruptibleStore answers each call after a millisecond, with an error while it is unavailable.
type interruptibleStore struct {
	*rowstore.MemoryStore
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
	return s.MemoryStore.Apply(ctx, tx)
}

func (s *interruptibleStore) Range(ctx context.Context, table, part, from, to string) ([]rowstore.Row, string, uint64, error) {
	if err := s.checkAvailable(); err != nil {
		return nil, "", 0, err
	}
	return s.MemoryStore.Range(ctx, table, part, from, to)
}

func (s *interruptibleStore) Feed(ctx context.Context, table string, after uint64, wait time.Duration) ([]rowstore.Change, uint64, error) {
	if err := s.checkAvailable(); err != nil {
		return nil, 0, err
	}
	return s.MemoryStore.Feed(ctx, table, after, wait)
}

// takeoverFixture holds an owner that commits at a high rate, and the replica of a daemon that takes over at any moment and that
// the store doesn't answer at times.
type takeoverFixture struct {
	successorStore *interruptibleStore
	owner          *Ownership
	successor      *Replica
	// committed is what the owner has committed.
	committed map[graph.JobID]dispatch.Progress
	runs      uint64
}

func newTakeoverFixture(ctx context.Context) (*takeoverFixture, error) {
	clock := monotimetest.Clock{Start: time.Now()}
	discard := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	memory := rowstore.NewMemoryStore()
	f := &takeoverFixture{successorStore: &interruptibleStore{MemoryStore: memory}, committed: make(map[graph.JobID]dispatch.Progress)}
	f.successor = NewReplica(f.successorStore, clock, discard, DaemonInfo{Incarnation: "b"})
	f.successor.SetDaemonCount(40)
	go f.successor.Run(ctx)
	ownerReplica := NewReplica(memory, clock, discard, DaemonInfo{Incarnation: "a"})
	var err error
	f.owner, err = ownerReplica.Acquire(ctx, ownerReplica.Owner(), OwnerRecord{Node: "a", Incarnation: "a"})
	time.Sleep(time.Second)
	return f, err
}

// commitProgress commits a new end of a run for some of a hundred jobs, numbered from first.
func (f *takeoverFixture) commitProgress(ctx context.Context, jobs, first int) error {
	batch := Batch{Progress: make(map[graph.JobID]dispatch.Progress)}
	for n := range jobs {
		f.runs++
		id := graph.JobID(fmt.Sprintf("%016x", (first+n)%100))
		batch.Progress[id] = dispatch.Progress{State: graph.Running, Started: true, Steps: []dispatch.StepProgress{{FailedRuns: []uint64{f.runs}}}}
	}
	if err := f.owner.Commit(ctx, batch); err != nil {
		return err
	}
	maps.Copy(f.committed, batch.Progress)
	return nil
}

// takeOver makes the other daemon the owner, and compares its replica, as it is before the first order, with what the previous
// owner has committed.
func (f *takeoverFixture) takeOver(ctx context.Context) error {
	if err := f.successor.ReadOwner(ctx); err != nil {
		return err
	}
	ownership, err := f.successor.Acquire(ctx, f.successor.Owner(), OwnerRecord{Node: "b", Incarnation: "b"})
	if err != nil {
		return err
	}
	if err := ownership.CatchUp(ctx); err != nil {
		return err
	}
	for id, want := range f.committed {
		if !f.successorHas(id, want) {
			return fmt.Errorf("job %s: the successor's progress differs from the committed one", id)
		}
	}
	return nil
}

func (f *takeoverFixture) successorHas(id graph.JobID, want dispatch.Progress) bool {
	f.successor.mu.RLock()
	defer f.successor.mu.RUnlock()
	j := f.successor.jobs[id]
	return j != nil && reflect.DeepEqual(*j.Progress, want)
}

// takeoverAction is one step of a random history before a takeover.
type takeoverAction struct {
	kind string
	// jobs and first are the number of jobs whose progress is committed and the first of them; wait is the time of a "wait".
	jobs, first int
	wait        time.Duration
}

func drawTakeover(t *rapid.T) []takeoverAction {
	actions := make([]takeoverAction, rapid.IntRange(1, 80).Draw(t, "actions"))
	for i := range actions {
		actions[i] = takeoverAction{
			kind:  rapid.SampledFrom([]string{"commit", "commit", "commit", "disconnect", "reconnect", "wait"}).Draw(t, "kind"),
			jobs:  rapid.IntRange(1, 80).Draw(t, "jobs"),
			first: rapid.IntRange(0, 99).Draw(t, "first"),
			wait:  time.Duration(rapid.IntRange(1, 600).Draw(t, "ms")) * time.Millisecond,
		}
	}
	return actions
}

func runTakeover(ctx context.Context, actions []takeoverAction) error {
	f, err := newTakeoverFixture(ctx)
	if err != nil {
		return err
	}
	for _, a := range actions {
		switch a.kind {
		case "commit":
			if err := f.commitProgress(ctx, a.jobs, a.first); err != nil {
				return err
			}
		case "disconnect":
			f.successorStore.unavailable.Store(true)
		case "reconnect":
			f.successorStore.unavailable.Store(false)
		case "wait":
			time.Sleep(a.wait)
		}
	}
	f.successorStore.unavailable.Store(false)
	return f.takeOver(ctx)
}

// The owner commits several hundred ends of runs a second while another daemon, which the store didn't answer for a while, is
// behind by more than one answer of the feed, and takes over. Before its first order it must know all that was committed.
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

// A copy that is behind by several answers of the feed must not count as current, and must catch up without pauses.
func TestCopyThatIsBehindIsNotCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancelAndWait(cancel)
		f, err := newTakeoverFixture(ctx)
		if err != nil {
			t.Fatal(err)
		}
		f.successorStore.unavailable.Store(true)
		time.Sleep(time.Second)
		for range 100 {
			if err := f.commitProgress(ctx, 80, 0); err != nil {
				t.Fatal(err)
			}
		}
		f.successorStore.unavailable.Store(false)
		reconnectedAt := time.Now()
		const last = graph.JobID("0000000000000000")
		for !f.successorHas(last, f.committed[last]) {
			if age := f.successor.Age(); age < time.Since(reconnectedAt) {
				t.Fatalf("a copy that lacks changes reports an age of %s, %s after the store answers again", age, time.Since(reconnectedAt))
			}
			time.Sleep(time.Millisecond)
		}
		if took := time.Since(reconnectedAt); took > time.Second {
			t.Errorf("caught up after %s, want within a second", took)
		}
	})
}
