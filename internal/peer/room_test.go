package peer

import (
	"errors"
	"sync"
	"testing"

	"google.golang.org/protobuf/proto"

	"laburnumpoint/internal/wire"
)

var errFull = errors.New("full")

// testBudget is a budget of a fixed size.
type testBudget struct {
	mu         sync.Mutex
	free, held int64
	peak       int64
}

func (b *testBudget) Reserve(n int64) (func(), error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.free < n {
		return nil, errFull
	}
	b.free -= n
	b.held += n
	b.peak = max(b.peak, b.held)
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.free += n
		b.held -= n
	}, nil
}

func (b *testBudget) holds() (now, peak int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held, b.peak
}

// Guards against an owner that loses touch with its daemons since relayed commands of many entry VMs hold all room. The load: each of
// 300 entry VMs relays until it is refused.
func TestRelaysDoNotTakeTheRoomOfCoordination(t *testing.T) {
	const daemons, relayBytes, helloBytes = 300, 64 << 10, 200
	budget := &testBudget{free: 16 << 20}
	r := newRoom(budget)
	refused := 0
	var relays []*share
	for range daemons {
		relay := &share{room: r}
		if err := relay.grow(streamBytes + heldPerByte*relayBytes); errors.Is(err, errNoRoom) {
			refused++
		}
		relays = append(relays, relay)
	}
	if refused == 0 || refused == daemons {
		t.Fatalf("%d of %d relays refused, want some", refused, daemons)
	}
	hellos := make([]share, daemons/4) // those that a busy owner handles at once
	for i := range hellos {
		hellos[i] = share{room: r, control: true}
		if err := hellos[i].grow(streamBytes + heldPerByte*helloBytes); err != nil {
			t.Fatalf("hello %d: %v", i, err)
		}
	}
	for i := range hellos {
		hellos[i].release()
	}
	for _, relay := range relays {
		relay.release()
	}
	if held, _ := budget.holds(); held != 0 || r.controlFree != controlRoomBytes {
		t.Errorf("%d bytes of the budget held at the end, %d of %d free for coordination", held, r.controlFree, controlRoomBytes)
	}
}

// Guards against coordination that is refused like relays since a message's number was taken for another one's.
func TestCoordinationIsKnownByItsFirstByte(t *testing.T) {
	for _, c := range []struct {
		req  *wire.Request
		want bool
	}{
		{&wire.Request{Body: &wire.Request_Heartbeat{Heartbeat: &wire.Heartbeat{}}}, true},
		{&wire.Request{Body: &wire.Request_Config{Config: &wire.ConfigRequest{}}}, true},
		{&wire.Request{Body: &wire.Request_JobNotice{JobNotice: &wire.JobNotice{}}}, true},
		{&wire.Request{Body: &wire.Request_Hello{Hello: &wire.Hello{}}}, true},
		{&wire.Request{Body: &wire.Request_Permit{Permit: &wire.PermitRequest{}}}, true},
		{&wire.Request{Body: &wire.Request_Resign{Resign: &wire.Resign{}}}, true},
		{&wire.Request{Body: &wire.Request_Owner{Owner: &wire.OwnerRequest{}}}, true},
		{&wire.Request{Body: &wire.Request_Run{Run: &wire.RunRequest{}}}, false},
		{&wire.Request{Body: &wire.Request_Cancel{Cancel: &wire.CancelRequest{}}}, false},
		{&wire.Request{Body: &wire.Request_Explain{Explain: &wire.ExplainRequest{}}}, false},
		{&wire.Request{Body: &wire.Request_Status{Status: &wire.StatusRequest{}}}, false},
		{&wire.Request{Body: &wire.Request_JobStatus{JobStatus: &wire.JobStatusRequest{}}}, false},
		{&wire.Request{Body: &wire.Request_Intake{Intake: &wire.IntakeRequest{}}}, false},
	} {
		data, err := proto.Marshal(c.req)
		if err != nil {
			t.Fatal(err)
		}
		if got := coordinates(data[0]); got != c.want {
			t.Errorf("%T: %v, want %v", c.req.GetBody(), got, c.want)
		}
	}
}
