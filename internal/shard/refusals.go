package shard

import (
	"time"

	"laburnumpoint/internal/cell"
)

// Bounds of capacityRefusals.
const (
	// refusalTTL is how long a refusal is remembered; it is longer than any request's timeout.
	refusalTTL  = 15 * time.Minute
	maxRefusals = 50_000
)

// capacityRefusals remembers the requests that were refused because they fit on no worker of this shard. They may run in
// another shard. If such a request is sent again after a worker has joined this shard, it is refused again, since the earlier
// send may run in the other shard.
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
