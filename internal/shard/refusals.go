package shard

import (
	"time"

	"laburnumpoint/internal/cell"
)

// Bounds of the memory of requests refused for capacity.
const (
	// refusalTTL is longer than any request's timeout.
	refusalTTL  = 15 * time.Minute
	maxRefusals = 50_000
)

// refusals remembers the requests that this shard could not hold, so that they are run in another. If a worker joins
// the shard later, a further send of such a request is refused still: an earlier one may run in that other shard.
type refusals struct {
	until map[cell.TaskID]time.Time
}

func newRefusals() *refusals {
	return &refusals{until: make(map[cell.TaskID]time.Time)}
}

func (r *refusals) add(id cell.TaskID, now time.Time) {
	if len(r.until) >= maxRefusals {
		r.prune(now)
	}
	r.until[id] = now.Add(refusalTTL)
}

func (r *refusals) has(id cell.TaskID, now time.Time) bool {
	return now.Before(r.until[id])
}

// full reports whether no further refusal can be remembered.
func (r *refusals) full(now time.Time) bool {
	if len(r.until) < maxRefusals {
		return false
	}
	r.prune(now)
	return len(r.until) >= maxRefusals
}

func (r *refusals) prune(now time.Time) {
	for id, until := range r.until {
		if !now.Before(until) {
			delete(r.until, id)
		}
	}
}
