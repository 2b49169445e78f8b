package owner

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/flowcontrol"
)

// singleThreadedClient is the worker client of an owner whose processor does one thing at a time: each request and each answer
// takes processor time in turn, whether or not its caller still waits.
type singleThreadedClient struct {
	WorkerClient
	mu sync.Mutex
	// idleAt is when the processor will have done all work that it was given.
	idleAt time.Time
	rng    *rand.Rand
	// lossRate is the share of the answers that get lost.
	lossRate float64
	// abandonedConns is the number of connections that were closed after a call without an answer and have to be opened again.
	abandonedConns int
}

const (
	// messageCost is the processor time of a request or an answer.
	messageCost = 400 * time.Microsecond
	// dialCost is the processor time of opening a connection.
	dialCost = 400 * time.Microsecond
)

// useProcessor gives the processor work of length d and waits until it is done.
func (r *singleThreadedClient) useProcessor(d time.Duration) {
	r.mu.Lock()
	now := time.Now()
	if r.idleAt.Before(now) {
		r.idleAt = now
	}
	r.idleAt = r.idleAt.Add(d)
	wait := r.idleAt.Sub(now)
	r.mu.Unlock()
	time.Sleep(wait)
}

func (r *singleThreadedClient) setLossRate(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lossRate = share
}

// call sends one request and reports whether its answer came in time.
func (r *singleThreadedClient) call(ctx context.Context) bool {
	r.mu.Lock()
	lost, requestCost := r.rng.Float64() < r.lossRate, messageCost
	if r.abandonedConns > 0 {
		r.abandonedConns--
		requestCost += dialCost
	}
	r.mu.Unlock()
	r.useProcessor(requestCost)
	if !lost {
		r.useProcessor(messageCost)
	}
	deadline, _ := ctx.Deadline()
	if !lost && time.Now().Before(deadline) {
		return true
	}
	time.Sleep(time.Until(deadline))
	r.mu.Lock()
	r.abandonedConns++
	r.mu.Unlock()
	return false
}

func (r *singleThreadedClient) Start(ctx context.Context, _ dispatch.Worker, _ StartCall) (dispatch.StartOutcome, error) {
	if r.call(ctx) {
		return dispatch.Started, nil
	}
	return dispatch.StartInDoubt, ErrNoAnswer
}

func (r *singleThreadedClient) Stop(ctx context.Context, _ dispatch.Worker, _ dispatch.RunKey, _ uint64) error {
	if r.call(ctx) {
		return nil
	}
	return ErrNoAnswer
}

// While 0.4 of the answers get lost, the owner's processor is busy for a second, as after a takeover, so that all answers come
// late. The orders that are sent again must not keep the processor busy from then on: once no more answers get lost, no task with
// a free slot may wait for its start longer than the users allow.
func TestOrdersSentAgainDoNotHoldUpAnswers(t *testing.T) {
	const (
		slots       = 600
		runTime     = time.Second // with a request and an answer for each start, this takes about half of the processor
		lossTime    = 10 * time.Second
		maxWait     = 3 * time.Second // by the users' rule on jobs that make no progress
		recoverTime = 4*time.Second + maxWait
	)
	synctest.Test(t, func(t *testing.T) {
		client := &singleThreadedClient{rng: rand.New(rand.NewPCG(1, 1)), lossRate: 0.4}
		c := newTestController(t.Context(), client)
		c.validUntil.Store(int64(c.now().Add(time.Hour)))
		end := c.now().Add(lossTime + recoverTime)
		waits := make([]time.Duration, slots) // how long each slot has been free at the end
		var done sync.WaitGroup
		for i := range slots {
			conn := newTestConn(c, "")
			done.Go(func() {
				time.Sleep(time.Duration(i) * runTime / slots)
				freeSince := c.now()
				for c.now() < end {
					if outcome := conn.sendStart(StartCall{}, conn.queue(flowcontrol.Normal)).outcome; outcome == dispatch.Started {
						time.Sleep(runTime)
						freeSince = c.now()
						continue
					}
					for c.now() < end && conn.sendStop(dispatch.RunKey{}, conn.queue(flowcontrol.Stop)) != nil {
						time.Sleep(500 * time.Millisecond) // until the engine orders the stop again
					}
				}
				waits[i] = end.Sub(freeSince)
			})
		}
		time.Sleep(lossTime / 2)
		client.useProcessor(time.Second)
		time.Sleep(lossTime/2 - time.Second)
		client.setLossRate(0)
		done.Wait()
		if longest := slices.Max(waits); longest > maxWait {
			t.Errorf("a task has waited %s for its start with a free slot, want %s at most", longest, maxWait)
		}
		time.Sleep(time.Minute) // lets the calls under way end
	})
}
