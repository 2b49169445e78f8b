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
	// comeBack is the Retry-After of a request that found no owner.
	comeBack = 2 * time.Second
)

// location is where a shard's decisions are made.
type location struct {
	addr string
	// local is set if the shard is owned by this process.
	local *hosted
}

// directory finds the owners of shards.
type directory interface {
	// locate returns the owner of shard as far as known.
	locate(shard cell.ShardID) (location, bool)
	// suspect says that the owner last located did not act as the owner, so that it is looked up again.
	suspect(shard cell.ShardID)
}

// caller sends a request to another daemon. Errors: peer.ErrNotSent, peer.ErrInDoubt.
type caller interface {
	Call(ctx context.Context, addr string, req *wire.Request) (*wire.Reply, error)
}

// router takes a request to the owner of its shard, wherever that is, until there is a final outcome or the deadline has passed.
type router struct {
	directory directory
	peers     caller
	log       *log.Logger
}

// routed is a request on its way to a shard.
type routed struct {
	task cell.Task
	// keyed means that an earlier send of the request may have reached its shard's owner.
	keyed bool
	// pinned means that the request must stay with its shard, where a later send will look for it.
	pinned   bool
	caller   string
	arrived  time.Time
	deadline time.Time
}

// sendResult is what one try at reaching a shard's owner led to.
type sendResult int

const (
	// sendFinal means that the outcome is the owner's.
	sendFinal sendResult = iota
	// sendElsewhere means that the receiver certainly did not and will not act on the request.
	sendElsewhere
	// sendInDoubt means that the receiver may have acted on the request.
	sendInDoubt
)

// step is what follows a send.
type step int

const (
	// stepAnswered means that the outcome is final.
	stepAnswered step = iota
	// stepRefused means that the shard can't take the request and another may.
	stepRefused
	// stepUnreachable means that no owner of the shard acted on the request.
	stepUnreachable
	// stepInDoubt means that an owner may have acted on the request.
	stepInDoubt
)

// String names the step for logs.
func (s step) String() string {
	switch s {
	case stepAnswered:
		return "answered"
	case stepRefused:
		return "refused"
	case stepUnreachable:
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
func (r *router) route(ctx context.Context, shards []cell.ShardID, q routed) cell.Outcome {
	ctx, cancel := context.WithDeadline(ctx, q.deadline.Add(answerGrace))
	defer cancel()
	j := routeState{candidates: slices.Clone(shards), keyed: q.keyed, pinned: q.pinned}
	backoff := minBackoff
	for {
		out, result := r.send(ctx, j.shard(), q, j.keyed)
		next := classify(out, result, q.pinned || j.keyed)
		r.logSend(j.shard(), q, j.keyed, out, next)
		switch next {
		case stepAnswered:
			return settle(out, j.inDoubt)
		case stepRefused:
			if !j.drop() {
				return settle(out, j.inDoubt)
			}
			continue
		case stepInDoubt:
			r.directory.suspect(j.shard())
			j.stay()
		case stepUnreachable:
			r.directory.suspect(j.shard())
			if j.rotate() {
				continue
			}
		}
		if !pause(ctx, backoff, q.deadline) {
			return gaveUp(j.shard(), j.inDoubt)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// logSend writes the line of one routing decision: where the request was sent and what follows.
func (r *router) logSend(shard cell.ShardID, q routed, keyed bool, out cell.Outcome, next step) {
	r.log.Info().Str("decision", "route").Str("caller", q.caller).Str("team", q.task.Team).Str("task", string(q.task.ID)).
		Str("shard", string(shard)).Bool("keyed", keyed).Str("next", next.String()).Str("reason", out.Reason.String()).
		Dur("waiting", time.Since(q.arrived)).Msg("decision")
}

func classify(o cell.Outcome, result sendResult, pinned bool) step {
	switch {
	case result == sendInDoubt, o.Result == cell.ResultUnknown && handsOver(o):
		return stepInDoubt
	case result == sendElsewhere, o.Result == cell.ResultNotRun && handsOver(o):
		return stepUnreachable
	case passesOn(o, pinned):
		return stepRefused
	default:
		return stepAnswered
	}
}

// passesOn reports whether another shard may take the request. A pinned one moves only for a reason under which no
// other send of it can be in that shard.
func passesOn(o cell.Outcome, pinned bool) bool {
	if o.Result != cell.ResultNotRun {
		return false
	}
	return o.Reason.Code == cell.ReasonFitsNowhere || o.Reason.Code == cell.ReasonQueueFull && !pinned
}

// handsOver reports whether an outcome only says that this owner gives up the shard: the next owner may take the
// request, or join it to the attempt that it finds running.
func handsOver(o cell.Outcome) bool {
	return o.Reason.Code == cell.ReasonSuperseded || o.Reason.Code == cell.ReasonDraining
}

func settle(o cell.Outcome, inDoubt bool) cell.Outcome {
	if inDoubt && o.Result == cell.ResultNotRun {
		return cell.Unknown(cell.Reason{Code: cell.ReasonInDoubt, Detail: "an earlier send may have run; the last said " + o.Reason.String()}, o.RetryAfter)
	}
	return o
}

func gaveUp(shard cell.ShardID, inDoubt bool) cell.Outcome {
	if inDoubt {
		return cell.Unknown(cell.Reason{Code: cell.ReasonInDoubt, Detail: "no answer from the owner of " + string(shard)}, comeBack)
	}
	return cell.NotRun(cell.Reason{Code: cell.ReasonNoOwner, Detail: string(shard)}, comeBack)
}

func (r *router) send(ctx context.Context, shard cell.ShardID, q routed, keyed bool) (cell.Outcome, sendResult) {
	at, ok := r.directory.locate(shard)
	if !ok {
		return cell.Outcome{}, sendElsewhere
	}
	if at.local != nil {
		return at.local.owner.Run(ctx, q.request(keyed)), sendFinal
	}
	req := &wire.RunRequest{
		Shard:     string(shard),
		Task:      wire.FromTask(q.task),
		Fresh:     !keyed,
		TimeoutMs: time.Until(q.deadline).Milliseconds(),
		Caller:    q.caller,
		AgeMs:     time.Since(q.arrived).Milliseconds(),
	}
	reply, err := r.peers.Call(ctx, at.addr, &wire.Request{Body: &wire.Request_Run{Run: req}})
	return readRunReply(reply, err, q.task.ID)
}

// readRunReply sorts out what a peer answered. An answer that is damaged, or to another request, is none.
func readRunReply(reply *wire.Reply, err error, task cell.TaskID) (cell.Outcome, sendResult) {
	if errors.Is(err, peer.ErrNotSent) {
		return cell.Outcome{}, sendElsewhere
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
		return out, sendFinal
	case *wire.Reply_NotOwner, *wire.Reply_Refused:
		return cell.Outcome{}, sendElsewhere
	default:
		return cell.Outcome{}, sendInDoubt
	}
}

// pause waits for d and reports whether the request may still be tried after it.
func pause(ctx context.Context, d time.Duration, deadline time.Time) bool {
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
