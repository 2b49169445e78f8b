package scheduler

import (
	"time"

	"laburnumpoint/internal/cell"
)

const (
	// headroomDuration is how long the capacity that an urgent task left stays set aside, at a packing weight of 0.
	headroomDuration = 5 * time.Second
	// maxHeadroomTries bounds the headrooms that are tried for one urgent task.
	maxHeadroomTries = 64
)

// headroom is capacity that a finished urgent task left, set aside for other urgent tasks.
type headroom struct {
	worker *worker
	claim  cell.Resources
	until  time.Time
	// released means that the capacity is no longer set aside.
	released bool
}

// addHeadroom sets the capacity that e left on w aside for other urgent tasks, if e is urgent.
func (s *Scheduler) addHeadroom(e *taskEntry, w *worker) {
	d := time.Duration((1 - s.policy.PackingWeight) * float64(headroomDuration))
	if e.task().Class != cell.ClassUrgent || d <= 0 || !w.placeable() {
		return
	}
	h := &headroom{worker: w, claim: e.claim(), until: s.lastRound.Add(d)}
	s.headrooms = append(s.headrooms, h)
	w.headroom = w.headroom.Add(h.claim)
	w.group.refresh(w)
}

// expireHeadrooms releases the headroom whose time has passed.
func (s *Scheduler) expireHeadrooms(now time.Time) {
	for len(s.headrooms) > 0 {
		h := s.headrooms[0]
		if !h.released && h.until.After(now) {
			return
		}
		s.headrooms = s.headrooms[1:]
		s.releaseHeadroom(h)
	}
}

// releaseHeadroom makes the capacity available to all tasks.
func (s *Scheduler) releaseHeadroom(h *headroom) {
	if h.released {
		return
	}
	h.released = true
	w := h.worker
	w.headroom = w.headroom.Sub(h.claim)
	if w.group != nil {
		w.group.refresh(w)
		s.capacityGrew(w)
	}
}

// takeHeadroom returns a worker on which e fits with the help of one headroom, and releases that headroom for it.
func (s *Scheduler) takeHeadroom(e *taskEntry) *worker {
	tried := 0
	for _, h := range s.headrooms {
		if h.released {
			continue
		}
		w := h.worker
		if tried++; tried > maxHeadroomTries {
			return nil
		}
		if w.placeable() && w.group.matches(e.task().Pool) && e.claim().Fits(w.available().Add(h.claim)) && !avoids(&e.item, w) {
			h.released = true
			w.headroom = w.headroom.Sub(h.claim)
			w.group.refresh(w)
			return w
		}
	}
	return nil
}
