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

// drainPollInterval is the time between two checks whether the leases of leaving workers have ended.
const drainPollInterval = 20 * time.Millisecond

// Host serves the runners of a fleet over HTTP, each at its own address.
type Host struct {
	fleet *standin.Fleet

	mu      sync.Mutex
	runners map[cell.WorkerID]*runnerListener
	states  map[cell.WorkerID]cell.WorkerState
	changed chan struct{} // receives after each change that has to be registered with the platform
}

// NewHost returns a host with these workers. The runner of a worker without an address listens at a free port of ip.
// The options apply to all workers.
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

// Fleet returns the simulated workers behind the HTTP servers.
func (h *Host) Fleet() *standin.Fleet {
	return h.fleet
}

// Workers returns the workers that have not ended, with their addresses and states.
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

// WorkersChanged returns a channel that receives after changes of Workers; several changes may be received as one.
func (h *Host) WorkersChanged() <-chan struct{} {
	return h.changed
}

// SetFaults replaces the faults of one worker. While a worker is unreachable, its runner doesn't listen.
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

// ApplyAction makes the action happen to one worker.
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
		return fmt.Errorf("httpserver: unknown action %q on a worker", action)
	}
	return nil
}

// Close closes every runner's listener and connections at once.
func (h *Host) Close() {
	for _, l := range h.runners {
		l.close()
	}
}

// drain marks every worker as leaving, waits for all leases to end and then for calls in flight, all until ctx ends.
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

// shutdown waits for calls in flight until ctx ends. Calls that it then has to close are an error.
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
		return nil, fmt.Errorf("httpserver: worker %q is unknown or has ended", id)
	}
	return l, nil
}

func (h *Host) setState(id cell.WorkerID, state cell.WorkerState) {
	h.mu.Lock()
	h.states[id] = state
	h.mu.Unlock()
	select {
	case h.changed <- struct{}{}:
	default: // an earlier change was not received yet
	}
}

// Action is an event that the simulation causes on a worker VM.
type Action string

// The actions.
const (
	ActionFreeze  Action = "freeze"
	ActionThaw    Action = "thaw"
	ActionRestart Action = "restart"
	ActionCrash   Action = "crash"
	ActionLeave   Action = "leave"
)
