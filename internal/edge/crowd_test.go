package edge

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"laburnumpoint/internal/api"
	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/inbound"
)

// hangLimit ends a test that would otherwise wait forever; no test result depends on its value.
const hangLimit = 20 * time.Second

// sendText opens a connection and writes text to it.
func sendText(t *testing.T, addr, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(hangLimit)); err != nil {
		t.Fatal(err)
	}
	// A server that refuses a request may close the connection before all is written.
	_, _ = conn.Write([]byte(text))
	return conn
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// Guards against a process that runs out of memory since many bodies of legal size stop just short of their end.
func TestStalledBodiesKeepToTheBudget(t *testing.T) {
	const crowd, bodyBytes, budget = 48, 1 << 20, 8 << 20
	f := &fakeCell{ready: true, outcome: cell.Outcome{Result: cell.ResultCompleted}}
	limits := testLimits(inbound.Options{BudgetBytes: budget})
	_, addr := startServer(t, f, Options{Limits: limits}, ServerOptions{})
	body := strings.Repeat(" ", bodyBytes-10)
	before := heapBytes()
	for range crowd {
		sendText(t, addr, fmt.Sprintf("POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", bodyBytes))
	}
	text := fmt.Sprintf("POST /v1/requests HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", bodyBytes, body)
	for range crowd {
		sendText(t, addr, text)
	}
	if held := limits.Held(); held > budget {
		t.Errorf("%d bytes held, want at most %d", held, budget)
	}
	if grown := heapBytes() - before; grown > 3*budget {
		t.Errorf("the heap has grown by %d bytes, want at most %d", grown, 3*budget)
	}
	resp, err := sendTask(addr)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK || f.calls() != 1 {
		t.Errorf("an ordinary request: status %d, %d calls", resp.StatusCode, f.calls())
	}
}

// Guards against a refusal for want of room that isn't true: the request must not have been passed on.
func TestRequestWithoutRoomIsNotRun(t *testing.T) {
	f := &fakeCell{outcome: cell.Outcome{Result: cell.ResultCompleted}}
	limits := testLimits(inbound.Options{BudgetBytes: 8 << 20})
	release, err := limits.Reserve(8 << 20) // half of the part for large bodies
	if err != nil {
		t.Fatal(err)
	}
	large := `{"team":"sparks","payload":"` + strings.Repeat("x", 1<<20-100) + `"}`
	w, a := call(t, f, Options{Limits: limits}, post("/v1/requests", large))
	if w.Code != http.StatusServiceUnavailable || a.Result != cell.ResultNotRun || w.Header().Get("Retry-After") == "" {
		t.Errorf("status %d, answer %+v, headers %v", w.Code, a, w.Header())
	}
	if f.calls() != 0 {
		t.Errorf("%d calls", f.calls())
	}
	release()
	if w, a := call(t, f, Options{Limits: limits}, post("/v1/requests", large)); w.Code != http.StatusOK {
		t.Errorf("with room: status %d, answer %+v", w.Code, a)
	}
	if held := limits.Held(); held != 0 {
		t.Errorf("%d bytes held at the end", held)
	}
}

// Guards against requests that wait for their outcome and hold payloads that nobody counts.
func TestPayloadIsHeldUntilTheAnswer(t *testing.T) {
	const payloadBytes = 100 << 10
	limits := testLimits(inbound.Options{BudgetBytes: 8 << 20})
	f := &fakeCell{run: func(context.Context, RunRequest) cell.Outcome {
		if held := limits.Held(); held < payloadBytes {
			t.Errorf("%d bytes held while the request runs, want at least %d", held, payloadBytes)
		}
		return cell.Outcome{Result: cell.ResultCompleted}
	}}
	body := `{"team":"sparks","payload":"` + strings.Repeat("x", payloadBytes) + `"}`
	if w, a := call(t, f, Options{Limits: limits}, post("/v1/requests", body)); w.Code != http.StatusOK {
		t.Errorf("status %d, answer %+v", w.Code, a)
	}
	if held := limits.Held(); held != 0 {
		t.Errorf("%d bytes held after the answer", held)
	}
}

// Guards against a list of very many short ids, which takes many times its body's size once decoded.
func TestCancellationOfTooManyIDsIsRefusedBeforeItIsDecoded(t *testing.T) {
	const ids, most = 2_000_000, 64 << 20
	f := &fakeCell{}
	body := `{"tasks":["a"` + strings.Repeat(`,"a"`, ids) + `]}`
	limits := testLimits(inbound.Options{BudgetBytes: 128 << 20})
	h := NewHandler(f, f, Options{Limits: limits})
	w := httptest.NewRecorder()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	h.ServeHTTP(w, post(api.PathTasksCancel, body))
	runtime.ReadMemStats(&after)
	if w.Code != http.StatusBadRequest || !bytes.Contains(w.Body.Bytes(), []byte("more than 100000 ids")) {
		t.Errorf("status %d, body %s", w.Code, w.Body)
	}
	if took := after.TotalAlloc - before.TotalAlloc; took > most {
		t.Errorf("%d bytes allocated for a body of %d, want at most %d", took, len(body), most)
	}
	legal := `{"tasks":["a"` + strings.Repeat(`,"a"`, maxCancelTasks-1) + `]}`
	if w, a := call(t, f, Options{Limits: limits}, post(api.PathTasksCancel, legal)); w.Code != http.StatusOK || a.Cancelled != maxCancelTasks {
		t.Errorf("the largest list: status %d, answer %+v", w.Code, a)
	}
}

// Guards against an answer that waits for a body that the route doesn't read and that never comes.
func TestAnswerDoesNotWaitForABodyThatIsNotRead(t *testing.T) {
	f := &fakeCell{ready: true, version: 1}
	_, addr := startServer(t, f, Options{MaxBodyBytes: 1000}, ServerOptions{})
	for request, status := range map[string]int{
		"GET /v1/config":    http.StatusOK,
		"GET /metrics":      http.StatusOK,
		"GET /absent":       http.StatusNotFound,
		"POST /absent":      http.StatusNotFound,
		"POST /v1/config":   http.StatusMethodNotAllowed,
		"POST /v1/requests": http.StatusRequestEntityTooLarge,
	} {
		conn := sendText(t, addr, request+" HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n{")
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Errorf("%s: %v", request, err)
			continue
		}
		resp.Body.Close()
		if resp.StatusCode != status {
			t.Errorf("%s: status %d, want %d", request, resp.StatusCode, status)
		}
	}
}

// Guards against a body limit that a daemon with little memory can't keep: what is over it would be refused with 503 for ever.
func TestLargestBodyFindsRoomInCalm(t *testing.T) {
	f := &fakeCell{outcome: cell.Outcome{Result: cell.ResultCompleted}}
	limits := testLimits(inbound.Options{BudgetBytes: 8 << 20})
	opts := Options{Limits: limits, MaxBodyBytes: 64 << 20}
	body := func(bytes int64) string {
		text := `{"team":"sparks","payload":"`
		return text + strings.Repeat("x", int(bytes)-len(text)-2) + `"}`
	}
	if w, a := call(t, f, opts, post("/v1/requests", body(limits.MaxBody()))); w.Code != http.StatusOK {
		t.Errorf("the largest body: status %d, answer %+v", w.Code, a)
	}
	if w, a := call(t, f, opts, post("/v1/requests", body(limits.MaxBody()+1))); w.Code != http.StatusRequestEntityTooLarge || a.Result != cell.ResultNotRun {
		t.Errorf("a byte more: status %d, answer %+v", w.Code, a)
	}
}
