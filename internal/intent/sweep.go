package intent

import (
	"context"
	"math/rand/v2"
	"time"

	"laburnumpoint/internal/platformapi"
)

// Bounds of a sweep.
const (
	// pendingRetentionFactor is how many times longer a pending intent is kept than a done or returned one.
	pendingRetentionFactor = 7
	// maxSweepRows bounds the rows that one sweep deletes.
	maxSweepRows = 100
	// sweepTimeout bounds the read of one partition.
	sweepTimeout = 5 * time.Second
)

// startSweep deletes the expired intents of one partition in the background. The partition is chosen at random, so that
// the processes need not agree on who sweeps which.
func (l *Log) startSweep() {
	if !l.sweeping.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer l.sweeping.Store(false)
		l.sweep(rand.IntN(partitionCount), time.Now())
	}()
}

// sweep deletes at most maxSweepRows expired rows of a partition and returns how many it deleted. Each deletion names the
// version that was read, and versions are never reused, so that it deletes neither an intent that was acquired again nor a
// later one under the same key.
func (l *Log) sweep(partition int, now time.Time) int {
	ctx, cancel := context.WithTimeout(context.Background(), sweepTimeout)
	defer cancel()
	rows, err := l.table.List(ctx, partitionPrefix(partition))
	if err != nil {
		return 0
	}
	var ops []platformapi.Op
	for _, row := range rows {
		if len(ops) < maxSweepRows && l.isExpired(row, now) {
			ops = append(ops, platformapi.Op{Key: row.Key, IfVersion: row.Version, Delete: true})
		}
	}
	if len(ops) == 0 {
		return 0
	}
	// A conflict or an outage leaves the rows to a later sweep.
	if _, err := l.table.Apply(ctx, ops); err != nil {
		return 0
	}
	return len(ops)
}

func (l *Log) isExpired(row platformapi.Row, now time.Time) bool {
	rec, err := decodeRow(row)
	if err != nil {
		return false
	}
	retention := l.opts.Retention
	if rec.State == StatePending {
		retention *= pendingRetentionFactor
	}
	return now.Sub(rec.WrittenAt) > retention
}
