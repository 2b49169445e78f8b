package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/history"
)

// callers send requests to the daemons as callers behind a balancer that does not know which daemons live: each try goes
// to a daemon drawn at random, and a request that got no final answer is sent again under its key.
type callers struct {
	cell   *testCell
	record *history.Recorder

	sent      atomic.Int64
	completed atomic.Int64
	notRun    atomic.Int64
	unknown   atomic.Int64
	lost      atomic.Int64
	// reasons counts the answers that were not completed, by reason.
	reasons  sync.Map
	stopping chan struct{}
	running  sync.WaitGroup
}

// maxTries bounds how often one request is sent.
const maxTries = 8

func startCallers(c *testCell, n int, seed uint64) *callers {
	cs := &callers{cell: c, record: history.NewRecorder(), stopping: make(chan struct{})}
	for i := range n {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		cs.running.Go(func() { cs.run(i, r) })
	}
	return cs
}

func (cs *callers) target(r *rand.Rand) string {
	targets := cs.cell.targets()
	return targets[r.IntN(len(targets))].http
}

// until waits for n requests to have completed since the callers started.
func (cs *callers) until(n int64) {
	for cs.completed.Load() < n {
		time.Sleep(5 * time.Millisecond)
	}
}

// more waits for n further requests to complete.
func (cs *callers) more(n int64) {
	cs.until(cs.completed.Load() + n)
}

func (cs *callers) stop() []history.Entry {
	close(cs.stopping)
	cs.running.Wait()
	return cs.record.Entries()
}

func (cs *callers) run(caller int, r *rand.Rand) {
	for i := 0; ; i++ {
		select {
		case <-cs.stopping:
			return
		default:
			cs.request(fmt.Sprintf("c%d-%d", caller, i), r)
		}
	}
}

// request sends one request until it is answered for good.
func (cs *callers) request(key string, r *rand.Rand) {
	call := history.Call{Key: key, Idempotent: r.IntN(5) > 0, Echo: key, AnswerBytes: r.IntN(2000)}
	class := []string{"urgent", "normal", "batch"}[r.IntN(3)]
	runMS := r.IntN(30)
	inDoubt := false
	for try := range maxTries {
		op := fmt.Sprintf("%s/%d", key, try)
		ret := cs.try(op, call, class, runMS, cs.target(r), !inDoubt)
		if !ret.Lost && ret.Result != cell.ResultNotRun && ret.Result != cell.ResultUnknown {
			return
		}
		inDoubt = inDoubt || ret.Result != cell.ResultNotRun
		time.Sleep(time.Duration(20+r.IntN(100)) * time.Millisecond)
	}
}

// longRun is the run time of a request that is in flight throughout a planned stop.
const longRun = 3 * time.Second

// sendLong sends n requests to d and returns once all of them run. The group ends when they are answered.
func (cs *callers) sendLong(d *daemon, n int) *sync.WaitGroup {
	var answered sync.WaitGroup
	before := cs.cell.startedLong()
	for i := range n {
		key := fmt.Sprintf("long-%s-%d", d.http, i)
		call := history.Call{Key: key, Idempotent: i%2 == 0, Echo: key, AnswerBytes: 1000}
		answered.Go(func() { cs.try(key, call, "normal", int(longRun.Milliseconds()), d.http, true) })
	}
	for cs.cell.startedLong() < before+n {
		time.Sleep(10 * time.Millisecond)
	}
	return &answered
}

// startedLong counts the long requests that workers have started.
func (c *testCell) startedLong() int {
	n := 0
	for _, e := range c.workerHistory() {
		if e.Kind == history.KindLeaseStart && strings.HasPrefix(e.Lease.Echo, "long-") {
			n++
		}
	}
	return n
}

func (cs *callers) try(op string, call history.Call, class string, runMS int, target string, first bool) history.Return {
	cs.sent.Add(1)
	cs.record.Add(history.Entry{Kind: history.KindCall, OpID: op, Call: &call})
	ret := cs.post(call, class, runMS, target, first)
	cs.record.Add(history.Entry{Kind: history.KindReturn, OpID: op, Return: &ret})
	cs.count(ret)
	return ret
}

func (cs *callers) count(ret history.Return) {
	switch {
	case ret.Lost:
		cs.lost.Add(1)
	case ret.Result == cell.ResultCompleted:
		cs.completed.Add(1)
	case ret.Result == cell.ResultNotRun:
		cs.notRun.Add(1)
	case ret.Result == cell.ResultUnknown:
		cs.unknown.Add(1)
	}
}

func (cs *callers) post(call history.Call, class string, runMS int, target string, first bool) history.Return {
	payload, _ := json.Marshal(map[string]any{"run_ms": runMS, "answer_bytes": call.AnswerBytes, "echo": call.Echo})
	body, _ := json.Marshal(map[string]any{
		"team": "sheets", "class": class, "pool": "callsheet", "idempotent": call.Idempotent,
		"claim":   cell.Resources{MilliCPU: 4000, MemoryMiB: 1024, Slots: 1},
		"payload": string(payload),
	})
	req, err := http.NewRequest(http.MethodPost, "http://"+target+"/v1/requests", bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Laburnumpoint-Caller", "e2e")
	req.Header.Set("Laburnumpoint-Request-Id", call.Key)
	req.Header.Set("Laburnumpoint-Timeout", "8s")
	req.Header.Set("Laburnumpoint-First-Send", fmt.Sprint(first))
	resp, err := cs.cell.client.Do(req)
	if err != nil {
		cs.note(err.Error())
		return history.Return{Lost: true}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		cs.note("body: " + err.Error())
		return history.Return{Lost: true}
	}
	var got struct {
		Task   cell.TaskID `json:"task"`
		Result cell.Result `json:"result"`
		Reason cell.Reason `json:"reason"`
		Answer []byte      `json:"answer"`
	}
	if json.Unmarshal(data, &got) != nil || got.Result == "" {
		return history.Return{Lost: true}
	}
	if got.Result != cell.ResultCompleted {
		cs.note(fmt.Sprintf("%s %s", got.Result, got.Reason))
	}
	return history.Return{Result: got.Result, Task: got.Task, Answer: got.Answer}
}

func (cs *callers) note(reason string) {
	n, _ := cs.reasons.LoadOrStore(reason, new(atomic.Int64))
	n.(*atomic.Int64).Add(1)
}

func (cs *callers) report(t *testing.T) {
	t.Helper()
	t.Logf("sent %d: completed %d, not run %d, unknown %d, lost %d", cs.sent.Load(), cs.completed.Load(), cs.notRun.Load(), cs.unknown.Load(), cs.lost.Load())
	cs.reasons.Range(func(reason, n any) bool {
		t.Logf("%4d %s", n.(*atomic.Int64).Load(), reason)
		return true
	})
}
