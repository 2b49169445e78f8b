package httpplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// Errors of reading an answer's body.
var (
	errNoContentLength = errors.New("httpplatform: answer has no Content-Length")
	errAnswerTooLong   = errors.New("httpplatform: answer is too long")
	errDigestMismatch  = errors.New("httpplatform: answer does not match its digest")
)

// readBody reads and closes the answer's body. It is an error if the body is not as long as its Content-Length, is longer
// than limit bytes or does not match its digest.
func readBody(resp *http.Response, limit int64) ([]byte, error) {
	defer resp.Body.Close()
	if resp.ContentLength < 0 {
		return nil, errNoContentLength
	}
	if resp.ContentLength > limit {
		return nil, errAnswerTooLong
	}
	body := make([]byte, resp.ContentLength)
	if _, err := io.ReadFull(resp.Body, body); err != nil {
		return nil, fmt.Errorf("httpplatform: read answer: %w", err)
	}
	// net/http reuses a connection only after the answer's body was read up to io.EOF.
	if _, err := resp.Body.Read(make([]byte, 1)); err != io.EOF {
		return nil, errAnswerTooLong
	}
	if resp.Header.Get(HeaderDigest) != Digest(body) {
		return nil, errDigestMismatch
	}
	return body, nil
}

// decodeJSON decodes a complete JSON body into v.
func decodeJSON(body []byte, v any) error {
	if err := json.Unmarshal(body, v); err != nil {
		return fmt.Errorf("httpplatform: decode answer: %w", err)
	}
	return nil
}

// errorCode returns the code of an error answer, or "" if the body is not an ErrorBody.
func errorCode(body []byte) ErrorCode {
	var e ErrorBody
	if json.Unmarshal(body, &e) != nil {
		return ""
	}
	return e.Code
}

// newRequest returns a request with v as its JSON body, or without a body if v is nil.
func newRequest(ctx context.Context, method, url string, v any) (*http.Request, error) {
	var body []byte
	if v != nil {
		var err error
		if body, err = json.Marshal(v); err != nil {
			return nil, fmt.Errorf("httpplatform: encode request: %w", err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if v != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	req.Header.Set("User-Agent", "") // omits the header, to save its bytes
	return req, nil
}
