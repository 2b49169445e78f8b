package owner

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/flowcontrol"
)

// slowClient answers orders after a fixed time, whether or not their caller still waits. A share of the answers gets lost, and
// one worker never answers.
type slowClient struct {
	WorkerClient
	answerTime   time.Duration
	lossRate     float64
	silentWorker dispatch.WorkerID

	attempts atomic.Int64

	mu  sync.Mutex
	rng *rand.Rand
}

func (f *slowClient) call(ctx context.Context, w dispatch.WorkerID) bool {
	f.attempts.Add(1)
	f.mu.Lock()
	lost := f.rng.Float64() < f.lossRate || w == f.silentWorker
	f.mu.Unlock()
	if lost {
		<-ctx.Done()
		return false
	}
	select {
	case <-time.After(f.answerTime):
		return true
	case <-ctx.Done():
		return false
	}
}

func (f *slowClient) Start(ctx context.Context, w dispatch.Worker, _ StartCall) (dispatch.StartOutcome, error) {
	if f.call(ctx, w.ID) {
		return dispatch.Started, nil
	}
	return dispatch.StartInDoubt, ErrNoAnswer
}

// Each pattern sends 50 starts a second for 20 s. Where answers are slow but come, as over a full link, hardly a start may be
// repeated or remain in doubt. Where some get lost, or one of ten workers is silent, the others must start as soon as ever.
func TestStartsUnderSlowAndLostAnswers(t *testing.T) {
	const (
		starts  = 1000
		spacing = 20 * time.Millisecond
		workers = 10
	)
	cases := map[string]struct {
		client *slowClient
		// maxRepeats and maxInDoubt are shares of the starts, maxTime bounds the start that is slower than 90 of 100.
		maxRepeats, maxInDoubt float64
		maxTime                time.Duration
	}{
		"fast answers":        {&slowClient{answerTime: 5 * time.Millisecond}, 0, 0, 10 * time.Millisecond},
		"a full link":         {&slowClient{answerTime: 150 * time.Millisecond}, 0.1, 0, 200 * time.Millisecond},
		"an owner behind":     {&slowClient{answerTime: 500 * time.Millisecond}, 0.15, 0.02, 600 * time.Millisecond},
		"a fifth lost":        {&slowClient{answerTime: 5 * time.Millisecond, lossRate: 0.2}, 0.4, 0.01, 150 * time.Millisecond},
		"full link, losses":   {&slowClient{answerTime: 150 * time.Millisecond, lossRate: 0.2}, 0.5, 0.1, 900 * time.Millisecond},
		"one worker silent":   {&slowClient{answerTime: 5 * time.Millisecond, silentWorker: "0"}, 0.5, 0.1, 20 * time.Millisecond},
		"two fifths are lost": {&slowClient{answerTime: 5 * time.Millisecond, lossRate: 0.4}, 1, 0.05, 400 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := tc.client
				client.rng = rand.New(rand.NewPCG(1, 1))
				c := newTestController(t.Context(), client)
				c.validUntil.Store(int64(c.now().Add(time.Hour)))
				conns := make([]*workerConn, workers)
				for i := range conns {
					conns[i] = newTestConn(c, dispatch.WorkerID(rune('0'+i)))
				}
				var mu sync.Mutex
				var done sync.WaitGroup
				slow, inDoubt := 0, 0
				for i := range starts {
					done.Go(func() {
						sentAt := c.now()
						outcome := conns[i%workers].sendStart(StartCall{}, conns[i%workers].queue(flowcontrol.Normal)).outcome
						mu.Lock()
						defer mu.Unlock()
						if outcome != dispatch.Started {
							inDoubt++
						} else if c.now().Sub(sentAt) > tc.maxTime {
							slow++
						}
					})
					time.Sleep(spacing)
				}
				done.Wait()
				time.Sleep(10 * time.Second) // lets the attempts under way end
				if repeats := float64(client.attempts.Load()-starts) / starts; repeats > tc.maxRepeats {
					t.Errorf("%.3f repeats for each start, want %.3f at most", repeats, tc.maxRepeats)
				}
				if share := float64(inDoubt) / starts; share > tc.maxInDoubt {
					t.Errorf("%.3f of the starts in doubt, want %.3f at most", share, tc.maxInDoubt)
				}
				if share := float64(slow) / starts; share > 0.1 {
					t.Errorf("%.3f of the starts took longer than %s, want 0.1 at most", share, tc.maxTime)
				}
			})
		})
	}
}

// A start may wait for a place until its permit has expired. The worker would reject it, so it must not be sent.
func TestStartWhosePermitExpiresWhileItWaitsIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &slowClient{answerTime: time.Millisecond, silentWorker: "none", rng: rand.New(rand.NewPCG(1, 1))}
		c := newTestController(t.Context(), client)
		c.validUntil.Store(int64(c.now().Add(time.Hour)))
		for range c.Orders.MaxUnderWay {
			if err := c.gate.Join(0, flowcontrol.NewServer()).Wait(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		const wait = 100 * time.Millisecond
		time.AfterFunc(wait, c.gate.Leave)
		conn := newTestConn(c, "")
		expired := StartCall{Start: dispatch.Start{PermitUntil: c.now().Add(wait / 2)}}
		if outcome := conn.sendStart(expired, conn.queue(flowcontrol.Normal)).outcome; outcome != dispatch.StartNotSent || client.attempts.Load() > 0 {
			t.Errorf("start with an expired permit: %s after %d attempts, want it not sent", outcome, client.attempts.Load())
		}
		valid := StartCall{Start: dispatch.Start{PermitUntil: c.now().Add(wait)}}
		if outcome := conn.sendStart(valid, conn.queue(flowcontrol.Normal)).outcome; outcome != dispatch.Started {
			t.Errorf("start with a valid permit: %s, want started", outcome)
		}
	})
}
