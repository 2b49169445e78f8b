package httpplatform_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"laburnumpoint/internal/httpplatform"
)

// fakeServer writes raw HTTP, so that it can break off an answer anywhere.
type fakeServer struct {
	addr     string
	requests atomic.Int64
	conns    atomic.Int64
}

// newFakeServer returns a server that calls respond for each request. If respond returns false, the connection is closed,
// otherwise it is kept for the next request. Connections are numbered from 1.
func newFakeServer(t *testing.T, respond func(conn net.Conn, nthConn int64, r *http.Request) bool) *fakeServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	f := &fakeServer{addr: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go f.serve(conn, f.conns.Add(1), respond)
		}
	}()
	return f
}

func (f *fakeServer) serve(conn net.Conn, nth int64, respond func(net.Conn, int64, *http.Request) bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		f.requests.Add(1)
		if !respond(conn, nth, r) {
			return
		}
	}
}

// respond writes an answer with its length and digest. Headers are further header lines.
func respond(w io.Writer, status int, body string, headers ...string) {
	headers = append(headers,
		fmt.Sprintf("Content-Length: %d", len(body)),
		httpplatform.HeaderDigest+": "+httpplatform.Digest([]byte(body)))
	respondRaw(w, status, body, headers...)
}

func respondRaw(w io.Writer, status int, body string, headers ...string) {
	fmt.Fprintf(w, "HTTP/1.1 %d %s\r\n%s\r\n\r\n%s", status, http.StatusText(status), strings.Join(headers, "\r\n"), body)
}
