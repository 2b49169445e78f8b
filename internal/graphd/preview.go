package graphd

import (
	"context"

	"laburnumpoint/internal/entry"
	"laburnumpoint/internal/graph"
)

// preview says where a job's tasks would go now. It reports false if this daemon can't tell, since it is not the owner.
func (d *Daemon) preview(ctx context.Context, queue graph.Queue, organisation string, spec *graph.Spec) (entry.PreviewOutcome, bool) {
	result, ok := d.Owner.Preview(ctx, queue, organisation, spec)
	outcome := entry.PreviewOutcome{Preview: result.Preview, RetryAfter: result.RetryAfter}
	if result.Err != nil {
		outcome.Refusal = result.Err.Error()
	}
	return outcome, ok
}
