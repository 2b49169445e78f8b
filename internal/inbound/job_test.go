package inbound

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"laburnumpoint/internal/graph"
)

func newJobReader(l *Limits, w http.ResponseWriter, body string, decode func([]byte) (*graph.Spec, error)) *JobReader {
	return &JobReader{Limits: l, Writer: w, Request: httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body)), MaxBytes: 256 << 10, Decode: decode}
}

// Guards against a document of very many steps that is decoded and only then refused.
func TestJobOfTooManyStepsIsNotDecoded(t *testing.T) {
	l, _ := newTestLimits(Options{BudgetBytes: 8 << 20})
	decode := func([]byte) (*graph.Spec, error) {
		t.Error("decoded")
		return nil, nil
	}
	reader := newJobReader(l, httptest.NewRecorder(), `{"steps":[`+strings.Repeat("{},", 80_000)+`{}]}`, decode)
	if _, err := reader.Read(); !errors.Is(err, graph.ErrTooManySteps) {
		t.Errorf("error %v", err)
	}
	reader.Release()
	if l.Held() != 0 {
		t.Errorf("%d bytes held", l.Held())
	}
}

// Guards against a decoded form that is not charged while it is in use, and against one that is never given back.
func TestDecodedJobIsChargedUntilItsRelease(t *testing.T) {
	l, _ := newTestLimits(Options{BudgetBytes: 8 << 20})
	text := strings.Repeat(" ", 100<<10)
	reader := newJobReader(l, httptest.NewRecorder(), text, func([]byte) (*graph.Spec, error) { return &graph.Spec{}, nil })
	if _, err := reader.Read(); err != nil {
		t.Fatal(err)
	}
	if held := l.Held(); held != graph.DecodedBytes([]byte(text)) {
		t.Errorf("%d bytes held after decoding, want %d", held, graph.DecodedBytes([]byte(text)))
	}
	reader.Release()
	if l.Held() != 0 {
		t.Errorf("%d bytes held", l.Held())
	}
}

// Guards against an answer before the body that waits for a large body, or that costs a caller of a small one its connection.
func TestAnswerBeforeTheBody(t *testing.T) {
	l, _ := newTestLimits(Options{BudgetBytes: 8 << 20})
	for size, closes := range map[int]bool{0: false, 100: false, SmallBytes + 1: true} {
		w := httptest.NewRecorder()
		reader := newJobReader(l, w, strings.Repeat("x", size), nil)
		if err := reader.Finish(); err != nil || (w.Header().Get("Connection") == "close") != closes {
			t.Errorf("body of %d bytes: error %v, header %v", size, err, w.Header())
		}
	}
}
