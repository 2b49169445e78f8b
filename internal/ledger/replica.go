package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/rowstore"
)

// Bounds of following the store. Each call is charged, and each daemon follows each table.
const (
	// feedWait is how long a call for changes waits: a quiet feed, and so the silence of an owner, is confirmed this often.
	feedWait = 500 * time.Millisecond
	// intakePollDelay is kept between calls for new jobs by a daemon that does not own the cell and so only tells of them.
	intakePollDelay = 400 * time.Millisecond
	// ownerIntakePollDelay is kept by the owner, which the accepting daemons tell of new jobs directly.
	ownerIntakePollDelay = 60 * time.Millisecond
	// progressPollDelay is kept between calls for progress. It delays the notice of a lost owner.
	progressPollDelay = 200 * time.Millisecond
	// ownerProgressPollDelay is kept between calls for progress by the owner, which wrote it.
	ownerProgressPollDelay = 1 * time.Second
	// pollDelayPerDaemon is kept between two daemons' calls for the same table: the store answers as many calls a second however
	// many VMs there are.
	pollDelayPerDaemon = 10 * time.Millisecond
	// maxPollDelay keeps a copy young enough to notice a lost owner in time.
	maxPollDelay = 600 * time.Millisecond
)

// pollDelay returns what a daemon that does not own the cell keeps between two of its calls.
func pollDelay(least time.Duration, daemons int) time.Duration {
	return max(least, min(maxPollDelay, time.Duration(daemons)*pollDelayPerDaemon))
}

// Job is what the replica knows of a job.
type Job struct {
	JobRecord
	Cancelled bool
	Progress  *dispatch.Progress

	hasRecord       bool
	recordVersion   uint64
	progressVersion uint64
	// progressRemoved means that the row of the progress is gone, and the record is to go as well.
	progressRemoved bool
}

// workerRow is a worker as its row had it at a version.
type workerRow struct {
	dispatch.Worker
	version uint64
}

// State returns the state that a caller is told.
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

// Started reports whether a task of the job has started, as far as recorded.
func (j *Job) Started() bool { return j.Progress != nil && j.Progress.Started }

// Replica is a copy of the ledger in memory that follows the store's feed. It is safe for concurrent use.
type Replica struct {
	store      rowstore.Store
	clock      monotime.Clock
	log        *log.Logger
	self       DaemonInfo
	copyPolicy *copyPolicy
	followers  []*rowstore.Follower
	owning     atomic.Bool
	// dropMu is held while a copy is dropped, and while it is decided that this daemon may own the cell.
	dropMu sync.Mutex
	// following means that there is a copy, or one is being made.
	following atomic.Bool
	// daemonCount is how many daemonCount follow the store, 0 while that is not known.
	daemonCount atomic.Int64

	mu      sync.RWMutex
	jobs    map[graph.JobID]*Job
	workers map[dispatch.WorkerID]workerRow
	owner   OwnerRecord
	// ownerVersion is 0 if there is no ownership row; ownerSeen is when it was last seen to change.
	ownerVersion   uint64
	ownerChangedAt monotime.Instant
	// ownerReadAt is when the row was last read by itself.
	ownerReadAt monotime.Instant
	// onJobChange is called without the lock for each job that is new or newly cancelled.
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
		workers:        make(map[dispatch.WorkerID]workerRow),
		ownerChangedAt: clock.Now(),
		onJobChange:    func(graph.JobID) {},
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

// newFollower returns the newFollower of a table, with the gap between its calls while this daemon owns the cell and while it
// does not.
func (r *Replica) newFollower(table string, parts []string, owning, other time.Duration) *rowstore.Follower {
	return &rowstore.Follower{
		Store: r.store, Clock: r.clock, Log: r.log, Table: table, Parts: parts, Wait: feedWait, Apply: func(u rowstore.Update) { r.applyUpdate(table, u) },
		Gap: func() time.Duration {
			if r.owning.Load() {
				return owning
			}
			return pollDelay(other, int(r.daemonCount.Load()))
		},
	}
}

// SetOwning tells the replica whether this daemon owns the cell or is about to. It then keeps its copy, if there is one.
func (r *Replica) SetOwning(owning bool) {
	r.dropMu.Lock()
	defer r.dropMu.Unlock()
	r.owning.Store(owning)
}

// SetDaemonCount tells the replica how many daemons follow the store.
func (r *Replica) SetDaemonCount(n int) { r.daemonCount.Store(int64(n)) }

// OnJobChange sets what is called for each job that is new or newly cancelled. It must not block.
func (r *Replica) OnJobChange(f func(graph.JobID)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onJobChange = f
}

// Store returns the store that the replica follows.
func (r *Replica) Store() rowstore.Store { return r.store }

// Run follows the store until ctx ends: all of the ledger while the daemon needs a copy of it, else the ownership row.
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
	r.log.Info().Msg("following the ledger")
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

// dropCopy forgets all but the ownership row, unless this daemon has come to need its copy since that was decided.
func (r *Replica) dropCopy() {
	r.dropMu.Lock()
	defer r.dropMu.Unlock()
	if r.owning.Load() {
		return
	}
	r.log.Info().Msg("following the ownership row alone, others have the ledger")
	r.following.Store(false)
	for _, f := range r.followers {
		f.Reset()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs = make(map[graph.JobID]*Job)
	r.workers = make(map[dispatch.WorkerID]workerRow)
	r.ownerReadAt = r.clock.Now()
}

// ownerReadTimeout bounds a reading of the ownership row, about twice what a store sixty times slower than usual takes.
const ownerReadTimeout = 500 * time.Millisecond

// watchOwner reads the ownership row and waits until it is to be read again.
func (r *Replica) watchOwner(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, ownerReadTimeout)
	defer cancel()
	if err := r.ReadOwner(readCtx); err != nil && ctx.Err() == nil {
		r.log.Warn().Err(err).Msg("ownership row not read")
	}
	monotime.Sleep(ctx, pollDelay(progressPollDelay, int(r.daemonCount.Load())))
}

// RequestCopy has the daemon get a copy of the ledger if it has none.
func (r *Replica) RequestCopy() { r.copyPolicy.request(r.clock.Now()) }

// Ready reports whether callers can be answered: the ledger has been read whole, or the owner is known, who has it.
func (r *Replica) Ready() bool {
	if r.following.Load() {
		return r.HasFullCopy()
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.ownerReadAt > 0
}

// HasFullCopy reports whether the daemon has a copy of the whole ledger.
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

// CatchUp takes in every change up to a version that the store is known to have reached. Errors: ErrUnavailable.
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

// removeUnlisted takes in that the rows which a reading of a whole table lacks were removed, as while the feed's history was
// lost. Rows newer than the reading are those that this daemon wrote itself.
func (r *Replica) removeUnlisted(table string, u rowstore.Update) {
	listed := make(map[string]struct{}, len(u.Changes))
	for _, change := range u.Changes {
		listed[change.Name] = struct{}{}
	}
	gone := func(name string, version uint64) bool {
		_, ok := listed[name]
		return !ok && version <= u.Version
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch table {
	case intakeTable:
		for id, j := range r.jobs {
			if j.hasRecord && gone(jobPrefix+string(id), j.recordVersion) {
				r.dropRecord(id)
			}
		}
	case progressTable:
		for id, j := range r.jobs {
			if j.Progress != nil && gone(progressPrefix+string(id), j.progressVersion) {
				r.dropProgress(id)
			}
		}
		for id, w := range r.workers {
			if gone(workerPrefix+string(id), w.version) {
				delete(r.workers, id)
			}
		}
	}
}

// apply takes in one row. A row that can't be decoded is skipped alone.
func (r *Replica) apply(change rowstore.Change) {
	notify, err := r.applyRow(change)
	if err != nil {
		r.log.Error().Str("table", change.Table).Str("row", change.Name).Uint64("version", change.Version).Err(err).Msg("ledger row skipped")
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
		return "", nil
	}
	if j := r.jobs[id]; j != nil && j.hasRecord {
		return "", nil // a job's record never changes
	}
	var record JobRecord
	if err := json.Unmarshal(change.Value, &record); err != nil {
		return "", err
	}
	if record.Spec == nil {
		return "", errors.New("job record without a spec")
	}
	j := r.ensureJob(id)
	j.JobRecord = record
	j.hasRecord, j.recordVersion = true, change.Version
	return id, nil
}

// dropRecord drops a job's record. Its progress stays until its own row is removed, so that a record that is heard of
// late, as while a table is read again, is that of a job that has ended. The lock is held.
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

// dropProgress drops a job whose progress has been removed. While its record is still there it keeps the progress: without it
// the job would pass for a new one. The lock is held.
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
	if change.Version < r.workers[id].version {
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
	r.workers[id] = workerRow{record.Worker, change.Version}
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

// Job returns a copy of what is known of an accepted job.
func (r *Replica) Job(id graph.JobID) (Job, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	j := r.jobs[id]
	if j == nil || !j.hasRecord {
		return Job{}, false
	}
	return *j, true
}

// Jobs returns copies of all accepted jobs.
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

// OrphanedProgress returns the jobs that have ended and of which only the progress is left.
func (r *Replica) OrphanedProgress() []graph.JobID {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var out []graph.JobID
	for id, j := range r.jobs {
		if !j.hasRecord && j.Progress != nil && j.Progress.State.Ended() {
			out = append(out, id)
		}
	}
	return out
}

// PendingJobs counts a queue's accepted jobs of which no task has started.
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
func (r *Replica) Workers() []dispatch.Worker {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := make([]dispatch.Worker, 0, len(r.workers))
	for _, w := range r.workers {
		out = append(out, w.Worker)
	}
	return out
}

// OwnerView is what a daemon knows of ownership.
type OwnerView struct {
	OwnerRecord
	// Version is the ownership row's version; 0 if there is none.
	Version uint64
	// UnchangedFor is how long ago the row was last seen to change.
	UnchangedFor time.Duration
}

// ReadOwner takes in the ownership row as the store has it now. Errors: ErrUnavailable.
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

// ObserveOwner takes in the ownership row as another daemon has it, if it is newer.
func (r *Replica) ObserveOwner(owner OwnerRecord, version uint64) {
	r.apply(rowstore.Change{Row: rowstore.Row{Key: ownerKey(), Value: encode(owner), Version: version}})
}

// Owner returns the ownership row as last read.
func (r *Replica) Owner() OwnerView {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return OwnerView{r.owner, r.ownerVersion, r.clock.Now().Sub(r.ownerChangedAt)}
}

// Age returns how long ago what the replica has was last known to be current.
func (r *Replica) Age() time.Duration {
	if !r.following.Load() {
		r.mu.RLock()
		defer r.mu.RUnlock()
		return r.clock.Now().Sub(r.ownerReadAt)
	}
	heard := r.followers[0].Heard()
	for _, f := range r.followers[1:] {
		heard = min(heard, f.Heard())
	}
	return r.clock.Now().Sub(heard)
}
