package standin

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/history"
	"laburnumpoint/internal/platform"
)

// Defaults of a fleet.
const (
	// DefaultRetention is how long ended leases, tombstones and answers are kept.
	DefaultRetention = 60 * time.Second
	// DefaultConnections is how many calls a runner serves at one time.
	DefaultConnections = 64
)

// FleetOptions sets up a Fleet. Zero fields take the defaults.
type FleetOptions struct {
	// Retention is how long ended leases, tombstones and answers are kept.
	Retention time.Duration
	// ListLag is the time between a change of a worker and its being seen in the VM list.
	ListLag time.Duration
	// Connections is how many calls one runner serves at one time; it refuses the rest.
	Connections int
	// Recorder gets every lease's start and end.
	Recorder *history.Recorder
}

// Fleet is a set of worker VMs with their runners, all in this process, and the platform's list of them.
// It implements platform.Runner for a member without a name; As gives the runner as a named member sees it.
type Fleet struct {
	options FleetOptions
	list    *VMList

	mu      sync.Mutex
	workers map[cell.WorkerID]*workerVM
}

var (
	_ platform.RunnerClient = (*Fleet)(nil)
	_ platform.VMList       = (*Fleet)(nil)
)

// workerVM is one worker with its runner and the network before it.
type workerVM struct {
	runner *runner
	link   *link
}

// NewFleet returns a fleet of live workers.
func NewFleet(options FleetOptions, workers ...cell.Worker) *Fleet {
	if options.Retention <= 0 {
		options.Retention = DefaultRetention
	}
	if options.Connections <= 0 {
		options.Connections = DefaultConnections
	}
	if options.Recorder == nil {
		options.Recorder = history.NewRecorder()
	}
	f := &Fleet{options: options, list: NewVMList(options.ListLag), workers: make(map[cell.WorkerID]*workerVM)}
	for _, w := range workers {
		f.add(w)
	}
	f.list.showAll()
	return f
}

// Add adds a live worker; the VM list shows it after its lag. An id that was used before is an error.
func (f *Fleet) Add(w cell.Worker) error {
	f.mu.Lock()
	_, used := f.workers[w.ID]
	f.mu.Unlock()
	if used {
		return fmt.Errorf("standin: worker %s exists", w.ID)
	}
	f.add(w)
	return nil
}

func (f *Fleet) add(w cell.Worker) {
	w.State = cell.WorkerLive
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[w.ID] = &workerVM{
		runner: newRunner(w, f.options.Retention, f.options.Recorder),
		link:   newLink(f.options.Connections),
	}
	f.list.Set(w)
}

// History returns every lease's start and end and every change of a worker so far.
func (f *Fleet) History() []history.Entry {
	return f.options.Recorder.Entries()
}

// VMList returns the platform's list of the fleet's workers.
func (f *Fleet) VMList() *VMList {
	return f.list
}

// Workers implements platform.VMList.
func (f *Fleet) Workers(ctx context.Context) ([]cell.Worker, error) {
	return f.list.Workers(ctx)
}

// IDs returns the ids of all workers that were ever added, sorted.
func (f *Fleet) IDs() []cell.WorkerID {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := make([]cell.WorkerID, 0, len(f.workers))
	for id := range f.workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// SetFaults replaces the network faults of one worker. Calls in flight that the new faults cut off end at once.
func (f *Fleet) SetFaults(id cell.WorkerID, faults WorkerFaults) {
	vm := f.mustFind(id)
	vm.runner.setFailTasks(faults.FailTasks)
	vm.link.setFaults(faults)
}

// RunningLeases returns the number of leases that run now, over all workers.
func (f *Fleet) RunningLeases() int {
	running := 0
	for _, id := range f.IDs() {
		running += f.mustFind(id).runner.runningLeases()
	}
	return running
}

// Faults returns the faults of one worker.
func (f *Fleet) Faults(id cell.WorkerID) WorkerFaults {
	return f.mustFind(id).link.current()
}

// SetAllFaults replaces the faults of every worker.
func (f *Fleet) SetAllFaults(faults WorkerFaults) {
	for _, id := range f.IDs() {
		f.SetFaults(id, faults)
	}
}

// Freeze pauses the VM: it neither answers nor ends leases until Thaw.
func (f *Fleet) Freeze(id cell.WorkerID) {
	f.mustFind(id).runner.freeze()
}

// Thaw ends a pause. Leases that lapsed during it end before anything else happens on the VM.
func (f *Fleet) Thaw(id cell.WorkerID) {
	f.mustFind(id).runner.thaw()
}

// Crash ends the VM and its leases. The VM list drops it after its lag.
func (f *Fleet) Crash(id cell.WorkerID) {
	vm := f.mustFind(id)
	vm.runner.crash()
	vm.link.setFaults(WorkerFaults{Unreachable: true})
	f.list.Remove(id)
}

// Restart ends the runner with its leases and boots a new one.
func (f *Fleet) Restart(id cell.WorkerID) {
	f.mustFind(id).runner.restart()
}

// Leave tells the VM to shut down: its runner says so at once, and the VM list after its lag.
func (f *Fleet) Leave(id cell.WorkerID) {
	vm := f.mustFind(id)
	vm.runner.leave()
	w := vm.runner.worker
	w.State = cell.WorkerLeaving
	f.list.Set(w)
}

// As returns the runners as the named member reaches them, for faults between one member and a worker.
func (f *Fleet) As(member cell.MemberID) platform.RunnerClient {
	return fleetView{fleet: f, member: member}
}

// Claim implements platform.Runner.
func (f *Fleet) Claim(ctx context.Context, w cell.Worker, c platform.WorkerClaim) (platform.WorkerReport, error) {
	return f.As("").Claim(ctx, w, c)
}

// ClaimSince is Claim as the named member makes it, with a report of only those leases that changed after a revision.
// Revision 0 asks for every lease.
func (f *Fleet) ClaimSince(ctx context.Context, member cell.MemberID, id cell.WorkerID, c platform.WorkerClaim, since uint64) (ClaimReport, error) {
	return fleetView{fleet: f, member: member}.claimSince(ctx, id, c, since)
}

// Start implements platform.Runner.
func (f *Fleet) Start(ctx context.Context, w cell.Worker, boot string, a cell.Attempt, t cell.Task, ttl time.Duration) platform.StartReply {
	return f.As("").Start(ctx, w, boot, a, t, ttl)
}

// Await implements platform.Runner.
func (f *Fleet) Await(ctx context.Context, w cell.Worker, a cell.Attempt) platform.StartReply {
	return f.As("").Await(ctx, w, a)
}

// Stop implements platform.Runner.
func (f *Fleet) Stop(ctx context.Context, w cell.Worker, a cell.Attempt, epoch cell.Epoch, mode platform.StopMode) (cell.Lease, error) {
	return f.As("").Stop(ctx, w, a, epoch, mode)
}

func (f *Fleet) find(id cell.WorkerID) *workerVM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[id]
}

// mustFind returns a worker that a test or operator of the stand-in names; an unknown one is a mistake in the caller.
func (f *Fleet) mustFind(id cell.WorkerID) *workerVM {
	vm := f.find(id)
	if vm == nil {
		panic(fmt.Sprintf("standin: no worker %q", id))
	}
	return vm
}
