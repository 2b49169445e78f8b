// Package e2e runs the daemon, the stand-ins and callers as separate processes, brings about failures and checks the
// recorded history of each run.
package e2e

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// binDir holds the programs under test, built once.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "laburnumpoint-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "laburnumpoint/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is one program under test.
type process struct {
	name string
	cmd  *exec.Cmd
	out  *lockedBuffer
	done chan struct{}
	err  error
}

// lockedBuffer collects a process's output.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// String returns all that was written.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func (b *lockedBuffer) tail(n int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.buf.Bytes()
	if len(s) > n {
		s = s[len(s)-n:]
	}
	return string(s)
}

func start(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{name: name, cmd: exec.Command(filepath.Join(binDir, name), args...), out: &lockedBuffer{}, done: make(chan struct{})}
	p.cmd.Stdout = p.out
	p.cmd.Stderr = p.out
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.done
		p.mustBeSound(t)
	})
	return p
}

// mustBeSound fails the test if the process broke an invariant, or raced in a build with the race detector.
func (p *process) mustBeSound(t *testing.T) {
	t.Helper()
	out := p.out.String()
	for _, sign := range []string{"panic: ", "fatal error: ", "DATA RACE"} {
		if i := strings.Index(out, sign); i >= 0 {
			t.Errorf("%s:\n%s", p.name, out[i:min(len(out), i+3000)])
		}
	}
}

// mustRun ends the test if the process has ended.
func (p *process) mustRun(t *testing.T) {
	t.Helper()
	select {
	case <-p.done:
		t.Fatalf("%s ended: %v\n%s", p.name, p.err, p.out.tail(4000))
	default:
	}
}

func (p *process) signal(s syscall.Signal) {
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		panic(fmt.Sprintf("signal %s to %s: %v", s, p.name, err))
	}
}

// stop asks for a planned stop and fails the test if the process does not end by itself with status 0.
func (p *process) stop(t *testing.T) {
	t.Helper()
	p.signal(syscall.SIGTERM)
	<-p.done
	if p.err != nil {
		t.Errorf("%s after SIGTERM: %v\n%s", p.name, p.err, p.out.tail(2000))
	}
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// address returns what the process logged under key once it listened. Every process takes a free port itself: one that
// was free a moment before may be in use by then.
func (p *process) address(t *testing.T, key string) string {
	t.Helper()
	pattern := regexp.MustCompile(`"` + key + `":"([0-9.:]+)"`)
	for {
		if m := pattern.FindStringSubmatch(p.out.String()); m != nil {
			return m[1]
		}
		p.mustRun(t)
		time.Sleep(10 * time.Millisecond)
	}
}
