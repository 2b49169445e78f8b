package node

import (
	"context"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/job"
	"laburnumpoint/internal/shard"
	"laburnumpoint/internal/wire"
)

// Handle implements peer.Handler: it handles a request from another daemon.
func (n *Node) Handle(ctx context.Context, req *wire.Request) *wire.Reply {
	switch body := req.GetBody().(type) {
	case *wire.Request_Heartbeat:
		return n.members.HandleHeartbeat(body.Heartbeat)
	case *wire.Request_Config:
		return n.configs.HandleConfigRequest(body.Config)
	case *wire.Request_Run:
		return n.handleRun(ctx, body.Run)
	case *wire.Request_Cancel:
		return n.handleCancel(body.Cancel)
	case *wire.Request_Explain:
		return n.handleExplain(body.Explain)
	case *wire.Request_Status:
		return n.handleStatus(body.Status)
	case *wire.Request_JobNotice:
		return n.handleJobNotice(body.JobNotice)
	case *wire.Request_JobStatus:
		return n.handleJobStatus(ctx, body.JobStatus)
	default:
		return refusedReply(cell.Reason{Code: cell.ReasonInvalid, Detail: "request type not known to this daemon"})
	}
}

func (n *Node) handleRun(ctx context.Context, req *wire.RunRequest) *wire.Reply {
	s := n.shardHost.get(cell.ShardID(req.GetShard()))
	if s == nil {
		return notOwnerReply()
	}
	now := time.Now()
	q := routedRequest{
		task:        wire.ToTask(req.GetTask()),
		maybeResent: !req.GetFresh(),
		caller:      req.GetCaller(),
		arrived:     now.Add(-time.Duration(req.GetAgeMs()) * time.Millisecond),
		deadline:    now.Add(time.Duration(req.GetTimeoutMs()) * time.Millisecond),
	}
	out := s.owner.Run(ctx, q.shardRequest(q.maybeResent))
	out.Attempt.Task = q.task.ID
	return &wire.Reply{Body: &wire.Reply_Run{Run: &wire.RunReply{Outcome: wire.FromOutcome(out)}}}
}

func (n *Node) handleCancel(req *wire.CancelRequest) *wire.Reply {
	s := n.shardHost.get(cell.ShardID(req.GetShard()))
	if s == nil {
		return notOwnerReply()
	}
	count := s.cancel(cell.JobID(req.GetJob()), req.GetTasks())
	return &wire.Reply{Body: &wire.Reply_Cancel{Cancel: &wire.CancelReply{Cancelled: int64(count)}}}
}

func (n *Node) handleExplain(req *wire.ExplainRequest) *wire.Reply {
	s := n.shardHost.get(cell.ShardID(req.GetShard()))
	if s == nil {
		return notOwnerReply()
	}
	e := s.owner.Explain(cell.TaskID(req.GetTask()))
	out := &wire.ExplainReply{Found: e.Found, State: string(e.State)}
	for _, r := range e.Chain {
		out.Chain = append(out.Chain, wire.FromReason(r))
	}
	return &wire.Reply{Body: &wire.Reply_Explain{Explain: out}}
}

func (n *Node) handleStatus(req *wire.StatusRequest) *wire.Reply {
	s := n.shardHost.get(cell.ShardID(req.GetShard()))
	if s == nil {
		return notOwnerReply()
	}
	return &wire.Reply{Body: &wire.Reply_Status{Status: s.status()}}
}

func (n *Node) handleJobNotice(req *wire.JobNotice) *wire.Reply {
	s := n.shardHost.get(cell.ShardID(req.GetShard()))
	if s == nil {
		return notOwnerReply()
	}
	s.jobs.NotifyJobChanged(cell.JobID(req.GetJob()))
	return doneReply()
}

func (n *Node) handleJobStatus(ctx context.Context, req *wire.JobStatusRequest) *wire.Reply {
	s := n.shardHost.get(cell.ShardID(req.GetShard()))
	if s == nil {
		return notOwnerReply()
	}
	id := cell.JobID(req.GetJob())
	status, found := s.jobs.Status(ctx, id)
	running := s.owner.RunningTaskCount(id)
	status.Queued = max(0, status.Queued-running)
	status.Running = running
	return &wire.Reply{Body: &wire.Reply_JobStatus{JobStatus: jobStatusReply(status, found)}}
}

func jobStatusReply(s job.PartStatus, found bool) *wire.JobStatusReply {
	return &wire.JobStatusReply{
		Found:     found,
		Queued:    uint32(s.Queued),
		Running:   uint32(s.Running),
		Succeeded: uint32(s.Counts.Succeeded),
		Failed:    uint32(s.Counts.Failed),
		InDoubt:   uint32(s.Counts.InDoubt),
		Cancelled: uint32(s.Cancelled),
		Reason:    wire.FromReason(s.Reason),
	}
}

// shardRequest converts q to a request to a shard's owner.
func (q routedRequest) shardRequest(maybeResent bool) shard.Request {
	return shard.Request{
		Task:        q.task,
		MaybeResent: maybeResent,
		Caller:      q.caller,
		Arrived:     q.arrived,
		Deadline:    q.deadline,
	}
}

// cancel cancels the job id, or the tasks if id is empty, and returns how many tasks were queued or running.
func (s *ownedShard) cancel(id cell.JobID, tasks []string) int {
	if id != "" {
		return s.owner.CancelJob(id)
	}
	ids := make([]cell.TaskID, len(tasks))
	for i, t := range tasks {
		ids[i] = cell.TaskID(t)
	}
	return s.owner.Cancel(ids)
}

func (s *ownedShard) status() *wire.StatusReply {
	_, _, workers, teams := s.owner.Status()
	out := &wire.StatusReply{Digest: s.digest()}
	for _, w := range workers {
		out.Workers = append(out.Workers, &wire.WorkerStatus{
			Id:       string(w.Worker.ID),
			Zone:     w.Worker.Zone,
			Rack:     w.Worker.Rack,
			Pool:     w.Worker.Pool,
			State:    string(w.Worker.State),
			Claimed:  w.Usable,
			Capacity: wire.FromResources(w.Worker.Capacity),
			Used:     wire.FromResources(w.Used),
			Tasks:    uint32(w.Tasks),
		})
	}
	for _, t := range teams {
		out.Teams = append(out.Teams, &wire.TeamStatus{
			Team:   t.Team,
			Held:   wire.FromResources(t.Used),
			Quota:  wire.FromResources(t.Quota),
			Queued: uint32(t.Queued),
		})
	}
	return out
}

func doneReply() *wire.Reply {
	return &wire.Reply{Body: &wire.Reply_Done{Done: &wire.Empty{}}}
}

func notOwnerReply() *wire.Reply {
	return &wire.Reply{Body: &wire.Reply_NotOwner{NotOwner: &wire.Empty{}}}
}

func refusedReply(r cell.Reason) *wire.Reply {
	return &wire.Reply{Body: &wire.Reply_Refused{Refused: wire.FromReason(r)}}
}
