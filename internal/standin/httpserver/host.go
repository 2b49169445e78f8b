package httpserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/standin"
)

// drainPollInterval is the time between looks at the leases of leaving workers.
const drainPollInterval = 20 * time.Millisecond

// Host runs the runners of a fleet, each at its own address.
type Host struct {
	fleet *standin.Fleet

	mu      sync.Mutex
	runners map[cell.WorkerID]*runnerListener
	states  map[cell.WorkerID]cell.WorkerState
	changed chan struct{} // receives after each change that the platform is to know of
}

// NewHost returns a host whose runners listen at free ports of ip. Options apply to the whole fleet.
func NewHost(options standin.FleetOptions, ip string, workers []cell.Worker) (*Host, error) {
	if options.MaxConnections <= 0 {
		options.MaxConnections = standin.DefaultMaxConnections
	}
	h := &Host{
		fleet:   standin.NewFleet(options),
		runners: make(map[cell.WorkerID]*runnerListener),
		states:  make(map[cell.WorkerID]cell.WorkerState),
		changed: make(chan struct{}, 1),
	}
	for _, w := range workers {
		if w.Addr == "" {
			w.Addr = net.JoinHostPort(ip, "0")
		}
		if err := h.add(w, options.MaxConnections); err != nil {
			h.Close()
			return nil, err
		}
	}
	return h, nil
}

func (h *Host) add(w cell.Worker, maxConnections int) error {
	if err := h.fleet.Add(w); err != nil {
		return err
	}
	api := &runnerAPI{fleet: h.fleet, worker: w}
	l := &runnerListener{worker: w, handler: api.handler(), maxConnections: maxConnections}
	if err := l.open(); err != nil {
		return err
	}
	h.runners[w.ID] = l
	h.states[w.ID] = cell.WorkerLive
	return nil
}

// Fleet returns the runners without their network.
func (h *Host) Fleet() *standin.Fleet {
	return h.fleet
}

// Workers returns the workers that have not ended, with their addresses.
func (h *Host) Workers() []cell.Worker {
	h.mu.Lock()
	defer h.mu.Unlock()
	var workers []cell.Worker
	for id, l := range h.runners {
		if h.states[id] == cell.WorkerGone {
			continue
		}
		w := l.worker
		w.State = h.states[id]
		workers = append(workers, w)
	}
	return workers
}

// WorkersChanged receives after each change of Workers.
func (h *Host) WorkersChanged() <-chan struct{} {
	return h.changed
}

// SetFaults replaces the faults of one worker.
func (h *Host) SetFaults(id cell.WorkerID, f standin.WorkerFaults) error {
	l, err := h.findListener(id)
	if err != nil {
		return err
	}
	h.fleet.SetFaults(id, f)
	if f.Unreachable {
		l.close()
		return nil
	}
	return l.open()
}

// ApplyAction brings an action about on one worker.
func (h *Host) ApplyAction(id cell.WorkerID, action Action) error {
	l, err := h.findListener(id)
	if err != nil {
		return err
	}
	switch action {
	case ActionFreeze:
		h.fleet.Freeze(id)
	case ActionThaw:
		h.fleet.Thaw(id)
	case ActionRestart:
		h.fleet.Restart(id)
	case ActionCrash:
		h.fleet.Crash(id)
		l.close()
		h.setState(id, cell.WorkerGone)
	case ActionLeave:
		h.fleet.MarkLeaving(id)
		h.setState(id, cell.WorkerLeaving)
	default:
		return fmt.Errorf("httpserver: unknown action %q", action)
	}
	return nil
}

// Close cuts every connection.
func (h *Host) Close() {
	for _, l := range h.runners {
		l.close()
	}
}

// drain makes every worker leave, waits for its leases to end and lets calls in flight finish, all until ctx ends.
func (h *Host) drain(ctx context.Context) error {
	for _, w := range h.Workers() {
		if err := h.ApplyAction(w.ID, ActionLeave); err != nil {
			return err
		}
	}
	for h.fleet.RunningLeases() > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(drainPollInterval):
		}
	}
	return h.shutdown(ctx)
}

// shutdown lets calls in flight finish until ctx ends, then cuts the rest and says so.
func (h *Host) shutdown(ctx context.Context) error {
	errs := make(chan error, len(h.runners))
	for _, l := range h.runners {
		go func() { errs <- l.shutdown(ctx) }()
	}
	var err error
	for range h.runners {
		err = errors.Join(err, <-errs)
	}
	return err
}

// findListener returns the listener of a worker that has not ended.
func (h *Host) findListener(id cell.WorkerID) (*runnerListener, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l, ok := h.runners[id]
	if !ok || h.states[id] == cell.WorkerGone {
		return nil, fmt.Errorf("httpserver: no worker %q", id)
	}
	return l, nil
}

func (h *Host) setState(id cell.WorkerID, state cell.WorkerState) {
	h.mu.Lock()
	h.states[id] = state
	h.mu.Unlock()
	select {
	case h.changed <- struct{}{}:
	default: // a change is already waiting to be told
	}
}

// Action is something that happens to a worker VM.
type Action string

// The actions.
const (
	ActionFreeze  Action = "freeze"
	ActionThaw    Action = "thaw"
	ActionRestart Action = "restart"
	ActionCrash   Action = "crash"
	ActionLeave   Action = "leave"
)
