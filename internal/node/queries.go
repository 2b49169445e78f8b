package node

import (
	"context"
	"errors"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/config"
	"laburnumpoint/internal/edge"
	"laburnumpoint/internal/job"
	"laburnumpoint/internal/platformapi"
	"laburnumpoint/internal/wire"
)

// Job implements edge.Queries. It combines the counts of the job's record with those of the owners of its open parts
// that answer.
func (n *Node) Job(ctx context.Context, id cell.JobID) (edge.JobStatus, bool, error) {
	record, _, err := n.jobs.Load(ctx, id)
	if errors.Is(err, platformapi.ErrNotFound) {
		return edge.JobStatus{}, false, nil
	}
	if err != nil {
		return edge.JobStatus{}, false, err
	}
	out := edge.JobStatus{ID: id, Kind: record.Spec.Kind, Count: record.Spec.Count}
	open := n.addClosedParts(&out, record)
	err = n.addOpenParts(ctx, &out, id, open)
	return out, true, err
}

// addClosedParts adds the final counts of the closed parts to out and returns the shards of the open parts.
func (n *Node) addClosedParts(out *edge.JobStatus, record job.Record) []cell.ShardID {
	var open []cell.ShardID
	for _, p := range record.Parts {
		counts, closed := record.Closed[p.Shard]
		if !closed {
			open = append(open, p.Shard)
			continue
		}
		out.Succeeded += counts.Succeeded
		out.Failed += counts.Failed + counts.InDoubt
		out.Cancelled += p.To - p.From - counts.Done()
	}
	return open
}

// addOpenParts adds the current counts of the parts in shards to out, as their owners report them.
func (n *Node) addOpenParts(ctx context.Context, out *edge.JobStatus, id cell.JobID, shards []cell.ShardID) error {
	replies, err := n.callOwners(ctx, shards, func(s cell.ShardID) *wire.Request {
		return &wire.Request{Body: &wire.Request_JobStatus{JobStatus: &wire.JobStatusRequest{Shard: string(s), Job: string(id)}}}
	})
	if err != nil {
		return err
	}
	for _, r := range replies {
		s := r.GetJobStatus()
		out.Queued += int(s.GetQueued())
		out.Running += int(s.GetRunning())
		out.Succeeded += int(s.GetSucceeded())
		out.Failed += int(s.GetFailed() + s.GetInDoubt())
		out.Cancelled += int(s.GetCancelled())
		if code := s.GetReason().GetCode(); code != "" {
			out.Reasons = append(out.Reasons, wire.ToReason(s.GetReason()))
		}
	}
	return nil
}

// Explain implements edge.Queries.
func (n *Node) Explain(ctx context.Context, id cell.TaskID) (edge.Explanation, bool, error) {
	v, _ := n.configs.Current()
	shards := v.Document.Shards()
	replies, err := n.callOwners(ctx, shards, func(s cell.ShardID) *wire.Request {
		return &wire.Request{Body: &wire.Request_Explain{Explain: &wire.ExplainRequest{Shard: string(s), Task: string(id)}}}
	})
	for i, r := range replies {
		e := r.GetExplain()
		if !e.GetFound() {
			continue
		}
		out := edge.Explanation{Task: id, State: e.GetState(), Shard: shards[i]}
		for _, reason := range e.GetChain() {
			out.Chain = append(out.Chain, wire.ToReason(reason))
		}
		return out, true, nil
	}
	return edge.Explanation{}, false, err
}

// Shards implements edge.Queries. A shard whose owner doesn't answer is listed without counts.
func (n *Node) Shards(ctx context.Context) ([]edge.ShardStatus, error) {
	shards, replies, err := n.ownerStatuses(ctx)
	out := make([]edge.ShardStatus, len(shards))
	for i, s := range shards {
		out[i] = shardStatus(s, replies[i].GetStatus().GetDigest())
		if ownership, ok := n.members.Owner(s); ok {
			out[i].Owner = ownership.Owner
			out[i].OwnerAddr = ownership.Addr
			out[i].Epoch = ownership.Epoch
		}
	}
	return out, err
}

func shardStatus(id cell.ShardID, d *wire.ShardDigest) edge.ShardStatus {
	return edge.ShardStatus{
		Shard:          id,
		Capacity:       wire.ToResources(d.GetCapacity()),
		Free:           wire.ToResources(d.GetFree()),
		Queued:         int(d.GetQueued()),
		Running:        int(d.GetRunning()),
		Workers:        int(d.GetWorkers()),
		WorkersClaimed: int(d.GetWorkersClaimed()),
	}
}

// Workers implements edge.Queries.
func (n *Node) Workers(ctx context.Context) ([]edge.WorkerStatus, error) {
	shards, replies, err := n.ownerStatuses(ctx)
	var out []edge.WorkerStatus
	for i, r := range replies {
		for _, w := range r.GetStatus().GetWorkers() {
			out = append(out, workerStatus(shards[i], w))
		}
	}
	return out, err
}

func workerStatus(shard cell.ShardID, w *wire.WorkerStatus) edge.WorkerStatus {
	return edge.WorkerStatus{
		Worker: cell.Worker{
			ID:       cell.WorkerID(w.GetId()),
			Zone:     w.GetZone(),
			Rack:     w.GetRack(),
			Pool:     w.GetPool(),
			State:    cell.WorkerState(w.GetState()),
			Capacity: wire.ToResources(w.GetCapacity()),
		},
		Shard:   shard,
		Claimed: w.GetClaimed(),
		Used:    wire.ToResources(w.GetUsed()),
		Tasks:   int(w.GetTasks()),
	}
}

// Teams implements edge.Queries.
func (n *Node) Teams(ctx context.Context) ([]edge.TeamStatus, error) {
	v, _ := n.configs.Current()
	_, replies, err := n.ownerStatuses(ctx)
	byName := make(map[string]*edge.TeamStatus)
	for name, team := range v.Document.Teams {
		byName[name] = &edge.TeamStatus{Team: name, Quota: team.Quota}
	}
	for _, r := range replies {
		for _, t := range r.GetStatus().GetTeams() {
			s := byName[t.GetTeam()]
			if s == nil {
				s = &edge.TeamStatus{Team: t.GetTeam()}
				byName[s.Team] = s
			}
			s.Used = s.Used.Add(wire.ToResources(t.GetHeld()))
			s.Queued += int(t.GetQueued())
		}
	}
	return sortedTeams(byName), err
}

// ownerStatuses returns all shards and the status replies of their owners, nil where an owner did not answer.
func (n *Node) ownerStatuses(ctx context.Context) ([]cell.ShardID, []*wire.Reply, error) {
	v, _ := n.configs.Current()
	shards := v.Document.Shards()
	replies, err := n.callOwners(ctx, shards, func(s cell.ShardID) *wire.Request {
		return &wire.Request{Body: &wire.Request_Status{Status: &wire.StatusRequest{Shard: string(s)}}}
	})
	if replies == nil {
		replies = make([]*wire.Reply, len(shards))
	}
	return shards, replies, err
}

// Config implements edge.Queries.
func (n *Node) Config(context.Context) (config.Versioned, error) {
	v, _ := n.configs.Current()
	if v.Version == 0 {
		return v, errors.New("no configuration is known yet")
	}
	return v, nil
}

// History implements edge.Queries.
func (n *Node) History(ctx context.Context, limit int) ([]config.Versioned, error) {
	return n.configs.History(ctx, limit)
}

// DryRunPatch implements edge.Queries.
func (n *Node) DryRunPatch(ctx context.Context, p edge.Patch) edge.PatchResult {
	return patchResult(n.configs.DryRun(ctx, config.Patch{ID: p.ID, Base: p.Base, Merge: p.Merge}))
}
