package edge

import (
	"context"
	"sync"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/config"
)

// fakeCell implements Commands and Queries with the answers in its fields and records the commands.
type fakeCell struct {
	mu      sync.Mutex
	runs    []RunRequest
	jobs    []Job
	patches []Patch
	cancels int

	run     func(ctx context.Context, r RunRequest) cell.Outcome
	outcome cell.Outcome
	patch   func(p Patch) PatchResult
	version uint64
	drained map[cell.WorkerID]bool
	job     func() JobStatus
	err     error
	ready   bool
}

func (f *fakeCell) calls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.runs) + len(f.jobs) + len(f.patches) + f.cancels
}

func (f *fakeCell) Run(ctx context.Context, r RunRequest) cell.Outcome {
	f.mu.Lock()
	f.runs = append(f.runs, r)
	f.mu.Unlock()
	if f.run != nil {
		return f.run(ctx, r)
	}
	return f.outcome
}

func (f *fakeCell) SubmitJob(_ context.Context, j Job) cell.Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs = append(f.jobs, j)
	return f.outcome
}

func (f *fakeCell) CancelJob(context.Context, cell.JobID) cell.Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancels++
	return f.outcome
}

func (f *fakeCell) CancelTasks(_ context.Context, ids []cell.TaskID) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancels++
	return len(ids), f.err
}

func (f *fakeCell) Patch(_ context.Context, p Patch) PatchResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.patches = append(f.patches, p)
	return f.patch(p)
}

func (f *fakeCell) Job(_ context.Context, id cell.JobID) (JobStatus, bool, error) {
	if id == "absent" {
		return JobStatus{}, false, f.err
	}
	return f.job(), true, f.err
}

func (f *fakeCell) Explain(_ context.Context, id cell.TaskID) (Explanation, bool, error) {
	return Explanation{Task: id, State: "queued"}, true, f.err
}

func (f *fakeCell) Shards(context.Context) ([]ShardStatus, error) { return nil, f.err }

func (f *fakeCell) Workers(context.Context) ([]WorkerStatus, error) {
	return []WorkerStatus{{Worker: cell.Worker{ID: "w1"}}}, f.err
}

func (f *fakeCell) Teams(context.Context) ([]TeamStatus, error) { return nil, f.err }

func (f *fakeCell) Members(context.Context) ([]MemberStatus, error) { return nil, f.err }

func (f *fakeCell) Config(context.Context) (config.Versioned, error) {
	doc := config.Default()
	doc.Drained = f.drained
	return config.Versioned{Version: f.version, Document: doc}, f.err
}

func (f *fakeCell) History(_ context.Context, limit int) ([]config.Versioned, error) {
	return make([]config.Versioned, limit), f.err
}

func (f *fakeCell) DryRunPatch(_ context.Context, p Patch) PatchResult { return f.patch(p) }

func (f *fakeCell) Ready() (bool, cell.Reason) { return f.ready, cell.Reason{} }
