package edge

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"laburnumpoint/internal/api"
	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/config"
)

func callPatch(t *testing.T, f *fakeCell, r *http.Request) (int, api.PatchAnswer) {
	t.Helper()
	w := httptest.NewRecorder()
	NewHandler(f, f, Options{}).ServeHTTP(w, r)
	var a api.PatchAnswer
	if err := json.Unmarshal(w.Body.Bytes(), &a); err != nil {
		t.Fatalf("body %q: %v", w.Body, err)
	}
	return w.Code, a
}

// patchWithRaces returns a patch function that refuses patches whose base is not the version in force. In the first
// losses calls another patch is applied first.
func patchWithRaces(f *fakeCell, losses int) func(Patch) PatchResult {
	return func(p Patch) PatchResult {
		if losses > 0 {
			losses--
			f.version++
		}
		if p.Base != f.version {
			return PatchResult{Version: f.version, Reason: cell.Reason{Code: config.ReasonStaleBase}}
		}
		f.version++
		return PatchResult{Accepted: true, Version: f.version}
	}
}

func TestStalePatchIsAConflictNamingTheVersionInForce(t *testing.T) {
	f := &fakeCell{version: 7}
	f.patch = patchWithRaces(f, 0)
	for _, base := range []string{"5", "9"} {
		status, a := callPatch(t, f, post("/v1/config/patches", `{"id":"p1","base":`+base+`,"merge":{"packing_weight":1}}`))
		if status != http.StatusConflict || a.Accepted || a.Version != 7 || a.ID != "p1" {
			t.Errorf("base %s: status %d, answer %+v", base, status, a)
		}
	}
}

func TestDrainTriesAgainAfterLosingARace(t *testing.T) {
	f := &fakeCell{version: 7}
	f.patch = patchWithRaces(f, 3)
	status, a := callPatch(t, f, httptest.NewRequest(http.MethodPut, "/v1/workers/w1/drain", nil))
	if status != http.StatusOK || !a.Accepted || a.Version != 11 || len(f.patches) != 4 {
		t.Errorf("status %d, answer %+v after %d patches", status, a, len(f.patches))
	}
	if got := string(f.patches[3].Merge); got != `{"drained":{"w1":true}}` {
		t.Errorf("merge %s", got)
	}
	if f.patches[0].ID == f.patches[1].ID {
		t.Errorf("patches against two versions share the id %q", f.patches[0].ID)
	}
}

func TestDrainGivesUpAfterBoundedTries(t *testing.T) {
	f := &fakeCell{version: 7}
	f.patch = patchWithRaces(f, 1000)
	status, a := callPatch(t, f, httptest.NewRequest(http.MethodPut, "/v1/workers/w1/drain", nil))
	if status != http.StatusConflict || a.RetryAfterMS == 0 || len(f.patches) != maxDrainTries {
		t.Errorf("status %d, answer %+v after %d patches", status, a, len(f.patches))
	}
}

func TestUndrainRemovesTheMarkOnce(t *testing.T) {
	f := &fakeCell{version: 7, drained: map[cell.WorkerID]bool{"gone": true}}
	f.patch = patchWithRaces(f, 0)
	for _, worker := range []string{"gone", "w1"} {
		status, a := callPatch(t, f, httptest.NewRequest(http.MethodDelete, "/v1/workers/"+worker+"/drain", nil))
		if status != http.StatusOK || !a.Accepted {
			t.Errorf("%s: status %d, answer %+v", worker, status, a)
		}
	}
	if len(f.patches) != 1 || string(f.patches[0].Merge) != `{"drained":{"gone":null}}` {
		t.Errorf("patches %+v", f.patches)
	}
}

func TestDrainInDoubtIsNotTriedAgain(t *testing.T) {
	f := &fakeCell{version: 7, patch: func(Patch) PatchResult {
		return PatchResult{Version: 8, Reason: cell.Reason{Code: cell.ReasonInDoubt}, RetryAfter: time.Second}
	}}
	status, _ := callPatch(t, f, httptest.NewRequest(http.MethodPut, "/v1/workers/w1/drain", nil))
	if status != http.StatusGatewayTimeout || len(f.patches) != 1 {
		t.Errorf("status %d after %d patches", status, len(f.patches))
	}
}

func TestWatchEndsWhenTheJobSettles(t *testing.T) {
	queries := 0
	f := &fakeCell{job: func() JobStatus {
		queries++
		return JobStatus{ID: "j", Kind: cell.KindBatch, Count: 3, Running: 3 - queries, Succeeded: queries}
	}}
	w := httptest.NewRecorder()
	NewHandler(f, f, Options{WatchInterval: time.Millisecond}).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/jobs/j?watch=wait", nil))
	var got JobStatus
	if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil || !got.Settled() || queries != 3 {
		t.Errorf("status %+v after %d queries, %v", got, queries, err)
	}
}
