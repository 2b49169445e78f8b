package peer

import (
	"errors"
	"sync"
)

// Budget is what the process may hold of all that it reads from outside.
type Budget interface {
	// Reserve takes n bytes until release is called. Errors: any, if there is no room.
	Reserve(n int64) (release func(), err error)
}

// What a request holds of the budget from the arrival of its first bytes until its reply is written.
const (
	// streamBytes is held by a stream and the goroutines that serve it.
	streamBytes = 8 << 10
	// heldPerByte is held for each byte of a message: as it was read, decoded, and what the handler makes of it.
	heldPerByte = 4
	// controlRoomBytes is set aside for coordination, beside the budget, so that relayed commands can't keep it out. The hellos of 300
	// daemons and the permit requests of a busy second take less.
	controlRoomBytes = 2 << 20
)

// errNoRoom means that there is no room for a message now.
var errNoRoom = errors.New("peer: no room for the message")

// coordinates reports whether a request with the given first byte, the tag of the body's field, keeps the cell under control.
// A request that it does not know draws on the common room.
func coordinates(tag byte) bool {
	const lengthDelimited, wireTypeBits = 2, 3
	if tag&(1<<wireTypeBits-1) != lengthDelimited {
		return false
	}
	switch tag >> wireTypeBits {
	case fieldHeartbeat, fieldConfig, fieldJobNotice, fieldHello, fieldPermit, fieldResign, fieldOwner:
		return true
	}
	return false
}

// Numbers of the fields of wire.Request that coordinate.
const (
	fieldHeartbeat = 1
	fieldConfig    = 5
	fieldJobNotice = 7
	fieldHello     = 9
	fieldPermit    = 10
	fieldResign    = 12
	fieldOwner     = 13
)

// room decides what the server may hold of the requests that it reads. Requests for callers draw on the process's budget;
// coordination draws on a part of its own first. It is safe for concurrent use.
type room struct {
	// budget may be nil: only coordination is counted then.
	budget Budget

	mu          sync.Mutex
	controlFree int64
}

func newRoom(budget Budget) *room {
	return &room{budget: budget, controlFree: controlRoomBytes}
}

// takeControl takes n bytes of the part for coordination. It reports false if they are not free.
func (r *room) takeControl(n int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.controlFree < n {
		return false
	}
	r.controlFree -= n
	return true
}

func (r *room) returnControl(n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.controlFree += n
}

// share is what one request holds of the room. It is not safe for concurrent use.
type share struct {
	room    *room
	control bool
	// fromControl are the bytes held of the part for coordination.
	fromControl int64
	releases    []func()
}

// grow takes n more bytes. Errors: errNoRoom; the share keeps what it has then.
func (s *share) grow(n int64) error {
	if s.control && s.room.takeControl(n) {
		s.fromControl += n
		return nil
	}
	if s.room.budget == nil {
		return nil
	}
	release, err := s.room.budget.Reserve(n)
	if err != nil {
		return errors.Join(errNoRoom, err)
	}
	s.releases = append(s.releases, release)
	return nil
}

// release returns all that the share holds.
func (s *share) release() {
	s.room.returnControl(s.fromControl)
	s.fromControl = 0
	for _, release := range s.releases {
		release()
	}
	s.releases = nil
}
