package standin

import (
	"errors"
	"testing"
	"time"

	"laburnumpoint/internal/platformapi"
)

// createRow returns a transaction that writes the row if it has the version.
func createRow(key string, ifVersion uint64) []platformapi.Op {
	return []platformapi.Op{{Key: key, IfVersion: ifVersion, Value: []byte("v")}}
}

func TestTableAppliesAllOrNothing(t *testing.T) {
	table := NewTable()
	if _, err := table.Apply(t.Context(), createRow("a/1", 0)); err != nil {
		t.Fatal(err)
	}
	ops := append(createRow("a/2", 0), createRow("a/1", 0)...) // the second condition does not hold
	if _, err := table.Apply(t.Context(), ops); !errors.Is(err, platformapi.ErrConflict) {
		t.Errorf("second transaction: error %v, want %v", err, platformapi.ErrConflict)
	}
	if log := table.WriteLog(); len(log) != 1 || log[0].Key != "a/1" || log[0].Version == 0 {
		t.Errorf("write log = %+v, want one write of a/1", log)
	}
	if rows, err := table.List(t.Context(), "a/"); err != nil || len(rows) != 1 {
		t.Errorf("rows = %+v, error %v, want one row", rows, err)
	}
}

func TestTableVersionsAreNotReused(t *testing.T) {
	table := NewTable()
	first, err := table.Apply(t.Context(), createRow("k", 0))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := table.Apply(t.Context(), []platformapi.Op{{Key: "k", IfVersion: first[0], Delete: true}}); err != nil {
		t.Fatal(err)
	}
	second, err := table.Apply(t.Context(), createRow("k", 0))
	if err != nil || second[0] <= first[0] {
		t.Errorf("version %v before the delete, %v after it, error %v", first, second, err)
	}
}

func TestTableFaults(t *testing.T) {
	cases := []struct {
		name    string
		faults  TableFaults
		err     error
		applied bool
	}{
		{"none", TableFaults{}, nil, true},
		{"down", TableFaults{Down: true}, platformapi.ErrUnavailable, false},
		{"answer lost", TableFaults{LoseAnswers: 1}, platformapi.ErrUncertain, true},
		{"answer lost for another prefix", TableFaults{LoseAnswers: 1, KeyPrefix: "other/"}, nil, true},
		{"applied much later", TableFaults{ApplyLater: 1, ApplyLaterDelay: time.Hour}, platformapi.ErrUncertain, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := NewTable()
			table.SetFaults(c.faults)
			if _, err := table.Apply(t.Context(), createRow("k/1", 0)); !errors.Is(err, c.err) {
				t.Errorf("transaction: error %v, want %v", err, c.err)
			}
			table.SetFaults(TableFaults{})
			row, err := table.Get(t.Context(), "k/1")
			if err != nil || (row.Version != 0) != c.applied {
				t.Errorf("row = %+v, error %v, want it written: %t", row, err, c.applied)
			}
		})
	}
}

func TestLateTransactionChecksItsConditions(t *testing.T) {
	table := NewTable()
	table.SetFaults(TableFaults{ApplyLater: 2, ApplyLaterDelay: time.Millisecond})
	for range 2 { // only one of the two transactions finds that the row doesn't exist
		if _, err := table.Apply(t.Context(), createRow("k/1", 0)); !errors.Is(err, platformapi.ErrUncertain) {
			t.Fatalf("transaction: error %v, want %v", err, platformapi.ErrUncertain)
		}
	}
	for table.Counts().Reads == 0 { // the transaction that fails counts as a read
		time.Sleep(time.Millisecond)
	}
	for table.Counts().Transactions == 0 {
		time.Sleep(time.Millisecond)
	}
	if got := table.CountsByPrefix()["k"]; got != (TableCounts{Reads: 1, Writes: 1}) {
		t.Errorf("counts of the keys under k/ = %+v, want 1 read and 1 write", got)
	}
}

func TestObjectFaults(t *testing.T) {
	objects := NewObjectStore()
	objects.SetFaults(ObjectFaults{Down: true})
	if err := objects.Put(t.Context(), "k", []byte("v")); !errors.Is(err, platformapi.ErrUnavailable) {
		t.Errorf("put while down: error %v, want %v", err, platformapi.ErrUnavailable)
	}
	objects.SetFaults(ObjectFaults{LoseAnswers: 1})
	if err := objects.Put(t.Context(), "k", []byte("v")); !errors.Is(err, platformapi.ErrUncertain) {
		t.Errorf("put whose answer is lost: error %v, want %v", err, platformapi.ErrUncertain)
	}
	if data, err := objects.Get(t.Context(), "k"); err != nil || string(data) != "v" {
		t.Errorf("get after the lost answer: %q, error %v", data, err)
	}
	if _, err := objects.Get(t.Context(), "none"); !errors.Is(err, platformapi.ErrNotFound) {
		t.Errorf("get of a missing key: error %v, want %v", err, platformapi.ErrNotFound)
	}
}

func TestShapesHaveTheOfficesSizes(t *testing.T) {
	for name, shape := range Shapes() {
		workers := shape.Workers("")
		racks := make(map[string]int)
		pools := make(map[string]int)
		for _, w := range workers {
			racks[w.Rack]++
			pools[w.Pool]++
			if w.Rack[:len(w.Zone)] != w.Zone {
				t.Errorf("office %s: rack %s in zone %s", name, w.Rack, w.Zone)
			}
		}
		if len(workers) != 48 || len(racks) != 9+5 || len(pools) != 2 {
			t.Errorf("office %s: %d workers, %d racks, %d pools", name, len(workers), len(racks), len(pools))
		}
		if scaled := shape.Scaled(8).Workers(""); len(scaled) != 8 {
			t.Errorf("office %s scaled to 8 workers: %d workers", name, len(scaled))
		}
	}
}
