package entry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"laburnumpoint/internal/graph"
)

// slowStoreResult is what submissions over a slow store took.
type slowStoreResult struct {
	answers       map[Result]int
	p50, p99, max time.Duration
	// writes and relays are how many writes the store applied and how many commands were relayed.
	writes, relays int64
}

// submitOverSlowStore submits jobs evenly at the given rate to random daemons for ten seconds, while each write takes the delay and
// waits for earlier ones of its part, and each read takes the delay.
func submitOverSlowStore(t *testing.T, delay time.Duration, perSecond int) (r slowStoreResult) {
	synctest.Test(t, func(t *testing.T) {
		cell := newTestCell(t, 36)
		queues := &partQueues{free: map[string]time.Time{}}
		for _, d := range cell.daemons {
			d.store.parts = queues
			d.store.delay.Store(int64(delay))
		}
		time.Sleep(2 * time.Second)
		rng := rand.New(rand.NewPCG(1, 1))
		var mu sync.Mutex
		var times []time.Duration
		var pending sync.WaitGroup
		r.answers = map[Result]int{}
		for i := range 10 * perSecond {
			id := graph.JobID(fmt.Sprintf("%016x", rng.Uint64()))
			daemon := 1 + i%35
			pending.Go(func() {
				answer, took := cell.submit(daemon, id)
				mu.Lock()
				defer mu.Unlock()
				r.answers[answer.Result]++
				times = append(times, took)
			})
			time.Sleep(time.Second / time.Duration(perSecond))
		}
		pending.Wait()
		slices.Sort(times)
		r.p50, r.p99, r.max = times[len(times)/2], times[len(times)*99/100], times[len(times)-1]
		r.writes, r.relays = queues.writes, cell.relayed()
	})
	return r
}

// A submission over a store sixty times slower than usual takes the time of its own write and of those before it in its part. It
// guards against a second write that is sent while the first one only waits: it delays the writes of other jobs, and at
// twice the usual load each delayed write would cause another one.
func TestSubmissionsOverASlowStore(t *testing.T) {
	const delay = 240 * time.Millisecond
	for _, c := range []struct {
		perSecond          int
		p99, max           time.Duration
		maxRepeatedPercent int64
	}{
		{50, 600 * time.Millisecond, 720 * time.Millisecond, 1},
		{100, 900 * time.Millisecond, 1200 * time.Millisecond, 1},
	} {
		r := submitOverSlowStore(t, delay, c.perSecond)
		jobs := 10 * c.perSecond
		t.Logf("%d jobs a second: %v, p50 %s, p99 %s, at most %s, %d writes, %d relays", c.perSecond, r.answers, r.p50, r.p99, r.max, r.writes, r.relays)
		if r.answers[OK] != jobs || r.p50 > delay || r.p99 > c.p99 || r.max > c.max {
			t.Errorf("%d jobs a second: want all of %d accepted, p50 %s, p99 %s, at most %s", c.perSecond, jobs, delay, c.p99, c.max)
		}
		if repeated := r.writes - int64(jobs); repeated*100 > int64(jobs)*c.maxRepeatedPercent {
			t.Errorf("%d jobs a second: %d of the writes are repeated, want at most %d%%", c.perSecond, repeated, c.maxRepeatedPercent)
		}
	}
}
