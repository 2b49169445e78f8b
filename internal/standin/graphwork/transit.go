package graphwork

import (
	"bytes"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"time"

	"laburnumpoint/internal/graphproto"
)

const (
	// maxCallBytes limits the body of a call to a worker.
	maxCallBytes = 8 << 20
	// maxLateness bounds how long after the next process begins to answer it gets a call that was meant for an earlier one.
	maxLateness = 2 * time.Second
)

// ServeHTTP passes a call on to the worker's present process. A call outlives the process: the next one takes a call that was under way and
// answers it. A call that comes while no process answers is broken off, but it reaches the next process, late and out of order.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, maxCallBytes))
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	if _, upAt := w.currentProcess(); time.Now().Before(upAt) {
		go func() {
			time.Sleep(time.Until(upAt) + rand.N(maxLateness))
			w.deliver(r, body)
		}()
		panic(http.ErrAbortHandler)
	}
	answer := w.deliver(r, body)
	maps.Copy(rw.Header(), answer.header)
	rw.WriteHeader(answer.status)
	_, _ = rw.Write(answer.body.Bytes()) // fails only if the client has closed the connection
}

// deliver passes a call on to the worker's present process, and to the next one if that ends before it has answered.
func (w *Worker) deliver(r *http.Request, body []byte) *heldAnswer {
	for {
		process, upAt := w.currentProcess()
		time.Sleep(time.Until(upAt))
		call := r.Clone(r.Context())
		call.Body = io.NopCloser(bytes.NewReader(body))
		answer := &heldAnswer{header: make(http.Header), status: http.StatusOK}
		graphproto.WorkerHandler(process).ServeHTTP(answer, call)
		if !process.hasEnded() {
			return answer
		}
	}
}

// heldAnswer holds an answer until it is known whether the process that gave it still lives.
type heldAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (a *heldAnswer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *heldAnswer) WriteHeader(status int) { a.status = status }

// Write implements http.ResponseWriter.
func (a *heldAnswer) Write(p []byte) (int, error) { return a.body.Write(p) }
