// Package httpserver serves the simulated platform and runners of package standin over HTTP, in the protocol of package
// httpplatform. Paths under /control inject faults and return counts, logs and the history.
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

// Limits of the servers.
const (
	// maxRequestBytes limits the body of one request.
	maxRequestBytes = 64 << 20
	// readHeaderTimeout limits the time to read a request's header.
	readHeaderTimeout = 10 * time.Second
)

// writeBody writes a complete answer with its length and digest.
func writeBody(w http.ResponseWriter, status int, contentType string, body []byte) {
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set(httpplatform.HeaderDigest, httpplatform.Digest(body))
	w.WriteHeader(status)
	_, _ = w.Write(body) // the client detects a truncated answer by its length
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Errorf("httpserver: encode an answer: %w", err)) // can't happen: every message can be encoded
	}
	writeBody(w, status, "application/json", body)
}

// writeWithETag answers a GET with v as JSON, or with status 304 if the client has it already.
func writeWithETag(w http.ResponseWriter, r *http.Request, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Errorf("httpserver: encode an answer: %w", err)) // can't happen: every message can be encoded
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
	_, _ = z.Write(body) // writing to a bytes.Buffer can't fail
	_ = z.Close()
	return out.Bytes()
}

func writeError(w http.ResponseWriter, status int, code httpplatform.ErrorCode, detail string) {
	writeJSON(w, status, httpplatform.ErrorBody{Code: code, Detail: detail})
}

// readJSON decodes the request's body into v. On failure it answers with an error and returns false.
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

// writeHistory writes the entries as JSON lines, starting with the index in the query parameter "since".
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
