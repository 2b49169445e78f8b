package standin

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/history"
	"laburnumpoint/internal/platformapi"
)

// Defaults of FleetOptions.
const (
	// DefaultRetention is the default of FleetOptions.Retention.
	DefaultRetention = 60 * time.Second
	// DefaultMaxConnections is the default of FleetOptions.MaxConnections.
	DefaultMaxConnections = 64
)

// FleetOptions configures a Fleet. Fields that are not set take the defaults.
type FleetOptions struct {
	// Retention is how long ended leases, tombstones and answers are kept.
	Retention time.Duration
	// ListLag is the time after which the VM list shows a change of a worker.
	ListLag time.Duration
	// MaxConnections limits the calls that one runner serves at the same time; it refuses further ones.
	MaxConnections int
	// Recorder receives every start and end of a lease and every change of a worker.
	Recorder *history.Recorder
}

// Fleet simulates worker VMs with their runners in this process, and the platform's list of these VMs.
// It implements platformapi.RunnerClient for a member without a name; RunnerFor returns the client of a named member.
type Fleet struct {
	options FleetOptions
	vmList  *VMList

	mu      sync.Mutex
	workers map[cell.WorkerID]*workerVM
}

var (
	_ platformapi.RunnerClient = (*Fleet)(nil)
	_ platformapi.VMList       = (*Fleet)(nil)
)

// workerVM is one worker's runner and the network in front of it.
type workerVM struct {
	runner *runner
	link   *link
}

// NewFleet returns a fleet of live workers; the VM list shows them at once.
func NewFleet(options FleetOptions, workers ...cell.Worker) *Fleet {
	if options.Retention <= 0 {
		options.Retention = DefaultRetention
	}
	if options.MaxConnections <= 0 {
		options.MaxConnections = DefaultMaxConnections
	}
	if options.Recorder == nil {
		options.Recorder = history.NewRecorder()
	}
	f := &Fleet{options: options, vmList: NewVMList(options.ListLag), workers: make(map[cell.WorkerID]*workerVM)}
	for _, w := range workers {
		f.add(w)
	}
	f.vmList.makeAllVisible()
	return f
}

// Add adds a live worker; the VM list shows it after the lag. An id that was used before is an error.
func (f *Fleet) Add(w cell.Worker) error {
	f.mu.Lock()
	_, used := f.workers[w.ID]
	f.mu.Unlock()
	if used {
		return fmt.Errorf("standin: worker %s was added before", w.ID)
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
		link:   newLink(f.options.MaxConnections),
	}
	f.vmList.Set(w)
}

// History returns every lease's start and end and every change of a worker so far.
func (f *Fleet) History() []history.Entry {
	return f.options.Recorder.Entries()
}

// VMList returns the platform's list of the fleet's worker VMs.
func (f *Fleet) VMList() *VMList {
	return f.vmList
}

// Workers implements platformapi.VMList.
func (f *Fleet) Workers(ctx context.Context) ([]cell.Worker, error) {
	return f.vmList.Workers(ctx)
}

// WorkerIDs returns the ids of all workers that were ever added, sorted.
func (f *Fleet) WorkerIDs() []cell.WorkerID {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := make([]cell.WorkerID, 0, len(f.workers))
	for id := range f.workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// SetFaults replaces the faults of one worker. Calls in flight from members that can't reach it any more end at once.
func (f *Fleet) SetFaults(id cell.WorkerID, faults WorkerFaults) {
	vm := f.mustFind(id)
	vm.runner.setFailTasks(faults.FailTasks)
	vm.link.setFaults(faults)
}

// RunningLeases returns the number of running leases over all workers.
func (f *Fleet) RunningLeases() int {
	running := 0
	for _, id := range f.WorkerIDs() {
		running += f.mustFind(id).runner.runningLeases()
	}
	return running
}

// Faults returns the faults of one worker.
func (f *Fleet) Faults(id cell.WorkerID) WorkerFaults {
	return f.mustFind(id).link.currentFaults()
}

// SetAllFaults replaces the faults of every worker.
func (f *Fleet) SetAllFaults(faults WorkerFaults) {
	for _, id := range f.WorkerIDs() {
		f.SetFaults(id, faults)
	}
}

// Freeze freezes the VM: until Thaw it answers no call and ends no lease.
func (f *Fleet) Freeze(id cell.WorkerID) {
	f.mustFind(id).runner.freeze()
}

// Thaw lets a frozen VM run again. Leases that expired meanwhile end before anything else happens on the VM.
func (f *Fleet) Thaw(id cell.WorkerID) {
	f.mustFind(id).runner.thaw()
}

// Crash ends the VM and its leases. The VM list drops it after the lag.
func (f *Fleet) Crash(id cell.WorkerID) {
	vm := f.mustFind(id)
	vm.runner.crash()
	vm.link.setFaults(WorkerFaults{Unreachable: true})
	f.vmList.Remove(id)
}

// Restart ends the runner and its leases and boots a new runner on the same VM.
func (f *Fleet) Restart(id cell.WorkerID) {
	f.mustFind(id).runner.restart()
}

// MarkLeaving announces that the VM will shut down: its runner reports this at once, the VM list after the lag.
func (f *Fleet) MarkLeaving(id cell.WorkerID) {
	vm := f.mustFind(id)
	vm.runner.leave()
	w := vm.runner.worker
	w.State = cell.WorkerLeaving
	f.vmList.Set(w)
}

// RunnerFor returns the client that the named member uses, so that a fault can concern one member and one worker only.
func (f *Fleet) RunnerFor(member cell.MemberID) platformapi.RunnerClient {
	return memberClient{fleet: f, member: member}
}

// Claim implements platformapi.RunnerClient.
func (f *Fleet) Claim(ctx context.Context, w cell.Worker, c platformapi.WorkerClaim) (platformapi.WorkerReport, error) {
	return f.RunnerFor("").Claim(ctx, w, c)
}

// ClaimSince makes a claim as the named member. The report holds only leases that changed after the revision since;
// 0 asks for every lease.
func (f *Fleet) ClaimSince(ctx context.Context, member cell.MemberID, id cell.WorkerID, c platformapi.WorkerClaim, since uint64) (ClaimReport, error) {
	return memberClient{fleet: f, member: member}.claimSince(ctx, id, c, since)
}

// Start implements platformapi.RunnerClient.
func (f *Fleet) Start(ctx context.Context, w cell.Worker, bootID string, a cell.Attempt, t cell.Task, ttl time.Duration) platformapi.StartReply {
	return f.RunnerFor("").Start(ctx, w, bootID, a, t, ttl)
}

// Await implements platformapi.RunnerClient.
func (f *Fleet) Await(ctx context.Context, w cell.Worker, a cell.Attempt) platformapi.StartReply {
	return f.RunnerFor("").Await(ctx, w, a)
}

// Stop implements platformapi.RunnerClient.
func (f *Fleet) Stop(ctx context.Context, w cell.Worker, a cell.Attempt, epoch cell.Epoch, mode platformapi.StopMode) (cell.Lease, error) {
	return f.RunnerFor("").Stop(ctx, w, a, epoch, mode)
}

func (f *Fleet) find(id cell.WorkerID) *workerVM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[id]
}

// mustFind returns the worker of this id and panics if there is none: asking for it is a mistake of the calling code.
func (f *Fleet) mustFind(id cell.WorkerID) *workerVM {
	vm := f.find(id)
	if vm == nil {
		panic(fmt.Sprintf("standin: unknown worker %q", id))
	}
	return vm
}
