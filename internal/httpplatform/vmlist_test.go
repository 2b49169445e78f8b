package httpplatform

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/rawjson"
)

// oddEntries are entries of the VM list that describe no worker.
func oddEntries() map[string]string {
	const depth = 200_000
	return map[string]string{
		"deeply nested":    `{"id":` + strings.Repeat("[", depth) + strings.Repeat("]", depth) + `}`,
		"number too large": `{"id":"odd","addr":"10.0.0.9:80","pool":"p","state":"live","capacity":{"milli_cpu":99999999999999999999}}`,
		"sum overflows":    `{"id":"odd","addr":"10.0.0.9:80","pool":"p","state":"live","capacity":{"milli_cpu":9223372036854775807}}`,
		"below zero":       `{"id":"odd","addr":"10.0.0.9:80","pool":"p","state":"live","capacity":{"memory_mib":-1}}`,
		"port":             `{"id":"odd","addr":"10.0.0.9:99999","pool":"p","state":"live"}`,
		"state":            `{"id":"odd","addr":"10.0.0.9:80","pool":"p","state":"asleep"}`,
		"no object":        `17`,
		"nonsense":         `nonsense`,
	}
}

func listedWorker(id string) cell.Worker {
	return cell.Worker{ID: cell.WorkerID(id), Addr: "10.0.0.1:80", Pool: "p", Capacity: cell.Resources{MilliCPU: 1000}, State: cell.WorkerLive}
}

func decodeList(t *testing.T, last []cell.Worker, entries ...string) ([]cell.Worker, map[string]error) {
	t.Helper()
	raw, err := rawjson.Elements([]byte("[" + strings.Join(entries, ",") + "]"))
	if err != nil {
		t.Fatal(err)
	}
	return decodeWorkers(raw, last)
}

// Guards against one invalid entry of the VM list that hides all others.
func TestInvalidEntriesHideNoWorkers(t *testing.T) {
	valid, err := json.Marshal(listedWorker("a"))
	if err != nil {
		t.Fatal(err)
	}
	for name, odd := range oddEntries() {
		workers, invalid := decodeList(t, nil, odd, string(valid))
		if len(workers) != 1 || workers[0] != listedWorker("a") || len(invalid) != 1 {
			t.Errorf("%s: workers %+v and %d invalid entries, want a and one", name, workers, len(invalid))
		}
	}
}

// Guards against a task that runs twice: a worker that is missing from the list counts as ended, so an invalid entry in the place of its own
// must not hide it.
func TestInvalidEntryDoesNotEndItsWorker(t *testing.T) {
	last := []cell.Worker{listedWorker("a"), listedWorker("odd")}
	valid, err := json.Marshal(listedWorker("a"))
	if err != nil {
		t.Fatal(err)
	}
	for name, odd := range oddEntries() {
		workers, _ := decodeList(t, last, string(valid), odd)
		if len(workers) != 2 || workers[1].ID != "odd" || workers[1].State != cell.WorkerLeaving {
			t.Errorf("%s: workers %+v, want a, and the other one without new work", name, workers)
		}
	}
	if workers, _ := decodeList(t, last, string(valid)); len(workers) != 1 {
		t.Errorf("workers %+v, want only the one that is listed", workers)
	}
}

// Guards against a log that an invalid entry fills each time the list is read.
func TestInvalidEntriesAreReportedOnce(t *testing.T) {
	var list workerListCache
	reports := 0
	for i := range 3 {
		odd := map[string]error{"odd": errDuplicateWorker}
		if i == 2 {
			odd[fmt.Sprint("odd-", i)] = errDuplicateWorker
		}
		list.reportInvalid(odd, func(string, error) { reports++ })
	}
	if reports != 2 {
		t.Errorf("%d reports of two entries, one of them in three lists, want 2", reports)
	}
}
