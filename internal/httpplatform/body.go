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

// Errors of an answer's body.
var (
	errNoContentLength = errors.New("httpplatform: answer without length")
	errAnswerTooLong   = errors.New("httpplatform: answer too long")
	errDigestMismatch  = errors.New("httpplatform: answer does not match its digest")
)

// readBody returns the body if it is as long as declared, at most limit bytes long and matches its digest.
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
		return nil, fmt.Errorf("httpplatform: answer cut short: %w", err)
	}
	// A connection is used again only after its answer was read to the end.
	if _, err := resp.Body.Read(make([]byte, 1)); err != io.EOF {
		return nil, errAnswerTooLong
	}
	if resp.Header.Get(HeaderDigest) != Digest(body) {
		return nil, errDigestMismatch
	}
	return body, nil
}

// decodeJSON reads a whole JSON body into v.
func decodeJSON(body []byte, v any) error {
	if err := json.Unmarshal(body, v); err != nil {
		return fmt.Errorf("httpplatform: answer: %w", err)
	}
	return nil
}

// errorCode returns the code of an error answer; empty if the body is not an ErrorBody.
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
			return nil, fmt.Errorf("httpplatform: request: %w", err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if v != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	req.Header.Set("User-Agent", "") // no header at all, to save its bytes
	return req, nil
}
