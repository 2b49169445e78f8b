package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/config"
	"laburnumpoint/internal/history"
	"laburnumpoint/internal/httpplatform"
	"laburnumpoint/internal/standin"
)

// officeWorkers is the number of workers of an office, which one process of runners serves.
const officeWorkers = 48

// anyPort lets a process take a free port.
const anyPort = "127.0.0.1:0"

var zones = []string{"cardiff", "swansea", "wrexham", "aberystwyth"}

// daemon is one entry VM.
type daemon struct {
	*process
	http string
}

// testCell is a running cell: the platform, its workers and the daemons of the entry VMs.
type testCell struct {
	t        *testing.T
	platform string
	runners  string
	boot     string
	client   *http.Client
	started  int
	claims   time.Duration

	mu      sync.Mutex
	daemons []*daemon
}

// startCell starts a cell of the given sizes and waits until every daemon is ready and every worker is claimed.
func startCell(t *testing.T, daemons, workers int) *testCell {
	t.Helper()
	return startCellWith(t, cellOptions{daemons: daemons, workers: workers, shardsPerZone: 1, claims: time.Second})
}

// cellOptions sizes a cell.
type cellOptions struct {
	daemons, workers, shardsPerZone int
	// claims is the interval of claims; leases last six of them.
	claims time.Duration
}

func startCellWith(t *testing.T, o cellOptions) *testCell {
	t.Helper()
	c := &testCell{t: t, client: &http.Client{Timeout: 10 * time.Second}, claims: o.claims}
	c.boot = c.writeBootstrap(o.shardsPerZone)
	c.platform = start(t, "laburnumpoint-standin", "platform", "--listen", anyPort).address(t, "addr")
	c.startRunners(o.workers)
	for range o.daemons {
		c.admit(c.startDaemon())
	}
	c.awaitReady(o.workers)
	return c
}

// startRunners starts processes of runners for the given number of workers; faults reach those of the first.
func (c *testCell) startRunners(workers int) {
	c.t.Helper()
	for i := 0; workers > 0; i++ {
		n := min(workers, officeWorkers)
		p := start(c.t, "laburnumpoint-standin", "runners", "--shape", "galwad", "--listen", anyPort,
			"--platform", c.platform, "--workers", fmt.Sprint(n), "--id-prefix", fmt.Sprintf("r%d-", i))
		if i == 0 {
			c.runners = p.address(c.t, "addr")
		}
		workers -= n
	}
}

func (c *testCell) writeBootstrap(shardsPerZone int) string {
	doc := config.Default()
	doc.ShardsPerZone = shardsPerZone
	doc.Zones = zones
	doc.Teams = map[string]config.Team{
		"sheets": {Weight: 1, AllowUrgent: true},
		"media":  {Weight: 1},
	}
	path := filepath.Join(c.t.TempDir(), "bootstrap.json")
	if err := os.WriteFile(path, doc.Encode(), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return path
}

// startDaemon starts a daemon that the balancer does not send to yet.
func (c *testCell) startDaemon() *daemon {
	c.t.Helper()
	zone := zones[c.started%len(zones)]
	c.started++
	p := start(c.t, "laburnumpointd",
		"--listen", anyPort,
		"--peer-listen", anyPort,
		"--zone", zone,
		"--platform", c.platform,
		"--bootstrap-config", c.boot,
		"--claim-interval", c.claims.String(),
		"--lease-ttl", (6 * c.claims).String(),
		"--drain-delay", "300ms",
	)
	return &daemon{process: p, http: p.address(c.t, "listen")}
}

// addDaemon starts a daemon, waits until it says that it is ready, and admits it.
func (c *testCell) addDaemon() {
	c.t.Helper()
	d := c.startDaemon()
	for !c.answersReady(d) {
		d.mustRun(c.t)
		time.Sleep(20 * time.Millisecond)
	}
	c.admit(d)
}

// admit makes the balancer send to d.
func (c *testCell) admit(d *daemon) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.daemons = append(slices.Clone(c.daemons), d)
}

// targets returns the daemons that the balancer sends to.
func (c *testCell) targets() []*daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.daemons)
}

// remove takes a daemon from the balancer's targets.
func (c *testCell) remove(d *daemon) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.daemons = slices.DeleteFunc(slices.Clone(c.daemons), func(o *daemon) bool { return o == d })
}

// awaitReady waits until every daemon is ready and the owners have claimed the given number of workers.
func (c *testCell) awaitReady(workers int) {
	c.t.Helper()
	for !c.ready(workers) {
		for _, d := range c.targets() {
			d.mustRun(c.t)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// answersReady reports whether d tells the balancer that it is ready.
func (c *testCell) answersReady(d *daemon) bool {
	resp, err := c.client.Get("http://" + d.http + "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (c *testCell) ready(workers int) bool {
	for _, d := range c.targets() {
		if !c.answersReady(d) {
			return false
		}
	}
	var got struct {
		Shards []struct {
			WorkersClaimed int `json:"workers_claimed"`
		} `json:"shards"`
	}
	if !c.get(c.targets()[0].http, "/v1/shards", &got) {
		return false
	}
	claimed := 0
	for _, s := range got.Shards {
		claimed += s.WorkersClaimed
	}
	return claimed == workers
}

func (c *testCell) get(addr, path string, v any) bool {
	resp, err := c.client.Get("http://" + addr + path)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(v) == nil
}

func (c *testCell) send(method, addr, path string, v any) {
	c.t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		c.t.Fatal(err)
	}
	req, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(data))
	if err != nil {
		c.t.Fatal(err)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		c.t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(resp.Body)
		c.t.Fatalf("%s %s: %s %s", method, path, resp.Status, body)
	}
}

func (c *testCell) setTableFaults(f standin.TableFaults) {
	c.t.Helper()
	c.send(http.MethodPut, c.platform, "/control/table/faults", f)
}

func (c *testCell) actOnWorker(id cell.WorkerID, action string) {
	c.t.Helper()
	c.send(http.MethodPost, c.runners, "/control/workers/"+string(id)+"/"+action, struct{}{})
}

func (c *testCell) setWorkerFaults(id cell.WorkerID, f standin.WorkerFaults) {
	c.t.Helper()
	c.send(http.MethodPut, c.runners, "/control/workers/"+string(id)+"/faults", f)
}

// workerIDs lists the workers of a pool.
func (c *testCell) workerIDs(pool string) []cell.WorkerID {
	c.t.Helper()
	var got httpplatform.WorkerList
	if !c.get(c.runners, "/control/workers", &got) {
		c.t.Fatal("workers not listed")
	}
	ids := make([]cell.WorkerID, 0, len(got.Workers))
	for _, w := range got.Workers {
		if w.Pool == pool {
			ids = append(ids, w.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

func (c *testCell) workerHistory() []history.Entry {
	c.t.Helper()
	resp, err := c.client.Get("http://" + c.runners + "/control/history")
	if err != nil {
		c.t.Fatal(err)
	}
	defer resp.Body.Close()
	entries, err := history.Decode(resp.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return entries
}
