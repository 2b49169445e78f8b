// Package logs writes log lines without blocking the goroutines that log them: lines go to a bounded buffer and from there
// to the output in the background. Lines that do not fit are left out, and counted in a log line and in a metric. Lines
// below the warning level are left out first.
package logs

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
)

// Bounds on the lines that are buffered and written.
const (
	// maxPendingBytes bounds the buffer while the output accepts no lines.
	maxPendingBytes = 1 << 20
	// maxPendingRoutineBytes bounds the buffer for lines below the warning level, so that the lines that explain a failure
	// still fit.
	maxPendingRoutineBytes = maxPendingBytes / 2
	// maxLinesPerMessage bounds the lines with the same message in one second. At the present size, a day writes the most
	// frequent message about 300 times a second, and twice as often in a burst.
	maxLinesPerMessage = 1500
	// flushDelay lets lines accumulate, so that a busy process writes many of them with one call.
	flushDelay = 20 * time.Millisecond
)

// Writer is a log writer for phuslu/log that never blocks on its output. It is safe for concurrent use.
type Writer struct {
	out      io.Writer
	accepted *metrics.Counter
	dropped  *metrics.Counter
	wake     chan struct{}

	mu      sync.Mutex
	pending []byte
	// messageCounts counts the lines of currentSecond, a Unix time, by message.
	messageCounts map[string]int
	currentSecond int64
	// unreportedDrops counts the lines left out since the last log line that reported how many were.
	unreportedDrops int
}

var _ log.Writer = (*Writer)(nil)

// NewWriter returns a Writer that writes to out and registers its counters in set.
func NewWriter(out io.Writer, set *metrics.Set) *Writer {
	return &Writer{
		out:           out,
		accepted:      set.NewCounter("laburnumpoint_log_lines_total"),
		dropped:       set.NewCounter("laburnumpoint_log_lines_left_out_total"),
		wake:          make(chan struct{}, 1),
		messageCounts: make(map[string]int),
	}
}

// WriteEntry implements log.Writer. It never waits for the output.
func (w *Writer) WriteEntry(e *log.Entry) (int, error) {
	line := e.Value()
	if w.enqueue(line, e.Level >= log.WarnLevel, time.Now().Unix()) {
		w.accepted.Inc()
	} else {
		w.dropped.Inc()
	}
	return len(line), nil
}

// enqueue adds a line to the buffer unless that exceeds a bound, and reports whether it did. second is the Unix time.
func (w *Writer) enqueue(line []byte, warning bool, second int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if second != w.currentSecond {
		w.currentSecond = second
		clear(w.messageCounts)
		w.reportDropped()
	}
	limit := maxPendingRoutineBytes
	if warning {
		limit = maxPendingBytes
	}
	message := messageOf(line)
	w.messageCounts[message]++
	if len(w.pending)+len(line) > limit || w.messageCounts[message] > maxLinesPerMessage {
		w.unreportedDrops++
		return false
	}
	w.pending = append(w.pending, line...)
	w.signal()
	return true
}

// reportDropped adds a log line with the number of lines that were left out, unless the buffer then exceeds
// maxPendingRoutineBytes.
func (w *Writer) reportDropped() {
	if w.unreportedDrops == 0 {
		return
	}
	line := fmt.Appendf(nil, `{"time":%q,"level":"warn","lines":%d,"message":"log lines left out"}`+"\n",
		time.Now().Format(time.RFC3339Nano), w.unreportedDrops)
	if len(w.pending)+len(line) > maxPendingRoutineBytes {
		return
	}
	w.pending = append(w.pending, line...)
	w.unreportedDrops = 0
	w.signal()
}

// signal tells Run that lines are pending.
func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

var messagePrefix = []byte(`"message":"`)

// messageOf returns the value of a JSON log line's message field, or "" if it has none.
func messageOf(line []byte) string {
	start := bytes.LastIndex(line, messagePrefix)
	if start < 0 {
		return ""
	}
	rest := line[start+len(messagePrefix):]
	if end := bytes.IndexByte(rest, '"'); end >= 0 {
		rest = rest[:end]
	}
	return string(rest)
}

// Start runs the writer in the background until stop is called. stop returns once the pending lines are written or their
// write has failed.
func (w *Writer) Start() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// Run writes lines to the output until ctx ends, and then the lines that are still pending.
func (w *Writer) Run(ctx context.Context) {
	var spare []byte
	for {
		select {
		case <-w.wake:
		case <-ctx.Done():
			w.flush(spare)
			return
		}
		time.Sleep(flushDelay)
		spare = w.flush(spare)
	}
}

// flush writes the pending lines and returns their buffer for reuse; new lines go to spare.
func (w *Writer) flush(spare []byte) []byte {
	w.mu.Lock()
	lines := w.pending
	w.pending = spare[:0]
	w.mu.Unlock()
	if len(lines) > 0 {
		_, _ = w.out.Write(lines) // a failed write of the log cannot be logged
	}
	return lines
}
