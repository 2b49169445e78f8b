package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/config"
	"laburnumpoint/internal/edge"
	"laburnumpoint/internal/job"
	"laburnumpoint/internal/platformapi"
	"laburnumpoint/internal/wire"
)

// Run implements edge.Commands.
func (n *Node) Run(ctx context.Context, r edge.RunRequest) cell.Outcome {
	arrived := time.Now()
	doc, reason := n.usableConfig(ctx)
	if reason.Code != cell.ReasonNone {
		return cell.NotRun(reason, defaultRetryAfter)
	}
	if reason := checkAdmission(doc, r.Task); reason.Code != cell.ReasonNone {
		return cell.NotRun(reason, 0)
	}
	q := routedRequest{
		task:        r.Task,
		maybeResent: r.Resendable && !r.FirstSend,
		pinned:      r.Resendable,
		caller:      r.Caller,
		arrived:     arrived,
		deadline:    arrived.Add(r.Timeout),
	}
	out := n.router.route(ctx, n.shardOrder(doc, q), q)
	if out.Attempt.Task == "" {
		out.Attempt.Task = r.Task.ID
	}
	return out
}

// shardOrder returns the shards to which q may be sent, in the order of preference. A pinned request has the same order
// on every entry VM.
func (n *Node) shardOrder(doc config.Document, q routedRequest) []cell.ShardID {
	shards := doc.Shards()
	if q.pinned {
		return rendezvous(string(q.task.ID), shards)
	}
	return orderByLoad(n.newRand(), q.task.Claim, n.capableShards(doc, shards, q.task), n.directory.digest)
}

// capableShards returns the shards with a worker that is large enough for the task, or all shards if none is known.
func (n *Node) capableShards(doc config.Document, shards []cell.ShardID, t cell.Task) []cell.ShardID {
	capable := make(map[cell.ShardID]bool)
	for _, w := range n.shardHost.allWorkers() {
		if canRun(w, t) {
			capable[doc.ShardOf(w)] = true
		}
	}
	var out []cell.ShardID
	for _, s := range shards {
		if capable[s] {
			out = append(out, s)
		}
	}
	if len(out) == 0 {
		return shards
	}
	return out
}

// canRun reports whether w, when idle, can run t.
func canRun(w cell.Worker, t cell.Task) bool {
	return w.State == cell.WorkerLive && (t.Pool == "" || t.Pool == w.Pool) && t.Claim.Fits(w.Capacity)
}

// checkAdmission returns why the configuration alone rules t out, or no reason.
func checkAdmission(doc config.Document, t cell.Task) cell.Reason {
	team, ok := doc.Teams[t.Team]
	if !ok {
		return cell.Reason{Code: cell.ReasonInvalid, Detail: fmt.Sprintf("team %q is not configured", t.Team)}
	}
	if t.Class == cell.ClassUrgent && !team.AllowUrgent {
		return cell.Reason{Code: cell.ReasonInvalid, Detail: fmt.Sprintf("team %q may not submit urgent work", t.Team)}
	}
	if overQuota(t.Claim, team.Quota) {
		return cell.Reason{Code: cell.ReasonQuota, Detail: "one task claims more than the quota of team " + t.Team}
	}
	return cell.Reason{}
}

// overQuota reports whether claim alone exceeds quota in a dimension that quota bounds.
func overQuota(claim, quota cell.Resources) bool {
	over := func(c, q int64) bool { return q > 0 && c > q }
	return over(claim.MilliCPU, quota.MilliCPU) || over(claim.MemoryMiB, quota.MemoryMiB) ||
		over(claim.Accelerators, quota.Accelerators) || over(claim.Slots, quota.Slots)
}

// SubmitJob implements edge.Commands.
func (n *Node) SubmitJob(ctx context.Context, j edge.Job) cell.Outcome {
	doc, reason := n.usableConfig(ctx)
	if reason.Code != cell.ReasonNone {
		return cell.NotRun(reason, defaultRetryAfter)
	}
	if reason := checkAdmission(doc, j.Template); reason.Code != cell.ReasonNone {
		return cell.NotRun(reason, 0)
	}
	spec := job.Spec{ID: j.ID, Kind: j.Kind, Count: j.Count, Template: j.Template}
	parts := job.Split(spec, n.shardCapacities(doc, j.Template))
	if parts == nil {
		return cell.NotRun(cell.Reason{Code: cell.ReasonFitsNowhere, Detail: n.noCapacityDetail(spec)}, 0)
	}
	record, err := n.jobs.Create(ctx, job.Record{Spec: spec, Parts: parts})
	if err != nil {
		return createFailureOutcome(err)
	}
	n.notifyOwners(ctx, record)
	return cell.Outcome{Result: cell.ResultCompleted, Reason: cell.Reason{Detail: "job " + string(j.ID) + " is durable"}}
}

func createFailureOutcome(err error) cell.Outcome {
	switch {
	case errors.Is(err, job.ErrExists):
		return cell.NotRun(cell.Reason{Code: cell.ReasonDuplicateKey, Detail: err.Error()}, 0)
	case errors.Is(err, platformapi.ErrUnavailable), errors.Is(err, platformapi.ErrConflict):
		return cell.NotRun(cell.Reason{Code: cell.ReasonStoreUnavailable, Detail: err.Error()}, defaultRetryAfter)
	default:
		return cell.Unknown(cell.Reason{Code: cell.ReasonStoreUnavailable, Detail: err.Error()}, defaultRetryAfter)
	}
}

// shardCapacities returns for how many tasks like t each shard has capacity: in all, by the platform's VM list, and
// free now, by the shards' digests.
func (n *Node) shardCapacities(doc config.Document, t cell.Task) []job.ShardCapacity {
	totals := make(map[cell.ShardID]int)
	for _, w := range n.shardHost.allWorkers() {
		if canRun(w, t) {
			totals[doc.ShardOf(w)] += fitCount(t.Claim, w.Capacity)
		}
	}
	zones := doc.ShardZones()
	var out []job.ShardCapacity
	for _, s := range doc.Shards() {
		capacity := job.ShardCapacity{Shard: s, Zone: zones[s], Total: totals[s]}
		if d := n.directory.digest(s); d != nil {
			capacity.Free = min(capacity.Total, fitCount(t.Claim, wire.ToResources(d.GetFree())))
		}
		out = append(out, capacity)
	}
	return out
}

// fitCount returns how many claims fit into capacity.
func fitCount(claim, capacity cell.Resources) int {
	n := int64(-1)
	for _, dimension := range [][2]int64{
		{claim.MilliCPU, capacity.MilliCPU},
		{claim.MemoryMiB, capacity.MemoryMiB},
		{claim.Accelerators, capacity.Accelerators},
		{claim.Slots, capacity.Slots},
	} {
		if dimension[0] > 0 && (n < 0 || dimension[1]/dimension[0] < n) {
			n = dimension[1] / dimension[0]
		}
	}
	return int(max(n, 0))
}

// noCapacityDetail says why no shard has the capacity for the job.
func (n *Node) noCapacityDetail(s job.Spec) string {
	if s.Kind == cell.KindGang {
		return fmt.Sprintf("no shard has capacity for %d tasks of %s at once in pool %q", s.Count, s.Template.Claim, s.Template.Pool)
	}
	return fmt.Sprintf("no worker has capacity for %s in pool %q", s.Template.Claim, s.Template.Pool)
}

// notifyOwners notifies the owners of the job's parts that its row has changed.
func (n *Node) notifyOwners(ctx context.Context, r job.Record) {
	shards := make([]cell.ShardID, len(r.Parts))
	for i, p := range r.Parts {
		shards[i] = p.Shard
	}
	_, err := n.callOwners(ctx, shards, func(s cell.ShardID) *wire.Request {
		notice := &wire.JobNotice{Shard: string(s), Job: string(r.Spec.ID)}
		return &wire.Request{Body: &wire.Request_JobNotice{JobNotice: notice}}
	})
	if err != nil {
		n.log.Warn().Str("job", string(r.Spec.ID)).Err(err).Msg("owners not notified of job; they find it at their next poll")
	}
}

// CancelJob implements edge.Commands.
func (n *Node) CancelJob(ctx context.Context, id cell.JobID) cell.Outcome {
	record, err := n.jobs.Cancel(ctx, id)
	switch {
	case errors.Is(err, platformapi.ErrNotFound):
		return cell.NotRun(cell.Reason{Code: cell.ReasonInvalid, Detail: fmt.Sprintf("job %q does not exist", id)}, 0)
	case errors.Is(err, platformapi.ErrUnavailable):
		return cell.NotRun(cell.Reason{Code: cell.ReasonStoreUnavailable}, defaultRetryAfter)
	case err != nil:
		return cell.Unknown(cell.Reason{Code: cell.ReasonStoreUnavailable, Detail: err.Error()}, defaultRetryAfter)
	}
	n.notifyOwners(ctx, record)
	return cell.Outcome{Result: cell.ResultCompleted}
}

// CancelTasks implements edge.Commands.
func (n *Node) CancelTasks(ctx context.Context, ids []cell.TaskID) (int, error) {
	doc, reason := n.usableConfig(ctx)
	if reason.Code != cell.ReasonNone {
		return 0, errors.New(reason.String())
	}
	tasks := make([]string, len(ids))
	for i, id := range ids {
		tasks[i] = string(id)
	}
	replies, err := n.callOwners(ctx, doc.Shards(), func(s cell.ShardID) *wire.Request {
		return &wire.Request{Body: &wire.Request_Cancel{Cancel: &wire.CancelRequest{Shard: string(s), Tasks: tasks}}}
	})
	if err != nil {
		return 0, err
	}
	return sumCancelled(replies)
}

// sumCancelled returns how many tasks the owners of all shards have cancelled. It returns an error if one has not answered, since its tasks
// may run on.
func sumCancelled(replies []*wire.Reply) (int, error) {
	total, missing := 0, 0
	for _, r := range replies {
		if r.GetCancel() == nil {
			missing++
		}
		total += int(r.GetCancel().GetCancelled())
	}
	if missing > 0 {
		return total, fmt.Errorf("%d of %d shards have not answered", missing, len(replies))
	}
	return total, nil
}

// Patch implements edge.Commands.
func (n *Node) Patch(ctx context.Context, p edge.Patch) edge.PatchResult {
	id := p.ID
	if id == "" {
		id = uuid.NewString()
	}
	return patchResult(n.configs.Submit(ctx, config.Patch{ID: id, Base: p.Base, Merge: p.Merge}))
}
