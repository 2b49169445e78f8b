package owner

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/phuslu/log"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/rowstore"
)

func registryRow(name string, w *dispatch.Worker) rowstore.Change {
	change := rowstore.Change{Row: rowstore.Row{Key: rowstore.Key{Name: name}, Value: []byte("nonsense")}}
	if w != nil {
		change.Value, _ = json.Marshal(w)
	}
	return change
}

// Guards against one invalid entry of the registry that hides the others, stands for a worker, or fills the log each time it is written.
func TestInvalidEntriesNameNoWorkerAndAreLoggedOnce(t *testing.T) {
	var logged bytes.Buffer
	d := RegistryDecoder{Log: &log.Logger{Writer: &log.IOWriter{Writer: &logged}}}
	d.DecodeRow = func(_ string, value []byte) (w dispatch.Worker, err error) {
		err = json.Unmarshal(value, &w)
		return w, err
	}
	valid := &dispatch.Worker{ID: "a", Pool: "p", Address: "10.0.0.1:80", Capacity: graph.Resources{MilliCPU: 1}}
	outOfRange := &dispatch.Worker{ID: "b", Pool: "p", Address: "10.0.0.1:99999"}
	full := rowstore.Update{Full: true, Changes: []rowstore.Change{registryRow("b", outOfRange), registryRow("c", nil), registryRow("a", valid), registryRow("d", valid)}}
	lines := func() int { return strings.Count(logged.String(), "invalid entry of the worker registry skipped") }
	for range 3 {
		if change := d.Decode(full); !change.Full || len(change.Put) != 1 || change.Put[0].ID != "a" {
			t.Fatalf("workers %+v, want a", change.Put)
		}
	}
	if n := lines(); n != 3 {
		t.Errorf("%d lines for three invalid entries that were read three times, want 3", n)
	}
	// Over a worker's own entry, again and again.
	for range 3 {
		change := d.Decode(rowstore.Update{Changes: []rowstore.Change{registryRow("a", outOfRange)}})
		if len(change.Put) != 0 || len(change.Removed) != 1 || change.Removed[0] != "a" {
			t.Errorf("an entry out of range over a worker's own: %+v, want it no longer registered", change)
		}
	}
	if n := lines(); n != 4 {
		t.Errorf("%d lines, want one more", n)
	}
	if change := d.Decode(rowstore.Update{Changes: []rowstore.Change{registryRow("a", valid)}}); len(change.Put) != 1 {
		t.Errorf("the worker's own entry again: %+v, want it registered", change)
	}
	removed := registryRow("b", nil)
	removed.Removed = true
	d.Decode(rowstore.Update{Changes: []rowstore.Change{removed, registryRow("a", nil)}})
	d.Decode(rowstore.Update{Changes: []rowstore.Change{registryRow("b", nil)}})
	if n := lines(); n != 6 {
		t.Errorf("%d lines, want one for each entry that has become invalid again", n)
	}
}
