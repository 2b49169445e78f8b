package httpplatform

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"laburnumpoint/internal/cell"
)

// lastList is the VM list as last read, with the digest of its body as the entity tag.
type lastList struct {
	mu      sync.Mutex
	tag     string
	workers []cell.Worker
}

func (l *lastList) get() (string, []cell.Worker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tag, l.workers
}

func (l *lastList) set(tag string, workers []cell.Worker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tag, l.workers = tag, workers
}

// Workers implements platform.VMList by a conditional GET, so that a list that has not changed is not sent again.
// The returned slice must not be changed.
func (p *Platform) Workers(ctx context.Context) ([]cell.Worker, error) {
	workers, err := p.listWorkers(ctx)
	countCall("vm_list", resultLabel(err))
	return workers, err
}

func (p *Platform) listWorkers(ctx context.Context) ([]cell.Worker, error) {
	req, err := newRequest(ctx, http.MethodGet, p.endpoint.base+PathWorkers, nil)
	if err != nil {
		return nil, unavailable(err)
	}
	tag, last := p.vms.get()
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	status, body, _, err := p.roundTrip(req)
	switch {
	case err != nil:
		return nil, unavailable(err)
	case status == http.StatusNotModified && tag != "":
		return last, nil
	case status != http.StatusOK:
		return nil, unavailable(fmt.Errorf("status %d", status))
	}
	var list WorkerList
	if err := decode(body, &list); err != nil {
		return nil, unavailable(err)
	}
	p.vms.set(ETag(body), list.Workers)
	return list.Workers, nil
}

// ETag returns the entity tag of a body.
func ETag(body []byte) string {
	return `"` + Digest(body) + `"`
}
