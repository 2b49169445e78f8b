package logs

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
)

// An output that nobody reads blocks no goroutine that logs, and the buffer stays bounded.
func TestOutputThatDoesNotDrain(t *testing.T) {
	reader, out := io.Pipe()
	defer reader.Close()
	w := NewWriter(out, metrics.NewSet())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go w.Run(ctx)
	logger := log.Logger{Level: log.InfoLevel, Writer: w}
	const lines = 40_000
	for i := range lines {
		logger.Info().Int("i", i).Str("pad", strings.Repeat("x", 100)).Msg(fmt.Sprint("kind ", i%50))
	}
	w.mu.Lock()
	pending := len(w.pending)
	w.mu.Unlock()
	if pending > maxPendingRoutineBytes {
		t.Errorf("%d bytes are pending, want at most %d", pending, maxPendingRoutineBytes)
	}
	logger.Warn().Msg("worker does not answer")
	w.mu.Lock()
	defer w.mu.Unlock()
	if !bytes.Contains(w.pending, []byte("worker does not answer")) {
		t.Error("a warning was left out while lines below the warning level were kept")
	}
	if got := w.accepted.Get() + w.dropped.Get(); got != lines+1 {
		t.Errorf("%d lines accepted or dropped, want %d", got, lines+1)
	}
	if w.dropped.Get() == 0 {
		t.Error("no line was dropped though the output was not read")
	}
}

// The line that counts the lines left out counts against the bound as well.
func TestReportOfLinesLeftOutStaysWithinTheBound(t *testing.T) {
	for _, free := range []int{0, 1, 40, 200} {
		w := NewWriter(io.Discard, metrics.NewSet())
		w.pending = make([]byte, maxPendingRoutineBytes-free)
		w.unreportedDrops = 1
		w.reportDropped()
		if len(w.pending) > maxPendingRoutineBytes {
			t.Errorf("%d bytes pending with %d bytes free before, want at most %d", len(w.pending), free, maxPendingRoutineBytes)
		}
		if fits := free >= 200; fits != (w.unreportedDrops == 0) {
			t.Errorf("%d bytes free: lines left out are reported: %v", free, w.unreportedDrops == 0)
		}
	}
}

func TestLinesOfOneKindAreBounded(t *testing.T) {
	w := NewWriter(io.Discard, metrics.NewSet())
	kept := 0
	for range 2 * maxLinesPerMessage {
		if w.enqueue([]byte(`{"message":"often"}`+"\n"), false, 1) {
			kept++
		}
	}
	if kept != maxLinesPerMessage {
		t.Errorf("%d lines of one message accepted in a second, want %d", kept, maxLinesPerMessage)
	}
	if !w.enqueue([]byte(`{"message":"seldom"}`+"\n"), false, 1) {
		t.Error("a line with another message was left out")
	}
	w.enqueue([]byte(`{"message":"often"}`+"\n"), false, 2)
	if !bytes.Contains(w.pending, []byte(fmt.Sprintf(`"lines":%d,"message":"log lines left out"`, maxLinesPerMessage))) {
		t.Error("no log line reports how many lines were left out")
	}
}

// BenchmarkLine measures the time that logging a typical line, the start of a run, takes its goroutine.
func BenchmarkLine(b *testing.B) {
	w := NewWriter(io.Discard, metrics.NewSet())
	go w.Run(b.Context())
	logger := log.Logger{Level: log.InfoLevel, Writer: w}
	for i := range b.N {
		logger.Info().Str("job", "0123456789abcdef").Str("task", "0123456789abcdef/0/1/2").Uint64("run", uint64(i)).
			Uint64("epoch", 3).Str("worker", "i-0123456789").Str("outcome", "started").Dur("took", 3000000).Msg("run start")
	}
}
