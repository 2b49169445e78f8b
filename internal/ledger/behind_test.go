package ledger

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime/monotimetest"
	"laburnumpoint/internal/rowstore"
)

// forgetfulStore has lost its history before a version. Its feed goes on after its caller has left, as on the platform, where a
// call ends at its deadline only.
type forgetfulStore struct {
	*gatedStore
	oldest atomic.Uint64
}

func (s *forgetfulStore) Feed(ctx context.Context, table string, after uint64, wait time.Duration) ([]rowstore.Change, uint64, error) {
	if after < s.oldest.Load() {
		return nil, 0, rowstore.ErrHistoryLost
	}
	return s.gatedStore.Feed(context.WithoutCancel(ctx), table, after, wait)
}

func testReplica(store rowstore.Store, self Self) *Replica {
	clock := monotimetest.Clock{Start: time.Now()}
	return NewReplica(store, clock, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, self)
}

var oneTask = JobRecord{
	Queue: graph.Queue{Name: "q", Pool: "p", Attempts: 1},
	Spec:  &graph.Spec{Steps: []graph.Step{{Count: 1, Claim: graph.Claim{MilliCPU: 1}}}},
}

// A new owner catches up while its follower still takes in an older answer: a worker that was removed and is in use again is
// not missing.
func TestWorkerInUseIsNotRemovedByAnOlderChange(t *testing.T) {
	r := testReplica(rowstore.NewMemory(), Self{})
	key := workerKey("w")
	put := func(version uint64) rowstore.Change {
		return rowstore.Change{Row: rowstore.Row{Key: key, Value: encode(WorkerRecord{}), Version: version}}
	}
	removed := rowstore.Change{Row: rowstore.Row{Key: key, Version: 2}, Removed: true}
	r.applyAll(rowstore.Update{Changes: []rowstore.Change{put(1), removed, put(3)}})
	r.applyAll(rowstore.Update{Changes: []rowstore.Change{put(1), removed}})
	if len(r.Workers()) != 1 {
		t.Error("a worker in use is missing from the copy")
	}
}
