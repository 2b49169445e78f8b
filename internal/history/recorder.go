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

// maxLineBytes is the maximum length of a line of a recorded history.
const maxLineBytes = 16 << 20

// Recorder collects entries in memory and writes them to a sink if it has one. It is safe for concurrent use.
type Recorder struct {
	mu      sync.Mutex
	entries []Entry
	sink    io.Writer // nil if entries are kept in memory only
	sinkErr error
}

// NewRecorder returns an empty recorder that keeps entries in memory only.
func NewRecorder() *Recorder {
	return &Recorder{}
}

// NewRecorderTo returns a recorder that also writes each entry to sink at once, one JSON object per line, so that the
// history survives when the process is killed.
func NewRecorderTo(sink io.Writer) *Recorder {
	return &Recorder{sink: sink}
}

// Err returns the first failure to write to the sink.
func (r *Recorder) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sinkErr
}

// Add appends e. A zero At is replaced by the current time.
func (r *Recorder) Add(e Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.At.IsZero() {
		e.At = time.Now()
	}
	e.At = e.At.Round(0) // drops the monotonic clock reading, as encoding and decoding do
	r.entries = append(r.entries, e)
	if r.sink == nil {
		return
	}
	if err := Encode(r.sink, []Entry{e}); err != nil && r.sinkErr == nil {
		r.sinkErr = err
	}
}

// Entries returns a copy of the recorded entries, in the order in which they were added.
func (r *Recorder) Entries() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.entries)
}

// Encode writes entries to w, one JSON object per line.
func Encode(w io.Writer, entries []Entry) error {
	enc := json.NewEncoder(w)
	for i := range entries {
		if err := enc.Encode(&entries[i]); err != nil {
			return fmt.Errorf("history: encode entry %d: %w", i, err)
		}
	}
	return nil
}

// Decode reads all entries from r. A truncated line is an error.
func Decode(r io.Reader) ([]Entry, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	var entries []Entry
	for scanner.Scan() {
		var e Entry
		if err := json.Unmarshal(scanner.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("history: decode line %d: %w", len(entries)+1, err)
		}
		entries = append(entries, e)
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Join(errors.New("history: read entries"), err)
	}
	return entries, nil
}

// Merge returns the entries of all histories, ordered by time.
func Merge(histories ...[]Entry) []Entry {
	merged := slices.Concat(histories...)
	slices.SortStableFunc(merged, func(a, b Entry) int { return a.At.Compare(b.At) })
	return merged
}
