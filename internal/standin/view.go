package standin

import (
	"context"
	"errors"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platform"
)

// fleetView is the fleet's runners as one member reaches them.
type fleetView struct {
	fleet  *Fleet
	member cell.MemberID
}

var _ platform.RunnerClient = fleetView{}

// Claim implements platform.Runner.
func (v fleetView) Claim(ctx context.Context, w cell.Worker, c platform.WorkerClaim) (platform.WorkerReport, error) {
	full, err := v.claimSince(ctx, w.ID, c, 0)
	report := full.Report
	for _, l := range full.Changed {
		report.Leases = append(report.Leases, l.Lease)
	}
	return report, err
}

func (v fleetView) claimSince(ctx context.Context, id cell.WorkerID, c platform.WorkerClaim, since uint64) (ClaimReport, error) {
	var report ClaimReport
	err := v.call(ctx, id, func(ctx context.Context, r *runner) error {
		var err error
		report, err = r.claim(ctx, c, since)
		return err
	})
	if err != nil {
		return ClaimReport{}, err
	}
	return report, nil
}

// Stop implements platform.Runner.
func (v fleetView) Stop(ctx context.Context, w cell.Worker, a cell.Attempt, epoch cell.Epoch, _ platform.StopMode) (cell.Lease, error) {
	var stopped cell.Lease
	err := v.call(ctx, w.ID, func(ctx context.Context, r *runner) error {
		var err error
		stopped, err = r.stop(ctx, a, epoch)
		return err
	})
	if err != nil {
		return cell.Lease{}, err
	}
	return stopped, nil
}

// Start implements platform.Runner.
func (v fleetView) Start(ctx context.Context, w cell.Worker, boot string, a cell.Attempt, t cell.Task, ttl time.Duration) platform.StartReply {
	return v.answer(ctx, w.ID, func(ctx context.Context, r *runner) platform.StartReply {
		return r.startAndAwait(ctx, boot, a, t, ttl)
	})
}

// Await implements platform.Runner.
func (v fleetView) Await(ctx context.Context, w cell.Worker, a cell.Attempt) platform.StartReply {
	return v.answer(ctx, w.ID, func(ctx context.Context, r *runner) platform.StartReply {
		return r.findAndAwait(ctx, a)
	})
}

// call makes a call whose failure of any kind but fencing leaves the worker unreachable.
func (v fleetView) call(ctx context.Context, id cell.WorkerID, do func(context.Context, *runner) error) error {
	vm := v.fleet.find(id)
	if vm == nil {
		return platform.ErrUnreachable
	}
	ctx, closeCall, err := vm.link.open(ctx, v.member)
	if err != nil {
		return platform.ErrUnreachable
	}
	defer closeCall()
	if vm.link.pass(ctx) != nil {
		return platform.ErrUnreachable
	}
	err = do(ctx, vm.runner)
	if vm.link.current().DropAnswers {
		return platform.ErrUnreachable
	}
	if err != nil && !errors.Is(err, platform.ErrFenced) {
		return platform.ErrUnreachable
	}
	return err
}

// answer makes a call that returns a task's answer.
func (v fleetView) answer(ctx context.Context, id cell.WorkerID, do func(context.Context, *runner) platform.StartReply) platform.StartReply {
	vm := v.fleet.find(id)
	if vm == nil || ctx.Err() != nil {
		return platform.StartReply{Result: platform.StartNotSent, Detail: errRefused.Error()}
	}
	ctx, closeCall, err := vm.link.open(ctx, v.member)
	if err != nil {
		return platform.StartReply{Result: platform.StartNotSent, Detail: err.Error()}
	}
	defer closeCall()
	if err := vm.link.pass(ctx); err != nil {
		return platform.StartReply{Result: platform.StartInDoubt, Detail: err.Error()}
	}
	reply := do(ctx, vm.runner)
	if f := vm.link.current(); f.DropAnswers || f.CutAnswers {
		return platform.StartReply{Result: platform.StartInDoubt, Detail: errCut.Error()}
	}
	return reply
}
