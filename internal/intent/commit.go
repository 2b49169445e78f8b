package intent

import (
	"context"
	"errors"
	"time"

	"laburnumpoint/internal/platform"
)

// write is one conditional row write on its way to the table.
type write struct {
	key     string
	version uint64
	record  Record
	done    chan result
	// settle means that the write is repeated until the table has answered.
	settle bool
	// maybeApplied means that an earlier try may have taken effect or may yet.
	maybeApplied bool
	// returnIfAbandoned means that a grant that nobody waits for any more is given back.
	returnIfAbandoned bool
	abandoned         bool
	// unwinding means that the write is counted in Log.unwinding.
	unwinding bool
}

// result is what became of a write. row is the present row if err is ErrLost.
type result struct {
	version uint64
	row     platform.Row
	err     error
}

func newWrite(key string, version uint64, rec Record) *write {
	rec.Token = newToken()
	rec.WrittenAt = time.Now().Round(0)
	return &write{key: key, version: version, record: rec, done: make(chan result, 1)}
}

func (w *write) op() platform.Op {
	return platform.Op{Key: w.key, IfVersion: w.version, Value: w.record.encode()}
}

// run collects writes and commits them in groups until Close.
func (l *Log) run() {
	defer close(l.stopped)
	lazy := time.NewTicker(l.opt.OutcomeWindow)
	defer lazy.Stop()
	sweep := time.NewTicker(l.opt.SweepInterval)
	defer sweep.Stop()
	for {
		due := false
		select {
		case <-l.stop:
			return
		case <-lazy.C:
			due = true
		case <-sweep.C:
			l.startSweep()
		case <-l.wake:
		}
		if l.collect(due) {
			l.commitAll()
		}
	}
}

// collect waits for the window if there is something to commit now. Outcomes alone wait until they are due.
func (l *Log) collect(due bool) bool {
	l.mu.Lock()
	urgent, lazy := len(l.urgent), len(l.lazy)
	l.mu.Unlock()
	if urgent == 0 && (lazy == 0 || !due) {
		return false
	}
	if urgent > 0 {
		return l.sleep(l.opt.BatchWindow)
	}
	return true
}

// commitAll commits what waits, in batches. Writes that must be repeated wait for the next lazy window.
func (l *Log) commitAll() {
	for {
		batch := l.take()
		if len(batch) == 0 {
			return
		}
		again := l.commit(batch)
		if len(again) == 0 {
			continue
		}
		// The next round tries them again; without a pause a table that is down would be asked in a busy loop.
		l.mu.Lock()
		l.lazy = append(again, l.lazy...)
		l.mu.Unlock()
		return
	}
}

func (l *Log) take() []*write {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := min(len(l.urgent), l.opt.MaxBatchRows)
	batch := append([]*write(nil), l.urgent[:n]...)
	l.urgent = l.urgent[n:]
	m := min(len(l.lazy), l.opt.MaxBatchRows-n)
	batch = append(batch, l.lazy[:m]...)
	l.lazy = l.lazy[m:]
	return distinct(l, batch)
}

// distinct keeps one write of each key in a batch and puts the others back.
func distinct(l *Log, batch []*write) []*write {
	seen := make(map[string]bool, len(batch))
	kept := batch[:0]
	for _, w := range batch {
		if seen[w.key] {
			l.urgent = append(l.urgent, w)
			continue
		}
		seen[w.key] = true
		kept = append(kept, w)
	}
	return kept
}

// commit applies a batch in one transaction. A conflict of one row is found by reading and does not fail the others.
// It returns the writes that are still unsettled because the table does not answer.
func (l *Log) commit(batch []*write) []*write {
	for len(batch) > 0 {
		versions, err := l.apply(batch)
		switch {
		case err == nil:
			for i, w := range batch {
				l.finish(w, result{version: versions[i]})
			}
			return nil
		case errors.Is(err, platform.ErrUnavailable):
			return l.refuse(batch)
		case errors.Is(err, platform.ErrUncertain):
			for _, w := range batch {
				w.maybeApplied = true
			}
			return l.settleLater(batch)
		}
		rest, ok := l.readBack(batch)
		if !ok {
			return l.refuse(rest)
		}
		batch = rest
	}
	return nil
}

// settleLater reads back a batch whose transaction may have been applied, now or shortly, and returns what is still open:
// tried again at once, it would meet its own late write and more of the same.
func (l *Log) settleLater(batch []*write) []*write {
	rest, ok := l.readBack(batch)
	if !ok {
		return l.refuse(rest)
	}
	return rest
}

// readBack settles each write of a failed batch by its row and returns those that are to be tried again.
// It returns false if the table does not answer.
func (l *Log) readBack(batch []*write) ([]*write, bool) {
	var again []*write
	for i, w := range batch {
		row, err := l.get(w.key)
		if err != nil {
			return append(again, batch[i:]...), false
		}
		switch {
		case row.Version == w.version:
			again = append(again, w)
		case l.isOwn(row, w):
			l.finish(w, result{version: row.Version})
		default:
			l.finish(w, result{row: row, err: ErrSuperseded})
		}
	}
	return again, true
}

func (l *Log) isOwn(row platform.Row, w *write) bool {
	found, err := decodeRow(row)
	return err == nil && found.Token == w.record.Token
}

// refuse fails the writes that certainly had no effect and returns those that must be settled later.
func (l *Log) refuse(batch []*write) []*write {
	var keep []*write
	for _, w := range batch {
		if w.settle || w.maybeApplied {
			keep = append(keep, w)
			if w.settle {
				continue
			}
		}
		l.finish(w, result{err: ErrUnavailable})
	}
	return keep
}

// finish reports a write's result once; a grant that nobody waits for is given back.
func (l *Log) finish(w *write, res result) {
	l.mu.Lock()
	abandoned := w.abandoned
	unsettled := errors.Is(res.err, ErrUnavailable) && w.maybeApplied
	if errors.Is(res.err, ErrUnavailable) {
		w.abandoned = true
	}
	if unsettled {
		l.unwind(w)
	}
	if !abandoned {
		w.done <- res
	}
	l.mu.Unlock()
	if abandoned {
		l.giveBack(w, res)
	}
	if !unsettled {
		l.unwound(w)
	}
}

func (l *Log) giveBack(w *write, res result) {
	if !w.returnIfAbandoned || res.err != nil {
		return
	}
	rec := w.record
	rec.State = StateReturned
	back := newWrite(w.key, res.version, rec)
	back.settle = true
	l.mu.Lock()
	l.unwind(back)
	l.urgent = append(l.urgent, back)
	l.mu.Unlock()
	l.signal()
}

func (l *Log) apply(batch []*write) ([]uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), l.opt.CallTimeout)
	defer cancel()
	ops := make([]platform.Op, len(batch))
	for i, w := range batch {
		ops[i] = w.op()
	}
	return l.table.Apply(ctx, ops)
}

func (l *Log) get(key string) (platform.Row, error) {
	ctx, cancel := context.WithTimeout(context.Background(), l.opt.CallTimeout)
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
