package intent

import (
	"context"
	"errors"
	"time"

	"laburnumpoint/internal/platformapi"
)

// write is one conditional row write that waits to be committed.
type write struct {
	key     string
	version uint64
	record  Record
	done    chan result
	// retryUntilAnswered means that the write is repeated until the table has answered.
	retryUntilAnswered bool
	// maybeApplied means that an earlier try may have taken effect or may yet.
	maybeApplied bool
	// returnIfAbandoned means that an intent that is granted after its caller stopped waiting is returned.
	returnIfAbandoned bool
	// abandoned means that no caller waits for the result.
	abandoned bool
	// countedAsReturning means that the write is counted in Log.returning.
	countedAsReturning bool
}

// result is the result of a write. row is the present row if err is ErrSuperseded.
type result struct {
	version uint64
	row     platformapi.Row
	err     error
}

func newWrite(key string, version uint64, rec Record) *write {
	rec.Token = newToken()
	rec.WrittenAt = time.Now().Round(0)
	return &write{key: key, version: version, record: rec, done: make(chan result, 1)}
}

func (w *write) op() platformapi.Op {
	return platformapi.Op{Key: w.key, IfVersion: w.version, Value: w.record.encode()}
}

// commitLoop collects writes and commits them in batches until Close.
func (l *Log) commitLoop() {
	defer close(l.stopped)
	outcomeTicker := time.NewTicker(l.opts.OutcomeWindow)
	defer outcomeTicker.Stop()
	sweepTicker := time.NewTicker(l.opts.SweepInterval)
	defer sweepTicker.Stop()
	for {
		outcomesDue := false
		select {
		case <-l.stop:
			return
		case <-outcomeTicker.C:
			outcomesDue = true
		case <-sweepTicker.C:
			l.startSweep()
		case <-l.wake:
		}
		if l.waitForBatch(outcomesDue) {
			l.commitAll()
		}
	}
}

// waitForBatch reports whether there is a write to commit now. If an immediate write waits, it first waits for
// BatchWindow, so that other writes can share the transaction. Deferred writes alone wait until outcomesDue.
func (l *Log) waitForBatch(outcomesDue bool) bool {
	l.mu.Lock()
	immediate, deferred := len(l.immediate), len(l.deferred)
	l.mu.Unlock()
	if immediate == 0 && (deferred == 0 || !outcomesDue) {
		return false
	}
	if immediate > 0 {
		return l.sleep(l.opts.BatchWindow)
	}
	return true
}

// commitAll commits the waiting writes, in batches. Writes without an answer are deferred.
func (l *Log) commitAll() {
	for {
		batch := l.takeBatch()
		if len(batch) == 0 {
			return
		}
		unresolved := l.commitBatch(batch)
		if len(unresolved) == 0 {
			continue
		}
		// The next round tries them again: without a pause, a table that is down would be called in a busy loop.
		l.mu.Lock()
		l.deferred = append(unresolved, l.deferred...)
		l.mu.Unlock()
		return
	}
}

func (l *Log) takeBatch() []*write {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := min(len(l.immediate), l.opts.MaxBatchRows)
	batch := append([]*write(nil), l.immediate[:n]...)
	l.immediate = l.immediate[n:]
	m := min(len(l.deferred), l.opts.MaxBatchRows-n)
	batch = append(batch, l.deferred[:m]...)
	l.deferred = l.deferred[m:]
	return oneWritePerKey(l, batch)
}

// oneWritePerKey keeps one write of each key in a batch and puts the others back into the queue.
func oneWritePerKey(l *Log, batch []*write) []*write {
	seen := make(map[string]bool, len(batch))
	kept := batch[:0]
	for _, w := range batch {
		if seen[w.key] {
			l.immediate = append(l.immediate, w)
			continue
		}
		seen[w.key] = true
		kept = append(kept, w)
	}
	return kept
}

// commitBatch applies a batch in one transaction. After a conflict it reads the rows back, so that one conflicting row
// does not fail the others. It returns the writes whose result is unknown because the table does not answer.
func (l *Log) commitBatch(batch []*write) []*write {
	for len(batch) > 0 {
		versions, err := l.apply(batch)
		switch {
		case err == nil:
			for i, w := range batch {
				l.reportResult(w, result{version: versions[i]})
			}
			return nil
		case errors.Is(err, platformapi.ErrUnavailable):
			return l.failUnavailable(batch)
		case errors.Is(err, platformapi.ErrUncertain):
			for _, w := range batch {
				w.maybeApplied = true
			}
			return l.resolveUncertain(batch)
		}
		rest, ok := l.readBack(batch)
		if !ok {
			return l.failUnavailable(rest)
		}
		batch = rest
	}
	return nil
}

// resolveUncertain reads back a batch whose transaction may have been applied or may be applied shortly. It returns the
// writes that are still unresolved. They are not tried again at once, since a late write of the first transaction could
// still conflict with them.
func (l *Log) resolveUncertain(batch []*write) []*write {
	rest, ok := l.readBack(batch)
	if !ok {
		return l.failUnavailable(rest)
	}
	return rest
}

// readBack resolves each write of a failed batch by reading its row and returns the writes to try again.
// It returns false if the table does not answer.
func (l *Log) readBack(batch []*write) ([]*write, bool) {
	var retry []*write
	for i, w := range batch {
		row, err := l.get(w.key)
		if err != nil {
			return append(retry, batch[i:]...), false
		}
		switch {
		case row.Version == w.version:
			retry = append(retry, w)
		case l.isOwnWrite(row, w):
			l.reportResult(w, result{version: row.Version})
		default:
			l.reportResult(w, result{row: row, err: ErrSuperseded})
		}
	}
	return retry, true
}

func (l *Log) isOwnWrite(row platformapi.Row, w *write) bool {
	found, err := decodeRow(row)
	return err == nil && found.Token == w.record.Token
}

// failUnavailable reports ErrUnavailable to the callers of the batch, except for writes that are repeated until they are
// answered. It returns the writes that must be resolved later: those and the ones that may have been applied.
func (l *Log) failUnavailable(batch []*write) []*write {
	var unresolved []*write
	for _, w := range batch {
		if w.retryUntilAnswered || w.maybeApplied {
			unresolved = append(unresolved, w)
			if w.retryUntilAnswered {
				continue
			}
		}
		l.reportResult(w, result{err: ErrUnavailable})
	}
	return unresolved
}

// reportResult reports a write's result once. An intent that was granted after its caller stopped waiting is returned.
func (l *Log) reportResult(w *write, res result) {
	l.mu.Lock()
	abandoned := w.abandoned
	unsettled := errors.Is(res.err, ErrUnavailable) && w.maybeApplied
	if errors.Is(res.err, ErrUnavailable) {
		w.abandoned = true
	}
	if unsettled {
		l.markReturning(w)
	}
	if !abandoned {
		w.done <- res
	}
	l.mu.Unlock()
	if abandoned {
		l.returnAbandoned(w, res)
	}
	if !unsettled {
		l.unmarkReturning(w)
	}
}

// returnAbandoned queues the return of an intent that was granted after its caller stopped waiting.
func (l *Log) returnAbandoned(w *write, res result) {
	if !w.returnIfAbandoned || res.err != nil {
		return
	}
	rec := w.record
	rec.State = StateReturned
	returnWrite := newWrite(w.key, res.version, rec)
	returnWrite.retryUntilAnswered = true
	l.mu.Lock()
	l.markReturning(returnWrite)
	l.immediate = append(l.immediate, returnWrite)
	l.mu.Unlock()
	l.wakeCommitter()
}

func (l *Log) apply(batch []*write) ([]uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), l.opts.CallTimeout)
	defer cancel()
	ops := make([]platformapi.Op, len(batch))
	for i, w := range batch {
		ops[i] = w.op()
	}
	return l.table.Apply(ctx, ops)
}

func (l *Log) get(key string) (platformapi.Row, error) {
	ctx, cancel := context.WithTimeout(context.Background(), l.opts.CallTimeout)
	defer cancel()
	return l.table.Get(ctx, key)
}

func (l *Log) sleep(d time.Duration) bool {
	select {
	case <-l.stop:
		return false
	case <-time.After(d):
		return true
	}
}
