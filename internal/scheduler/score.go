package scheduler

import "laburnumpoint/internal/cell"

const (
	// zoneSpreadWeight and rackSpreadWeight weigh the fractions of a service's tasks in the worker's availability zone
	// and rack.
	zoneSpreadWeight = 4.0
	rackSpreadWeight = 2.0
	// imbalanceWeight weighs the difference between the dimensions with the largest and the smallest fraction left.
	imbalanceWeight = 5.0
)

// score rates w for a claim; higher is better. It prefers workers on which little capacity is left afterwards (best fit),
// in even fractions of all dimensions, so that no dimension runs out first.
func score(w *worker, claim cell.Resources) float64 {
	remaining := amountsOf(w.available().Sub(claim))
	smallest, largest, sum, n := 1.0, 0.0, 0.0, 0.0
	for d, limit := range amountsOf(w.desc.Capacity) {
		if limit <= 0 {
			continue
		}
		fraction := float64(remaining[d]) / float64(limit)
		smallest = min(smallest, fraction)
		largest = max(largest, fraction)
		sum += fraction
		n++
	}
	return -sum/max(n, 1) - imbalanceWeight*(largest-smallest)
}

// serviceSpread counts where the tasks of one service run.
type serviceSpread struct {
	zones map[string]int
	racks map[string]int
	total int
}

func (s *Scheduler) spreadOf(job cell.JobID) *serviceSpread {
	sp, ok := s.services[job]
	if !ok {
		sp = &serviceSpread{zones: make(map[string]int), racks: make(map[string]int)}
		s.services[job] = sp
	}
	return sp
}

func (sp *serviceSpread) count(w *worker, n int) {
	sp.total += n
	sp.zones[w.desc.Zone] += n
	sp.racks[w.desc.Rack] += n
}

// penalty rates how concentrated the service already is in w's availability zone and rack.
func (sp *serviceSpread) penalty(w *worker) float64 {
	if sp == nil || sp.total == 0 {
		return 0
	}
	zone := float64(sp.zones[w.desc.Zone]) / float64(sp.total)
	rack := float64(sp.racks[w.desc.Rack]) / float64(sp.total)
	return zoneSpreadWeight*zone + rackSpreadWeight*rack
}

// countServices adds n to the spread counts for each service task on w.
func (s *Scheduler) countServices(w *worker, n int) {
	for _, e := range w.tasks {
		if e.task().Kind == cell.KindService {
			s.spreadOf(e.task().Job).count(w, n)
		}
	}
}

func (s *Scheduler) uncountService(e *taskEntry) {
	job := e.task().Job
	sp := s.spreadOf(job)
	sp.count(e.worker, -1)
	if sp.total == 0 {
		delete(s.services, job)
	}
}
