package shard

import (
	"time"

	"laburnumpoint/internal/cell"
)

// Bounds of the memory of requests that were turned away.
const (
	// turnedFor is longer than any request's timeout.
	turnedFor = 15 * time.Minute
	maxTurned = 50_000
)

// turnedAway remembers the requests that this shard could not hold, so that they are run in another. If a worker joins
// the shard later, a further send of such a request is turned away still: an earlier one may run in that other shard.
type turnedAway struct {
	until map[cell.TaskID]time.Time
}

func newTurnedAway() *turnedAway {
	return &turnedAway{until: make(map[cell.TaskID]time.Time)}
}

func (t *turnedAway) add(id cell.TaskID, now time.Time) {
	if len(t.until) >= maxTurned {
		t.prune(now)
	}
	t.until[id] = now.Add(turnedFor)
}

func (t *turnedAway) has(id cell.TaskID, now time.Time) bool {
	return now.Before(t.until[id])
}

// full reports whether no further request may be turned away without forgetting another.
func (t *turnedAway) full(now time.Time) bool {
	if len(t.until) < maxTurned {
		return false
	}
	t.prune(now)
	return len(t.until) >= maxTurned
}

func (t *turnedAway) prune(now time.Time) {
	for id, until := range t.until {
		if !now.Before(until) {
			delete(t.until, id)
		}
	}
}
