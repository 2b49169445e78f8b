package graphd

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"laburnumpoint/internal/graphapi"
)

// ask posts a body to the explain path of a daemon and returns the response and its body.
func (c *testCell) ask(server, queue, body string) (*http.Response, string) {
	c.Helper()
	resp, err := http.Post("http://"+server+"/v1/queues/"+queue+"/explain", "application/json", strings.NewReader(body))
	if err != nil {
		c.Fatal(err)
	}
	defer resp.Body.Close()
	var data bytes.Buffer
	if _, err := data.ReadFrom(resp.Body); err != nil {
		c.Fatal(err)
	}
	return resp, data.String()
}

// A job is explained through any daemon, whichever owns the cell: the answer tells the workers, and nothing of the job is stored or run.
func TestExplainBeforeSubmitting(t *testing.T) {
	c := newCell(t, 3)
	labelled := step(3)
	labelled.Label = "fast"
	job := &graphapi.Job{Payload: "x", Steps: []graphapi.Step{labelled, step(2, 0)}}
	for _, server := range c.caller.Servers {
		caller := &graphapi.Client{Servers: []string{server}, RetryFor: testTimeout, HTTP: &http.Client{}}
		answer, err := caller.Preview(t.Context(), queue, job)
		if err != nil {
			t.Fatal(err)
		}
		if answer.Queue != queue || len(answer.Steps) != 2 {
			t.Fatalf("answer %+v, want two steps", answer)
		}
		placed := 0
		for _, place := range answer.Steps[0].Places {
			placed += place.Tasks
			if *place.EndMS-*place.StartMS != 30 {
				t.Errorf("place %+v, want a run of 30 ms", place)
			}
		}
		if placed != 3 || len(answer.Steps[1].After) != 1 {
			t.Errorf("answer %+v, want 3 tasks of the first step placed and the second after it", answer)
		}
	}
	if answer, err := c.caller.Pending(t.Context(), queue); err != nil || *answer.Pending != 0 {
		t.Errorf("pending %+v, error %v, want no job", answer, err)
	}
	if runs := c.cluster.Workers.Runs(); len(runs) != 0 {
		t.Errorf("%d runs, want none", len(runs))
	}
}

// Callers that ask again and again must not slow the owner: a question too soon after another one gets 503 with Retry-After. Requests that
// can't be understood get 400, 404 or 413.
func TestExplainIsLimited(t *testing.T) {
	c := newCell(t, 2)
	data, err := json.Marshal(&graphapi.Job{Steps: []graphapi.Step{step(1)}})
	if err != nil {
		t.Fatal(err)
	}
	valid := string(data)
	server := c.caller.Servers[0]
	c.eventually("an answer", func() bool { resp, _ := c.ask(server, queue, valid); return resp.StatusCode == http.StatusOK })
	admitted, began := 0, time.Now()
	for range 20 {
		for _, server := range c.caller.Servers {
			resp, body := c.ask(server, queue, valid)
			switch {
			case resp.StatusCode == http.StatusOK:
				admitted++
			case resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") != "1" || !strings.Contains(body, `"unavailable"`):
				t.Fatalf("status %d, Retry-After %q, body %s", resp.StatusCode, resp.Header.Get("Retry-After"), body)
			}
		}
	}
	if most := 1 + int(time.Since(began)/(500*time.Millisecond)); admitted > most {
		t.Errorf("%d of 40 questions answered in %s, want at most %d", admitted, time.Since(began), most)
	}
	for _, tc := range []struct {
		queue, body string
		status      int
	}{
		{queue, `{"steps":[]}`, http.StatusBadRequest},
		{queue, `{"steps":[{"count":1,"colour":"red"}]}`, http.StatusBadRequest},
		{queue, `{"payload":"` + strings.Repeat("x", 300<<10) + `"}`, http.StatusRequestEntityTooLarge},
		{"other", valid, http.StatusNotFound},
	} {
		if resp, body := c.ask(server, tc.queue, tc.body); resp.StatusCode != tc.status {
			t.Errorf("status %d with body %s, want %d", resp.StatusCode, body, tc.status)
		}
	}
}
