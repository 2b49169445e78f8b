package scheduler

import "slices"

// Totals sums up the shard.
func (s *Scheduler) Totals() Totals {
	t := Totals{Capacity: s.capacity, Queued: s.queued, Placed: s.placed, Workers: len(s.order)}
	for _, w := range s.order {
		if !w.placeable() {
			continue
		}
		t.UsableWorkers++
		room := w.room()
		if room.Negative() {
			continue
		}
		t.Available = t.Available.Add(room)
		if room.MilliCPU > t.LargestAvailable.MilliCPU {
			t.LargestAvailable = room
		}
	}
	return t
}

// Workers lists the workers in id order.
func (s *Scheduler) Workers() []WorkerView {
	out := make([]WorkerView, 0, len(s.order))
	for _, w := range s.order {
		out = append(out, WorkerView{Worker: w.desc, Usable: w.usable, Used: w.used, Tasks: len(w.tasks)})
	}
	return out
}

// Teams lists the teams that hold or wait for something, in name order.
func (s *Scheduler) Teams() []TeamView {
	names := s.teamNames()
	out := make([]TeamView, 0, len(names))
	for _, name := range names {
		t := s.teams[name]
		out = append(out, TeamView{Team: name, Used: t.held, Quota: t.quota, Queued: t.queued, QueuedClaims: t.waiting})
	}
	return out
}

func (s *Scheduler) teamNames() []string {
	names := make([]string, 0, len(s.teams))
	for name := range s.teams {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
