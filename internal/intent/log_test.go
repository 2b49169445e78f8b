package intent

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platformapi"
	"laburnumpoint/internal/standin"
)

// faultyTable counts transactions and can answer them with ErrUncertain.
type faultyTable struct {
	*standin.Table
	mu           sync.Mutex
	transactions int
	// applyDelay applies the next transaction after this time, and answers ErrUncertain at once.
	applyDelay time.Duration
	// alwaysUncertain applies no transaction and answers ErrUncertain.
	alwaysUncertain bool
}

func (m *faultyTable) Apply(ctx context.Context, ops []platformapi.Op) ([]uint64, error) {
	m.mu.Lock()
	m.transactions++
	applyDelay := m.applyDelay
	m.applyDelay = 0
	alwaysUncertain := m.alwaysUncertain
	m.mu.Unlock()
	if alwaysUncertain {
		return nil, platformapi.ErrUncertain
	}
	if applyDelay > 0 {
		time.AfterFunc(applyDelay, func() { _, _ = m.Table.Apply(context.Background(), ops) })
		return nil, platformapi.ErrUncertain
	}
	return m.Table.Apply(ctx, ops)
}

// runWithTwoLogs runs a test with two processes' logs on one table, on a fake clock.
func runWithTwoLogs(t *testing.T, f func(t *testing.T, table *faultyTable, a, b *Log)) {
	synctest.Test(t, func(t *testing.T) {
		table := &faultyTable{Table: standin.NewTable()}
		a, b := New(table, "a", Options{}), New(table, "b", Options{})
		t.Cleanup(a.Close)
		t.Cleanup(b.Close)
		f(t, table, a, b)
	})
}

func acquire(t *testing.T, l *Log, id, digest string) AcquireResult {
	t.Helper()
	g, err := l.Acquire(t.Context(), cell.TaskID(id), digest, 1)
	if err != nil {
		t.Fatalf("Acquire: %v", err)
	}
	return g
}

func TestOneOfTwoConcurrentRequestsAcquires(t *testing.T) {
	runWithTwoLogs(t, func(t *testing.T, table *faultyTable, a, b *Log) {
		table.SetFaults(standin.TableFaults{LoseAnswers: 3})
		const keys = 200
		granted := make(chan string, 4*keys)
		var wg sync.WaitGroup
		for i := range keys {
			for _, l := range []*Log{a, b, a, b} {
				wg.Go(func() {
					if g := acquire(t, l, fmt.Sprint(i), "d"); g.Status == Granted {
						granted <- fmt.Sprint(i)
					}
				})
			}
		}
		wg.Wait()
		close(granted)
		table.mu.Lock()
		defer table.mu.Unlock()
		if limit := 4*keys/defaultMaxBatchRows + 16; table.transactions > limit {
			t.Errorf("%d transactions for %d simultaneous requests, want at most %d", table.transactions, 4*keys, limit)
		}
		seen := make(map[string]int)
		for id := range granted {
			seen[id]++
		}
		for i := range keys {
			if seen[fmt.Sprint(i)] != 1 {
				t.Errorf("key %d granted %d times, want once", i, seen[fmt.Sprint(i)])
			}
		}
	})
}

func TestRecordedOutcomeAndReturn(t *testing.T) {
	runWithTwoLogs(t, func(t *testing.T, table *faultyTable, a, b *Log) {
		g := acquire(t, a, "x", "d")
		if other := acquire(t, b, "x", "d"); other.Status != Exists || other.Record.Outcome != nil {
			t.Errorf("status = %v while the first is pending, want Exists without an outcome", other.Status)
		}
		if other := acquire(t, b, "x", "another"); other.Status != DigestMismatch {
			t.Errorf("status = %v for another digest, want DigestMismatch", other.Status)
		}
		if err := a.Return(t.Context(), g.Handle); err != nil {
			t.Fatal(err)
		}
		second := acquire(t, b, "x", "d")
		if second.Status != Granted {
			t.Fatalf("status = %v after the return, want Granted", second.Status)
		}
		// The first process was paused and repeats its call: its handle is superseded.
		if err := a.Return(t.Context(), g.Handle); !errors.Is(err, ErrSuperseded) {
			t.Errorf("Return of a superseded handle: %v", err)
		}
		a.RecordOutcome(g.Handle, cell.Outcome{Result: cell.ResultFailed})
		b.RecordOutcome(second.Handle, cell.Outcome{Result: cell.ResultCompleted, Answer: []byte("yes")})
		time.Sleep(time.Second)
		last := acquire(t, a, "x", "d")
		if last.Status != Exists || last.Record.Outcome == nil || string(last.Record.Outcome.Answer) != "yes" {
			t.Errorf("Acquire after the task is done = %+v, want Exists with the outcome of the second holder", last)
		}
	})
}

// A write that was answered with ErrUncertain and takes effect later neither grants twice nor blocks the key.
func TestUncertainWriteThatArrivesLate(t *testing.T) {
	runWithTwoLogs(t, func(t *testing.T, table *faultyTable, a, b *Log) {
		table.applyDelay = time.Second
		first := acquire(t, a, "x", "d")
		if first.Status != Granted {
			t.Fatalf("status = %v, want Granted", first.Status)
		}
		time.Sleep(2 * time.Second)
		if err := a.Return(t.Context(), first.Handle); err != nil {
			t.Errorf("Return after the late write: %v", err)
		}
		if g := acquire(t, b, "x", "d"); g.Status != Granted {
			t.Errorf("status = %v after the return, want Granted", g.Status)
		}
	})
}

// An intent that is inserted after its caller gave up is returned, so that the key does not stay blocked.
func TestAbandonedIntentIsReturned(t *testing.T) {
	runWithTwoLogs(t, func(t *testing.T, table *faultyTable, a, b *Log) {
		table.SetFaults(standin.TableFaults{Delay: 500 * time.Millisecond})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if _, err := a.Acquire(ctx, "x", "d", 1); !errors.Is(err, ErrUnavailable) {
			t.Fatalf("Acquire: %v", err)
		}
		// The process that gave up knows that nothing was dispatched.
		table.SetFaults(standin.TableFaults{Delay: 50 * time.Millisecond})
		if g := acquire(t, a, "x", "d"); g.Status != Granted {
			t.Errorf("status = %v while the abandoned intent is being returned, want Granted", g.Status)
		} else if err := a.Return(t.Context(), g.Handle); err != nil {
			t.Error(err)
		}
		time.Sleep(3 * time.Second)
		table.SetFaults(standin.TableFaults{})
		if a.isReturning(rowKey("x")) {
			t.Error("the key still counts as being returned")
		}
		if g := acquire(t, b, "x", "d"); g.Status != Granted {
			t.Errorf("status = %v after the abandoned intent was returned, want Granted", g.Status)
		}
	})
}

func TestDownTableRefusesAtOnceAndOutcomesAreKept(t *testing.T) {
	runWithTwoLogs(t, func(t *testing.T, table *faultyTable, a, b *Log) {
		g := acquire(t, a, "x", "d")
		table.SetFaults(standin.TableFaults{Down: true})
		a.RecordOutcome(g.Handle, cell.Outcome{Result: cell.ResultCompleted})
		start := time.Now()
		for i := range 10 {
			if _, err := a.Acquire(t.Context(), cell.TaskID(fmt.Sprint(i)), "d", 1); !errors.Is(err, ErrUnavailable) {
				t.Errorf("Acquire: %v", err)
			}
		}
		if waited := time.Since(start); waited > time.Second {
			t.Errorf("ten refused calls took %v, want at most 1s", waited)
		}
		time.Sleep(time.Minute)
		table.SetFaults(standin.TableFaults{})
		time.Sleep(time.Second)
		if g := acquire(t, b, "x", "d"); g.Record.State != StateDone {
			t.Errorf("state = %s, want done", g.Record.State)
		}
	})
}

// Bounds the table's traffic for 240 non-idempotent starts a second through nine processes.
func TestTableOperationsAtThePeak(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const processes, rate, seconds = 9, 240, 5
		table := &faultyTable{Table: standin.NewTable()}
		table.SetFaults(standin.TableFaults{Delay: 3 * time.Millisecond})
		var logs []*Log
		for i := range processes {
			l := New(table, cell.MemberID(fmt.Sprint(i)), Options{})
			t.Cleanup(l.Close)
			logs = append(logs, l)
		}
		var wg sync.WaitGroup
		for i := range rate * seconds {
			wg.Go(func() {
				l := logs[i%processes]
				g := acquire(t, l, fmt.Sprint(i), "d")
				time.Sleep(time.Second)
				l.RecordOutcome(g.Handle, cell.Outcome{Result: cell.ResultCompleted})
			})
			time.Sleep(time.Second / rate)
		}
		wg.Wait()
		time.Sleep(time.Second)
		rows := float64(table.Counts().Writes) / seconds
		table.mu.Lock()
		transactions := float64(table.transactions) / seconds
		table.mu.Unlock()
		t.Logf("%.0f transactions and %.0f rows a second for %d starts a second", transactions, rows, rate)
		if transactions > 300 || rows > 2*rate {
			t.Errorf("%.0f transactions and %.0f rows a second, want at most 300 transactions and two rows per start", transactions, rows)
		}
	})
}

func TestSweepDeletesOnlyWhatHasExpired(t *testing.T) {
	runWithTwoLogs(t, func(t *testing.T, table *faultyTable, a, b *Log) {
		done, pending := acquire(t, a, "done", "d"), acquire(t, a, "pending", "d")
		a.RecordOutcome(done.Handle, cell.Outcome{Result: cell.ResultCompleted})
		time.Sleep(time.Second)
		sweepAll := func(after time.Duration) (n int) {
			for p := range partitionCount {
				n += b.sweep(p, time.Now().Add(after))
			}
			return n
		}
		if n := sweepAll(defaultRetention - time.Minute); n != 0 {
			t.Errorf("%d rows deleted before their time", n)
		}
		if n := sweepAll(defaultRetention + time.Minute); n != 1 {
			t.Errorf("%d rows deleted, want the done one", n)
		}
		if n := sweepAll(pendingRetentionFactor*defaultRetention + time.Minute); n != 1 {
			t.Errorf("%d rows deleted, want the pending one", n)
		}
		// The holder of the deleted row can't return the intent of a later request under the same key.
		next := acquire(t, b, "pending", "d")
		if err := a.Return(t.Context(), pending.Handle); !errors.Is(err, ErrSuperseded) {
			t.Errorf("Return under a deleted row: %v", err)
		}
		if err := b.Return(t.Context(), next.Handle); err != nil {
			t.Errorf("Return of the later request: %v", err)
		}
	})
}

// A table that answers every transaction with ErrUncertain is not called in a busy loop.
func TestUncertainTransactionIsRetriedAtIntervals(t *testing.T) {
	runWithTwoLogs(t, func(t *testing.T, table *faultyTable, a, b *Log) {
		table.alwaysUncertain = true
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		time.AfterFunc(2*time.Second, func() {
			table.mu.Lock()
			defer table.mu.Unlock()
			if table.transactions > 10 {
				t.Errorf("%d transactions in two seconds, want at most 10", table.transactions)
			}
			table.alwaysUncertain = false
		})
		if _, err := a.Acquire(ctx, "x", "d", 1); !errors.Is(err, ErrUnavailable) {
			t.Errorf("Acquire: %v", err)
		}
		time.Sleep(3 * time.Second)
		if g := acquire(t, b, "x", "d"); g.Status != Granted {
			t.Errorf("status = %v, want Granted", g.Status)
		}
	})
}
