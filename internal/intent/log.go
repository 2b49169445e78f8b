// Package intent makes a non-idempotent request run at most once: before a task is dispatched, a row under the
// request's key is inserted if it is absent, and only the process that wrote the row's present version may dispatch.
//
// An intent moves through these states:
//
//	         Acquire           RecordOutcome
//	(absent) -------> pending --------------> done
//	                   |   ^
//	            Return |   | Acquire
//	                   v   |
//	                 returned
//
// Every write names the version that it replaces, so that a process that was paused can't undo a later write.
// The writes of one process are committed in batches.
package intent

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platformapi"
)

// Defaults of Options.
const (
	defaultBatchWindow        = 3 * time.Millisecond
	defaultOutcomeWindow      = 250 * time.Millisecond
	defaultMaxBatchRows       = 100
	defaultCallTimeout        = time.Second
	defaultMaxWaitingOutcomes = 10_000
	defaultSweepInterval      = 10 * time.Second
	defaultRetention          = 24 * time.Hour
)

// returningRetryInterval is the pause between tries to acquire an intent that this process is about to return.
const returningRetryInterval = 20 * time.Millisecond

// Errors of a Log.
var (
	// ErrUnavailable means that the table did not answer in time. The caller of Acquire must not dispatch.
	ErrUnavailable = errors.New("intent: table unavailable")
	// ErrSuperseded means that another write has replaced or deleted the row's version that the handle names.
	ErrSuperseded = errors.New("intent: handle superseded")
)

// Options tunes a Log. Zero fields take defaults.
type Options struct {
	// BatchWindow is how long a write waits for others to share its transaction.
	BatchWindow time.Duration
	// OutcomeWindow is how long a recorded outcome may wait to share the transaction of other writes.
	OutcomeWindow time.Duration
	// MaxBatchRows bounds the rows of one transaction.
	MaxBatchRows int
	// CallTimeout bounds one table call.
	CallTimeout time.Duration
	// MaxWaitingOutcomes bounds the outcomes that wait while the table is down; further outcomes are not recorded.
	MaxWaitingOutcomes int
	// SweepInterval is the time between two sweeps. Each sweep covers one partition.
	SweepInterval time.Duration
	// Retention is how long a done or returned intent is kept. A request that ran and is sent again under its key within that
	// time does not run again. A pending intent is kept seven times as long.
	Retention time.Duration
}

// AcquireStatus says what Acquire found.
type AcquireStatus int

// The statuses of an AcquireResult.
const (
	// Granted means that the caller may dispatch under the Handle.
	Granted AcquireStatus = iota
	// Exists means that the intent was there before: the caller must not dispatch.
	Exists
	// DigestMismatch means that the key belongs to a request with other content.
	DigestMismatch
)

// AcquireResult is the result of Acquire.
type AcquireResult struct {
	Status AcquireStatus
	// Handle is the right to dispatch if Status is Granted. If Status is Exists it is valid for RecordOutcome only.
	Handle Handle
	// Record is the intent that was found, unless Status is Granted.
	Record Record
}

// Log writes the intents of one process. One goroutine, the committer, makes all transactions.
type Log struct {
	table  platformapi.Table
	member cell.MemberID
	opts   Options

	mu sync.Mutex
	// immediate holds writes that are committed after BatchWindow.
	immediate []*write
	// deferred holds outcomes and repeated writes, which are committed after OutcomeWindow at the latest.
	deferred []*write
	// returning counts, by key, the writes of this process after which the intent can be acquired again.
	returning map[string]int
	wake      chan struct{}
	stop      chan struct{}
	stopped   chan struct{}
	// sweeping keeps sweeps from overlapping.
	sweeping atomic.Bool
}

// New returns a Log that writes to table and starts its committer. Close stops it.
func New(table platformapi.Table, member cell.MemberID, opt Options) *Log {
	l := &Log{
		table:     table,
		member:    member,
		opts:      withDefaults(opt),
		wake:      make(chan struct{}, 1),
		stop:      make(chan struct{}),
		returning: make(map[string]int),
		stopped:   make(chan struct{}),
	}
	go l.commitLoop()
	return l
}

// Close stops the committer. Waiting writes fail with ErrUnavailable; outcomes that are not yet recorded are lost.
func (l *Log) Close() {
	close(l.stop)
	<-l.stopped
}

// Acquire inserts the intent of task id, or takes over a returned one. Only Acquire gives out handles.
// Errors: ErrUnavailable, also when ctx ends first. An intent that is inserted after that is returned in the background.
func (l *Log) Acquire(ctx context.Context, id cell.TaskID, digest string, epoch cell.Epoch) (AcquireResult, error) {
	rec := Record{State: StatePending, Digest: digest, Epoch: epoch, Member: l.member}
	version := uint64(0)
	for {
		w := newWrite(rowKey(id), version, rec)
		w.returnIfAbandoned = true
		res, ok := l.submit(ctx, w)
		if !ok || errors.Is(res.err, ErrUnavailable) {
			return AcquireResult{}, ErrUnavailable
		}
		if res.err == nil {
			return AcquireResult{Status: Granted, Handle: Handle{key: w.key, version: res.version, record: w.record}}, nil
		}
		if res.row.Version == 0 {
			version = 0
			continue
		}
		found, err := decodeRow(res.row)
		if err != nil {
			return AcquireResult{}, err
		}
		switch {
		case found.Digest != digest:
			return AcquireResult{Status: DigestMismatch, Record: found}, nil
		case found.State == StateReturned:
			version = res.row.Version
		case found.Member == l.member && l.isReturning(w.key):
			// This process is about to return the intent.
			version = 0
			if !sleepContext(ctx, returningRetryInterval) {
				return AcquireResult{}, ErrUnavailable
			}
		default:
			handle := Handle{key: w.key, version: res.row.Version, record: found}
			return AcquireResult{Status: Exists, Handle: handle, Record: found}, nil
		}
	}
}

// Return frees the intent for another Acquire. It may be called only when it is known that no attempt under h has started
// and none will. Errors: ErrSuperseded; ErrUnavailable if ctx ended first, and the write goes on in the background.
func (l *Log) Return(ctx context.Context, h Handle) error {
	rec := h.record
	rec.State = StateReturned
	w := newWrite(h.key, h.version, rec)
	w.retryUntilAnswered = true
	l.mu.Lock()
	l.markReturning(w)
	l.mu.Unlock()
	res, ok := l.submit(ctx, w)
	if !ok {
		return ErrUnavailable
	}
	return res.err
}

// RecordOutcome records the outcome of a task that ran. It does not wait: the outcome is written with a later transaction,
// at the latest after OutcomeWindow, and again until the table answers.
func (l *Log) RecordOutcome(h Handle, out cell.Outcome) {
	rec := h.record
	rec.State = StateDone
	if len(out.Answer) <= maxInlineAnswerBytes {
		rec.Outcome = &out
	}
	w := newWrite(h.key, h.version, rec)
	w.retryUntilAnswered = true
	l.mu.Lock()
	if len(l.deferred) < l.opts.MaxWaitingOutcomes {
		l.deferred = append(l.deferred, w)
	}
	l.mu.Unlock()
}

// submit queues a write and waits for its result. It returns false if ctx ended or the Log was closed first.
func (l *Log) submit(ctx context.Context, w *write) (result, bool) {
	l.mu.Lock()
	l.immediate = append(l.immediate, w)
	l.mu.Unlock()
	l.wakeCommitter()
	select {
	case res := <-w.done:
		return res, true
	case <-ctx.Done():
	case <-l.stopped:
	}
	l.mu.Lock()
	w.abandoned = true
	if w.returnIfAbandoned {
		l.markReturning(w)
	}
	l.mu.Unlock()
	select {
	case res := <-w.done:
		l.returnAbandoned(w, res)
		l.unmarkReturning(w)
	default:
	}
	return result{}, false
}

// markReturning counts a write after which its intent can be acquired again. The caller holds mu.
func (l *Log) markReturning(w *write) {
	if !w.countedAsReturning {
		w.countedAsReturning = true
		l.returning[w.key]++
	}
}

// unmarkReturning undoes markReturning.
func (l *Log) unmarkReturning(w *write) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !w.countedAsReturning {
		return
	}
	w.countedAsReturning = false
	l.returning[w.key]--
	if l.returning[w.key] == 0 {
		delete(l.returning, w.key)
	}
}

// isReturning reports whether this process is about to return the intent under key.
func (l *Log) isReturning(key string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.returning[key] > 0
}

func sleepContext(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (l *Log) wakeCommitter() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func withDefaults(o Options) Options {
	set := func(d *time.Duration, def time.Duration) {
		if *d == 0 {
			*d = def
		}
	}
	set(&o.BatchWindow, defaultBatchWindow)
	set(&o.OutcomeWindow, defaultOutcomeWindow)
	set(&o.CallTimeout, defaultCallTimeout)
	set(&o.SweepInterval, defaultSweepInterval)
	set(&o.Retention, defaultRetention)
	if o.MaxBatchRows == 0 {
		o.MaxBatchRows = defaultMaxBatchRows
	}
	if o.MaxWaitingOutcomes == 0 {
		o.MaxWaitingOutcomes = defaultMaxWaitingOutcomes
	}
	return o
}
