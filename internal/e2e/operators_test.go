package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"laburnumpoint/internal/api"
	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/config"
	"laburnumpoint/internal/history"
)

// operators race each other with patches against the version that each last saw, and read the version in force at every
// daemon.
type operators struct {
	cell     *testCell
	record   *history.Recorder
	stopping chan struct{}
	running  sync.WaitGroup
}

func startOperators(c *testCell, n int, seed uint64) *operators {
	o := &operators{cell: c, record: history.NewRecorder(), stopping: make(chan struct{})}
	for i := range n {
		r := rand.New(rand.NewPCG(seed, 1000+uint64(i)))
		o.running.Go(func() { o.run(i, r) })
	}
	return o
}

func (o *operators) stop() []history.Entry {
	close(o.stopping)
	o.running.Wait()
	return o.record.Entries()
}

func (o *operators) run(operator int, r *rand.Rand) {
	targets := o.cell.targets()
	for i := 0; ; i++ {
		select {
		case <-o.stopping:
			return
		case <-time.After(time.Duration(r.IntN(100)) * time.Millisecond):
		}
		op := fmt.Sprintf("o%d-%d", operator, i)
		base := o.read(op+"/read", targets[r.IntN(len(targets))])
		if base > 0 {
			o.patch(op, base, 0.25+r.Float64()/2, targets[r.IntN(len(targets))])
		}
	}
}

func (o *operators) read(op string, target *daemon) uint64 {
	read := history.VersionRead{Member: cell.MemberID(target.http)}
	o.record.Add(history.Entry{Kind: history.KindReadCall, OpID: op, Read: &read})
	var got config.Versioned
	if !o.cell.get(target.http, api.PathConfig, &got) {
		return 0
	}
	read.Version = got.Version
	o.record.Add(history.Entry{Kind: history.KindReadReturn, OpID: op, Read: &read})
	return got.Version
}

func (o *operators) patch(op string, base uint64, weight float64, target *daemon) {
	p := history.Patch{ID: op, Base: base}
	o.record.Add(history.Entry{Kind: history.KindPatchCall, OpID: op, Patch: &p})
	done := p
	done.Outcome, done.Version = o.send(op, base, weight, target)
	o.record.Add(history.Entry{Kind: history.KindPatchReturn, OpID: op, Patch: &done})
}

func (o *operators) send(id string, base uint64, weight float64, target *daemon) (history.PatchOutcome, uint64) {
	merge := fmt.Sprintf(`{"packing_weight":%.6f}`, weight)
	body, _ := json.Marshal(api.PatchSpec{ID: id, Base: base, Merge: api.RawObject(merge)})
	resp, err := o.cell.client.Post("http://"+target.http+api.PathConfigPatches, api.TypeJSON, bytes.NewReader(body))
	if err != nil {
		return history.PatchUnknown, 0
	}
	defer resp.Body.Close()
	var got struct {
		Accepted bool        `json:"accepted"`
		Version  uint64      `json:"version"`
		Reason   cell.Reason `json:"reason"`
	}
	if json.NewDecoder(resp.Body).Decode(&got) != nil {
		return history.PatchUnknown, 0
	}
	switch {
	case got.Accepted:
		return history.PatchAccepted, got.Version
	case resp.StatusCode == http.StatusConflict && got.Version != base:
		return history.PatchStale, got.Version
	case resp.StatusCode == http.StatusGatewayTimeout:
		return history.PatchUnknown, 0
	default:
		return history.PatchRefused, got.Version
	}
}
