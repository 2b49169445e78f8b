package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// Bounds of a runner, as in the settings of a small deployment.
const (
	maxLease  = 10 * time.Second
	stopGrace = 400 * time.Millisecond
	maxListed = 500
)

// startLost is the event of a start that gets no answer; its How is the call.
const startLost = "start lost"

// runnerConfig is what a runner's process is started with.
type runnerConfig struct {
	// Public is the address at which the daemons reach it, Address the one at which it listens.
	ID, Public, Address, Control, Kind, Rack string
}

// event is something that a runner did; its process writes it to its standard output.
type event struct {
	Runner, What, Task, How string
	Run                     uint64
	// at is when it was heard of.
	at time.Time
}

// run is a run of a task on a runner.
type run struct {
	task     string
	number   uint64
	begun    time.Time
	work     time.Duration
	timer    *time.Timer
	stopping bool
}

type ended struct {
	sequence uint64
	task     string
	number   uint64
	how      string
}

// runner is one life of a runner. A task runs for as long as its spec says, and then ends as done.
type runner struct {
	runnerConfig
	begun time.Time

	mu       sync.Mutex
	running  map[string]*run
	finished []ended
	// highest is the highest run that was stopped or has ended, by task.
	highest  map[string]uint64
	fence    uint64
	sequence uint64
	deadline time.Duration
	lease    *time.Timer
	changed  chan struct{}
	// lost names the job whose next start gets no answer, empty for none; the network carries it out later.
	lost string
}

// serveRunner runs a runner's process until it is killed.
func serveRunner(config runnerConfig) error {
	r := &runner{
		runnerConfig: config, begun: time.Now(), running: make(map[string]*run), highest: make(map[string]uint64), changed: make(chan struct{}),
	}
	listener, err := net.Listen("tcp", r.Address)
	if err != nil {
		return err
	}
	go r.beat()
	go func() {
		for lines := bufio.NewScanner(os.Stdin); lines.Scan(); {
			r.mu.Lock()
			r.lost = lines.Text()
			r.mu.Unlock()
		}
		os.Exit(1) // its parent has ended
	}()
	return http.Serve(listener, r)
}

// beat writes the runner's entry of the registry at each heartbeat.
func (r *runner) beat() {
	for n := 1; ; n++ {
		body, err := json.Marshal(map[string]any{"id": r.ID, "entry": map[string]any{
			"service": "sheets", "address": r.Public, "zone": "north", "version": "1", "slots": 8, "state": "ready", "cold_remaining_ms": 0, "seq": n,
			"capacity": map[string]int{"cpu": 64000, "mem_mb": 131072, "gpu": 0}, "labels": []string{r.Kind, r.Rack}, "born": r.begun.UnixMilli(),
		}})
		if err != nil {
			panic(err)
		}
		if resp, err := http.Post("http://"+r.Control+"/heartbeat", "application/json", strings.NewReader(string(body))); err == nil {
			resp.Body.Close()
		}
		time.Sleep(heartbeat)
	}
}

func (r *runner) record(what, task string, number uint64, how string) {
	data, err := json.Marshal(event{Runner: r.ID, What: what, Task: task, Run: number, How: how})
	if err != nil {
		panic(err)
	}
	fmt.Println(string(data))
}

func (r *runner) clock() time.Duration { return time.Since(r.begun) }

type runnerCall struct {
	Task       string `json:"task"`
	Run        uint64 `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	FenceToken uint64 `json:"fence_token"`
	LastSeen   uint64 `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
}

func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.Header.Get("Target-Instance") != r.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var call runnerCall
	if json.NewDecoder(req.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch req.URL.Path {
	case "/api/run-start":
		if r.isLost(call) {
			<-req.Context().Done()
			return
		}
		r.answer(w, r.start(call))
	case "/api/run-stop":
		r.answer(w, r.stop(call))
	case "/api/hold":
		r.hold(w, req, call)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// isLost reports whether a start gets no answer, and tells the network of it, which carries it out later.
func (r *runner) isLost(call runnerCall) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lost == "" || !strings.HasPrefix(call.Task, r.lost) {
		return false
	}
	r.lost = ""
	body, err := json.Marshal(call)
	if err != nil {
		panic(err)
	}
	r.record(startLost, call.Task, call.Run, string(body))
	return true
}

// answer writes 200, or 409 if there is a reason.
func (r *runner) answer(w http.ResponseWriter, reason string) {
	if reason != "" {
		answerJSON(w, http.StatusConflict, map[string]any{"clock_ms": r.clock().Milliseconds(), "reason": reason})
		return
	}
	answerJSON(w, http.StatusOK, map[string]any{"clock_ms": r.clock().Milliseconds()})
}

// accepts applies the call's token. The caller holds the lock.
func (r *runner) accepts(call runnerCall) bool {
	if call.FenceToken < r.fence {
		return false
	}
	r.fence = call.FenceToken
	return true
}

// extend extends the lease to the call's deadline. The caller holds the lock.
func (r *runner) extend(call runnerCall) {
	deadline := min(time.Duration(call.DeadlineMS)*time.Millisecond, r.clock()+maxLease)
	if deadline <= r.deadline {
		return
	}
	r.deadline = deadline
	if r.lease != nil {
		r.lease.Stop()
	}
	r.lease = time.AfterFunc(deadline-r.clock(), r.lapse)
}

func (r *runner) lapse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.clock() < r.deadline {
		return // it has been extended
	}
	for _, run := range r.running {
		r.end(run, "lapsed")
	}
}

func (r *runner) start(call runnerCall) (reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.accepts(call) {
		return "fence"
	}
	if time.Duration(call.DeadlineMS)*time.Millisecond <= r.clock() {
		return "late"
	}
	r.extend(call)
	if current := r.running[call.Task]; current != nil && current.number == call.Run {
		return ""
	}
	if call.Run <= r.highest[call.Task] || r.running[call.Task] != nil {
		return "old"
	}
	work, err := time.ParseDuration(call.Spec)
	if err != nil {
		work = time.Second
	}
	run := &run{task: call.Task, number: call.Run, begun: time.Now(), work: work}
	run.timer = time.AfterFunc(work, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.end(run, "done")
	})
	r.running[call.Task] = run
	r.record("began", call.Task, call.Run, call.Spec)
	return ""
}

func (r *runner) stop(call runnerCall) (reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.accepts(call) {
		return "fence"
	}
	r.highest[call.Task] = max(r.highest[call.Task], call.Run)
	run := r.running[call.Task]
	if run == nil || run.number > call.Run || run.stopping {
		return ""
	}
	run.stopping = true
	run.timer.Stop()
	time.AfterFunc(stopGrace/2, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.end(run, "stopped")
	})
	return ""
}

// end notes that a run has ended. The caller holds the lock.
func (r *runner) end(run *run, how string) {
	if r.running[run.task] != run {
		return
	}
	run.timer.Stop()
	delete(r.running, run.task)
	r.highest[run.task] = max(r.highest[run.task], run.number)
	r.sequence++
	r.finished = append(r.finished, ended{r.sequence, run.task, run.number, how})
	r.record("ended", run.task, run.number, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *runner) hold(w http.ResponseWriter, req *http.Request, call runnerCall) {
	r.mu.Lock()
	if !r.accepts(call) {
		r.mu.Unlock()
		r.answer(w, "fence")
		return
	}
	r.extend(call)
	r.finished = slices.DeleteFunc(r.finished, func(e ended) bool { return e.sequence <= call.LastSeen })
	changed, wait := r.changed, len(r.finished) == 0
	r.mu.Unlock()
	if wait {
		timer := time.NewTimer(time.Duration(call.WaitMS) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-req.Context().Done():
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	running, finished := [][]any{}, [][]any{}
	for _, run := range r.running {
		percent := min(99, int(100*time.Since(run.begun)/max(1, run.work)))
		running = append(running, []any{run.task, run.number, "", percent, 0})
	}
	for _, e := range r.finished[:min(len(r.finished), maxListed)] {
		finished = append(finished, []any{e.sequence, e.task, e.number, e.how, ""})
	}
	answerJSON(w, http.StatusOK, map[string]any{"clock_ms": r.clock().Milliseconds(), "running": running, "finished": finished, "born": r.begun.UnixMilli()})
}
