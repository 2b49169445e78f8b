package dispatch

import (
	"cmp"
	"iter"
	"slices"

	"laburnumpoint/internal/monotime"
)

// requestRack returns the rack for which permits are requested first: the one that the step prefers, or, before one is chosen, the one
// that has the most free capacity for its tasks. It is empty where places make no difference.
func (e *Engine) requestRack(s *step, p *pool) string {
	if !e.placesMatter(s) {
		return ""
	}
	if rack := s.nearRack(); rack != "" {
		return rack
	}
	best, most := "", -1
	for _, rack := range p.rackNames() {
		room := 0
		for _, w := range p.onRack(rack) {
			if s.eligible(w) && !s.deniedBy(w) {
				room += s.tasksThatFit(w.free(), 0)
			}
		}
		if room > most {
			best, most = rack, room
		}
	}
	return best
}

// deniedBy reports whether the policy service is known not to allow the worker.
func (s *step) deniedBy(w *worker) bool {
	allowed, known := s.verdicts[w.ID]
	return known && !allowed
}

// sortByRack puts the capacity on the rack that the gang prefers first, or, before one is chosen, that on the racks which have the most of
// it.
func (e *Engine) sortByRack(s *step, allowed []plannedHold) {
	if !e.placesMatter(s) {
		return
	}
	room := make(map[string]int)
	for _, h := range allowed {
		room[h.worker.Rack] += h.tasks
	}
	if rack := s.nearRack(); rack != "" {
		room = map[string]int{rack: 1}
	}
	slices.SortStableFunc(allowed, func(a, b plannedHold) int {
		return cmp.Or(cmp.Compare(room[b.worker.Rack], room[a.worker.Rack]), cmp.Compare(a.worker.Rack, b.worker.Rack))
	})
}

// permitWindow returns the time in which the step has a permit for the worker, and the chance of that. A worker without a permit is
// worth nothing unless a request for one is pending.
func (e *Engine) permitWindow(s *step, w *worker) (from, to monotime.Instant, chance float64) {
	const never = monotime.Instant(1<<63 - 1)
	if s.job.queue.Permit == nil {
		return e.now, never, 1
	}
	if s.hasPermit(w, e.now) {
		return e.now, s.permits[w.ID].validUntil.Add(-permitMargin), 1
	}
	allowed, known := s.verdicts[w.ID]
	_, asked := s.requestedWorkers[w.ID]
	answerAt := e.now.Add(s.job.queue.Permit.For(max(1, len(s.requestedWorkers))))
	switch {
	case !asked || (known && !allowed):
		return 0, 0, 0
	case known:
		return answerAt, never, 1
	}
	return answerAt, never, e.verdictCounts[s.job.queue.Name].allowedShare()
}

// maxNearRequestShare is the share of a wait's greatest gain by which questions about full workers on the step's rack may lengthen a
// permit request.
const maxNearRequestShare = 0.1

// addNearWorker adds a worker with too little free capacity to a permit request if it is on the given rack, so that a task may wait
// for room there. It reports whether it did.
func (e *Engine) addNearWorker(draft *permitRequestDraft, s *step, w *worker, rack string) bool {
	if rack == "" || w.Rack != rack {
		return false
	}
	gain := float64(s.expectedRunTime()) * (e.locality.factor - 1)
	if float64(s.job.queue.Permit.PerWorker)*float64(draft.fullNear+1) > maxNearRequestShare*gain {
		return false
	}
	draft.fullNear++
	draft.workers = append(draft.workers, w.ID)
	return true
}

// requestOrder yields the pool's workers in the order in which permits are requested for them: those on the given rack, then the
// others, each in the order of byPreference.
func (e *Engine) requestOrder(s *step, p *pool, rack string) iter.Seq[*worker] {
	if rack == "" {
		return e.byPreference(s, p)
	}
	return func(yield func(*worker) bool) {
		for _, near := range []bool{true, false} {
			for w := range e.byPreference(s, p) {
				if (w.Rack == rack) == near && !yield(w) {
					return
				}
			}
		}
	}
}
