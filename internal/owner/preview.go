package owner

import (
	"context"
	"sync/atomic"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
)

// previewInterval is the least time between two previews. One takes the control loop up to 10 ms, so that they take at most a fiftieth of its
// time.
const previewInterval = 500 * time.Millisecond

// previewLimiter admits one preview at a time, and one in each previewInterval.
type previewLimiter struct {
	busy   atomic.Bool
	nextAt atomic.Int64
}

// begin reports whether a preview may begin, or else when the next one may. A preview that began must end with end.
func (l *previewLimiter) begin(now monotime.Instant) (retryAfter time.Duration, ok bool) {
	if wait := monotime.Instant(l.nextAt.Load()).Sub(now); wait > 0 {
		return wait, false
	}
	if !l.busy.CompareAndSwap(false, true) {
		return previewInterval, false
	}
	return 0, true
}

func (l *previewLimiter) end(now monotime.Instant) {
	l.nextAt.Store(int64(now.Add(previewInterval)))
	l.busy.Store(false)
}

// PreviewResult is the answer to a question for a preview.
type PreviewResult struct {
	Preview *dispatch.Preview
	// RetryAfter is set if the question came too soon after another one, or while that is answered.
	RetryAfter time.Duration
	// Err is set if the job is too large for a preview.
	Err error
}

// Preview says where a job's tasks would go now; ok is false if this daemon does not own the cell or has no answer before ctx ends.
func (d *Daemon) Preview(ctx context.Context, queue graph.Queue, organisation string, spec *graph.Spec) (result PreviewResult, ok bool) {
	c := d.controller.Load()
	if c == nil {
		return PreviewResult{}, false
	}
	retryAfter, admitted := c.previews.begin(c.now())
	if !admitted {
		return PreviewResult{RetryAfter: retryAfter}, true
	}
	answers := make(chan PreviewResult, 1)
	c.post(func() {
		defer func() { c.previews.end(c.now()) }()
		if ctx.Err() != nil {
			return // nobody waits for the answer
		}
		answers <- c.preview(queue, organisation, spec)
	})
	select {
	case result := <-answers:
		return result, true
	case <-ctx.Done():
	case <-c.ctx.Done():
	}
	return PreviewResult{}, false
}

func (c *controller) preview(queue graph.Queue, organisation string, spec *graph.Spec) PreviewResult {
	if current, ok := c.Queue(queue.Name); ok {
		queue = current
	}
	preview, err := c.engine.Preview(dispatch.JobInput{Queue: queue, Organisation: organisation, Spec: spec})
	if err != nil {
		return PreviewResult{Err: err}
	}
	return PreviewResult{Preview: &preview}
}
