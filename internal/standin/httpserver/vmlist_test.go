package httpserver

import (
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
		seen := httptest.NewRecorder()
		p.Handler().ServeHTTP(seen, r)
		statuses = append(statuses, seen.Code)
		p.Handler().ServeHTTP(w, r)
	}))
	defer server.Close()
	client := httpplatform.NewPlatform(httpplatform.PlatformOptions{Addr: strings.TrimPrefix(server.URL, "http://"), Timeout: 10 * time.Second})
	workers := []cell.Worker{{ID: "a", State: cell.WorkerLive}}
	for _, change := range []cell.WorkerState{cell.WorkerLive, cell.WorkerLive, cell.WorkerLeaving, cell.WorkerLeaving} {
		workers[0].State = change
		p.VMList.Set(workers[0])
		got, err := client.Workers(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, workers) {
			t.Errorf("list = %+v, want %+v", got, workers)
		}
	}
	if want := []int{200, 304, 200, 304}; !slices.Equal(statuses, want) {
		t.Errorf("statuses = %v, want %v", statuses, want)
	}
}
