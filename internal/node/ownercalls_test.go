package node

import (
	"errors"
	"testing"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/wire"
)

// Guards against a refused call that counts as answered, such as a cancellation that is reported as done.
func TestRefusedOwnerCallIsAnError(t *testing.T) {
	for _, c := range []struct {
		reply *wire.Reply
		want  error
	}{
		{&wire.Reply{Body: &wire.Reply_Refused{Refused: wire.FromReason(cell.Reason{Code: cell.ReasonQueueFull})}}, errRefused},
		{&wire.Reply{Body: &wire.Reply_NotOwner{NotOwner: &wire.Empty{}}}, errNotOwner},
		{&wire.Reply{Body: &wire.Reply_Cancel{Cancel: &wire.CancelReply{}}}, nil},
	} {
		if err := refusalError(c.reply); !errors.Is(err, c.want) {
			t.Errorf("%T: error %v, want %v", c.reply.GetBody(), err, c.want)
		}
	}
}

// Guards against a cancellation that is reported as done although the owner of a shard has not answered.
func TestCancellationWithoutAnAnswerOfEachShardIsInDoubt(t *testing.T) {
	cancelled := func(n int64) *wire.Reply {
		return &wire.Reply{Body: &wire.Reply_Cancel{Cancel: &wire.CancelReply{Cancelled: n}}}
	}
	if n, err := sumCancelled([]*wire.Reply{cancelled(2), cancelled(0), cancelled(3)}); n != 5 || err != nil {
		t.Errorf("all answered: %d, %v; want 5", n, err)
	}
	if n, err := sumCancelled([]*wire.Reply{cancelled(2), nil, cancelled(3)}); n != 5 || err == nil {
		t.Errorf("one has not answered: %d, %v; want 5 and an error", n, err)
	}
}
