package graphapi

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/go-chi/chi/v5"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/entry"
	"laburnumpoint/internal/inbound"
)

// PreviewAnswer is the JSON of the answer to the question where the tasks of a job would go now.
type PreviewAnswer struct {
	Queue string `json:"queue"`
	dispatch.Preview
}

// preview serves POST /v1/queues/{queue}/explain.
func (h *handler) preview(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := requestContext(r)
	defer cancel()
	reader := inbound.JobReader{Limits: h.limits, Writer: w, Request: r, MaxBytes: maxBodyBytes, Decode: decodeSpec}
	defer reader.Release()
	answer, preview := h.service.Preview(ctx, entryRequest(r), reader.Read)
	if answer.Result != entry.OK {
		h.writeJobAnswer(&reader, answer)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(PreviewAnswer{chi.URLParam(r, "queue"), *preview}) // fails only if the caller has closed the connection
}

// Preview asks where the tasks of a job would go now. Nothing is submitted.
func (c *Client) Preview(ctx context.Context, queue string, job *Job) (PreviewAnswer, error) {
	var preview PreviewAnswer
	_, err := c.callInto(ctx, http.MethodPost, "/v1/queues/"+url.PathEscape(queue)+"/explain", job, &preview)
	return preview, err
}
