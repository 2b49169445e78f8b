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
	// answerGrace is how long after a request's deadline its owner's final answer is still waited for.
	answerGrace = 300 * time.Millisecond
	// minBackoff and maxBackoff bound the pause before a request is sent to a shard's owner again.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// defaultRetryAfter is the Retry-After of a request that found no owner.
	defaultRetryAfter = 2 * time.Second
)

// ownerLocation is where a shard's decisions are made.
type ownerLocation struct {
	addr string
	// local is set if the shard is owned by this process.
	local *ownedShard
}

// ownerDirectory finds the owners of shards.
type ownerDirectory interface {
	// locateOwner returns the owner of shard as far as known.
	locateOwner(shard cell.ShardID) (ownerLocation, bool)
	// recheckOwner says that the owner last located did not act as the owner, so that it is looked up again.
	recheckOwner(shard cell.ShardID)
}

// peerCaller sends a request to another daemon. Errors: peer.ErrNotSent, peer.ErrInDoubt.
type peerCaller interface {
	Call(ctx context.Context, addr string, req *wire.Request) (*wire.Reply, error)
}

// router takes a request to the owner of its shard, wherever that is, until there is a final outcome or the deadline has passed.
type router struct {
	directory ownerDirectory
	peers     peerCaller
	log       *log.Logger
}

// routedRequest is a request on its way to a shard.
type routedRequest struct {
	task cell.Task
	// maybeResent means that an earlier send of the request may have reached its shard's owner.
	maybeResent bool
	// pinned means that the request must stay with its shard, where a later send will look for it.
	pinned   bool
	caller   string
	arrived  time.Time
	deadline time.Time
}

// sendResult is what one try at reaching a shard's owner led to.
type sendResult int

const (
	// sendAnswered means that the outcome is the owner's.
	sendAnswered sendResult = iota
	// sendNotAccepted means that the receiver certainly did not and will not act on the request.
	sendNotAccepted
	// sendInDoubt means that the receiver may have acted on the request.
	sendInDoubt
)

// routeDecision is what follows a send.
type routeDecision int

const (
	// routeAnswered means that the outcome is final.
	routeAnswered routeDecision = iota
	// routeRefused means that the shard can't take the request and another may.
	routeRefused
	// routeUnreachable means that no owner of the shard acted on the request.
	routeUnreachable
	// routeInDoubt means that an owner may have acted on the request.
	routeInDoubt
)

// String names the step for logs.
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

// route returns the final outcome of q, which may run in any of shards, the first preferred.
//
// A shard that can't take the request passes it to the next. So does one whose owner can't be reached, unless the
// request is pinned: other sends of it go to that shard. Once a send is in doubt the request stays with its shard
// and is sent as keyed, so that an owner that already has it attaches to it; and a "not run" then says nothing of the
// earlier send, so it becomes unknown.
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

// logSend writes the line of one routing decision: where the request was sent and what follows.
func (r *router) logSend(shard cell.ShardID, q routedRequest, maybeResent bool, out cell.Outcome, next routeDecision) {
	r.log.Info().Str("decision", "route").Str("caller", q.caller).Str("team", q.task.Team).Str("task", string(q.task.ID)).
		Str("shard", string(shard)).Bool("keyed", maybeResent).Str("next", next.String()).Str("reason", out.Reason.String()).
		Dur("waiting", time.Since(q.arrived)).Msg("decision")
}

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

// mayTryOtherShard reports whether another shard may take the request. A pinned one moves only for a reason under which no
// other send of it can be in that shard.
func mayTryOtherShard(o cell.Outcome, pinned bool) bool {
	if o.Result != cell.ResultNotRun {
		return false
	}
	return o.Reason.Code == cell.ReasonFitsNowhere || o.Reason.Code == cell.ReasonQueueFull && !pinned
}

// ownerGivesUpShard reports whether an outcome only says that this owner gives up the shard: the next owner may take the
// request, or join it to the attempt that it finds running.
func ownerGivesUpShard(o cell.Outcome) bool {
	return o.Reason.Code == cell.ReasonSuperseded || o.Reason.Code == cell.ReasonDraining
}

func finalOutcome(o cell.Outcome, inDoubt bool) cell.Outcome {
	if inDoubt && o.Result == cell.ResultNotRun {
		return cell.Unknown(cell.Reason{Code: cell.ReasonInDoubt, Detail: "an earlier send may have run; the last said " + o.Reason.String()}, o.RetryAfter)
	}
	return o
}

func deadlineOutcome(shard cell.ShardID, inDoubt bool) cell.Outcome {
	if inDoubt {
		return cell.Unknown(cell.Reason{Code: cell.ReasonInDoubt, Detail: "no answer from the owner of " + string(shard)}, defaultRetryAfter)
	}
	return cell.NotRun(cell.Reason{Code: cell.ReasonNoOwner, Detail: string(shard)}, defaultRetryAfter)
}

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

// readRunReply sorts out what a peer answered. An answer that is damaged, or to another request, is none.
func readRunReply(reply *wire.Reply, err error, task cell.TaskID) (cell.Outcome, sendResult) {
	if errors.Is(err, peer.ErrNotSent) {
		return cell.Outcome{}, sendNotAccepted
	}
	if err != nil {
		return cell.Outcome{}, sendInDoubt
	}
	switch body := reply.GetBody().(type) {
	case *wire.Reply_Run:
		out, whole := wire.ToOutcome(body.Run.GetOutcome())
		if !whole || out.Attempt.Task != task {
			return cell.Outcome{}, sendInDoubt
		}
		return out, sendAnswered
	case *wire.Reply_NotOwner, *wire.Reply_Refused:
		return cell.Outcome{}, sendNotAccepted
	default:
		return cell.Outcome{}, sendInDoubt
	}
}

// sleepJittered waits for d and reports whether the request may still be tried after it.
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
