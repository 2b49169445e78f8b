package scheduler

import "slices"

// Totals sums up the shard.
func (s *Scheduler) Totals() Totals {
	t := Totals{Capacity: s.totalCapacity, Queued: s.queued, Placed: s.placed, Workers: len(s.sortedWorkers)}
	for _, w := range s.sortedWorkers {
		if !w.placeable() {
			continue
		}
		t.UsableWorkers++
		available := w.available()
		if available.Negative() {
			continue
		}
		t.Available = t.Available.Add(available)
		if available.MilliCPU > t.LargestAvailable.MilliCPU {
			t.LargestAvailable = available
		}
	}
	return t
}

// Workers lists the workers in id order.
func (s *Scheduler) Workers() []WorkerView {
	out := make([]WorkerView, 0, len(s.sortedWorkers))
	for _, w := range s.sortedWorkers {
		out = append(out, WorkerView{Worker: w.desc, Usable: w.usable, Used: w.used, Tasks: len(w.tasks)})
	}
	return out
}

// Teams lists the teams that have queued or placed tasks, in name order.
func (s *Scheduler) Teams() []TeamView {
	names := s.teamNames()
	out := make([]TeamView, 0, len(names))
	for _, name := range names {
		t := s.teams[name]
		out = append(out, TeamView{Team: name, Used: t.used, Quota: t.quota, Queued: t.queued, QueuedClaims: t.queuedClaims})
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
