package standin

import (
	"context"
	"errors"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platformapi"
)

// memberClient is a client of the fleet's runners under the name of one member.
type memberClient struct {
	fleet  *Fleet
	member cell.MemberID
}

var _ platformapi.RunnerClient = memberClient{}

// Claim implements platformapi.RunnerClient.
func (m memberClient) Claim(ctx context.Context, w cell.Worker, c platformapi.WorkerClaim) (platformapi.WorkerReport, error) {
	full, err := m.claimSince(ctx, w.ID, c, 0)
	report := full.Report
	for _, l := range full.Changed {
		report.Leases = append(report.Leases, l.Lease)
	}
	return report, err
}

func (m memberClient) claimSince(ctx context.Context, id cell.WorkerID, c platformapi.WorkerClaim, since uint64) (ClaimReport, error) {
	var report ClaimReport
	err := m.callRunner(ctx, id, func(ctx context.Context, r *runner) error {
		var err error
		report, err = r.claim(ctx, c, since)
		return err
	})
	if err != nil {
		return ClaimReport{}, err
	}
	return report, nil
}

// Stop implements platformapi.RunnerClient.
func (m memberClient) Stop(ctx context.Context, w cell.Worker, a cell.Attempt, epoch cell.Epoch, _ platformapi.StopMode) (cell.Lease, error) {
	var stopped cell.Lease
	err := m.callRunner(ctx, w.ID, func(ctx context.Context, r *runner) error {
		var err error
		stopped, err = r.stop(ctx, a, epoch)
		return err
	})
	if err != nil {
		return cell.Lease{}, err
	}
	return stopped, nil
}

// Start implements platformapi.RunnerClient.
func (m memberClient) Start(ctx context.Context, w cell.Worker, bootID string, a cell.Attempt, t cell.Task, ttl time.Duration) platformapi.StartReply {
	return m.callForAnswer(ctx, w.ID, func(ctx context.Context, r *runner) platformapi.StartReply {
		return r.startAndAwait(ctx, bootID, a, t, ttl)
	})
}

// Await implements platformapi.RunnerClient.
func (m memberClient) Await(ctx context.Context, w cell.Worker, a cell.Attempt) platformapi.StartReply {
	return m.callForAnswer(ctx, w.ID, func(ctx context.Context, r *runner) platformapi.StartReply {
		return r.findAndAwait(ctx, a)
	})
}

// callRunner makes a claim or stop call. Its only errors are ErrFenced and ErrUnreachable.
func (m memberClient) callRunner(ctx context.Context, id cell.WorkerID, do func(context.Context, *runner) error) error {
	vm := m.fleet.find(id)
	if vm == nil {
		return platformapi.ErrUnreachable
	}
	ctx, closeCall, err := vm.link.open(ctx, m.member)
	if err != nil {
		return platformapi.ErrUnreachable
	}
	defer closeCall()
	if vm.link.applyFaults(ctx) != nil {
		return platformapi.ErrUnreachable
	}
	err = do(ctx, vm.runner)
	if vm.link.currentFaults().DropAnswers {
		return platformapi.ErrUnreachable
	}
	if err != nil && !errors.Is(err, platformapi.ErrFenced) {
		return platformapi.ErrUnreachable
	}
	return err
}

// callForAnswer makes a start or await call. A call that doesn't reach the runner is not sent; one that reached it and
// whose answer is lost or truncated is in doubt.
func (m memberClient) callForAnswer(ctx context.Context, id cell.WorkerID, do func(context.Context, *runner) platformapi.StartReply) platformapi.StartReply {
	vm := m.fleet.find(id)
	if vm == nil || ctx.Err() != nil {
		return platformapi.StartReply{Result: platformapi.StartNotSent, Detail: errRefused.Error()}
	}
	ctx, closeCall, err := vm.link.open(ctx, m.member)
	if err != nil {
		return platformapi.StartReply{Result: platformapi.StartNotSent, Detail: err.Error()}
	}
	defer closeCall()
	if err := vm.link.applyFaults(ctx); err != nil {
		return platformapi.StartReply{Result: platformapi.StartInDoubt, Detail: err.Error()}
	}
	reply := do(ctx, vm.runner)
	if f := vm.link.currentFaults(); f.DropAnswers || f.TruncateAnswers {
		return platformapi.StartReply{Result: platformapi.StartInDoubt, Detail: errConnectionClosed.Error()}
	}
	return reply
}
