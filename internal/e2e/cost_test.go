package e2e

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/standin/httpserver"
)

// The measurement of what control costs is run by command only and bounds nothing:
//
//	go test ./internal/e2e -run TestControlCost -cost 3x48,9x48,9x192 -cost-rate 0 -v
var (
	costSizes  = flag.String("cost", "", "cells to measure: daemons x workers, comma-separated")
	costRate   = flag.Int("cost-rate", 0, "task starts a second during the measurement")
	costClaims = flag.Duration("cost-claims", 5*time.Second, "claim interval during the measurement")
	costShards = flag.Int("cost-shards", 1, "shards of each of the four availability zones")
	costRuns   = flag.Int("cost-running", 0, "tasks of a batch that run throughout the measurement")
	costWindow = flag.Duration("cost-window", 20*time.Second, "length of the measurement")
)

// entryCores is the number of cores that a daemon uses, as on a small entry VM.
const entryCores = "2"

// clockTick is the unit of processor time in the kernel's process statistics.
const clockTick = 10 * time.Millisecond

func TestControlCost(t *testing.T) {
	if *costSizes == "" {
		t.Skip("measurement: give -cost")
	}
	fmt.Println("daemons workers rate running | per daemon: cpu% rssMB peerB/s runnerB/s platformB/s controlB/s requestB/s | table: reads/s writes/s tx/s")
	for _, size := range strings.Split(*costSizes, ",") {
		var daemons, workers int
		if _, err := fmt.Sscanf(size, "%dx%d", &daemons, &workers); err != nil {
			t.Fatalf("%q: %v", size, err)
		}
		t.Run(size, func(t *testing.T) { measureCost(t, daemons, workers) })
	}
}

func measureCost(t *testing.T, daemons, workers int) {
	t.Setenv("GOMAXPROCS", entryCores)
	c := startCellWith(t, cellOptions{daemons: daemons, workers: workers, shardsPerZone: *costShards, claims: *costClaims})
	if *costRate > 0 {
		startLoad(t, c)
	}
	if *costRuns > 0 {
		c.submit("long", cell.KindBatch, *costRuns, "callsheet", `{"run_ms":600000}`)
		c.awaitRunning(*costRuns)
	}
	time.Sleep(5 * time.Second)
	before := c.sample(t)
	time.Sleep(*costWindow)
	printCost(daemons, workers, before, c.sample(t))
}

// startLoad sends requests with the command-line tool, a fifth of them non-idempotent.
func startLoad(t *testing.T, c *testCell) {
	t.Helper()
	var servers []string
	for _, d := range c.targets() {
		servers = append(servers, "--server", d.http)
	}
	args := append(servers, "load", "--rate", strconv.Itoa(*costRate), "--duration", (*costWindow + 10*time.Second).String(),
		"--mix", "normal:sheets:callsheet=4", "--mix", "urgent:sheets:callsheet=1", "--non-idempotent-share", "0.2",
		"--keyed-share", "0.2", "--run-min", "5ms", "--run-max", "30ms", "--max-in-flight", "4000")
	out := filepath.Join(t.TempDir(), "load.out")
	f, err := os.Create(out)
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(binDir, "laburnumpoint"), args...)
	cmd.Stdout, cmd.Stderr = f, f
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Wait()
		data, _ := os.ReadFile(out)
		fmt.Printf("%s\n", data)
	})
}

// costSample is what had been spent at one moment, summed over the daemons.
type costSample struct {
	at       time.Time
	cpu      time.Duration
	rss      uint64
	peer     float64
	forward  float64
	runner   float64
	work     float64
	platform float64
	table    httpserver.PlatformCounts
}

func (c *testCell) sample(t *testing.T) costSample {
	t.Helper()
	s := costSample{at: time.Now()}
	for _, d := range c.targets() {
		s.cpu += cpuTime(t, d.cmd.Process.Pid)
		s.rss += residentBytes(t, d.cmd.Process.Pid)
		for name, v := range c.metrics(t, d) {
			s.addBytes(name, v)
		}
	}
	if !c.get(c.platform, "/control/counts", &s.table) {
		t.Fatal("no counts")
	}
	return s
}

// addBytes sorts a byte counter by what it was spent on.
func (s *costSample) addBytes(name string, v float64) {
	switch {
	case strings.HasPrefix(name, "laburnumpoint_peer_") && strings.Contains(name, "_bytes_total"):
		if strings.Contains(name, `traffic="control"`) {
			s.peer += v
		} else {
			s.forward += v
		}
	case strings.HasPrefix(name, "laburnumpoint_platform_bytes_total"):
		switch {
		case strings.Contains(name, `service="runner_control"`):
			s.runner += v
		case strings.Contains(name, `service="runner_work"`):
			s.work += v
		default:
			s.platform += v
		}
	}
}

func (c *testCell) metrics(t *testing.T, d *daemon) map[string]float64 {
	t.Helper()
	resp, err := c.client.Get("http://" + d.http + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Fatal(resp.Status)
	}
	out := make(map[string]float64)
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, value, ok := cutLast(lines.Text(), ' ')
		if v, err := strconv.ParseFloat(value, 64); ok && err == nil {
			out[name] = v
		}
	}
	return out
}

func cutLast(s string, sep byte) (string, string, bool) {
	i := strings.LastIndexByte(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+1:], true
}

// cpuTime returns the processor time that a process has used.
func cpuTime(t *testing.T, pid int) time.Duration {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * clockTick
}

func residentBytes(t *testing.T, pid int) uint64 {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		t.Fatal(err)
	}
	pages, _ := strconv.ParseUint(strings.Fields(string(data))[1], 10, 64)
	return pages * uint64(os.Getpagesize())
}

func printCost(daemons, workers int, a, b costSample) {
	seconds := b.at.Sub(a.at).Seconds()
	n := float64(daemons)
	rate := func(x, y float64) float64 { return (y - x) / seconds / n }
	peer, runner, platform := rate(a.peer, b.peer), rate(a.runner, b.runner), rate(a.platform, b.platform)
	fmt.Printf("%7d %7d %4d %7d | %5.2f %6.1f %7.0f %7.0f %7.0f %7.0f %8.0f | %6.1f %6.1f %6.1f\n",
		daemons, workers, *costRate, *costRuns,
		100*(b.cpu-a.cpu).Seconds()/seconds/n, float64(b.rss)/n/1e6,
		peer, runner, platform, peer+runner+platform, rate(a.forward+a.work, b.forward+b.work),
		float64(b.table.Table.Reads-a.table.Table.Reads)/seconds,
		float64(b.table.Table.Writes-a.table.Table.Writes)/seconds,
		float64(b.table.Table.Transactions-a.table.Table.Transactions)/seconds)
	for prefix, after := range b.table.TableByPrefix {
		before := a.table.TableByPrefix[prefix]
		fmt.Printf("    %-8s reads/s %6.2f writes/s %6.2f\n", prefix,
			float64(after.Reads-before.Reads)/seconds, float64(after.Writes-before.Writes)/seconds)
	}
}
