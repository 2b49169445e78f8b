package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/phuslu/log"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/peer"
	"laburnumpoint/internal/wire"
)

// Timing of the router.
const (
	// answerGrace is how long after a request's deadline the router still waits for the owner's final answer.
	answerGrace = 300 * time.Millisecond
	// minBackoff and maxBackoff bound the pause before a request is sent to a shard's owner again.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// defaultRetryAfter is the Retry-After of a request that fails because an owner, the store or a confirmed
	// configuration is missing.
	defaultRetryAfter = 2 * time.Second
)

// ownerLocation says where a shard's owner runs.
type ownerLocation struct {
	// addr is the peer address of the owner's daemon, if it is another process.
	addr string
	// local is set if the shard is owned by this process.
	local *ownedShard
}

// ownerDirectory finds the owners of shards.
type ownerDirectory interface {
	// locateOwner returns the last known owner of shard, if there is one.
	locateOwner(shard cell.ShardID) (ownerLocation, bool)
	// recheckOwner causes the owner of shard to be looked up again, because the one last located didn't act as its
	// owner.
	recheckOwner(shard cell.ShardID)
}

// peerSender sends a request to another daemon. Its errors are peer.ErrNotSent and peer.ErrInDoubt.
type peerSender interface {
	Call(ctx context.Context, addr string, req *wire.Request) (*wire.Reply, error)
}

// router sends a request to the owner of its shard, in this process or another, until it has a final outcome or its
// deadline has passed.
type router struct {
	directory ownerDirectory
	peers     peerSender
	log       *log.Logger
}

// routedRequest is a request that the router sends to a shard's owner.
type routedRequest struct {
	task cell.Task
	// maybeResent means that an earlier send of the request may have reached its shard's owner.
	maybeResent bool
	// pinned means that the request must stay with its shard, because a later send of it goes to that shard too.
	pinned   bool
	caller   string
	arrived  time.Time
	deadline time.Time
}

// sendResult is the result of one send to a shard's owner.
type sendResult int

const (
	// sendAnswered means that the owner answered with an outcome.
	sendAnswered sendResult = iota
	// sendNotAccepted means that no owner received the request, or that the receiver has not acted on it and will not.
	sendNotAccepted
	// sendInDoubt means that the receiver may have acted on the request.
	sendInDoubt
)

// routeDecision says how the router continues after a send.
type routeDecision int

const (
	// routeAnswered means that the outcome is final.
	routeAnswered routeDecision = iota
	// routeRefused means that the shard can't accept the request but another one may.
	routeRefused
	// routeUnreachable means that no owner of the shard acted on the request.
	routeUnreachable
	// routeInDoubt means that an owner may have acted on the request.
	routeInDoubt
)

// String returns the decision's name in logs.
func (d routeDecision) String() string {
	switch d {
	case routeAnswered:
		return "answered"
	case routeRefused:
		return "refused"
	case routeUnreachable:
		return "unreachable"
	default:
		return "in_doubt"
	}
}

// route sends q until it has a final outcome and returns that. q may run in any of shards; the first is preferred.
//
// If a shard can't accept the request, or its owner is unreachable, the next shard is tried. A pinned request stays
// with an unreachable shard, because other sends of it go there. Once a send is in doubt the request stays with its
// shard and is marked as maybe resent, so that an owner that already has it attaches the caller to the existing
// attempt. A later "not run" then says nothing about the send in doubt, so it becomes unknown.
func (r *router) route(ctx context.Context, shards []cell.ShardID, q routedRequest) cell.Outcome {
	ctx, cancel := context.WithDeadline(ctx, q.deadline.Add(answerGrace))
	defer cancel()
	state := routeState{candidates: slices.Clone(shards), maybeResent: q.maybeResent, pinned: q.pinned}
	backoff := minBackoff
	for {
		out, result := r.send(ctx, state.shard(), q, state.maybeResent)
		next := classify(out, result, q.pinned || state.maybeResent)
		r.logSend(state.shard(), q, state.maybeResent, out, next)
		switch next {
		case routeAnswered:
			return finalOutcome(out, state.inDoubt)
		case routeRefused:
			if !state.dropShard() {
				return finalOutcome(out, state.inDoubt)
			}
			continue
		case routeInDoubt:
			r.directory.recheckOwner(state.shard())
			state.pin()
		case routeUnreachable:
			r.directory.recheckOwner(state.shard())
			if state.nextShard() {
				continue
			}
		}
		if !sleepJittered(ctx, backoff, q.deadline) {
			return deadlineOutcome(state.shard(), state.inDoubt)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// logSend logs one routing decision: where the request was sent and how the router continues.
func (r *router) logSend(shard cell.ShardID, q routedRequest, maybeResent bool, out cell.Outcome, next routeDecision) {
	r.log.Info().Str("decision", "route").Str("caller", q.caller).Str("team", q.task.Team).Str("task", string(q.task.ID)).
		Str("shard", string(shard)).Bool("keyed", maybeResent).Str("next", next.String()).Str("reason", out.Reason.String()).
		Dur("waiting", time.Since(q.arrived)).Msg("decision")
}

// classify decides how the router continues after a send with outcome o and the given result.
func classify(o cell.Outcome, result sendResult, pinned bool) routeDecision {
	switch {
	case result == sendInDoubt, o.Result == cell.ResultUnknown && ownerGivesUpShard(o):
		return routeInDoubt
	case result == sendNotAccepted, o.Result == cell.ResultNotRun && ownerGivesUpShard(o):
		return routeUnreachable
	case mayTryOtherShard(o, pinned):
		return routeRefused
	default:
		return routeAnswered
	}
}

// mayTryOtherShard reports whether the request may be sent to another shard after outcome o. A pinned request moves
// only if the reason shows that no other send of it can be in this shard.
func mayTryOtherShard(o cell.Outcome, pinned bool) bool {
	if o.Result != cell.ResultNotRun {
		return false
	}
	return o.Reason.Code == cell.ReasonFitsNowhere || o.Reason.Code == cell.ReasonQueueFull && !pinned
}

// ownerGivesUpShard reports whether an outcome only means that this owner is giving up the shard. The next owner may
// accept the request, or attach it to the attempt that it finds running.
func ownerGivesUpShard(o cell.Outcome) bool {
	return o.Reason.Code == cell.ReasonSuperseded || o.Reason.Code == cell.ReasonDraining
}

// finalOutcome returns the outcome for the caller. If an earlier send is in doubt, "not run" becomes unknown.
func finalOutcome(o cell.Outcome, inDoubt bool) cell.Outcome {
	if inDoubt && o.Result == cell.ResultNotRun {
		return cell.Unknown(cell.Reason{Code: cell.ReasonInDoubt, Detail: "an earlier send may have run; the last one was answered with " + o.Reason.String()}, o.RetryAfter)
	}
	return o
}

// deadlineOutcome returns the outcome of a request that got no final answer from an owner of shard in time.
func deadlineOutcome(shard cell.ShardID, inDoubt bool) cell.Outcome {
	if inDoubt {
		return cell.Unknown(cell.Reason{Code: cell.ReasonInDoubt, Detail: "no answer from the owner of shard " + string(shard)}, defaultRetryAfter)
	}
	return cell.NotRun(cell.Reason{Code: cell.ReasonNoOwner, Detail: "no reachable owner of shard " + string(shard)}, defaultRetryAfter)
}

// send sends q once to the owner of shard.
func (r *router) send(ctx context.Context, shard cell.ShardID, q routedRequest, maybeResent bool) (cell.Outcome, sendResult) {
	location, ok := r.directory.locateOwner(shard)
	if !ok {
		return cell.Outcome{}, sendNotAccepted
	}
	if location.local != nil {
		return location.local.owner.Run(ctx, q.shardRequest(maybeResent)), sendAnswered
	}
	req := &wire.RunRequest{
		Shard:     string(shard),
		Task:      wire.FromTask(q.task),
		Fresh:     !maybeResent,
		TimeoutMs: time.Until(q.deadline).Milliseconds(),
		Caller:    q.caller,
		AgeMs:     time.Since(q.arrived).Milliseconds(),
	}
	reply, err := r.peers.Call(ctx, location.addr, &wire.Request{Body: &wire.Request_Run{Run: req}})
	return readRunReply(reply, err, q.task.ID)
}

// readRunReply interprets a peer's reply. A reply that is damaged or belongs to another task counts as no answer.
func readRunReply(reply *wire.Reply, err error, task cell.TaskID) (cell.Outcome, sendResult) {
	if errors.Is(err, peer.ErrNotSent) {
		return cell.Outcome{}, sendNotAccepted
	}
	if err != nil {
		return cell.Outcome{}, sendInDoubt
	}
	switch body := reply.GetBody().(type) {
	case *wire.Reply_Run:
		out, intact := wire.ToOutcome(body.Run.GetOutcome())
		if !intact || out.Attempt.Task != task {
			return cell.Outcome{}, sendInDoubt
		}
		return out, sendAnswered
	case *wire.Reply_NotOwner, *wire.Reply_Refused:
		return cell.Outcome{}, sendNotAccepted
	default:
		return cell.Outcome{}, sendInDoubt
	}
}

// sleepJittered waits for a random time between half of d and d. It returns false if ctx ends, or at once if deadline
// comes before the end of that time.
func sleepJittered(ctx context.Context, d time.Duration, deadline time.Time) bool {
	d = d/2 + rand.N(d/2)
	if time.Until(deadline) <= d {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
