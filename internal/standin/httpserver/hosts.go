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

// Times of the check whether hosts have ended.
const (
	hostProbeInterval = 250 * time.Millisecond
	hostProbeTimeout  = time.Second
)

// hostRegistry records which process runs which workers, and keeps the VM list up to date. A worker has ended if its
// process no longer reports it or has ended itself. A frozen process still accepts connections, so its workers stay
// listed.
type hostRegistry struct {
	vmList *standin.VMList

	mu    sync.Mutex
	hosts map[string]httpplatform.HostRegistration // by incarnation
}

func newHostRegistry(list *standin.VMList) *hostRegistry {
	return &hostRegistry{vmList: list, hosts: make(map[string]httpplatform.HostRegistration)}
}

// register records the workers that a process reports. Workers that it no longer reports have ended, and so have those
// of an earlier process at the same address.
func (r *hostRegistry) register(host httpplatform.HostRegistration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for incarnation, other := range r.hosts {
		if incarnation != host.Incarnation && other.Addr == host.Addr {
			r.removeLocked(other)
		}
	}
	reported := make(map[cell.WorkerID]bool)
	for _, w := range host.Workers {
		reported[w.ID] = true
		r.vmList.Set(w)
	}
	for _, w := range r.hosts[host.Incarnation].Workers {
		if !reported[w.ID] {
			r.vmList.Remove(w.ID)
		}
	}
	r.hosts[host.Incarnation] = host
}

func (r *hostRegistry) removeLocked(host httpplatform.HostRegistration) {
	for _, w := range host.Workers {
		r.vmList.Remove(w.ID)
	}
	delete(r.hosts, host.Incarnation)
}

// removeEndedHosts probes all hosts at intervals until ctx ends, and removes those that have ended with their workers.
func (r *hostRegistry) removeEndedHosts(ctx context.Context) {
	ticker := time.NewTicker(hostProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.probeAll(ctx)
		}
	}
}

func (r *hostRegistry) probeAll(ctx context.Context) {
	for _, host := range r.snapshot() {
		if refusesConnections(ctx, host.Addr) {
			r.mu.Lock()
			r.removeLocked(host)
			r.mu.Unlock()
		}
	}
}

func (r *hostRegistry) snapshot() []httpplatform.HostRegistration {
	r.mu.Lock()
	defer r.mu.Unlock()
	hosts := make([]httpplatform.HostRegistration, 0, len(r.hosts))
	for _, h := range r.hosts {
		hosts = append(hosts, h)
	}
	return hosts
}

// refusesConnections reports whether nothing listens at addr any more. A timeout doesn't prove this.
func refusesConnections(ctx context.Context, addr string) bool {
	dialer := net.Dialer{Timeout: hostProbeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
