package httpserver

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/httpplatform"
)

func TestVMListIsReadAgainOnlyWhenItHasChanged(t *testing.T) {
	p := NewPlatform(0)
	var statuses []int
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		p.Handler().ServeHTTP(recorder, r)
		statuses = append(statuses, recorder.Code)
		p.Handler().ServeHTTP(w, r)
	}))
	defer server.Close()
	client := httpplatform.NewPlatformClient(httpplatform.PlatformOptions{Addr: strings.TrimPrefix(server.URL, "http://"), Timeout: 10 * time.Second})
	workers := []cell.Worker{{ID: "a", Addr: "10.0.0.1:7000", Pool: "callsheet", State: cell.WorkerLive}}
	for _, state := range []cell.WorkerState{cell.WorkerLive, cell.WorkerLive, cell.WorkerLeaving, cell.WorkerLeaving} {
		workers[0].State = state
		p.VMList.Set(workers[0])
		got, err := client.Workers(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, workers) {
			t.Errorf("worker list = %+v, want %+v", got, workers)
		}
	}
	if want := []int{200, 304, 200, 304}; !slices.Equal(statuses, want) {
		t.Errorf("HTTP statuses = %v, want %v", statuses, want)
	}
}

func TestVMListOfALargeCellIsSmallOnTheWire(t *testing.T) {
	const workers = 3_000
	// wireBytes limits one answer, so that the answers after 2,000 changes a day take at most a twentieth of 26 KB/s.
	const wireBytes = 26_000 / 20 * 86_400 / 2_000
	p := NewPlatform(0)
	for i := range workers {
		id := fmt.Sprintf("callsheet-%d", i)
		p.VMList.Set(cell.Worker{ID: cell.WorkerID(id), Addr: fmt.Sprintf("10.%d.%d.%d:7000", i%7, i/250, i%250),
			Zone: fmt.Sprintf("zone-%d", i%17), Rack: fmt.Sprintf("rack-%d", i/4), Pool: "callsheet",
			Capacity: cell.Resources{MilliCPU: 64_000, MemoryMiB: 131_072, Slots: 8}, State: cell.WorkerLive})
	}
	r := httptest.NewRequest(http.MethodGet, httpplatform.PathWorkers, nil)
	r.Header.Set("Accept-Encoding", "gzip")
	recorder := httptest.NewRecorder()
	p.Handler().ServeHTTP(recorder, r)
	if got := recorder.Body.Len(); got > wireBytes {
		t.Errorf("worker list takes %d bytes, want at most %d", got, wireBytes)
	}
	t.Logf("%d bytes for %d workers", recorder.Body.Len(), workers)
}
