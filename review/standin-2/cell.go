package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	queueHost   = "sheets.example"
	queuePrefix = "/revision/"
	// attempts is how many failed runs of a task the queue allows.
	attempts = 2
	// jobID is the id of the job that a case is about.
	jobID = "5c0e7a21d94b36f8"
	// callerDeadline is how long clients wait for an answer.
	callerDeadline = 3 * time.Second
)

// kinds are the kinds of the runners, in turn.
var kinds = []string{"b", "a", "a", "a"}

// cell is a small deployment: a store, runners and daemons, each runner and daemon a process of its own on a loopback address.
type cell struct {
	begun    time.Time
	folder   string
	daemon   string
	store    *store
	control  string
	daemons  []*daemon
	runners  []*runnerProcess
	lives    int
	recorded *os.File

	mu sync.Mutex
	// events are what the runners did.
	events []event
}

type daemon struct {
	name, front, ready string
	// settings is the path of its settings file.
	settings string
	cmd      *exec.Cmd
}

// runnerProcess is a runner's machine; it has one life after the other at the same address.
type runnerProcess struct {
	// address is the one at which it listens, public the one at which the daemons reach it.
	address, public, kind, rack, id string
	// link is the way from the daemons to it, nil if it is direct.
	link  *link
	cmd   *exec.Cmd
	stdin io.WriteCloser
}

// newCell starts a cell and waits until its daemons are ready. With links the daemons reach each runner by a proxy.
func newCell(program, folder string, daemons, runners int, links bool) (*cell, error) {
	recorded, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	c := &cell{begun: time.Now(), folder: temporary, daemon: program, store: newStore(), recorded: recorded}
	go c.store.removeSilent()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return c, err
	}
	c.control = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("/heartbeat", c.heartbeat)
	mux.Handle("/", c.store)
	go func() { _ = http.Serve(listener, mux) }() // it ends with the process
	c.store.put("op", "config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "revision", "host": queueHost, "path_prefix": queuePrefix, "service": "sheets", "priority": 0, "attempts": attempts, "stretch": 1.5,
			"target_latency_ms": 250,
		}},
		"services": []any{map[string]any{"name": "sheets", "rejects_overload": false, "standby": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144},
	})
	for i := range runners {
		address, err := freeAddress("127.0.2.1")
		if err != nil {
			return c, err
		}
		r := &runnerProcess{address: address, public: address, kind: kinds[i%len(kinds)], rack: fmt.Sprintf("r-%d", i/4)}
		c.runners = append(c.runners, r)
		if links {
			if r.link, err = newLink(address); err != nil {
				return c, err
			}
			r.public = r.link.listener.Addr().String()
		}
		if err := c.startRunner(r); err != nil {
			return c, err
		}
	}
	for i := range daemons {
		if err := c.startDaemon(i); err != nil {
			return c, err
		}
	}
	return c, c.awaitReady()
}

// endsWithParent lets a process end with this one, also if this one is killed.
func endsWithParent() *syscall.SysProcAttr { return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} }

// heartbeat takes a runner's entry.
func (c *cell) heartbeat(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ID    string
		Entry map[string]any
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.store.put("servers", body.ID, body.Entry)
}

// freeAddress returns an address with a port that is free now.
func freeAddress(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// freePair returns the first of two ports that follow each other and are free now.
func freePair(ip string) (int, error) {
	for range 50 {
		first, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return 0, err
		}
		port := first.Addr().(*net.TCPAddr).Port
		second, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port+1))
		first.Close()
		if err == nil {
			second.Close()
			return port, nil
		}
	}
	return 0, errors.New("no two free ports")
}

// record adds a line to record.txt.
func (c *cell) record(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.recorded, "%8.3f s  %s\n", time.Since(c.begun).Seconds(), fmt.Sprintf(format, args...))
}

// startRunner begins a new life of a runner, under a new id.
func (c *cell) startRunner(r *runnerProcess) error {
	c.lives++
	r.id = fmt.Sprintf("i-%04d", c.lives)
	return c.startProcess(r)
}

// startProcess starts a process of a runner under the id that it has.
func (c *cell) startProcess(r *runnerProcess) error {
	r.cmd = exec.Command(os.Args[0], "runner", r.id, r.public, r.address, c.control, r.kind, r.rack)
	stdin, err := r.cmd.StdinPipe()
	if err != nil {
		return err
	}
	r.stdin = stdin
	stdout, err := r.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	r.cmd.SysProcAttr = endsWithParent()
	c.record("runner %s starts at %s", r.id, r.address)
	if err := r.cmd.Start(); err != nil {
		return err
	}
	go c.follow(stdout)
	return nil
}

// follow takes a runner's events.
func (c *cell) follow(out io.Reader) {
	for lines := bufio.NewScanner(out); lines.Scan(); {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			continue
		}
		c.record("runner %s: %s run %d %s %s", e.Runner, e.Task, e.Run, e.What, e.How)
		e.at = time.Now()
		c.mu.Lock()
		c.events = append(c.events, e)
		c.mu.Unlock()
	}
}

// kill kills a runner's process.
func (c *cell) kill(r *runnerProcess) {
	c.record("runner %s crashes (SIGKILL)", r.id)
	_ = r.cmd.Process.Kill() // it may have ended
	_ = r.cmd.Wait()         // it was killed
	r.stdin.Close()
}

// startDaemon starts the i-th daemon with settings like those of a small deployment.
func (c *cell) startDaemon(i int) error {
	ip := fmt.Sprintf("127.0.1.%d", i+1)
	ports, err := freePair(ip)
	if err != nil {
		return err
	}
	front, err := freeAddress(ip)
	if err != nil {
		return err
	}
	ready, err := freeAddress(ip)
	if err != nil {
		return err
	}
	control, err := freeAddress(ip)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("front-north-%d", i+1)
	data, err := json.Marshal(map[string]any{
		"node": name, "role": "entry", "class": "front", "serves": []string{"front", "control"}, "ip": ip, "zone": "north", "region": "r",
		"zones": map[string]string{"north": "r"}, "listen": map[string]string{"front": front, "ready": ready, "control": control},
		"port_range": []int{ports, ports + 15}, "seeds": []string{}, "bootstrap": true, "fault_counted": false,
		"limits":   map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": heartbeat.Milliseconds(),
		"contracts":       []string{"base", "drain", "config", "cost", "recover", "sched", "platform"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200,
			"config_apply_ms": 2000, "downgrade_slack_ms": 250, "max_stretch_ms": 5000, "recovery_s": 12, "hold_max_ms": maxLease.Milliseconds(),
			"stop_grace_ms": stopGrace.Milliseconds(), "gang_timeout_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
			"status_s": 120, "remote_factor": 1.5, "checkpoint_s": 2, "restore_ms": 600,
		},
		"orders": "rpc",
		"platform": map[string]any{
			"address": c.control, "form": "table", "writes_per_s": 600, "reads_per_s": 2000, "tx_ms": 4.0, "part_writes_s": 250, "row_bytes": 65536,
			"across": true, "history_s": 20, "blob_bytes": 8388608, "blob_ms": 25.0, "blob_mb_s": 80.0,
		},
	})
	if err != nil {
		return err
	}
	path := filepath.Join(c.folder, name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	d := &daemon{name: name, front: front, ready: ready, settings: path}
	c.daemons = append(c.daemons, d)
	return c.startDaemonProcess(d)
}

// startDaemonProcess starts a process of a daemon, with the daemon's settings.
func (c *cell) startDaemonProcess(d *daemon) error {
	log, err := os.OpenFile(filepath.Join(c.folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(c.daemon)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LABURNUMPOINT_SETTINGS=" + d.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = endsWithParent()
	c.record("daemon %s starts, for clients at %s", d.name, d.front)
	if err := cmd.Start(); err != nil {
		return err
	}
	d.cmd = cmd
	return nil
}

// stopDaemon stops a daemon's process in an orderly way and waits for its end.
func (c *cell) stopDaemon(d *daemon) {
	c.record("daemon %s gets SIGTERM", d.name)
	_ = d.cmd.Process.Signal(syscall.SIGTERM) // it may have ended
	_ = d.cmd.Wait()                          // its status doesn't matter
	c.record("daemon %s has ended", d.name)
}

// awaitReady waits until all daemons are ready and a little longer, for the owner to know the runners.
func (c *cell) awaitReady() error {
	for _, d := range c.daemons {
		ready := await(20*time.Second, func() bool {
			resp, err := http.Get("http://" + d.ready + "/api/ready")
			if err != nil {
				return false
			}
			resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		})
		if !ready {
			return errors.New("a daemon is not ready after 20 s")
		}
	}
	time.Sleep(3 * time.Second)
	return nil
}

// await waits until a condition holds, for the given time at most, and reports whether it does.
func await(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

// close ends all processes and removes the temporary folder.
func (c *cell) close() {
	for _, d := range c.daemons {
		if d.cmd != nil {
			_ = d.cmd.Process.Kill() // it may have ended
			_ = d.cmd.Wait()         // it was killed
		}
	}
	for _, r := range c.runners {
		if r.cmd != nil && r.cmd.Process != nil {
			_ = r.cmd.Process.Kill()
			_ = r.cmd.Wait()
		}
	}
	os.RemoveAll(c.folder)
	c.recorded.Close()
}

// call sends a client's call to a daemon and returns the answer's status and body; status 0 means no answer.
func (c *cell) call(d *daemon, method, path string, body any) (status int, answer string) {
	return c.callUntil(d, method, path, body, time.Now().Add(callerDeadline))
}

// callUntil is call for a client that leaves at the given time if it has no answer.
func (c *cell) callUntil(d *daemon, method, path string, body any, leave time.Time) (status int, answer string) {
	data := []byte{}
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			panic(err)
		}
	}
	req, err := http.NewRequest(method, "http://"+d.front+path, bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	req.Host = queueHost
	req.Header.Set("Deadline-Ms", strconv.FormatInt(callerDeadline.Milliseconds(), 10))
	req.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: min(time.Until(leave), callerDeadline)}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(bytes.TrimSpace(text))
}

// eventsOf returns the events of a job's tasks.
func (c *cell) eventsOf(job string) []event {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []event
	for _, e := range c.events {
		if len(e.Task) > len(job) && e.Task[:len(job)] == job {
			found = append(found, e)
		}
	}
	return found
}
