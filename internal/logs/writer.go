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
	// bufferBytes bounds the lines that wait while the output does not drain.
	bufferBytes = 1 << 20
	// routineBytes bounds them for lines below warnings, so that there is room for those that explain a failure.
	routineBytes = bufferBytes / 2
	// kindPerSecond bounds the lines of one message in a second. A day at the size of today writes about 300 of the most
	// frequent one, in a burst twice as many.
	kindPerSecond = 1500
	// flushDelay lets lines gather, so that a busy process writes many with one call.
	flushDelay = 20 * time.Millisecond
)

// Writer is a log writer for phuslu/log. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	lines   *metrics.Counter
	dropped *metrics.Counter
	wake    chan struct{}

	mu      sync.Mutex
	pending []byte
	// kinds counts the present second's lines by message; second is its number.
	kinds  map[string]int
	second int64
	// left counts the lines left out since the last line that says so.
	left int
}

var _ log.Writer = (*Writer)(nil)

// NewWriter returns a writer to out. Its counters are registered in set.
func NewWriter(out io.Writer, set *metrics.Set) *Writer {
	return &Writer{
		out:     out,
		lines:   set.NewCounter("laburnumpoint_log_lines_total"),
		dropped: set.NewCounter("laburnumpoint_log_lines_left_out_total"),
		wake:    make(chan struct{}, 1),
		kinds:   make(map[string]int),
	}
}

// WriteEntry implements log.Writer. It never waits for the output.
func (w *Writer) WriteEntry(e *log.Entry) (int, error) {
	line := e.Value()
	if w.add(line, e.Level >= log.WarnLevel, time.Now().Unix()) {
		w.lines.Inc()
	} else {
		w.dropped.Inc()
	}
	return len(line), nil
}

// add takes a line in unless a bound is reached.
func (w *Writer) add(line []byte, important bool, second int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if second != w.second {
		w.second = second
		clear(w.kinds)
		w.tellLeft()
	}
	limit := routineBytes
	if important {
		limit = bufferBytes
	}
	kind := kindOf(line)
	w.kinds[kind]++
	if len(w.pending)+len(line) > limit || w.kinds[kind] > kindPerSecond {
		w.left++
		return false
	}
	w.pending = append(w.pending, line...)
	w.signal()
	return true
}

// tellLeft adds a line with the number of lines that were left out, once there is room for it.
func (w *Writer) tellLeft() {
	if w.left == 0 || len(w.pending) >= routineBytes {
		return
	}
	w.pending = fmt.Appendf(w.pending, `{"time":%q,"level":"warn","lines":%d,"message":"log lines left out"}`+"\n",
		time.Now().Format(time.RFC3339Nano), w.left)
	w.left = 0
	w.signal()
}

func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

var messageField = []byte(`"message":"`)

// kindOf returns the message of a line.
func kindOf(line []byte) string {
	at := bytes.LastIndex(line, messageField)
	if at < 0 {
		return ""
	}
	rest := line[at+len(messageField):]
	if end := bytes.IndexByte(rest, '"'); end >= 0 {
		rest = rest[:end]
	}
	return string(rest)
}

// Start writes in the background until stop is called, which returns once all lines are written or lost.
func (w *Writer) Start() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	written := make(chan struct{})
	go func() {
		defer close(written)
		w.Run(ctx)
	}()
	return func() {
		cancel()
		<-written
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
