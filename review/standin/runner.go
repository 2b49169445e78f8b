package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Figures of the small deployment that runners keep to.
const (
	heartbeat      = 1500 * time.Millisecond
	holdMax        = 10 * time.Second
	stopTime       = 100 * time.Millisecond
	checkpointTime = 2 * time.Second
	maxListedEnds  = 500
	runnerCPU      = 64000
	runnerMemMB    = 131072
	runnersPerRack = 4
	maxHoldWait    = 2 * time.Second
	// roundTrip is the delay of the network, both ways, between zones.
	roundTrip    = 1800 * time.Microsecond
	expiredCheck = 20 * time.Millisecond
	pool         = "callsheet-svc"
)

// work says in a job's spec what its tasks do.
type work struct {
	// MS is the least run time in milliseconds, Spread what is added at most, by the task's name, and Long what every other task takes
	// besides. Forever is a task that lasts.
	MS      int  `json:"ms"`
	Spread  int  `json:"spread"`
	Long    int  `json:"long"`
	Forever bool `json:"forever"`
}

func (w work) timeOf(task string) time.Duration {
	h := fnv.New32a()
	h.Write([]byte(task))
	ms := w.MS
	if w.Spread > 0 {
		ms += int(h.Sum32()/2) % w.Spread
	}
	if h.Sum32()%2 == 1 {
		ms += w.Long
	}
	return time.Duration(ms) * time.Millisecond
}

// activeRun is a run on a runner.
type activeRun struct {
	task      string
	number    uint64
	startedAt time.Time
	timer     *time.Timer
	// resumedAt is the work that the run's checkpoint holds.
	resumedAt time.Duration
	stopping  bool
	lasts     bool
}

// runnerLife is the life of a runner's process: what it runs and what it has seen.
type runnerLife struct {
	id       string
	started  time.Time
	running  map[string]*activeRun
	ended    [][]any
	endTimes []endTime
	highest  map[string]uint64
	fence    uint64
	sequence uint64
	deadline time.Duration
	wake     chan struct{}
}

// endTime is when a run has ended, by its sequence.
type endTime struct {
	sequence uint64
	at       time.Time
}

// runner is a runner at one address. No case ends its process.
type runner struct {
	name   string
	rack   string
	addr   string
	store  *store
	record *record

	mu       sync.Mutex
	life     *runnerLife
	server   *http.Server
	listener net.Listener
}

func newRunner(n int, ip string, st *store, rec *record) *runner {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		fail("runner: %v", err)
	}
	r := &runner{name: fmt.Sprintf("r%d", n), rack: fmt.Sprintf("r1-%d", n/runnersPerRack), addr: listener.Addr().String(), store: st, record: rec}
	r.serve(listener)
	r.beginLife()
	go r.heartbeats()
	return r
}

// serve accepts connections until disconnect is called.
func (r *runner) serve(listener net.Listener) {
	r.listener = listener
	r.server = &http.Server{Handler: r}
	go func(server *http.Server) { _ = server.Serve(listener) }(r.server)
}

// disconnect resets all connections and refuses new ones; what runs goes on.
func (r *runner) disconnect() {
	r.mu.Lock()
	server := r.server
	r.mu.Unlock()
	_ = server.Close()
}

// reconnect accepts connections again.
func (r *runner) reconnect() {
	listener, err := net.Listen("tcp", r.addr)
	if err != nil {
		fail("runner %s: %v", r.name, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serve(listener)
}

func (r *runner) beginLife() {
	r.mu.Lock()
	r.life = &runnerLife{
		id: "i-" + r.name, started: time.Now(), running: make(map[string]*activeRun),
		highest: make(map[string]uint64), wake: make(chan struct{}),
	}
	life := r.life
	r.mu.Unlock()
	go r.watchLease(life)
	r.beat()
}

func (r *runner) heartbeats() {
	for range time.Tick(heartbeat) {
		r.beat()
	}
}

func (r *runner) beat() {
	r.mu.Lock()
	life := r.life
	seq := int(time.Since(life.started) / heartbeat)
	r.mu.Unlock()
	r.store.put("servers", life.id, map[string]any{
		"service": pool, "address": r.addr, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0, "seq": seq,
		"capacity": map[string]int{"cpu": runnerCPU, "mem_mb": runnerMemMB, "gpu": 0}, "labels": []string{"a", r.rack}, "machine": "m-" + r.name,
		"born": life.started.UnixMilli(),
	})
}

func (l *runnerLife) clock() time.Duration { return time.Since(l.started) }

func (l *runnerLife) clockMS() int64 { return l.clock().Milliseconds() }

// watchLease kills everything when the lease has expired.
func (r *runner) watchLease(life *runnerLife) {
	for range time.Tick(expiredCheck) {
		r.mu.Lock()
		var lapsed []*activeRun
		if life.clock() > life.deadline {
			for _, run := range life.running {
				lapsed = append(lapsed, run)
			}
		}
		r.mu.Unlock()
		for _, run := range lapsed {
			r.finish(life, run, "lapsed")
		}
	}
}

type callBody struct {
	Task       string `json:"task"`
	Run        uint64 `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	FenceToken uint64 `json:"fence_token"`
	Checkpoint string `json:"checkpoint"`
	LastSeen   uint64 `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
}

func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	time.Sleep(roundTrip)
	var body callBody
	if err := json.NewDecoder(req.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	life := r.life
	if req.Header.Get("Target-Instance") != life.id {
		r.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if body.FenceToken < life.fence {
		r.mu.Unlock()
		reply(w, http.StatusConflict, map[string]any{"clock_ms": life.clockMS(), "reason": "fence"})
		return
	}
	life.fence = body.FenceToken
	if deadline := min(time.Duration(body.DeadlineMS)*time.Millisecond, life.clock()+holdMax); deadline > life.deadline {
		life.deadline = deadline
	}
	r.mu.Unlock()
	switch req.URL.Path {
	case "/api/run-start":
		if reason := r.start(life, &body); reason != "" {
			reply(w, http.StatusConflict, map[string]any{"clock_ms": life.clockMS(), "reason": reason})
			return
		}
		reply(w, http.StatusOK, map[string]any{"clock_ms": life.clockMS()})
	case "/api/run-stop":
		r.stop(life, body.Task, body.Run)
		reply(w, http.StatusOK, map[string]any{"clock_ms": life.clockMS()})
	case "/api/hold":
		r.awaitEnd(req, life, body.LastSeen, min(maxHoldWait, time.Duration(body.WaitMS)*time.Millisecond))
		reply(w, http.StatusOK, r.report(life))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// start begins a run and returns why not, if it does not.
func (r *runner) start(life *runnerLife, b *callBody) (reason string) {
	var todo work
	if err := json.Unmarshal([]byte(b.Spec), &todo); err != nil {
		r.record.line("run with a spec that nobody sent: %s", b.Spec)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Duration(b.DeadlineMS)*time.Millisecond <= life.clock() {
		return "late"
	}
	if present := life.running[b.Task]; present != nil && present.number == b.Run {
		return ""
	}
	if b.Run <= life.highest[b.Task] || life.running[b.Task] != nil {
		return "old"
	}
	life.highest[b.Task] = b.Run
	run := &activeRun{task: b.Task, number: b.Run, startedAt: time.Now(), resumedAt: workSaved(b.Checkpoint), lasts: todo.Forever}
	life.running[b.Task] = run
	r.record.runBegins(b.Task, b.Run, life.id)
	if !todo.Forever {
		left := max(0, todo.timeOf(b.Task)-run.resumedAt)
		run.timer = time.AfterFunc(left, func() { r.finish(life, run, "done") })
	}
	return ""
}

func (r *runner) stop(life *runnerLife, task string, number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	life.highest[task] = max(life.highest[task], number)
	run := life.running[task]
	if run == nil || run.number != number || run.stopping {
		return
	}
	run.stopping = true
	if run.timer != nil {
		run.timer.Stop()
	}
	time.AfterFunc(stopTime, func() { r.finish(life, run, "stopped") })
}

// finish ends a run, unless it has ended.
func (r *runner) finish(life *runnerLife, run *activeRun, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if life.running[run.task] != run {
		return
	}
	if run.timer != nil {
		run.timer.Stop()
	}
	delete(life.running, run.task)
	life.sequence++
	saved := run.saved()
	if how == "done" {
		saved = ""
	}
	life.ended = append(life.ended, []any{life.sequence, run.task, run.number, how, saved})
	life.endTimes = append(life.endTimes, endTime{life.sequence, time.Now()})
	r.record.runEnds(run.task, run.number, life.id, how)
	close(life.wake)
	life.wake = make(chan struct{})
}

// saved is the run's newest checkpoint: one for each checkpointTime of work, and one at a stop. It holds the work that is done.
func (run *activeRun) saved() string {
	if run.lasts {
		return ""
	}
	done := run.resumedAt + time.Since(run.startedAt)
	if !run.stopping {
		done = done.Truncate(checkpointTime)
	}
	if done < checkpointTime {
		return ""
	}
	return fmt.Sprintf("%08x%s", done.Milliseconds(), jobOf(run.task)[:8])
}

// workSaved returns the work that a checkpoint holds.
func workSaved(checkpoint string) time.Duration {
	if len(checkpoint) < 8 {
		return 0
	}
	ms, _ := strconv.ParseInt(checkpoint[:8], 16, 64)
	return time.Duration(ms) * time.Millisecond
}

// awaitEnd forgets the ends up to lastSeen and waits until there is another.
func (r *runner) awaitEnd(req *http.Request, life *runnerLife, lastSeen uint64, wait time.Duration) {
	r.mu.Lock()
	forgotten := 0
	for forgotten < len(life.endTimes) && life.endTimes[forgotten].sequence <= lastSeen {
		r.record.endNoted(time.Since(life.endTimes[forgotten].at))
		forgotten++
	}
	life.ended, life.endTimes = slices.Clone(life.ended[forgotten:]), slices.Clone(life.endTimes[forgotten:])
	wake, listed := life.wake, len(life.ended) > 0
	r.mu.Unlock()
	if listed || wait <= 0 {
		return
	}
	select {
	case <-wake:
	case <-time.After(wait):
	case <-req.Context().Done():
	}
}

func (r *runner) report(life *runnerLife) map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	running := [][]any{}
	for _, run := range life.running {
		percent := 50
		if run.lasts {
			percent = 100
		}
		running = append(running, []any{run.task, run.number, run.saved(), percent, 100})
	}
	return map[string]any{"clock_ms": life.clockMS(), "born": life.started.UnixMilli(), "running": running, "finished": append([][]any{}, life.ended[:min(len(life.ended), maxListedEnds)]...)}
}
