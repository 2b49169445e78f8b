package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"laburnumpoint/internal/api"
	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/graphapi"
	"laburnumpoint/internal/graphproto"
	"laburnumpoint/internal/standin/crowd"
)

// Limits of the daemons in these tests. The crowds are too small to reach manyDescriptors.
const (
	clientsMemoryMB = 64
	manyDescriptors = 4100
	fewDescriptors  = 400
	// clientsMaxHeader and clientsMaxBody are the greatest head and body that callers may send.
	clientsMaxHeader = 16_384
	clientsMaxBody   = 262_144
	// clientsTimeout limits the tries of an ordinary request.
	clientsTimeout = 20 * time.Second
)

// crowdTarget is a daemon that crowds are sent to.
type crowdTarget struct {
	*process
	callers, peers, readiness, metrics string
	// head is the request line and the header lines of a job's submission, job a job that may be submitted.
	head, job string
	// ordinary sends an ordinary request, again until it is answered.
	ordinary func(*testing.T)
}

// startTargets starts a cell with the given number of daemons.
type startTargets func(t *testing.T, daemons int) []*crowdTarget

// crowdCase is a crowd against one daemon, which may depend on the daemon's interface.
type crowdCase struct {
	name    string
	clients int
	client  func(*crowdTarget) crowd.Client
	// addr is where it connects to, the callers' port if nil.
	addr func(*crowdTarget) string
}

// withstand checks that a daemon with the given limits, one for each crowd, lives through the crowd within them, and answers ordinary requests beside it and
// after it.
func withstand(t *testing.T, startTargets startTargets, descriptors int, cases ...crowdCase) {
	t.Helper()
	setLimits(t, descriptors)
	targets := startTargets(t, len(cases))
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			target := targets[i]
			ordinary := func() { target.ordinary(t) }
			ordinary()
			addr := target.callers
			if c.addr != nil {
				addr = c.addr(target)
			}
			usage := crowd.Trial{PIDs: []int{target.cmd.Process.Pid}, Addr: addr, Clients: c.clients, Client: c.client(target), Ordinary: ordinary}.Run()[0]
			t.Logf("peak: %d MB, %d descriptors", usage.MemoryMB, usage.Descriptors)
			if err := usage.Exceeds(clientsMemoryMB, descriptors); err != nil {
				t.Error(err)
			}
			for _, other := range targets {
				other.mustRun(t)
			}
		})
	}
}

func setLimits(t *testing.T, descriptors int) {
	t.Setenv("LABURNUMPOINT_MEMORY_MB", fmt.Sprint(clientsMemoryMB))
	t.Setenv("LABURNUMPOINT_MAX_DESCRIPTORS", fmt.Sprint(descriptors))
}

// retry calls try until it succeeds, as callers do that are refused for a time.
func retry(t *testing.T, what string, try func() error) {
	t.Helper()
	var err error
	for deadline := time.Now().Add(clientsTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if err = try(); err == nil {
			return
		}
	}
	t.Fatalf("%s: %v", what, err)
}

// startGraphTargets starts daemons for graph jobs with a store and workers.
func startGraphTargets(t *testing.T, daemons int) []*crowdTarget {
	config := graphproto.QueueConfig{Version: 1, Queues: []graphproto.Queue{{Name: crowdQueue, Pool: "workers", MaxAttempts: 2, Stretch: 2, TargetMS: 500}}}
	data, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	queues := filepath.Join(t.TempDir(), "queues.json")
	if err := os.WriteFile(queues, data, 0o600); err != nil {
		t.Fatal(err)
	}
	store := start(t, "laburnumpoint-standin", "graphs", "--listen", anyPort, "--queues", queues).address(t, "addr")
	var targets []*crowdTarget
	for i := range daemons {
		targets = append(targets, startGraphTarget(t, fmt.Sprint("vm-", i), store))
	}
	return targets
}

const crowdQueue = "nightly"

func startGraphTarget(t *testing.T, node, store string) *crowdTarget {
	peers := freePeerAddr(t)
	d := start(t, "laburnumpointd", "graphs", "--node", node, "--zone", "z", "--store", store, "--peer-listen", peers)
	listen := func(what string) string { return d.address(t, `what":"`+what+`","listen`) }
	target := &crowdTarget{
		process: d, callers: listen("callers"), readiness: listen("readiness"), metrics: listen("metrics"), peers: peers,
		head: "PUT /v1/queues/" + crowdQueue + "/jobs/00000000000000c1 HTTP/1.1\r\nHost: x\r\n", job: `{"payload":"{\"run_ms\":10}","steps":[{"count":1}]}`,
	}
	caller := &graphapi.Client{Servers: []string{target.callers}, RetryFor: clientsTimeout, HTTP: &http.Client{}}
	jobs := 0
	target.ordinary = func(t *testing.T) {
		t.Helper()
		jobs++
		id := fmt.Sprintf("%08x%08x", d.cmd.Process.Pid, jobs)
		job := &graphapi.Job{Payload: `{"run_ms":10}`, Steps: []graphapi.Step{{Count: 1}}}
		retry(t, "submit", func() error { _, err := caller.Submit(t.Context(), crowdQueue, id, job); return err })
		retry(t, "state", func() error { _, err := caller.State(t.Context(), crowdQueue, id); return err })
	}
	return target
}

// freePeerAddr returns an address at which no other process takes a port, since nothing else of the tests is at this IP address.
func freePeerAddr(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.2:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// startShardTargets starts daemons of the cell with shards, at most one in each zone.
func startShardTargets(t *testing.T, daemons int) []*crowdTarget {
	c := startCell(t, daemons, 4)
	var members api.MemberList
	if !c.get(c.targets()[0].http, api.PathMembers, &members) || len(members.Members) != daemons {
		t.Fatalf("members: %+v, want %d", members, daemons)
	}
	var targets []*crowdTarget
	for i, d := range c.targets() {
		in := slices.IndexFunc(members.Members, func(m api.MemberStatus) bool { return m.Zone == zones[i] })
		targets = append(targets, c.crowdTarget(d, members.Members[in].Addr))
	}
	return targets
}

func (c *testCell) crowdTarget(d *daemon, peers string) *crowdTarget {
	target := &crowdTarget{
		process: d.process, callers: d.http, peers: peers,
		head: "POST " + api.PathJobs + " HTTP/1.1\r\nHost: x\r\n",
		job:  `{"id":"crowd","kind":"batch","count":1,"task":{"team":"sheets","pool":"callsheet","claim":{"milli_cpu":100,"slots":1},"payload":"{}"}}`,
	}
	jobs := 0
	target.ordinary = func(t *testing.T) {
		t.Helper()
		jobs++
		id := cell.JobID(fmt.Sprintf("ordinary-%d-%d", d.cmd.Process.Pid, jobs))
		spec, err := json.Marshal(api.JobSpec{ID: id, Kind: cell.KindBatch, Count: 1, Task: api.TaskSpec{
			Team: "sheets", Pool: "callsheet", Payload: `{"run_ms":10}`, Claim: cell.Resources{MilliCPU: 100, Slots: 1},
		}})
		if err != nil {
			t.Fatal(err)
		}
		retry(t, "submit", func() error { return c.expectOK(http.MethodPost, d.http, api.PathJobs, spec) })
		retry(t, "state", func() error { return c.expectOK(http.MethodGet, d.http, api.PathJobs+"/"+string(id), nil) })
	}
	return target
}

// expectOK sends a request and returns an error unless it is answered with status 200.
func (c *testCell) expectOK(method, addr, path string, body []byte) error {
	req, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: %s", method, path, resp.Status)
	}
	return nil
}

// stoppedBodies are crowds that send bodies which stop just short of their end.
func stoppedBodies(length int) []crowdCase {
	const missing = 10
	body := func(d *crowdTarget) []byte { return []byte(d.job + strings.Repeat(" ", length-len(d.job))) }
	return []crowdCase{
		{"at once", 250, func(d *crowdTarget) crowd.Client { return crowd.Body(d.head, body(d), missing, length) }, nil},
		{"piece by piece", 250, func(d *crowdTarget) crowd.Client { return crowd.Body(d.head, body(d), missing, 4<<10) }, nil},
		{"large chunks", 250, func(d *crowdTarget) crowd.Client {
			return crowd.ChunkedBody(d.head, body(d), missing, 64<<10, 64<<10)
		}, nil},
		{"chunks of one byte", 250, func(d *crowdTarget) crowd.Client {
			return crowd.ChunkedBody(d.head, body(d), missing, length-20_000, 1)
		}, nil},
	}
}

// heads are crowds that never end a head.
func heads(addr func(*crowdTarget) string) []crowdCase {
	return []crowdCase{
		{"long lines", 250, func(d *crowdTarget) crowd.Client { return crowd.HeaderLines(d.head, 1<<10, 900<<10) }, addr},
		{"tiny lines", 100, func(d *crowdTarget) crowd.Client { return crowd.HeaderLines(d.head, 0, 300<<10) }, addr},
		{"one line", 250, func(d *crowdTarget) crowd.Client { return crowd.HeaderLine(d.head, 900<<10) }, addr},
	}
}

func tinyHeaderLines(d *crowdTarget) crowd.Client {
	return crowd.HeaderLines(d.head, 0, clientsMaxHeader-16)
}

func emptyLines(*crowdTarget) crowd.Client { return crowd.EmptyLines(1 << 19) }

func silent(*crowdTarget) crowd.Client { return crowd.Silent }

func garbage(*crowdTarget) crowd.Client { return crowd.Garbage(1, 64<<10) }

func callersPort(d *crowdTarget) string   { return d.callers }
func peersPort(d *crowdTarget) string     { return d.peers }
func readinessPort(d *crowdTarget) string { return d.readiness }
func metricsPort(d *crowdTarget) string   { return d.metrics }

// messages are crowds that begin large messages of daemons.
func messages() []crowdCase {
	const large = 4 << 20
	client := func(streams, part int) func(*crowdTarget) crowd.Client {
		return func(*crowdTarget) crowd.Client { return crowd.Messages(streams, large, part) }
	}
	return []crowdCase{
		{"stopped", 8, client(8, large-10), peersPort},
		{"announced", 8, client(100, 1), peersPort},
		{"many streams", 10, func(*crowdTarget) crowd.Client { return crowd.Messages(2000, 1000, 1) }, peersPort},
	}
}

// Guards against a daemon for graph jobs out of memory by jobs of legal size with far more steps, or dependencies of a step, than a job may
// have, whose decoded form is many times as large.
func TestGraphsCrowdOfManySteps(t *testing.T) {
	steps := []byte(`{"payload":"x","steps":[{}` + strings.Repeat(",{}", 86_999) + `]}`)
	after := []byte(`{"payload":"x","steps":[{"count":1},{"count":1,"after":[0` + strings.Repeat(",0", 130_000) + `]}]}`)
	withstand(t, startGraphTargets, manyDescriptors,
		crowdCase{"steps", 60, func(d *crowdTarget) crowd.Client { return crowd.Body(d.head, steps, 0, len(steps)) }, nil},
		crowdCase{"dependencies", 200, func(d *crowdTarget) crowd.Client { return crowd.Body(d.head, after, 0, len(after)) }, nil},
	)
}

// Guards against a daemon for graph jobs out of memory by heads that grow without end.
func TestGraphsCrowdOfEndlessHeads(t *testing.T) {
	withstand(t, startGraphTargets, manyDescriptors, heads(callersPort)...)
}

// Guards against a daemon for graph jobs out of memory by heads within the limit that are never ended and whose many lines take many times
// their bytes.
func TestGraphsCrowdOfTinyHeaderLines(t *testing.T) {
	withstand(t, startGraphTargets, manyDescriptors, crowdCase{"tiny lines", 400, tinyHeaderLines, nil})
}

// Guards against a daemon for graph jobs out of memory by bodies of legal size that stop just short of their end.
func TestGraphsCrowdOfStoppedBodies(t *testing.T) {
	withstand(t, startGraphTargets, manyDescriptors, stoppedBodies(clientsMaxBody)...)
}

// Guards against a daemon for graph jobs that keeps, or reads for ever, the empty lines before a request.
func TestGraphsCrowdOfEmptyLines(t *testing.T) {
	withstand(t, startGraphTargets, manyDescriptors, crowdCase{"empty lines", 250, emptyLines, nil})
}

// Guards against a daemon for graph jobs out of descriptors by connections that send nothing.
func TestGraphsCrowdOfIdleConnections(t *testing.T) {
	withstand(t, startGraphTargets, fewDescriptors,
		crowdCase{"callers", 3 * fewDescriptors / 2, silent, callersPort},
		crowdCase{"peers", 3 * fewDescriptors / 2, silent, peersPort},
		crowdCase{"readiness", 3 * fewDescriptors / 2, silent, readinessPort},
		crowdCase{"metrics", 3 * fewDescriptors / 2, silent, metricsPort},
	)
}

// Guards against a daemon for graph jobs out of memory by heads without end at its listeners for readiness and for metrics.
func TestGraphsCrowdAtReadinessAndMetrics(t *testing.T) {
	readiness, metrics := heads(readinessPort)[0], heads(metricsPort)[0]
	readiness.name, metrics.name = "readiness", "metrics"
	withstand(t, startGraphTargets, manyDescriptors, readiness, metrics)
}

// Guards against a daemon of the cell with shards out of memory by cancellations of legal size with very many tasks.
func TestShardsCrowdOfManyTasks(t *testing.T) {
	body := []byte(`{"tasks":["a/1"` + strings.Repeat(`,"a/1"`, 99_999) + `]}`)
	withstand(t, startShardTargets, manyDescriptors, crowdCase{"whole", 60, func(*crowdTarget) crowd.Client {
		return crowd.Body("POST "+api.PathTasksCancel+" HTTP/1.1\r\nHost: x\r\n", body, 0, len(body))
	}, nil})
}

// Guards against a daemon of the cell with shards out of memory by heads that grow without end.
func TestShardsCrowdOfEndlessHeads(t *testing.T) {
	withstand(t, startShardTargets, manyDescriptors, heads(callersPort)...)
}

// Guards against a daemon of the cell with shards out of memory by heads within the limit that are never ended and whose many lines take
// many times their bytes.
func TestShardsCrowdOfTinyHeaderLines(t *testing.T) {
	withstand(t, startShardTargets, manyDescriptors, crowdCase{"tiny lines", 400, tinyHeaderLines, nil})
}

// Guards against a daemon of the cell with shards out of memory by bodies of legal size that stop just short of their end.
func TestShardsCrowdOfStoppedBodies(t *testing.T) {
	withstand(t, startShardTargets, manyDescriptors, stoppedBodies(clientsMaxBody)...)
}

// Guards against a daemon of the cell with shards that keeps, or reads for ever, the empty lines before a request.
func TestShardsCrowdOfEmptyLines(t *testing.T) {
	withstand(t, startShardTargets, manyDescriptors, crowdCase{"empty lines", 250, emptyLines, nil})
}

// Guards against a daemon of the cell with shards out of descriptors by connections that send nothing.
func TestShardsCrowdOfIdleConnections(t *testing.T) {
	withstand(t, startShardTargets, fewDescriptors,
		crowdCase{"callers", 3 * fewDescriptors / 2, silent, callersPort},
		crowdCase{"peers", 3 * fewDescriptors / 2, silent, peersPort},
	)
}

// Guards against a daemon of the cell with shards out of memory by large messages of other daemons that stop just short of their end, or are
// only announced, and by very many of them.
func TestShardsCrowdOfPeerMessages(t *testing.T) {
	withstand(t, startShardTargets, manyDescriptors, messages()...)
}

// Guards against a daemon that ends by connections to the port between daemons that aren't other daemons'.
func TestCrowdOfStrangersAtThePeerPort(t *testing.T) {
	withstand(t, startGraphTargets, manyDescriptors, crowdCase{"graphs", 200, garbage, peersPort})
	withstand(t, startShardTargets, manyDescriptors, crowdCase{"shards", 200, garbage, peersPort})
}

// Guards against limits that refuse a single request that keeps to them.
func TestSingleRequestAtTheLimits(t *testing.T) {
	const rest = 250 // the request line and the other header lines
	for name, startTargets := range map[string]startTargets{"graphs": startGraphTargets, "shards": startShardTargets} {
		t.Run(name, func(t *testing.T) {
			setLimits(t, fewDescriptors)
			target := startTargets(t, 1)[0]
			target.ordinary(t)
			method, path, _ := strings.Cut(strings.TrimSuffix(strings.Split(target.head, "\r\n")[0], " HTTP/1.1"), " ")
			body := target.job + strings.Repeat(" ", clientsMaxBody-len(target.job))
			req, err := http.NewRequest(method, "http://"+target.callers+path, strings.NewReader(body))
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set(graphapi.HeaderTimeout, "20s") // a busy machine may need longer than the usual time
			req.Header.Set("Padding", strings.Repeat("v", clientsMaxHeader-rest))
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				t.Errorf("status %s, want 200", resp.Status)
			}
			target.mustRun(t)
		})
	}
}
