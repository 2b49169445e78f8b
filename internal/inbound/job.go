package inbound

import (
	"net/http"

	"laburnumpoint/internal/graph"
)

// JobReader reads and decodes the job in a request's body, within the limits. Its owner calls Release once the job is no longer used.
type JobReader struct {
	Limits  *Limits
	Writer  http.ResponseWriter
	Request *http.Request
	// MaxBytes bounds the body.
	MaxBytes int64
	// Decode decodes the job; the text isn't kept.
	Decode func(text []byte) (*graph.Spec, error)

	begun   bool
	bodyErr error
	release func()
}

// Read returns the job. Errors: those of ReadBody, Reserve, graph.CheckDocument and Decode.
func (j *JobReader) Read() (*graph.Spec, error) {
	j.begun = true
	body, err := j.Limits.ReadBody(j.Writer, j.Request, j.MaxBytes)
	if err != nil {
		j.bodyErr = err
		return nil, err
	}
	defer body.Release()
	if err := graph.CheckDocument(body.Bytes); err != nil {
		return nil, err
	}
	// The decoded form lives until the request's end.
	j.release, err = j.Limits.Reserve(graph.DecodedBytes(body.Bytes))
	if err != nil {
		return nil, err
	}
	return j.Decode(body.Bytes)
}

// Finish is called before the answer is written. It returns the error of ReadBody, if any.
func (j *JobReader) Finish() error {
	if !j.begun {
		j.Limits.SkipBody(j.Writer, j.Request)
	}
	return j.bodyErr
}

// Release gives back what the job has taken.
func (j *JobReader) Release() {
	if j.release != nil {
		j.release()
	}
}
