package ledger

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/rowstore"
)

// Guards against rows that end the processes which read them: one that can't be decoded, or has numbers out of range, is skipped alone, and
// what the copy holds can be scheduled.
func TestOddRowsAreSkippedAlone(t *testing.T) {
	const depth = 200_000
	nested := strings.Repeat("[", depth) + strings.Repeat("]", depth)
	record := func(spec string) string { return `{"queue":{"name":"q","pool":"p","attempts":1},"spec":` + spec + `}` }
	values := []string{
		"", "nonsense", "[]", "17", nested, `{"spec":` + nested + `}`, record(`null`), record(`{}`),
		record(`{"steps":[{"count":9223372036854775807}]}`), record(`{"steps":[{"count":-1}]}`), record(`{"steps":[{"count":1,"after":[7]}]}`),
		record(`{"steps":[{"count":1}],"times":9223372036854775807}`), record(`{"steps":[{"count":10000}],"times":99999999999999999999}`),
		`{"state":7}`, `{"state":"running","steps":[{"k":-1,"i":99,"all":true},{"k":9223372036854775807,"i":-9223372036854775808}]}`,
		`{"state":"running","done":[{"k":-9223372036854775808,"to":9223372036854775807}]}`,
		`{"state":"running","steps":[{"done":"/////w==","tasks":[{"i":-1},{"i":9223372036854775807,"f":[18446744073709551615]}]}]}`,
		`{"ID":"x","Pool":"p","Address":"10.0.0.1:99999","Capacity":{"cpu":9223372036854775807}}`, `{"Capacity":{"cpu":99999999999999999999}}`,
		`{"epoch":99999999999999999999}`, `{"epoch":"x"}`,
	}
	r := newTestReplica(rowstore.NewMemoryStore(), DaemonInfo{Incarnation: "a"})
	version := uint64(0)
	put := func(key rowstore.Key, value []byte) {
		version++
		r.apply(rowstore.Change{Row: rowstore.Row{Key: key, Value: value, Version: version}})
	}
	spec := &graph.Spec{Steps: []graph.Step{{Count: 1}}}
	put(jobKey("first"), encode(JobRecord{Queue: graph.Queue{Name: "q", Pool: "p", MaxAttempts: 1}, Spec: spec}))
	for i, value := range values {
		id := graph.JobID(fmt.Sprintf("%016x", i))
		for _, key := range []rowstore.Key{
			jobKey(id), progressKey(id), progressKey("first"), detailKey(detailPrefix + string(id) + "/0"), detailKey(detailPrefix + "first/0"), cancelKey(id), workerKey(dispatch.WorkerID(id)),
			{Table: intakeTable, Name: string(id)}, {Table: progressTable, Name: value[:min(len(value), 200)]},
		} {
			put(key, []byte(value))
		}
	}
	put(ownerKey(), []byte(nested))
	put(progressKey("first"), encode(dispatch.Progress{State: graph.Queued}))
	engine := dispatch.New(1)
	for id, j := range r.Jobs() {
		if err := j.Spec.Validate(); err != nil {
			t.Errorf("job %s: %v", id, err)
		}
		progress, _ := j.FullProgress()
		engine.AddJob(dispatch.JobInput{ID: id, Queue: j.Queue, Spec: j.Spec, Progress: progress})
	}
	var sum graph.Resources
	for _, w := range r.Workers() {
		sum = sum.Add(w.Capacity)
		engine.AwaitReport(w.ID, w.Pool)
		engine.PutWorker(w.Worker)
	}
	if sum.MilliCPU < 0 || sum.MilliCPU > math.MaxInt64/2 {
		t.Errorf("capacity of all workers %d", sum.MilliCPU)
	}
	engine.Plan(0)
	if _, known := engine.JobState("first"); !known {
		t.Error("the valid job is not known")
	}
	if data, err := json.Marshal(r.Jobs()); err != nil || len(data) == 0 {
		t.Error(err)
	}
}
