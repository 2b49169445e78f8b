package httpserver

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/httpplatform"
	"laburnumpoint/internal/standin"
)

// Times of the check for ended hosts.
const (
	hostProbeInterval = 250 * time.Millisecond
	hostProbeTimeout  = time.Second
)

// hostTable knows which process runs which workers. A worker has ended when its process says so or has ended itself;
// a process that is only paused still accepts connections, so its workers stay listed.
type hostTable struct {
	list *standin.VMList

	mu    sync.Mutex
	hosts map[string]httpplatform.HostRegistration // by run
}

func newHostTable(list *standin.VMList) *hostTable {
	return &hostTable{list: list, hosts: make(map[string]httpplatform.HostRegistration)}
}

// register takes in what a process says of its workers. Workers that it no longer names have ended, and so have those
// of another process that had the same address.
func (t *hostTable) register(host httpplatform.HostRegistration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for run, other := range t.hosts {
		if run != host.Incarnation && other.Addr == host.Addr {
			t.removeLocked(other)
		}
	}
	named := make(map[cell.WorkerID]bool)
	for _, w := range host.Workers {
		named[w.ID] = true
		t.list.Set(w)
	}
	for _, w := range t.hosts[host.Incarnation].Workers {
		if !named[w.ID] {
			t.list.Remove(w.ID)
		}
	}
	t.hosts[host.Incarnation] = host
}

func (t *hostTable) removeLocked(host httpplatform.HostRegistration) {
	for _, w := range host.Workers {
		t.list.Remove(w.ID)
	}
	delete(t.hosts, host.Incarnation)
}

// watch removes the workers of processes that have ended, until ctx ends.
func (t *hostTable) watch(ctx context.Context) {
	ticker := time.NewTicker(hostProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			t.probeAll(ctx)
		}
	}
}

func (t *hostTable) probeAll(ctx context.Context) {
	for _, host := range t.all() {
		if hasEnded(ctx, host.Addr) {
			t.mu.Lock()
			t.removeLocked(host)
			t.mu.Unlock()
		}
	}
}

func (t *hostTable) all() []httpplatform.HostRegistration {
	t.mu.Lock()
	defer t.mu.Unlock()
	hosts := make([]httpplatform.HostRegistration, 0, len(t.hosts))
	for _, h := range t.hosts {
		hosts = append(hosts, h)
	}
	return hosts
}

// hasEnded reports whether nothing listens at addr any more. No answer at all is no proof of that.
func hasEnded(ctx context.Context, addr string) bool {
	dialer := net.Dialer{Timeout: hostProbeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
