package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"laburnumpoint/internal/wire"
)

// Guards against a session that stands still under a burst of relays: its streams waited to be read while their bytes kept it from reading on.
// The load is 1,000 commands at once, a tenth of them as large as jobs may be, twice.
func TestBurstOfRelaysOnOneSessionIsServed(t *testing.T) {
	const calls, large, small = 1000, 60_000, 100
	s := startServer(t, func(_ context.Context, r *wire.Request) *wire.Reply {
		return &wire.Reply{Body: &wire.Reply_Intake{Intake: &wire.IntakeReply{Result: "ok"}}}
	})
	client, _ := newTestClient(t)
	for range 2 {
		var failed atomic.Int64
		var all sync.WaitGroup
		for i := range calls {
			all.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				size := small
				if i%10 == 0 {
					size = large
				}
				req := &wire.Request{Body: &wire.Request_Intake{Intake: &wire.IntakeRequest{Job: "x", Record: make([]byte, size)}}}
				if _, err := client.Call(ctx, s.Addr(), req); err != nil {
					failed.Add(1)
				}
			})
		}
		all.Wait()
		if n := failed.Load(); n != 0 {
			t.Errorf("%d of %d calls failed", n, calls)
		}
	}
}
