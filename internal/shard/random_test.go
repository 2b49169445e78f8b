package shard

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/standin"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// step is one thing that happens in a random history.
type step struct {
	kind   string
	worker cell.WorkerID
	task   int
	owner  int
	pause  time.Duration
}

var stepKinds = []string{
	"fresh", "fresh", "fresh", "keyed", "keyed", "once", "once", "cancel", "go away",
	"down", "up", "lose start", "lose answer", "failing", "refusing", "silent", "healthy", "reboot", "drop VM",
	"take over", "release", "table down", "table up", "lose commit", "stale", "confirmed",
}

const (
	historyWorkers = 4
	historyKeys    = 4
	historySteps   = 40
)

func drawStep(t *rapid.T) step {
	return step{
		kind:   rapid.SampledFrom(stepKinds).Draw(t, "kind"),
		worker: cell.WorkerID(fmt.Sprintf("w%d", rapid.IntRange(0, historyWorkers-1).Draw(t, "worker"))),
		task:   rapid.IntRange(0, historyKeys-1).Draw(t, "task"),
		owner:  rapid.IntRange(0, 3).Draw(t, "owner"),
		pause:  time.Duration(rapid.SampledFrom([]int{0, 0, 1, 50, 400, 2000, 6000}).Draw(t, "pause")) * time.Millisecond,
	}
}

// history runs steps and records every answer by task.
type history struct {
	*rig
	owners []*Owner
	fresh  int

	mu       sync.Mutex
	asked    map[cell.TaskID]int
	answered map[cell.TaskID][]cell.Outcome
	problems []string
}

func TestPromisesHoldUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, historySteps).Draw(rt, "steps")
		var h *history
		synctest.Test(t, func(t *testing.T) {
			h = &history{
				rig:      newRig(t, historyWorkers, 1500*time.Millisecond),
				asked:    make(map[cell.TaskID]int),
				answered: make(map[cell.TaskID][]cell.Outcome),
			}
			h.owners = append(h.owners, h.owner(1))
			for _, s := range steps {
				h.take(s)
				time.Sleep(s.pause)
			}
			time.Sleep(30 * time.Second)
		})
		h.judge()
		if len(h.problems) > 0 {
			rt.Fatalf("%v", h.problems)
		}
	})
}

func (h *history) take(s step) {
	change := func(f func(*host)) { h.runner.set(s.worker, f) }
	owner := h.owners[max(0, len(h.owners)-1-s.owner)]
	switch s.kind {
	case "fresh", "go away":
		h.fresh++
		h.submit(owner, request(fmt.Sprint("fresh", h.fresh)), s.kind == "go away")
	case "keyed":
		h.submit(owner, keyed(request(fmt.Sprint("keyed", s.task))), false)
	case "once":
		h.submit(owner, once(request(fmt.Sprint("once", s.task))), false)
	case "cancel":
		owner.Cancel([]cell.TaskID{cell.TaskID(fmt.Sprint("keyed", s.task)), cell.TaskID(fmt.Sprint("once", s.task))})
	case "down":
		change(func(h *host) { h.down = true })
	case "up":
		change(func(h *host) { h.down = h.boot == "gone" })
	case "lose start":
		change(func(h *host) { h.loseStart++ })
	case "lose answer":
		change(func(h *host) { h.loseAnswer++ })
	case "failing":
		change(func(h *host) { h.failing = true })
	case "refusing":
		change(func(h *host) { h.refusing = true })
	case "silent":
		change(func(h *host) { h.silent = true })
	case "healthy":
		change(func(h *host) { h.failing, h.refusing, h.silent = false, false, false })
	case "reboot":
		h.fresh++
		h.runner.reboot(s.worker, fmt.Sprint("boot", h.fresh))
	case "drop VM":
		h.drop(s.worker)
		owner.SetWorkers(h.workers)
	case "take over":
		h.owners = append(h.owners, h.owner(cell.Epoch(len(h.owners)+1)))
	case "release":
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			owner.Release(ctx)
		}()
	case "table down":
		h.table.SetFaults(standin.TableFaults{Down: true})
	case "table up":
		h.table.SetFaults(standin.TableFaults{})
	case "lose commit":
		h.table.SetFaults(standin.TableFaults{LoseAnswers: 1})
	case "stale", "confirmed":
		h.stale.Store(s.kind == "stale")
	}
}

func (h *history) submit(o *Owner, r Request, goAway bool) {
	id := r.Task.ID
	record := func(out cell.Outcome) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.answered[id] = append(h.answered[id], out)
	}
	h.asked[id]++
	if !goAway {
		o.Submit(r, record)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
		defer cancel()
		record(o.Run(ctx, r))
	}()
}

// judge checks the promises over the whole history.
func (h *history) judge() {
	fail := func(format string, args ...any) { h.problems = append(h.problems, fmt.Sprintf(format, args...)) }
	if h.runner.overlaps+h.runner.overclaims > 0 {
		fail("%d overlaps, %d overclaims", h.runner.overlaps, h.runner.overclaims)
	}
	for id, asked := range h.asked {
		outs := h.answered[id]
		if len(outs) != asked {
			fail("%s: asked %d times, answered %d times", id, asked, len(outs))
		}
		started := h.runner.starts[id]
		if id[:4] == "once" && started > 1 {
			fail("%s: non-idempotent and started %d times", id, started)
		}
		notRun := 0
		for _, out := range outs {
			if out.Result == cell.ResultNotRun {
				notRun++
			}
			if out.Result == cell.ResultCompleted && string(out.Answer) != "answer of "+string(id) {
				fail("%s: answer %q", id, out.Answer)
			}
			if started == 0 && (out.Result == cell.ResultCompleted || out.Result == cell.ResultFailed) {
				fail("%s: %s without a start", id, out.Result)
			}
		}
		if notRun == len(outs) && started > 0 {
			fail("%s: told not_run %v and started %d times", id, outs, started)
		}
	}
}
