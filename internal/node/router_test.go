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

var quiet = &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}

// fakePeers answers each call by the next step of a script and records what was sent.
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

// trail lists the shard of each send, with an asterisk if the send was keyed.
func (f *fakePeers) trail() []string {
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
	suspected int
}

func (*fakeDirectory) locate(cell.ShardID) (location, bool) {
	return location{addr: "127.0.0.1:1"}, true
}

func (f *fakeDirectory) suspect(cell.ShardID) {
	f.suspected++
}

func answers(o cell.Outcome) func(*wire.RunRequest) (*wire.Reply, error) {
	return func(req *wire.RunRequest) (*wire.Reply, error) {
		if o.Attempt.Task == "" {
			o.Attempt.Task = cell.TaskID(req.GetTask().GetId())
		}
		reply := &wire.RunReply{Outcome: wire.FromOutcome(o)}
		return &wire.Reply{Body: &wire.Reply_Run{Run: reply}}, nil
	}
}

func fails(err error) func(*wire.RunRequest) (*wire.Reply, error) {
	return func(*wire.RunRequest) (*wire.Reply, error) { return nil, err }
}

func says(r *wire.Reply) func(*wire.RunRequest) (*wire.Reply, error) {
	return func(*wire.RunRequest) (*wire.Reply, error) { return r, nil }
}

func damaged(req *wire.RunRequest) (*wire.Reply, error) {
	reply, _ := answers(cell.Outcome{Result: cell.ResultCompleted, Answer: []byte("whole")})(req)
	reply.GetRun().GetOutcome().Answer = []byte("who")
	return reply, nil
}

func TestRoute(t *testing.T) {
	completed := cell.Outcome{Result: cell.ResultCompleted, Answer: []byte("a")}
	full := cell.NotRun(cell.Reason{Code: cell.ReasonQueueFull}, time.Second)
	misfit := cell.NotRun(cell.Reason{Code: cell.ReasonFitsNowhere}, 0)
	other := completed
	other.Attempt.Task = "another"
	cases := []struct {
		name  string
		steps []func(*wire.RunRequest) (*wire.Reply, error)
		want  cell.Result
		// sent lists the shard of each send, with an asterisk if it was marked as possibly sent before.
		sent string
	}{
		{"answered", steps(answers(completed)), cell.ResultCompleted, "[a-0]"},
		{"moved owner", steps(says(notOwner()), answers(completed)), cell.ResultCompleted, "[a-0 b-0]"},
		{"draining owner", steps(answers(cell.NotRun(cell.Reason{Code: cell.ReasonDraining}, 0)), answers(completed)), cell.ResultCompleted, "[a-0 b-0]"},
		{"running under the next owner", steps(answers(cell.Unknown(cell.Reason{Code: cell.ReasonSuperseded}, 0)), answers(completed)), cell.ResultCompleted, "[a-0 a-0*]"},
		{"not sent", steps(fails(peer.ErrNotSent), answers(completed)), cell.ResultCompleted, "[a-0 b-0]"},
		{"no owner anywhere", steps(says(notOwner()), says(notOwner()), answers(completed)), cell.ResultCompleted, "[a-0 b-0 b-0]"},
		{"fits in the other shard", steps(answers(misfit), answers(completed)), cell.ResultCompleted, "[a-0 b-0]"},
		{"fits nowhere", steps(answers(misfit), answers(misfit)), cell.ResultNotRun, "[a-0 b-0]"},
		{"lost answer is sent again as keyed", steps(fails(peer.ErrInDoubt), answers(completed)), cell.ResultCompleted, "[a-0 a-0*]"},
		{"damaged answer is not passed on", steps(damaged, answers(completed)), cell.ResultCompleted, "[a-0 a-0*]"},
		{"another task's answer is not passed on", steps(answers(other), answers(completed)), cell.ResultCompleted, "[a-0 a-0*]"},
		{"not run", steps(answers(full), answers(full)), cell.ResultNotRun, "[a-0 b-0]"},
		{"not run after a send in doubt is unknown", steps(fails(peer.ErrInDoubt), answers(full)), cell.ResultUnknown, "[a-0 a-0*]"},
		{"doubt outlasts a send that did not leave", steps(fails(peer.ErrInDoubt), fails(peer.ErrNotSent), answers(full)), cell.ResultUnknown, "[a-0 a-0* a-0*]"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			peers := &fakePeers{steps: c.steps}
			r := &router{directory: &fakeDirectory{}, peers: peers, log: quiet}
			out := r.route(t.Context(), []cell.ShardID{"a-0", "b-0"}, routed{task: cell.Task{ID: "k"}, arrived: time.Now(), deadline: time.Now().Add(time.Hour)})
			if out.Result != c.want {
				t.Errorf("result = %s (%s), want %s", out.Result, out.Reason, c.want)
			}
			if got := fmt.Sprint(peers.trail()); got != c.sent {
				t.Errorf("sent to %s, want %s", got, c.sent)
			}
		})
	}
}

func TestPinnedRequestStaysWithItsShardThoughSentFirst(t *testing.T) {
	completed := answers(cell.Outcome{Result: cell.ResultCompleted})
	peers := &fakePeers{steps: steps(says(notOwner()), fails(peer.ErrNotSent), completed)}
	r := &router{directory: &fakeDirectory{}, peers: peers, log: quiet}
	r.route(t.Context(), []cell.ShardID{"a-0", "b-0"}, routed{task: cell.Task{ID: "k"}, pinned: true, arrived: time.Now(), deadline: time.Now().Add(time.Hour)})
	if got, want := peers.trail(), []string{"a-0", "a-0", "a-0"}; !slices.Equal(got, want) {
		t.Errorf("sent to %v, want %v", got, want)
	}
}

func TestKeyedRequestStaysWithItsShard(t *testing.T) {
	completed := answers(cell.Outcome{Result: cell.ResultCompleted})
	peers := &fakePeers{steps: steps(says(notOwner()), fails(peer.ErrNotSent), completed)}
	r := &router{directory: &fakeDirectory{}, peers: peers, log: quiet}
	r.route(t.Context(), []cell.ShardID{"a-0", "b-0"}, routed{task: cell.Task{ID: "k"}, keyed: true, pinned: true, arrived: time.Now(), deadline: time.Now().Add(time.Hour)})
	if got, want := peers.trail(), []string{"a-0*", "a-0*", "a-0*"}; !slices.Equal(got, want) {
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
		r := &router{directory: &fakeDirectory{}, peers: &fakePeers{steps: steps(fails(c.err))}, log: quiet}
		out := r.route(t.Context(), []cell.ShardID{"a-0", "b-0"}, routed{task: cell.Task{ID: "k"}, arrived: time.Now(), deadline: time.Now().Add(50 * time.Millisecond)})
		if out.Result != c.want {
			t.Errorf("%v: result = %s, want %s", c.err, out.Result, c.want)
		}
		if out.RetryAfter == 0 {
			t.Errorf("%v: no time to come back", c.err)
		}
	}
}
