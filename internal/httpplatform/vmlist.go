package httpplatform

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"io"
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
func (p *PlatformClient) Workers(ctx context.Context) ([]cell.Worker, error) {
	workers, err := p.listWorkers(ctx)
	countCall("vm_list", resultLabel(err))
	return workers, err
}

func (p *PlatformClient) listWorkers(ctx context.Context) ([]cell.Worker, error) {
	req, err := newRequest(ctx, http.MethodGet, p.endpoint.base+PathWorkers, nil)
	if err != nil {
		return nil, unavailable(err)
	}
	req.Header.Set("Accept-Encoding", "gzip")
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
	body, err = inflate(body, p.options.MaxBytes)
	if err != nil {
		return nil, unavailable(err)
	}
	var list WorkerList
	if err := decode(body, &list); err != nil {
		return nil, unavailable(err)
	}
	p.vms.set(ETag(body), list.Workers)
	return list.Workers, nil
}

// gzipMagic starts every gzip stream and no JSON text.
var gzipMagic = []byte{0x1f, 0x8b}

// inflate returns the decompressed body of at most limit bytes, or the body itself if it is not compressed.
func inflate(body []byte, limit int64) ([]byte, error) {
	if !bytes.HasPrefix(body, gzipMagic) {
		return body, nil
	}
	z, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	out, err := io.ReadAll(io.LimitReader(z, limit+1))
	if err == nil && int64(len(out)) > limit {
		err = errTooLong
	}
	return out, err
}

// ETag returns the entity tag of a body before it is compressed.
func ETag(body []byte) string {
	return `"` + Digest(body) + `"`
}
