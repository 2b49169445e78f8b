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

// workerListCache holds the VM list as last read and its entity tag.
type workerListCache struct {
	mu      sync.Mutex
	etag    string
	workers []cell.Worker
}

func (l *workerListCache) get() (string, []cell.Worker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.etag, l.workers
}

func (l *workerListCache) set(etag string, workers []cell.Worker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.etag, l.workers = etag, workers
}

// Workers implements platformapi.VMList. It sends a conditional GET, so that an unchanged list is not transferred
// again. The caller must not change the returned slice.
func (p *PlatformClient) Workers(ctx context.Context) ([]cell.Worker, error) {
	workers, err := p.listWorkers(ctx)
	countCall("vm_list", resultLabel(err))
	return workers, err
}

func (p *PlatformClient) listWorkers(ctx context.Context) ([]cell.Worker, error) {
	req, err := newRequest(ctx, http.MethodGet, p.endpoint.baseURL+PathWorkers, nil)
	if err != nil {
		return nil, unavailable(err)
	}
	req.Header.Set("Accept-Encoding", "gzip")
	etag, cached := p.workerList.get()
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	status, body, _, err := p.roundTrip(req)
	switch {
	case err != nil:
		return nil, unavailable(err)
	case status == http.StatusNotModified && etag != "":
		return cached, nil
	case status != http.StatusOK:
		return nil, unavailable(fmt.Errorf("answer to a query for the VM list has status %d", status))
	}
	body, err = decompress(body, p.options.MaxBytes)
	if err != nil {
		return nil, unavailable(err)
	}
	var list WorkerList
	if err := decodeJSON(body, &list); err != nil {
		return nil, unavailable(err)
	}
	p.workerList.set(ETag(body), list.Workers)
	return list.Workers, nil
}

// gzipMagic is the prefix of every gzip stream. No JSON text starts with it.
var gzipMagic = []byte{0x1f, 0x8b}

// decompress returns the decompressed body, or body itself if it is not compressed. It is an error if the decompressed
// body is longer than limit bytes.
func decompress(body []byte, limit int64) ([]byte, error) {
	if !bytes.HasPrefix(body, gzipMagic) {
		return body, nil
	}
	z, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	out, err := io.ReadAll(io.LimitReader(z, limit+1))
	if err == nil && int64(len(out)) > limit {
		err = errAnswerTooLong
	}
	return out, err
}

// ETag returns the entity tag of an uncompressed body.
func ETag(body []byte) string {
	return `"` + Digest(body) + `"`
}
