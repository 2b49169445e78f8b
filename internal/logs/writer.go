// Package logs writes log lines without ever making their authors wait: lines go to a bounded buffer and from there to
// the output. What does not fit is left out, and counted in a line and in metrics. Lines below warnings go first.
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

// Bounds of what is written.
const (
	// maxPendingBytes bounds the lines that wait while the output does not drain.
	maxPendingBytes = 1 << 20
	// maxPendingRoutineBytes bounds them for lines below warnings, so that there is room for those that explain a failure.
	maxPendingRoutineBytes = maxPendingBytes / 2
	// maxLinesPerMessage bounds the lines of one message in a second. A day at the size of today writes about 300 of the most
	// frequent one, in a burst twice as many.
	maxLinesPerMessage = 1500
	// flushDelay lets lines gather, so that a busy process writes many with one call.
	flushDelay = 20 * time.Millisecond
)

// Writer is a log writer for phuslu/log. It is safe for concurrent use.
type Writer struct {
	out      io.Writer
	accepted *metrics.Counter
	dropped  *metrics.Counter
	wake     chan struct{}

	mu      sync.Mutex
	pending []byte
	// messageCounts counts the present second's lines by message; second is its number.
	messageCounts map[string]int
	currentSecond int64
	// unreportedDrops counts the lines left out since the last line that says so.
	unreportedDrops int
}

var _ log.Writer = (*Writer)(nil)

// NewWriter returns a writer to out. Its counters are registered in set.
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

// enqueue takes a line in unless a bound is reached.
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

// reportDropped adds a line with the number of lines that were left out, once there is room for it.
func (w *Writer) reportDropped() {
	if w.unreportedDrops == 0 || len(w.pending) >= maxPendingRoutineBytes {
		return
	}
	w.pending = fmt.Appendf(w.pending, `{"time":%q,"level":"warn","lines":%d,"message":"log lines left out"}`+"\n",
		time.Now().Format(time.RFC3339Nano), w.unreportedDrops)
	w.unreportedDrops = 0
	w.signal()
}

func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

var messagePrefix = []byte(`"message":"`)

// messageOf returns the message of a line.
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

// Start writes in the background until stop is called, which returns once all lines are written or lost.
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

// Run writes lines to the output until ctx ends, and then those that wait.
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

// flush writes what waits and returns its buffer for reuse.
func (w *Writer) flush(spare []byte) []byte {
	w.mu.Lock()
	lines := w.pending
	w.pending = spare[:0]
	w.mu.Unlock()
	if len(lines) > 0 {
		_, _ = w.out.Write(lines) // there is nowhere left to tell of a failure
	}
	return lines
}
