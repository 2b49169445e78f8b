package bench

import (
	"math/rand/v2"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/scheduler"
)

// digestAge is the maximum age of the digests from which Sharded chooses a shard.
const digestAge = time.Second

// Sharded divides the workers of each availability zone among shards, each with a scheduler of its own. Each job goes to the
// shard with the lower pressure of two drawn at random.
type Sharded struct {
	shards        []*scheduler.Scheduler
	digests       []scheduler.Totals
	digestsReadAt time.Time
	rng           *rand.Rand
	shardOfRack   map[string]int
	shardsPerZone int
	shardOfJob    map[cell.JobID]int
	shardOfTask   map[cell.TaskID]int
}

// NewSharded returns zones times perZone shards without workers, all with the same policy.
func NewSharded(p scheduler.Policy, zones, perZone int) *Sharded {
	s := &Sharded{
		rng: rand.New(rand.NewPCG(11, 11)), shardOfRack: make(map[string]int), shardsPerZone: perZone,
		shardOfJob: make(map[cell.JobID]int), shardOfTask: make(map[cell.TaskID]int),
	}
	for range zones * perZone {
		s.shards = append(s.shards, scheduler.New(p))
	}
	s.digests = make([]scheduler.Totals, len(s.shards))
	return s
}

// UpsertWorker adds a worker to a shard of its availability zone. All workers of a rack are in the same shard.
func (s *Sharded) UpsertWorker(w cell.Worker, usable bool) {
	zone := int(w.Zone[len(w.Zone)-1] - '0')
	rack := w.Zone + w.Rack
	if _, ok := s.shardOfRack[rack]; !ok {
		s.shardOfRack[rack] = (zone*s.shardsPerZone + len(s.shardOfRack)/len(s.shards)%s.shardsPerZone) % len(s.shards)
	}
	s.shards[s.shardOfRack[rack]].UpsertWorker(w, usable)
}

// Enqueue adds the item to its job's shard, or to the first other shard that admits it.
func (s *Sharded) Enqueue(now time.Time, it scheduler.QueueItem) (bool, cell.Reason) {
	shard, known := s.shardOfJob[it.Task.Job]
	if !known {
		shard = s.chooseShard(now)
	}
	var reason cell.Reason
	for i := range s.shards {
		n := (shard + i) % len(s.shards)
		var ok bool
		if ok, reason = s.shards[n].Enqueue(now, it); ok {
			s.shardOfJob[it.Task.Job] = n
			s.shardOfTask[it.Task.ID] = n
			return true, reason
		}
	}
	return false, reason
}

func (s *Sharded) chooseShard(now time.Time) int {
	if now.Sub(s.digestsReadAt) >= digestAge {
		s.digestsReadAt = now
		for i, shard := range s.shards {
			s.digests[i] = shard.Totals()
		}
	}
	a, b := s.rng.IntN(len(s.shards)), s.rng.IntN(len(s.shards))
	if pressure(s.digests[b]) < pressure(s.digests[a]) {
		return b
	}
	return a
}

// pressure returns the number of queued tasks per worker plus the used share of the shard's scarcest dimension. It is
// computed from a digest, the shard's totals.
func pressure(t scheduler.Totals) float64 {
	used := t.Capacity.Sub(t.Available).DominantShare(t.Capacity)
	return float64(t.Queued)/float64(max(t.Workers, 1)) + used
}

// Requeue puts a task back into the queue of its shard.
func (s *Sharded) Requeue(now time.Time, it scheduler.QueueItem) {
	s.shards[s.shardOfTask[it.Task.ID]].Requeue(now, it)
}

// Release frees a placed task's claim.
func (s *Sharded) Release(id cell.TaskID) { s.shards[s.shardOfTask[id]].Release(id) }

// Schedule returns the decisions of all shards; each may make up to budget placements.
func (s *Sharded) Schedule(now time.Time, budget int) []scheduler.Decision {
	var out []scheduler.Decision
	for _, shard := range s.shards {
		out = append(out, shard.Schedule(now, budget)...)
	}
	return out
}

// NextWake returns the earliest wake-up time of any shard, or zero if none needs one.
func (s *Sharded) NextWake(now time.Time) time.Time {
	var wake time.Time
	for _, shard := range s.shards {
		if t := shard.NextWake(now); !t.IsZero() && (wake.IsZero() || t.Before(wake)) {
			wake = t
		}
	}
	return wake
}
