// Package graphproto is the product's own protocol for graph jobs between daemons, the store of rows and workers: JSON over
// HTTP, each call a POST with the types of the packages rowstore, dispatch and owner in the body. Both ends are here.
package graphproto

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// dialTimeout bounds the making of a connection on a cell's own network.
	dialTimeout = 500 * time.Millisecond
	// maxIdlePerHost covers the calls to the store that a daemon has under way at once.
	maxIdlePerHost = 16
	// maxBodyBytes bounds a body; a transaction of rowstore.MaxTxBytes grows by a third in JSON.
	maxBodyBytes = 8 << 20
)

// errNotSent means that a call was certainly not carried out.
var errNotSent = errors.New("call not sent")

// Client makes calls. It is safe for concurrent use.
type Client struct{ http *http.Client }

// NewClient returns a client that connects when it is used.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdlePerHost, DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errNotSent, err)
		}
		return conn, nil
	}}
	return &Client{&http.Client{Transport: transport}}
}

// call posts a body and decodes the answer. Errors: errNotSent; any other means that the call may have been carried out.
func (c *Client) call(ctx context.Context, addr, path string, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("%w: %w", errNotSent, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("%w: %w", errNotSent, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusBadRequest {
		return fmt.Errorf("%w: %s answers %s", errNotSent, path, resp.Status)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answers %s", path, resp.Status)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxBodyBytes)).Decode(answer)
}

// serve answers calls to one path. A body that can't be read is refused; nothing was done then.
func serve[Body, Answer any](f func(ctx context.Context, body Body) Answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body Body
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(f(r.Context(), body)) // fails only if the caller has gone
	}
}
