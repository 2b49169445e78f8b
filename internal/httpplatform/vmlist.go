package httpplatform

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/rawjson"
)

// workerListCache holds the VM list as last read and its entity tag.
type workerListCache struct {
	mu      sync.Mutex
	etag    string
	workers []cell.Worker
	// invalid holds the invalid entries of the last list.
	invalid map[string]error
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
	list, err := rawjson.Fields(body)
	if err != nil {
		return nil, unavailable(err)
	}
	entries, err := rawjson.Elements(list[workersField])
	if err != nil {
		return nil, unavailable(err)
	}
	workers, invalid := decodeWorkers(entries, cached)
	p.workerList.reportInvalid(invalid, p.options.OnInvalidWorker)
	p.workerList.set(ETag(body), workers)
	return workers, nil
}

// workersField is the name of the list in a WorkerList.
const workersField = "workers"

// decodeWorkers decodes the entries of a list one by one, so that an invalid one hides no other, and returns the reasons by the invalid
// entries. A worker that is not listed has ended, with all that ran on it. An invalid entry doesn't say that: a worker of the last list that
// it may stand for is kept, and gets no new work.
func decodeWorkers(entries []json.RawMessage, last []cell.Worker) (workers []cell.Worker, invalid map[string]error) {
	listed := make(map[cell.WorkerID]bool, len(entries))
	invalid = make(map[string]error)
	hidden := make(map[cell.WorkerID]bool) // ids of invalid entries; "" for entries whose id can't be read
	for _, entry := range entries {
		var w cell.Worker
		err := json.Unmarshal(entry, &w)
		if err == nil {
			err = w.Validate()
		}
		if err == nil && listed[w.ID] {
			err = errDuplicateWorker
		}
		if err != nil {
			invalid[invalidName(w.ID, entry)] = err
			hidden[w.ID] = true
			continue
		}
		listed[w.ID] = true
		workers = append(workers, w)
	}
	for _, w := range last {
		if !listed[w.ID] && (hidden[w.ID] || hidden[""]) && w.State != cell.WorkerGone {
			w.State = cell.WorkerLeaving
			workers = append(workers, w)
		}
	}
	return workers, invalid
}

var errDuplicateWorker = errors.New("an earlier entry has the same id")

// maxInvalidName bounds the text by which an invalid entry without an id is named.
const maxInvalidName = 40

// invalidName returns the name of an invalid entry: its id, or the beginning of its text.
func invalidName(id cell.WorkerID, entry []byte) string {
	name := string(id)
	if name == "" {
		name = string(entry)
	}
	return name[:min(len(name), maxInvalidName)]
}

// reportInvalid calls report for each invalid entry that was not in the last list.
func (l *workerListCache) reportInvalid(invalid map[string]error, report func(name string, err error)) {
	l.mu.Lock()
	last := l.invalid
	l.invalid = invalid
	l.mu.Unlock()
	for name, err := range invalid {
		if _, known := last[name]; !known && report != nil {
			report(name, err)
		}
	}
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
