package standin

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platformapi"
)

// VMList is an in-memory platformapi.VMList that shows each change only after a lag.
type VMList struct {
	mu      sync.Mutex
	lag     time.Duration
	down    bool
	changes map[cell.WorkerID][]workerChange
}

// workerChange is a worker's state from the time at on.
type workerChange struct {
	at     time.Time
	worker cell.Worker
}

var _ platformapi.VMList = (*VMList)(nil)

// NewVMList returns an empty list with the given lag.
func NewVMList(lag time.Duration) *VMList {
	return &VMList{lag: lag, changes: make(map[cell.WorkerID][]workerChange)}
}

// Set records a worker's current state. The list shows it after the lag.
func (l *VMList) Set(w cell.Worker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changes := l.changes[w.ID]
	if n := len(changes); n > 0 && changes[n-1].worker == w {
		return
	}
	l.changes[w.ID] = append(changes, workerChange{at: time.Now(), worker: w})
}

// Remove records that a worker has ended. The list drops it after the lag.
func (l *VMList) Remove(id cell.WorkerID) {
	l.Set(cell.Worker{ID: id, State: cell.WorkerGone})
}

// SetDown sets whether every query fails with ErrUnavailable.
func (l *VMList) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// SetLag replaces the lag, also for earlier changes.
func (l *VMList) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// makeAllVisible makes every change recorded so far visible regardless of the lag.
func (l *VMList) makeAllVisible() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, changes := range l.changes {
		for i := range changes {
			changes[i].at = time.Time{}
		}
	}
}

// Workers implements platformapi.VMList.
func (l *VMList) Workers(ctx context.Context) ([]cell.Worker, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down || ctx.Err() != nil {
		return nil, platformapi.ErrUnavailable
	}
	visibleUntil := time.Now().Add(-l.lag)
	var workers []cell.Worker
	for _, changes := range l.changes {
		w, ok := stateAt(changes, visibleUntil)
		if ok && w.State != cell.WorkerGone {
			workers = append(workers, w)
		}
	}
	slices.SortFunc(workers, func(a, b cell.Worker) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return workers, nil
}

// stateAt returns the worker's state at the given time. It returns false if there was none yet.
func stateAt(changes []workerChange, at time.Time) (cell.Worker, bool) {
	for _, c := range slices.Backward(changes) {
		if !c.at.After(at) {
			return c.worker, true
		}
	}
	return cell.Worker{}, false
}
