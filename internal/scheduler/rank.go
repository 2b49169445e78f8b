package scheduler

import "laburnumpoint/internal/cell"

const (
	// zoneSpread and rackSpread weigh how many of a service's tasks share the worker's availability zone or rack.
	zoneSpread = 4.0
	rackSpread = 2.0
	// unevenWeight weighs how unevenly the room that is left is spread over the dimensions.
	unevenWeight = 5.0
)

// score rates w for a claim, higher for better: little room left, and evenly over the dimensions, so that no dimension runs out first.
func score(w *worker, claim cell.Resources) float64 {
	left := amountsOf(w.room().Sub(claim))
	least, most, sum, n := 1.0, 0.0, 0.0, 0.0
	for d, limit := range amountsOf(w.desc.Capacity) {
		if limit <= 0 {
			continue
		}
		f := float64(left[d]) / float64(limit)
		least = min(least, f)
		most = max(most, f)
		sum += f
		n++
	}
	return -sum/max(n, 1) - unevenWeight*(most-least)
}

// spread counts where the tasks of one service run.
type spread struct {
	zones map[string]int
	racks map[string]int
	total int
}

func (s *Scheduler) spreadOf(job cell.JobID) *spread {
	sp, ok := s.services[job]
	if !ok {
		sp = &spread{zones: make(map[string]int), racks: make(map[string]int)}
		s.services[job] = sp
	}
	return sp
}

func (sp *spread) count(w *worker, n int) {
	sp.total += n
	sp.zones[w.desc.Zone] += n
	sp.racks[w.desc.Rack] += n
}

// penalty rates how much another task on w would crowd the service into one availability zone or rack.
func (sp *spread) penalty(w *worker) float64 {
	if sp == nil || sp.total == 0 {
		return 0
	}
	zone := float64(sp.zones[w.desc.Zone]) / float64(sp.total)
	rack := float64(sp.racks[w.desc.Rack]) / float64(sp.total)
	return zoneSpread*zone + rackSpread*rack
}

// countServices adds n for each service task on w.
func (s *Scheduler) countServices(w *worker, n int) {
	for _, e := range w.tasks {
		if e.task().Kind == cell.KindService {
			s.spreadOf(e.task().Job).count(w, n)
		}
	}
}

func (s *Scheduler) uncountService(e *entry) {
	job := e.task().Job
	sp := s.spreadOf(job)
	sp.count(e.worker, -1)
	if sp.total == 0 {
		delete(s.services, job)
	}
}
