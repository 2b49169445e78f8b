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
)

// crowdedRunners is reached by an owner whose processor does one thing at a time: each request and each answer takes its turn,
// whether anybody still waits for it or not.
type crowdedRunners struct {
	WorkerClient
	mu sync.Mutex
	// freeAt is when the processor has done all that it was given.
	freeAt time.Time
	rng    *rand.Rand
	// lost is the share of the answers that get lost.
	lost float64
	// closed counts the connections that were left with a call that had no answer and have to be opened again.
	closed int
}

const (
	// crowdedTurn is what a request or an answer takes of the processor.
	crowdedTurn = 400 * time.Microsecond
	// crowdedDial is what opening a connection takes of it.
	crowdedDial = 400 * time.Microsecond
)

// turn waits for the processor, which is busy for d with what the caller gives it.
func (r *crowdedRunners) turn(d time.Duration) {
	r.mu.Lock()
	now := time.Now()
	if r.freeAt.Before(now) {
		r.freeAt = now
	}
	r.freeAt = r.freeAt.Add(d)
	wait := r.freeAt.Sub(now)
	r.mu.Unlock()
	time.Sleep(wait)
}

func (r *crowdedRunners) setLost(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost = share
}

// call is one request; it reports whether its answer came in time.
func (r *crowdedRunners) call(ctx context.Context) bool {
	r.mu.Lock()
	lost, took := r.rng.Float64() < r.lost, crowdedTurn
	if r.closed > 0 {
		r.closed--
		took += crowdedDial
	}
	r.mu.Unlock()
	r.turn(took)
	if !lost {
		r.turn(crowdedTurn)
	}
	deadline, _ := ctx.Deadline()
	if !lost && time.Now().Before(deadline) {
		return true
	}
	time.Sleep(time.Until(deadline))
	r.mu.Lock()
	r.closed++
	r.mu.Unlock()
	return false
}

func (r *crowdedRunners) Start(ctx context.Context, _ dispatch.Worker, _ StartCall) (dispatch.StartOutcome, error) {
	if r.call(ctx) {
		return dispatch.Started, nil
	}
	return dispatch.StartInDoubt, ErrNoAnswer
}

func (r *crowdedRunners) Stop(ctx context.Context, _ dispatch.Worker, _ dispatch.RunKey, _ uint64) error {
	if r.call(ctx) {
		return nil
	}
	return ErrNoAnswer
}

// Pattern: while 0.4 of the answers get lost, the owner's processor is taken for a second, as after a takeover, so that all
// answers come late. Orders that are sent again must not keep it busy for good: once the trouble is over, no task for which
// there is room waits for its start longer than the users allow.
func TestOrdersSentAgainDoNotHoldUpAnswers(t *testing.T) {
	const (
		rooms    = 600
		runs     = time.Second // with a request and an answer for each start, about half of the processor
		trouble  = 10 * time.Second
		mostWait = 3 * time.Second // by the users' rule on jobs that stand still
		after    = 4*time.Second + mostWait
	)
	synctest.Test(t, func(t *testing.T) {
		runners := &crowdedRunners{rng: rand.New(rand.NewPCG(1, 1)), lost: 0.4}
		c := newTestControl(t.Context(), runners)
		c.validUntil.Store(int64(c.now().Add(time.Hour)))
		end := c.now().Add(trouble + after)
		waits := make([]time.Duration, rooms) // of the tasks that have not started in the end
		var done sync.WaitGroup
		for i := range rooms {
			done.Go(func() {
				l := &link{c: c}
				time.Sleep(time.Duration(i) * runs / rooms)
				free := c.now()
				for c.now() < end {
					if outcome, _ := l.sendStart(StartCall{}); outcome == dispatch.Started {
						time.Sleep(runs)
						free = c.now()
						continue
					}
					for c.now() < end && l.sendStop(dispatch.RunKey{}) != nil {
						time.Sleep(500 * time.Millisecond) // until the engine sends it again
					}
				}
				waits[i] = end.Sub(free)
			})
		}
		time.Sleep(trouble / 2)
		runners.turn(time.Second)
		time.Sleep(trouble/2 - time.Second)
		runners.setLost(0)
		done.Wait()
		if longest := slices.Max(waits); longest > mostWait {
			t.Errorf("a task waits for its start since %s with room for it, want %s at most", longest, mostWait)
		}
		time.Sleep(time.Minute) // the calls under way
	})
}
