package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/phuslu/log"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/peer"
	"laburnumpoint/internal/wire"
)

var discardLogger = &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}

// fakePeers answers each call with the next of steps, and further calls with the last one. It records the requests.
type fakePeers struct {
	steps []func(*wire.RunRequest) (*wire.Reply, error)
	sent  []*wire.RunRequest
}

func (f *fakePeers) Call(_ context.Context, _ string, req *wire.Request) (*wire.Reply, error) {
	run := req.GetRun()
	f.sent = append(f.sent, run)
	step := f.steps[min(len(f.sent), len(f.steps))-1]
	return step(run)
}

// sentTo lists the shard of each send, with an asterisk if it was marked as maybe resent.
func (f *fakePeers) sentTo() []string {
	var out []string
	for _, req := range f.sent {
		shard := req.GetShard()
		if !req.GetFresh() {
			shard += "*"
		}
		out = append(out, shard)
	}
	return out
}

type fakeDirectory struct {
	rechecks int
}

func (*fakeDirectory) locateOwner(cell.ShardID) (ownerLocation, bool) {
	return ownerLocation{addr: "127.0.0.1:1"}, true
}

func (f *fakeDirectory) recheckOwner(cell.ShardID) {
	f.rechecks++
}

func answerWith(o cell.Outcome) func(*wire.RunRequest) (*wire.Reply, error) {
	return func(req *wire.RunRequest) (*wire.Reply, error) {
		if o.Attempt.Task == "" {
			o.Attempt.Task = cell.TaskID(req.GetTask().GetId())
		}
		reply := &wire.RunReply{Outcome: wire.FromOutcome(o)}
		return &wire.Reply{Body: &wire.Reply_Run{Run: reply}}, nil
	}
}

func failWith(err error) func(*wire.RunRequest) (*wire.Reply, error) {
	return func(*wire.RunRequest) (*wire.Reply, error) { return nil, err }
}

func replyWith(r *wire.Reply) func(*wire.RunRequest) (*wire.Reply, error) {
	return func(*wire.RunRequest) (*wire.Reply, error) { return r, nil }
}

func answerDamaged(req *wire.RunRequest) (*wire.Reply, error) {
	reply, _ := answerWith(cell.Outcome{Result: cell.ResultCompleted, Answer: []byte("whole")})(req)
	reply.GetRun().GetOutcome().Answer = []byte("who")
	return reply, nil
}

func TestRoute(t *testing.T) {
	completed := cell.Outcome{Result: cell.ResultCompleted, Answer: []byte("a")}
	queueFull := cell.NotRun(cell.Reason{Code: cell.ReasonQueueFull}, time.Second)
	fitsNowhere := cell.NotRun(cell.Reason{Code: cell.ReasonFitsNowhere}, 0)
	otherTask := completed
	otherTask.Attempt.Task = "another"
	cases := []struct {
		name  string
		steps []func(*wire.RunRequest) (*wire.Reply, error)
		want  cell.Result
		// sent lists the shard of each send, with an asterisk if it was marked as maybe resent.
		sent string
	}{
		{"answered", steps(answerWith(completed)), cell.ResultCompleted, "[a-0]"},
		{"moved owner", steps(replyWith(notOwnerReply()), answerWith(completed)), cell.ResultCompleted, "[a-0 b-0]"},
		{"draining owner", steps(answerWith(cell.NotRun(cell.Reason{Code: cell.ReasonDraining}, 0)), answerWith(completed)), cell.ResultCompleted, "[a-0 b-0]"},
		{"running under the next owner", steps(answerWith(cell.Unknown(cell.Reason{Code: cell.ReasonSuperseded}, 0)), answerWith(completed)), cell.ResultCompleted, "[a-0 a-0*]"},
		{"not sent", steps(failWith(peer.ErrNotSent), answerWith(completed)), cell.ResultCompleted, "[a-0 b-0]"},
		{"no owner anywhere", steps(replyWith(notOwnerReply()), replyWith(notOwnerReply()), answerWith(completed)), cell.ResultCompleted, "[a-0 b-0 b-0]"},
		{"fits in the other shard", steps(answerWith(fitsNowhere), answerWith(completed)), cell.ResultCompleted, "[a-0 b-0]"},
		{"fits nowhere", steps(answerWith(fitsNowhere), answerWith(fitsNowhere)), cell.ResultNotRun, "[a-0 b-0]"},
		{"request with a lost answer is resent to the same shard", steps(failWith(peer.ErrInDoubt), answerWith(completed)), cell.ResultCompleted, "[a-0 a-0*]"},
		{"damaged answer is not passed on", steps(answerDamaged, answerWith(completed)), cell.ResultCompleted, "[a-0 a-0*]"},
		{"another task's answer is not passed on", steps(answerWith(otherTask), answerWith(completed)), cell.ResultCompleted, "[a-0 a-0*]"},
		{"not run", steps(answerWith(queueFull), answerWith(queueFull)), cell.ResultNotRun, "[a-0 b-0]"},
		{"not run after a send in doubt is unknown", steps(failWith(peer.ErrInDoubt), answerWith(queueFull)), cell.ResultUnknown, "[a-0 a-0*]"},
		{"send stays in doubt after one that was not sent", steps(failWith(peer.ErrInDoubt), failWith(peer.ErrNotSent), answerWith(queueFull)), cell.ResultUnknown, "[a-0 a-0* a-0*]"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			peers := &fakePeers{steps: c.steps}
			r := &router{directory: &fakeDirectory{}, peers: peers, log: discardLogger}
			out := r.route(t.Context(), []cell.ShardID{"a-0", "b-0"}, routedRequest{task: cell.Task{ID: "k"}, arrived: time.Now(), deadline: time.Now().Add(time.Hour)})
			if out.Result != c.want {
				t.Errorf("result = %s (%s), want %s", out.Result, out.Reason, c.want)
			}
			if got := fmt.Sprint(peers.sentTo()); got != c.sent {
				t.Errorf("sent to %s, want %s", got, c.sent)
			}
		})
	}
}

func TestPinnedRequestStaysWithItsShardThoughSentFirst(t *testing.T) {
	completed := answerWith(cell.Outcome{Result: cell.ResultCompleted})
	peers := &fakePeers{steps: steps(replyWith(notOwnerReply()), failWith(peer.ErrNotSent), completed)}
	r := &router{directory: &fakeDirectory{}, peers: peers, log: discardLogger}
	r.route(t.Context(), []cell.ShardID{"a-0", "b-0"}, routedRequest{task: cell.Task{ID: "k"}, pinned: true, arrived: time.Now(), deadline: time.Now().Add(time.Hour)})
	if got, want := peers.sentTo(), []string{"a-0", "a-0", "a-0"}; !slices.Equal(got, want) {
		t.Errorf("sent to %v, want %v", got, want)
	}
}

func TestResentRequestStaysWithItsShard(t *testing.T) {
	completed := answerWith(cell.Outcome{Result: cell.ResultCompleted})
	peers := &fakePeers{steps: steps(replyWith(notOwnerReply()), failWith(peer.ErrNotSent), completed)}
	r := &router{directory: &fakeDirectory{}, peers: peers, log: discardLogger}
	r.route(t.Context(), []cell.ShardID{"a-0", "b-0"}, routedRequest{task: cell.Task{ID: "k"}, maybeResent: true, pinned: true, arrived: time.Now(), deadline: time.Now().Add(time.Hour)})
	if got, want := peers.sentTo(), []string{"a-0*", "a-0*", "a-0*"}; !slices.Equal(got, want) {
		t.Errorf("sent to %v, want %v", got, want)
	}
}

func steps(s ...func(*wire.RunRequest) (*wire.Reply, error)) []func(*wire.RunRequest) (*wire.Reply, error) {
	return s
}

func TestRouteGivesUpAtTheDeadline(t *testing.T) {
	for _, c := range []struct {
		err  error
		want cell.Result
	}{
		{peer.ErrNotSent, cell.ResultNotRun},
		{peer.ErrInDoubt, cell.ResultUnknown},
		{errors.New("some other failure"), cell.ResultUnknown},
	} {
		r := &router{directory: &fakeDirectory{}, peers: &fakePeers{steps: steps(failWith(c.err))}, log: discardLogger}
		out := r.route(t.Context(), []cell.ShardID{"a-0", "b-0"}, routedRequest{task: cell.Task{ID: "k"}, arrived: time.Now(), deadline: time.Now().Add(50 * time.Millisecond)})
		if out.Result != c.want {
			t.Errorf("%v: result = %s, want %s", c.err, out.Result, c.want)
		}
		if out.RetryAfter == 0 {
			t.Errorf("%v: outcome has no RetryAfter", c.err)
		}
	}
}
