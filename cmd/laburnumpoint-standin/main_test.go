package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/history"
	"laburnumpoint/internal/httpplatform"
	"laburnumpoint/internal/platformapi"
	"laburnumpoint/internal/standin"
)

// runMainVar is the environment variable that makes the test binary run the program instead of the tests.
const runMainVar = "LABURNUMPOINT_STANDIN_TEST_RUN_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMainVar) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// standinProcess is a running process of laburnumpoint-standin.
type standinProcess struct {
	t    *testing.T
	cmd  *exec.Cmd
	addr string
	done chan error
}

// launch starts the program and waits for the log line with its address.
func launch(t *testing.T, env []string, args ...string) *standinProcess {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(append(os.Environ(), runMainVar+"=1"), env...)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p := &standinProcess{t: t, cmd: cmd, done: make(chan error, 1)}
	lines := bufio.NewScanner(stderr)
	for p.addr == "" && lines.Scan() {
		var line struct{ Addr string }
		_ = json.Unmarshal(lines.Bytes(), &line)
		p.addr = line.Addr
	}
	go func() {
		for lines.Scan() {
		}
		p.done <- cmd.Wait()
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
	})
	return p
}

func (p *standinProcess) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// waitForWorkers polls the VM list until accept returns true, and returns the list. Only the test's timeout ends it.
func waitForWorkers(t *testing.T, client *httpplatform.PlatformClient, accept func([]cell.Worker) bool) []cell.Worker {
	t.Helper()
	for {
		workers, err := client.Workers(t.Context())
		if err == nil && accept(workers) {
			return workers
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func haveCount(n int) func([]cell.Worker) bool {
	return func(workers []cell.Worker) bool { return len(workers) == n }
}

func TestRunnersAsSeparateProcess(t *testing.T) {
	historyPath := filepath.Join(t.TempDir(), "history")
	platformProcess := launch(t, nil, "platform")
	client := httpplatform.NewPlatformClient(httpplatform.PlatformOptions{Addr: platformProcess.addr})
	defer client.Close()
	launch(t, nil, "runners", "--platform", platformProcess.addr, "--shape", "galwad", "--workers", "2", "--id-prefix", "galwad-")
	rimacProcess := launch(t, []string{"LABURNUMPOINT_STANDIN_SHAPE=rimac", "LABURNUMPOINT_STANDIN_HISTORY=" + historyPath},
		"runners", "--platform", platformProcess.addr, "--workers", "2", "--id-prefix", "rimac-")
	workers := waitForWorkers(t, client, haveCount(4))
	w := workers[2]
	if w.ID != "rimac-exchange-1" || w.Zone != "barranco" || w.Capacity.MilliCPU != 32_000 || w.Capacity.Slots != 8 {
		t.Fatalf("worker = %+v", w)
	}
	runners := httpplatform.NewRunnerClient(httpplatform.RunnerOptions{})
	defer runners.Close()
	startService(t, runners, w)

	rimacProcess.signal(syscall.SIGSTOP)
	for range 2 * 4 { // longer than the platform takes to notice that a process has ended
		time.Sleep(250 * time.Millisecond)
		if workers, err := client.Workers(t.Context()); err != nil || len(workers) != 4 {
			t.Fatalf("paused workers are listed as ended: %v, %v", workers, err)
		}
	}
	rimacProcess.signal(syscall.SIGKILL)
	waitForWorkers(t, client, haveCount(2))
	if entries := readHistory(t, historyPath); len(entries) != 3 || entries[2].Kind != history.KindLeaseStart {
		t.Errorf("history of a killed process: %+v, want 3 entries, the last one a lease start", entries)
	}
}

// startService claims the worker and starts a task on it that doesn't end by itself.
func startService(t *testing.T, runners *httpplatform.RunnerClient, w cell.Worker) {
	t.Helper()
	initialReport, err := runners.Claim(t.Context(), w, platformapi.WorkerClaim{Epoch: 1})
	if err != nil {
		t.Fatal(err)
	}
	if report, err := runners.Claim(t.Context(), w, platformapi.WorkerClaim{Epoch: 1, BootID: initialReport.BootID, TTL: time.Hour}); err != nil || !report.Claimed {
		t.Fatalf("claim: %+v, %v", report, err)
	}
	a := cell.Attempt{Task: "t", Epoch: 1, Number: 1}
	reply := runners.Start(t.Context(), w, initialReport.BootID, a, cell.Task{ID: "t", Kind: cell.KindService}, time.Hour)
	if reply.Result != platformapi.StartAccepted {
		t.Fatalf("start: %+v", reply)
	}
}

func readHistory(t *testing.T, path string) []history.Entry {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	entries, err := history.Decode(file)
	if err != nil {
		t.Fatal(err)
	}
	return entries
}

func TestSIGTERMLetsTasksEnd(t *testing.T) {
	platformProcess := launch(t, nil, "platform")
	client := httpplatform.NewPlatformClient(httpplatform.PlatformOptions{Addr: platformProcess.addr})
	defer client.Close()
	runnersProcess := launch(t, nil, "runners", "--platform", platformProcess.addr, "--workers", "2", "--grace", "1m")
	w := waitForWorkers(t, client, haveCount(2))[0]
	runners := httpplatform.NewRunnerClient(httpplatform.RunnerOptions{})
	defer runners.Close()
	initialReport, err := runners.Claim(t.Context(), w, platformapi.WorkerClaim{Epoch: 1})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := runners.Claim(t.Context(), w, platformapi.WorkerClaim{Epoch: 1, BootID: initialReport.BootID, TTL: time.Hour}); err != nil {
		t.Fatal(err)
	}
	reply := make(chan platformapi.StartReply)
	go func() {
		task := cell.Task{ID: "t", Kind: cell.KindRequest, Payload: standin.Payload{RunMS: 1000}.Encode()}
		reply <- runners.Start(context.Background(), w, initialReport.BootID, cell.Attempt{Task: "t", Epoch: 1, Number: 1}, task, time.Hour)
	}()
	for running := 0; running == 0; {
		report, err := runners.Claim(t.Context(), w, platformapi.WorkerClaim{Epoch: 1, BootID: initialReport.BootID, TTL: time.Hour})
		if err != nil {
			t.Fatal(err)
		}
		running = len(report.Leases)
	}
	runnersProcess.signal(syscall.SIGTERM)
	waitForWorkers(t, client, func(workers []cell.Worker) bool { return workers[0].State == cell.WorkerLeaving })
	if r := <-reply; r.Result != platformapi.StartFinished || r.Failed {
		t.Errorf("task in flight: %+v", r)
	}
	if err := <-runnersProcess.done; err != nil {
		t.Errorf("exit after SIGTERM: %v", err)
	}
	waitForWorkers(t, client, haveCount(0))
}

func TestMistakenSettingsAreNamed(t *testing.T) {
	cmd := exec.Command(os.Args[0], "runners", "--platform", "localhost:1", "--shape", "none", "--workers", "-1", "--grace", "-1s")
	cmd.Env = append(os.Environ(), runMainVar+"=1")
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != 1 {
		t.Fatalf("exit = %v", err)
	}
	lines := strings.Split(strings.TrimSpace(string(out)), "\n")
	if len(lines) != 4 {
		t.Fatalf("%d lines for 4 invalid flags:\n%s", len(lines), out)
	}
	for _, name := range []string{"--platform", "--shape", "--workers", "--grace"} {
		if !strings.Contains(string(out), name) {
			t.Errorf("invalid %s is not reported in:\n%s", name, out)
		}
	}
}
