// Package httpserver serves the stand-ins of the platform and of runners over HTTP, in the form that package
// httpplatform reads. Fault injection and records are under /control.
package httpserver

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"laburnumpoint/internal/history"
	"laburnumpoint/internal/httpplatform"
)

// Bounds of the servers.
const (
	// maxRequestBytes bounds the body of one request.
	maxRequestBytes = 64 << 20
	// readHeaderTimeout bounds the arrival of a request's headers.
	readHeaderTimeout = 10 * time.Second
)

// writeBody writes a whole answer with its length and digest.
func writeBody(w http.ResponseWriter, status int, contentType string, body []byte) {
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set(httpplatform.HeaderDigest, httpplatform.Digest(body))
	w.WriteHeader(status)
	_, _ = w.Write(body) // the caller finds a short answer by its length
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Errorf("httpserver: encode answer: %w", err)) // every message can be encoded
	}
	writeBody(w, status, "application/json", body)
}

// writeWithETag answers a GET with v, or with "not modified" if the client has it already.
func writeWithETag(w http.ResponseWriter, r *http.Request, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Errorf("httpserver: encode answer: %w", err)) // every message can be encoded
	}
	etag := httpplatform.ETag(body)
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		writeBody(w, http.StatusNotModified, "application/json", nil)
		return
	}
	if strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		w.Header().Set("Content-Encoding", "gzip")
		body = gzipBody(body)
	}
	writeBody(w, http.StatusOK, "application/json", body)
}

func gzipBody(body []byte) []byte {
	var out bytes.Buffer
	z := gzip.NewWriter(&out)
	_, _ = z.Write(body) // a buffer takes everything
	_ = z.Close()
	return out.Bytes()
}

func writeError(w http.ResponseWriter, status int, code httpplatform.ErrorCode, detail string) {
	writeJSON(w, status, httpplatform.ErrorBody{Code: code, Detail: detail})
}

// readJSON reads the request's body into v; on failure it has answered.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err == nil {
		err = json.Unmarshal(body, v)
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, httpplatform.CodeInvalid, err.Error())
		return false
	}
	return true
}

// abortConnection closes the connection without an answer.
func abortConnection() {
	panic(http.ErrAbortHandler)
}

// writeHistory writes entries as JSON lines, from the index in the query parameter since on.
func writeHistory(w http.ResponseWriter, r *http.Request, entries []history.Entry) {
	since, err := strconv.Atoi(r.URL.Query().Get("since"))
	if err != nil || since < 0 {
		since = 0
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	if err := history.Encode(w, entries[min(since, len(entries)):]); err != nil {
		abortConnection()
	}
}
