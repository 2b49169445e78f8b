package owner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"laburnumpoint/internal/dispatch"
)

// lossyHoldsClient is the client of many workers, on each of which a run ends about every second. From lossesFrom on a share of the answers to
// hold calls gets lost. It records how long each end took to be heard.
type lossyHoldsClient struct {
	WorkerClient
	begun      time.Time
	lossesFrom time.Duration
	lossShare  float64

	mu  sync.Mutex
	rng *rand.Rand
	// nextEnd is when the first run of each worker ends that has not been heard of, since begun.
	nextEnd map[dispatch.WorkerID]time.Duration
	// delays are those of the ends heard since lossesFrom.
	delays []time.Duration
	holds  int
}

// runTime returns the time between two ends on one worker.
func (f *lossyHoldsClient) runTime() time.Duration {
	return 200*time.Millisecond + time.Duration(f.rng.Int64N(int64(1600*time.Millisecond)))
}

func (f *lossyHoldsClient) Hold(ctx context.Context, w dispatch.Worker, call HoldCall) (dispatch.Report, time.Duration, error) {
	f.mu.Lock()
	f.holds++
	if f.nextEnd[w.ID] == 0 {
		f.nextEnd[w.ID] = f.runTime()
	}
	nextEnd := f.nextEnd[w.ID]
	lost := time.Since(f.begun) >= f.lossesFrom && f.rng.Float64() < f.lossShare
	f.mu.Unlock()
	time.Sleep(max(time.Millisecond, min(call.Wait, nextEnd-time.Since(f.begun))))
	if lost {
		<-ctx.Done()
		return dispatch.Report{}, 0, ErrNoAnswer
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Since(f.begun)
	report := dispatch.Report{Running: []dispatch.RunningEntry{{RunKey: dispatch.RunKey{Number: 1}}}}
	for f.nextEnd[w.ID] <= now {
		if f.nextEnd[w.ID] >= f.lossesFrom {
			f.delays = append(f.delays, now-f.nextEnd[w.ID])
		}
		f.nextEnd[w.ID] += f.runTime()
	}
	return report, now, nil
}

// Workers leave a few percent of their calls unanswered for seconds, as they do when a switch is overloaded. Each lost answer to a hold
// call hides the ends of all runs on its worker: jobs with a dozen tasks then nearly all end late. With one end in fifty late, a job of
// a dozen tasks is in time four times out of five.
func TestEndsAreHeardSoonWhileAnswersGetLost(t *testing.T) {
	const (
		workers    = 100
		calmTime   = 10 * time.Second
		lossyTime  = 20 * time.Second
		wantHeard  = 0.98
		wantWithin = 700 * time.Millisecond
		// mostHolds bounds the calls a second in calm times: an end and a repeated wait for each worker.
		mostHolds = 2.5 * workers
	)
	runHoldTest(t, func(ctx context.Context, t *testing.T) {
		client := &lossyHoldsClient{
			begun: time.Now(), lossesFrom: calmTime, lossShare: 0.04, rng: rand.New(rand.NewPCG(1, 1)), nextEnd: map[dispatch.WorkerID]time.Duration{},
		}
		c := newTestController(ctx, client)
		c.validUntil.Store(int64(c.now().Add(time.Hour)))
		for i := range workers {
			c.addWorkerConn(dispatch.Worker{ID: dispatch.WorkerID(fmt.Sprintf("w%02d", i)), Pool: "p"}, false)
		}
		runLoop(c, calmTime, func() {})
		calmHolds := float64(client.holds) / calmTime.Seconds()
		if calmHolds > mostHolds {
			t.Errorf("%.0f hold calls a second in calm times, want at most %.0f", calmHolds, float64(mostHolds))
		}
		runLoop(c, lossyTime, func() {})
		slices.Sort(client.delays)
		within, _ := slices.BinarySearch(client.delays, wantWithin)
		share := float64(within) / float64(len(client.delays))
		t.Logf("%d ends, %.4f heard within %s, the last after %s; %.0f hold calls a second before, %.0f meanwhile", len(client.delays), share,
			wantWithin, client.delays[len(client.delays)-1], calmHolds, (float64(client.holds)-calmHolds*calmTime.Seconds())/lossyTime.Seconds())
		if share < wantHeard {
			t.Errorf("%.4f of the ends were heard within %s, want %.2f", share, wantWithin, wantHeard)
		}
	})
}

// Stop implements WorkerClient. The engine knows no job of the runs and stops them; they go on.
func (f *lossyHoldsClient) Stop(context.Context, dispatch.Worker, dispatch.RunKey, uint64) error {
	return nil
}
