package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// daemonPath is the program that the deploy file runs.
	daemonPath = "target/laburnumpointd"
	// memoryMB is the memory of a machine: the platform kills a process that exceeds it.
	memoryMB = 284
	// restartDelay is after what time the platform starts a process again that has ended.
	restartDelay = 500 * time.Millisecond
	memoryCheck  = 20 * time.Millisecond
	graceTime    = 6 * time.Second
)

// daemon is one machine of the system: its process, which is started again whenever it ends.
type daemon struct {
	name                string
	front, ready        string
	settings, logPath   string
	record              *record
	mu                  sync.Mutex
	process             *os.Process
	stopped             bool
	memoryKills, exited int
	peakMB              int
	ended               chan struct{}
}

// ports are those of all machines of the deployment.
type ports struct{ front, ready, control, first int }

// freePorts returns ports that are free at all the addresses.
func freePorts(ips []string) ports {
	free := func(port int) bool {
		for _, ip := range ips {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
		return true
	}
	for first := 20000 + os.Getpid()%1000*10; first < 32000; first += 10 {
		if free(first) && free(first+1) && free(first+2) && free(first+3) && free(first+4) {
			return ports{front: first, ready: first + 1, control: first + 2, first: first + 3}
		}
	}
	fail("no free ports")
	return ports{}
}

// newDaemon writes a machine's settings, those of a small deployment.
func newDaemon(n int, ip string, p ports, storeAddr, dir string, rec *record) *daemon {
	at := func(port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
	d := &daemon{
		name: fmt.Sprintf("front-z1-%d", n), front: at(p.front), ready: at(p.ready), record: rec, ended: make(chan struct{}),
		settings: filepath.Join(dir, fmt.Sprintf("node-%d.json", n)), logPath: filepath.Join(dir, fmt.Sprintf("log-%d.txt", n)),
	}
	settings := map[string]any{
		"node": d.name, "role": "entry", "class": "front", "serves": []string{"front", "control"}, "ip": ip, "zone": "z1", "region": "r1",
		"zones":      map[string]string{"z1": "r1"},
		"listen":     map[string]string{"front": d.front, "ready": d.ready, "control": at(p.control)},
		"port_range": []int{p.first, p.first + 1}, "seeds": []string{}, "bootstrap": true, "fault_counted": false,
		"limits":   map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": memoryMB, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": heartbeat.Milliseconds(),
		"contracts": []string{"base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"},
		"bounds": map[string]any{
			"contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": graceTime.Seconds(), "loss_slack_ms": 200,
			"config_apply_ms": 2000, "downgrade_slack_ms": 250, "recovery_s": 12, "hold_max_ms": holdMax.Milliseconds(), "stop_grace_ms": 400,
			"gang_timeout_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": finishTime.Seconds(), "status_s": 120,
			"remote_factor": 1.5, "checkpoint_s": checkpointTime.Seconds(), "restore_ms": 600, "lease_ms": 3000, "require_fence": true,
		},
		"orders": "rpc", "advice": "",
		"platform": map[string]any{
			"address": storeAddr, "form": "table", "writes_per_s": 600, "reads_per_s": 2000, "tx_ms": 4.0, "part_writes_s": 250,
			"row_bytes": rowBytes, "across": true, "history_s": 20, "blob_bytes": 8388608, "blob_ms": 25.0, "blob_mb_s": 80.0,
		},
	}
	data, err := json.Marshal(settings)
	if err == nil {
		err = os.WriteFile(d.settings, data, 0o644)
	}
	if err != nil {
		fail("settings: %v", err)
	}
	return d
}

// run keeps the machine's process running until stop is called.
func (d *daemon) run() {
	defer close(d.ended)
	for {
		d.mu.Lock()
		if d.stopped {
			d.mu.Unlock()
			return
		}
		log, err := os.OpenFile(d.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			fail("log: %v", err)
		}
		cmd := exec.Command(daemonPath)
		cmd.Env = []string{"LABURNUMPOINT_SETTINGS=" + d.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
		cmd.Stdout, cmd.Stderr = log, log
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := cmd.Start(); err != nil {
			fail("start: %v", err)
		}
		d.process = cmd.Process
		d.mu.Unlock()
		watched := make(chan struct{})
		go d.watchMemory(cmd.Process, watched)
		err = cmd.Wait()
		close(watched)
		_ = log.Close()
		d.mu.Lock()
		stopped := d.stopped
		if !stopped {
			d.exited++
			d.record.line("process of %s ended: %v", d.name, err)
		}
		d.mu.Unlock()
		if stopped {
			return
		}
		time.Sleep(restartDelay)
	}
}

// watchMemory kills the process when it exceeds the machine's memory, as the platform does.
func (d *daemon) watchMemory(process *os.Process, ended <-chan struct{}) {
	ticks := time.NewTicker(memoryCheck)
	defer ticks.Stop()
	for {
		select {
		case <-ended:
			return
		case <-ticks.C:
		}
		mb := residentMB(process.Pid)
		d.mu.Lock()
		d.peakMB = max(d.peakMB, mb)
		d.mu.Unlock()
		if mb > memoryMB {
			d.mu.Lock()
			d.memoryKills++
			d.mu.Unlock()
			d.record.line("%s uses %d MB of %d and is killed", d.name, mb, memoryMB)
			_ = process.Kill()
			return
		}
	}
}

// residentMB returns the memory that a process has resident.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process != nil {
		_ = d.process.Signal(s)
	}
}

// stop ends the process for good.
func (d *daemon) stop() {
	d.mu.Lock()
	d.stopped = true
	d.mu.Unlock()
	d.signal(syscall.SIGKILL)
	<-d.ended
}

func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + d.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}
