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

// capacityRefusals remembers the requests that this shard could not hold, so that they are run in another. If a worker joins
// the shard later, a further send of such a request is refused still: an earlier one may run in that other shard.
type capacityRefusals struct {
	expiresAt map[cell.TaskID]time.Time
}

func newCapacityRefusals() *capacityRefusals {
	return &capacityRefusals{expiresAt: make(map[cell.TaskID]time.Time)}
}

func (r *capacityRefusals) add(id cell.TaskID, now time.Time) {
	if len(r.expiresAt) >= maxRefusals {
		r.prune(now)
	}
	r.expiresAt[id] = now.Add(refusalTTL)
}

func (r *capacityRefusals) has(id cell.TaskID, now time.Time) bool {
	return now.Before(r.expiresAt[id])
}

// full reports whether no further refusal can be remembered.
func (r *capacityRefusals) full(now time.Time) bool {
	if len(r.expiresAt) < maxRefusals {
		return false
	}
	r.prune(now)
	return len(r.expiresAt) >= maxRefusals
}

func (r *capacityRefusals) prune(now time.Time) {
	for id, until := range r.expiresAt {
		if !now.Before(until) {
			delete(r.expiresAt, id)
		}
	}
}
