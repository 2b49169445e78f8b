package history

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

// maxLineBytes bounds one line of a recorded history.
const maxLineBytes = 16 << 20

// Recorder collects entries in memory, and in a file where it has one. It is safe for concurrent use.
type Recorder struct {
	mu      sync.Mutex
	entries []Entry
	sink    io.Writer // nil without a file
	sinkErr error
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{}
}

// NewRecorderTo returns a recorder that also writes each entry to sink at once, one JSON object a line, so that the
// record outlives a process that is killed.
func NewRecorderTo(sink io.Writer) *Recorder {
	return &Recorder{sink: sink}
}

// Err returns the first failure to write to the sink.
func (r *Recorder) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sinkErr
}

// Add appends e. A zero At is replaced by the present time.
func (r *Recorder) Add(e Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.At.IsZero() {
		e.At = time.Now()
	}
	e.At = e.At.Round(0) // wall-clock time only, as after decoding
	r.entries = append(r.entries, e)
	if r.sink == nil {
		return
	}
	if err := Encode(r.sink, []Entry{e}); err != nil && r.sinkErr == nil {
		r.sinkErr = err
	}
}

// Entries returns a copy of what was recorded, in the order of recording.
func (r *Recorder) Entries() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.entries)
}

// Encode writes entries to w, one JSON object a line.
func Encode(w io.Writer, entries []Entry) error {
	enc := json.NewEncoder(w)
	for i := range entries {
		if err := enc.Encode(&entries[i]); err != nil {
			return fmt.Errorf("history: entry %d: %w", i, err)
		}
	}
	return nil
}

// Decode reads entries from r until its end. A line that is cut short is an error.
func Decode(r io.Reader) ([]Entry, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	var entries []Entry
	for scanner.Scan() {
		var e Entry
		if err := json.Unmarshal(scanner.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("history: line %d: %w", len(entries)+1, err)
		}
		entries = append(entries, e)
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Join(errors.New("history: read"), err)
	}
	return entries, nil
}

// Merge returns the entries of several histories in the order of their times.
func Merge(histories ...[]Entry) []Entry {
	merged := slices.Concat(histories...)
	slices.SortStableFunc(merged, func(a, b Entry) int { return a.At.Compare(b.At) })
	return merged
}
