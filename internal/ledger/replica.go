package ledger

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/rowstore"
)

// Timing of calls for the store's changes. Each call is charged, and each daemon calls for each table.
const (
	// feedWait is how long a call waits for changes. After that time the store confirms that there are none, and so that the
	// owner has not renewed its ownership.
	feedWait = 500 * time.Millisecond
	// intakePollDelay is the delay between calls for the intake table while this daemon does not own the cell. It needs new
	// jobs only to answer questions about them.
	intakePollDelay = 400 * time.Millisecond
	// ownerIntakePollDelay is the same delay for the owner, which the accepting daemons also notify of new jobs directly.
	ownerIntakePollDelay = 60 * time.Millisecond
	// progressPollDelay is the delay between calls for the progress table. It adds to the time in which the loss of an owner
	// is noticed.
	progressPollDelay = 200 * time.Millisecond
	// ownerProgressPollDelay is the same delay for the owner, which writes the progress itself.
	ownerProgressPollDelay = 1 * time.Second
	// pollDelayPerDaemon lengthens the delays with the number of daemons, so that the store's calls per second don't grow
	// with it.
	pollDelayPerDaemon = 10 * time.Millisecond
	// maxPollDelay bounds the delays, so that the loss of an owner is noticed in time.
	maxPollDelay = 600 * time.Millisecond
)

// pollDelay returns the delay between the calls of a daemon that does not own the cell, at least minDelay.
func pollDelay(minDelay time.Duration, daemons int) time.Duration {
	return max(minDelay, min(maxPollDelay, time.Duration(daemons)*pollDelayPerDaemon))
}

// Job is the replica's state of a job.
type Job struct {
	JobRecord
	Cancelled bool
	Progress  *dispatch.Progress

	// details are the rows with details of the job's tasks, by name. A change replaces the map.
	details map[string]detailRow

	hasRecord       bool
	recordVersion   uint64
	progressVersion uint64
	// progressRemoved means that the progress row has been removed from the store; the removal of the record follows.
	progressRemoved bool
}

// RecordedWorker is a worker with the version at which it was recorded.
type RecordedWorker struct {
	dispatch.Worker
	Version uint64
}

// RecordedAt returns the version at which the job was recorded.
func (j *Job) RecordedAt() uint64 { return j.recordVersion }

// State returns the job's state as reported to callers.
func (j *Job) State() graph.JobState {
	switch {
	case j.Progress != nil && j.Progress.State.Ended():
		return j.Progress.State
	case j.Cancelled:
		return graph.Cancelled
	case j.Progress != nil:
		return j.Progress.State
	}
	return graph.Queued
}

// Started reports whether the job's progress says that one of its tasks has started.
func (j *Job) Started() bool { return j.Progress != nil && j.Progress.Started }

// Replica is a daemon's view of the ledger in memory: a copy of all tables that follows the store's feeds, or only the
// ownership row while the daemon needs no copy. It is safe for concurrent use.
type Replica struct {
	store      rowstore.Store
	clock      monotime.Clock
	log        *log.Logger
	self       DaemonInfo
	copyPolicy *copyPolicy
	followers  []*rowstore.Follower
	owning     atomic.Bool
	// dropMu keeps the copy from being dropped while the owning flag is set.
	dropMu sync.Mutex
	// following means that the replica has a copy of the ledger or is loading one.
	following atomic.Bool
	// maxRowBytes bounds the value of a row in the store.
	maxRowBytes int
	// daemonCount is how many daemons follow the store; 0 while that is not known.
	daemonCount atomic.Int64

	mu      sync.RWMutex
	jobs    map[graph.JobID]*Job
	workers map[dispatch.WorkerID]RecordedWorker
	// marks are the jobs that were cancelled and are not stored.
	marks map[graph.JobID]cancelMark
	owner OwnerRecord
	// ownerVersion is the version of the ownership row, 0 if there is none; ownerChangedAt is when the row was last seen to
	// change.
	ownerVersion   uint64
	ownerChangedAt monotime.Instant
	// ownerReadAt is when the row was last read apart from the feed.
	ownerReadAt monotime.Instant
	// onJobChange is called, without mu held, for each job that is new or newly cancelled.
	onJobChange func(graph.JobID)
}

// NewReplica returns an empty replica. Run fills it and keeps it current.
func NewReplica(store rowstore.Store, clock monotime.Clock, logger *log.Logger, self DaemonInfo) *Replica {
	r := &Replica{
		store:          store,
		self:           self,
		copyPolicy:     newCopyPolicy(self, clock.Now()),
		clock:          clock,
		log:            logger,
		jobs:           make(map[graph.JobID]*Job),
		workers:        make(map[dispatch.WorkerID]RecordedWorker),
		marks:          make(map[graph.JobID]cancelMark),
		ownerChangedAt: clock.Now(),
		onJobChange:    func(graph.JobID) {},
		maxRowBytes:    rowstore.MaxRowBytes,
	}
	parts := make([]string, intakeParts)
	for n := range parts {
		parts[n] = partName(n)
	}
	r.followers = []*rowstore.Follower{
		r.newFollower(intakeTable, parts, ownerIntakePollDelay, intakePollDelay),
		r.newFollower(progressTable, []string{""}, ownerProgressPollDelay, progressPollDelay),
	}
	return r
}

// newFollower returns a follower of a table. ownerDelay is the delay between its calls while this daemon owns the cell,
// otherDelay the least one while it does not.
func (r *Replica) newFollower(table string, parts []string, ownerDelay, otherDelay time.Duration) *rowstore.Follower {
	return &rowstore.Follower{
		Store: r.store, Clock: r.clock, Log: r.log, Table: table, Parts: parts, FeedWait: feedWait, OnUpdate: func(u rowstore.Update) { r.applyUpdate(table, u) },
		PollDelay: func() time.Duration {
			if r.owning.Load() {
				return ownerDelay
			}
			return pollDelay(otherDelay, int(r.daemonCount.Load()))
		},
	}
}

// SetOwning sets whether this daemon owns the cell or is about to take it over. While it is set, a copy is not dropped.
func (r *Replica) SetOwning(owning bool) {
	r.dropMu.Lock()
	defer r.dropMu.Unlock()
	r.owning.Store(owning)
}

// SetDaemonCount sets how many daemons follow the store.
func (r *Replica) SetDaemonCount(n int) { r.daemonCount.Store(int64(n)) }

// SetMaxRowBytes sets the bound on the value of a row in the store. It is called before Run.
func (r *Replica) SetMaxRowBytes(n int) { r.maxRowBytes = n }

// MaxRowBytes returns the bound on the value of a row in the store.
func (r *Replica) MaxRowBytes() int { return r.maxRowBytes }

// OnJobChange sets the function that is called for each job that is new or newly cancelled. The function must not block.
func (r *Replica) OnJobChange(f func(graph.JobID)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onJobChange = f
}

// Store returns the store that the replica follows.
func (r *Replica) Store() rowstore.Store { return r.store }

// Run follows the store until ctx ends: the whole ledger while the daemon needs a copy, otherwise only the ownership row.
func (r *Replica) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if r.needsCopy() {
			r.followLedger(ctx)
		} else {
			r.watchOwner(ctx)
		}
	}
}

func (r *Replica) needsCopy() bool {
	now := r.clock.Now()
	r.copyPolicy.observeOwner(now, r.Owner())
	return r.owning.Load() || r.copyPolicy.needed(now)
}

// followLedger keeps a copy for as long as the daemon needs one.
func (r *Replica) followLedger(ctx context.Context) {
	r.log.Info().Msg("following all tables of the ledger")
	r.following.Store(true)
	tablesCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var tables sync.WaitGroup
	for _, f := range r.followers {
		tables.Go(func() { f.Run(tablesCtx) })
	}
	for ctx.Err() == nil && r.needsCopy() {
		monotime.Sleep(ctx, copyCheckInterval)
	}
	cancel()
	tables.Wait()
	if ctx.Err() == nil {
		r.dropCopy()
	}
}

// dropCopy discards all but the ownership row, unless the owning flag has been set since the copy was found to be unneeded.
func (r *Replica) dropCopy() {
	r.dropMu.Lock()
	defer r.dropMu.Unlock()
	if r.owning.Load() {
		return
	}
	r.log.Info().Msg("ledger copy dropped, following only the ownership row: other daemons have copies")
	r.following.Store(false)
	for _, f := range r.followers {
		f.Reset()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs = make(map[graph.JobID]*Job)
	r.workers = make(map[dispatch.WorkerID]RecordedWorker)
	r.marks = make(map[graph.JobID]cancelMark)
	r.ownerReadAt = r.clock.Now()
}

// ownerReadTimeout bounds a read of the ownership row: about twice what a store sixty times slower than usual takes.
const ownerReadTimeout = 500 * time.Millisecond

// watchOwner reads the ownership row once and waits for the delay before the next read.
func (r *Replica) watchOwner(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, ownerReadTimeout)
	defer cancel()
	if err := r.ReadOwner(readCtx); err != nil && ctx.Err() == nil {
		r.log.Warn().Err(err).Msg("ownership row could not be read")
	}
	monotime.Sleep(ctx, pollDelay(progressPollDelay, int(r.daemonCount.Load())))
}

// RequestCopy makes the replica load a copy of the ledger if it has none.
func (r *Replica) RequestCopy() { r.copyPolicy.request(r.clock.Now()) }

// Ready reports whether callers can be answered: from a full copy of the ledger or, without one, by asking the owner.
func (r *Replica) Ready() bool {
	if r.following.Load() {
		return r.HasFullCopy()
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.ownerReadAt > 0
}

// HasFullCopy reports whether the replica has read all tables of the ledger and follows them.
func (r *Replica) HasFullCopy() bool {
	if !r.following.Load() {
		return false
	}
	for _, f := range r.followers {
		if !f.Loaded() {
			return false
		}
	}
	return true
}

// CatchUp applies every change up to a version that the store is known to have reached. Errors: ErrUnavailable.
func (r *Replica) CatchUp(ctx context.Context, version uint64) error {
	for _, f := range r.followers {
		if err := f.CatchUp(ctx, version); err != nil {
			return err
		}
	}
	return nil
}

// Version returns the version up to which the copy holds every change.
func (r *Replica) Version() uint64 {
	version := r.followers[0].Version()
	for _, f := range r.followers[1:] {
		version = min(version, f.Version())
	}
	return version
}

func (r *Replica) applyUpdate(table string, u rowstore.Update) {
	for _, change := range u.Changes {
		r.apply(change)
	}
	if u.Full {
		r.removeUnlisted(table, u)
	}
}

// removeUnlisted removes what a full read of a table doesn't list: those rows were removed from the store, for example while
// the feed's history was lost. Rows newer than the read stay; this daemon wrote them itself.
func (r *Replica) removeUnlisted(table string, u rowstore.Update) {
	listed := make(map[string]struct{}, len(u.Changes))
	for _, change := range u.Changes {
		listed[change.Name] = struct{}{}
	}
	removed := func(name string, version uint64) bool {
		_, ok := listed[name]
		return !ok && version <= u.Version
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch table {
	case intakeTable:
		for id, j := range r.jobs {
			if j.hasRecord && removed(jobPrefix+string(id), j.recordVersion) {
				r.dropRecord(id)
			}
		}
		for id, mark := range r.marks {
			if removed(jobPrefix+string(id), mark.version) {
				delete(r.marks, id)
			}
		}
	case progressTable:
		for id, j := range r.jobs {
			for name, d := range j.details {
				if removed(name, d.version) {
					r.applyDetail(strings.TrimPrefix(name, detailPrefix), rowstore.Change{Row: rowstore.Row{Key: detailKey(name), Version: u.Version}, Removed: true})
				}
			}
			if j.Progress != nil && removed(progressPrefix+string(id), j.progressVersion) {
				r.dropProgress(id)
			}
		}
		for id, w := range r.workers {
			if removed(workerPrefix+string(id), w.Version) {
				delete(r.workers, id)
			}
		}
	}
}

// apply applies one change and reports a new or newly cancelled job. A row that can't be decoded is logged and skipped.
func (r *Replica) apply(change rowstore.Change) {
	notify, err := r.applyRow(change)
	if err != nil {
		r.log.Error().Str("table", change.Table).Str("row", change.Name).Uint64("version", change.Version).Err(err).Msg("ledger row could not be decoded, skipped")
		return
	}
	if notify != "" {
		r.mu.RLock()
		changed := r.onJobChange
		r.mu.RUnlock()
		changed(notify)
	}
}

func (r *Replica) applyRow(change rowstore.Change) (notify graph.JobID, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id, ok := jobIDFromRowName(change.Name, jobPrefix); ok && change.Table == intakeTable {
		return r.applyJob(id, change)
	}
	if id, ok := jobIDFromRowName(change.Name, cancelPrefix); ok && change.Table == intakeTable {
		return r.applyCancel(id, change), nil
	}
	if id, ok := jobIDFromRowName(change.Name, progressPrefix); ok && change.Table == progressTable {
		return "", r.applyProgress(id, change)
	}
	if name, ok := strings.CutPrefix(change.Name, detailPrefix); ok && change.Table == progressTable {
		r.applyDetail(name, change)
		return "", nil
	}
	if id, ok := jobIDFromRowName(change.Name, workerPrefix); ok && change.Table == progressTable {
		return "", r.applyWorker(dispatch.WorkerID(id), change)
	}
	if change.Name == ownerRowName && change.Table == progressTable {
		return "", r.applyOwner(change)
	}
	return "", nil
}

func (r *Replica) ensureJob(id graph.JobID) *Job {
	j := r.jobs[id]
	if j == nil {
		j = &Job{}
		r.jobs[id] = j
	}
	return j
}

func (r *Replica) applyJob(id graph.JobID, change rowstore.Change) (graph.JobID, error) {
	if change.Removed {
		r.dropRecord(id)
		if r.marks[id].version <= change.Version {
			delete(r.marks, id)
		}
		return "", nil
	}
	if j := r.jobs[id]; j != nil && j.hasRecord {
		return "", nil // a job's record never changes
	}
	var record JobRecord
	if err := json.Unmarshal(change.Value, &record); err != nil {
		return "", err
	}
	if record.isMark() {
		if change.Version > r.marks[id].version {
			r.marks[id] = cancelMark{change.Version, r.clock.Now()}
		}
		return "", nil
	}
	if err := record.check(); err != nil {
		return "", err
	}
	j := r.ensureJob(id)
	delete(r.marks, id)
	j.JobRecord = record
	j.Cancelled = j.Cancelled || record.CancelledBefore
	j.hasRecord, j.recordVersion = true, change.Version
	return id, nil
}

// dropRecord drops a job's record. The progress stays until its own row is removed: if the record is applied again late, for
// example while a table is read again, the job is still known to have ended. The caller holds mu.
func (r *Replica) dropRecord(id graph.JobID) {
	j := r.jobs[id]
	if j == nil {
		return
	}
	if j.Progress == nil || j.progressRemoved {
		delete(r.jobs, id)
		return
	}
	j.JobRecord, j.hasRecord = JobRecord{}, false
}

// dropProgress drops a job whose progress row has been removed. A job that still has its record keeps the progress, without
// which it would be taken for a new job. The caller holds mu.
func (r *Replica) dropProgress(id graph.JobID) {
	j := r.jobs[id]
	switch {
	case j == nil:
	case j.hasRecord:
		j.progressRemoved = true
	default:
		delete(r.jobs, id)
	}
}

func (r *Replica) applyCancel(id graph.JobID, change rowstore.Change) graph.JobID {
	if change.Removed {
		return ""
	}
	j := r.ensureJob(id)
	if j.Cancelled {
		return ""
	}
	j.Cancelled = true
	return id
}

func (r *Replica) applyProgress(id graph.JobID, change rowstore.Change) error {
	if change.Removed {
		r.dropProgress(id)
		return nil
	}
	if j := r.jobs[id]; j != nil && j.progressVersion >= change.Version {
		return nil
	}
	var p dispatch.Progress
	if err := json.Unmarshal(change.Value, &p); err != nil {
		return err
	}
	j := r.ensureJob(id)
	j.Progress = &p
	j.progressVersion = change.Version
	return nil
}

func (r *Replica) applyWorker(id dispatch.WorkerID, change rowstore.Change) error {
	if change.Version < r.workers[id].Version {
		return nil
	}
	if change.Removed {
		delete(r.workers, id)
		return nil
	}
	var record WorkerRecord
	if err := json.Unmarshal(change.Value, &record); err != nil {
		return err
	}
	record.ID = id
	if record.Capacity.CheckRange() != nil {
		record.Capacity = graph.Resources{} // the worker's report is awaited; the registry tells its capacity
	}
	r.workers[id] = RecordedWorker{record.Worker, change.Version}
	return nil
}

func (r *Replica) applyOwner(change rowstore.Change) error {
	if change.Version <= r.ownerVersion {
		return nil
	}
	var owner OwnerRecord
	if err := json.Unmarshal(change.Value, &owner); err != nil && !change.Removed {
		return err
	}
	r.owner = owner
	r.ownerVersion = change.Version
	r.ownerChangedAt = r.clock.Now()
	return nil
}

// Job returns a copy of the state of an accepted job.
func (r *Replica) Job(id graph.JobID) (Job, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	j := r.jobs[id]
	if j == nil || !j.hasRecord {
		return Job{}, false
	}
	return *j, true
}

// Jobs returns copies of the states of all accepted jobs.
func (r *Replica) Jobs() map[graph.JobID]Job {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := make(map[graph.JobID]Job, len(r.jobs))
	for id, j := range r.jobs {
		if j.hasRecord {
			out[id] = *j
		}
	}
	return out
}

// OrphanedProgress returns the ended jobs of which only the progress is left, because their records have been removed, and those of which
// only detail rows are.
func (r *Replica) OrphanedProgress() []graph.JobID {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var out []graph.JobID
	for id, j := range r.jobs {
		ended := j.Progress != nil && j.Progress.State.Ended()
		if !j.hasRecord && (ended || (j.Progress == nil && len(j.details) > 0)) {
			out = append(out, id)
		}
	}
	return out
}

// PendingJobs returns the number of a queue's unfinished jobs of which no task has started.
func (r *Replica) PendingJobs(queue string) int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	n := 0
	for _, j := range r.jobs {
		if j.hasRecord && j.Queue.Name == queue && !j.Started() && !j.State().Ended() {
			n++
		}
	}
	return n
}

// Workers returns the workers that owners have recorded.
func (r *Replica) Workers() []RecordedWorker {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return slices.Collect(maps.Values(r.workers))
}

// OwnerView is the ownership row as a daemon last saw it.
type OwnerView struct {
	OwnerRecord
	// Version is the ownership row's version; 0 if there is none.
	Version uint64
	// UnchangedFor is how long ago the row was last seen to change.
	UnchangedFor time.Duration
}

// ReadOwner reads the ownership row from the store and applies it. Errors: ErrUnavailable.
func (r *Replica) ReadOwner(ctx context.Context) error {
	rows, err := r.readRow(ctx, ownerKey())
	if err != nil {
		return err
	}
	for _, row := range rows {
		r.apply(rowstore.Change{Row: row})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ownerReadAt = r.clock.Now()
	return nil
}

// ObserveOwner applies the ownership row as another daemon has it, if it is newer.
func (r *Replica) ObserveOwner(owner OwnerRecord, version uint64) {
	r.apply(rowstore.Change{Row: rowstore.Row{Key: ownerKey(), Value: encode(owner), Version: version}})
}

// Owner returns the ownership row as last seen.
func (r *Replica) Owner() OwnerView {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return OwnerView{r.owner, r.ownerVersion, r.clock.Now().Sub(r.ownerChangedAt)}
}

// Age returns how long ago the replica was last known to be current.
func (r *Replica) Age() time.Duration {
	if !r.following.Load() {
		r.mu.RLock()
		defer r.mu.RUnlock()
		return r.clock.Now().Sub(r.ownerReadAt)
	}
	heard := r.followers[0].LastCurrent()
	for _, f := range r.followers[1:] {
		heard = min(heard, f.LastCurrent())
	}
	return r.clock.Now().Sub(heard)
}
