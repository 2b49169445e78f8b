package scheduler

import (
	"time"

	"laburnumpoint/internal/cell"
)

const (
	// urgentKeep is how long the room that an urgent task leaves is kept for other urgent work, at a packing weight of 0.
	urgentKeep = 5 * time.Second
	// maxKeepsTried bounds the kept rooms that are tried for one urgent task.
	maxKeepsTried = 64
)

// keep is the room that an urgent task left.
type keep struct {
	worker *worker
	claim  cell.Resources
	until  time.Time
	over   bool
}

// keepFor keeps the room that the urgent entry e left on w.
func (s *Scheduler) keepFor(e *entry, w *worker) {
	d := time.Duration((1 - s.policy.PackingWeight) * float64(urgentKeep))
	if e.task().Class != cell.ClassUrgent || d <= 0 || !w.placeable() {
		return
	}
	k := &keep{worker: w, claim: e.claim(), until: s.lastRound.Add(d)}
	s.keeps = append(s.keeps, k)
	w.kept = w.kept.Add(k.claim)
	w.group.refresh(w)
}

// endKeeps gives back the room that was kept long enough.
func (s *Scheduler) endKeeps(now time.Time) {
	for len(s.keeps) > 0 {
		k := s.keeps[0]
		if !k.over && k.until.After(now) {
			return
		}
		s.keeps = s.keeps[1:]
		s.endKeep(k)
	}
}

func (s *Scheduler) endKeep(k *keep) {
	if k.over {
		return
	}
	k.over = true
	w := k.worker
	w.kept = w.kept.Sub(k.claim)
	if w.group != nil {
		w.group.refresh(w)
		s.roomGrew(w)
	}
}

// findKept returns a worker where e fits into kept room, and ends the keep.
func (s *Scheduler) findKept(e *entry) *worker {
	tried := 0
	for _, k := range s.keeps {
		if k.over {
			continue
		}
		w := k.worker
		if tried++; tried > maxKeepsTried {
			return nil
		}
		if w.placeable() && w.group.matches(e.task().Pool) && e.claim().Fits(w.room().Add(k.claim)) && !avoids(&e.item, w) {
			k.over = true
			w.kept = w.kept.Sub(k.claim)
			w.group.refresh(w)
			return w
		}
	}
	return nil
}
