// Package graphproto is the project's native protocol for graph jobs, between daemons, the row store and workers. It uses
// JSON over HTTP: each call is a POST with types of the packages rowstore, dispatch and owner in its body. The package
// holds both the clients and the handlers.
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
	// dialTimeout limits the time to connect on the cell's own network.
	dialTimeout = 500 * time.Millisecond
	// maxIdlePerHost covers the concurrent calls of a daemon to the store.
	maxIdlePerHost = 16
	// maxBodyBytes limits the body of a request or answer. A transaction of rowstore.MaxTxBytes grows by a third in JSON.
	maxBodyBytes = 8 << 20
)

// errNotSent means that the receiver has not executed the call and will not.
var errNotSent = errors.New("call not sent")

// Client calls the row store and workers. It is safe for concurrent use.
type Client struct{ http *http.Client }

// NewClient returns a client that connects on the first call to an address.
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

// call posts body as JSON and decodes the answer.
// Errors: errNotSent; any other error means that the call may have been executed.
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
		return fmt.Errorf("%w: %s%s answered %s", errNotSent, addr, path, resp.Status)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s%s answered %s", addr, path, resp.Status)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxBodyBytes)).Decode(answer)
}

// jsonHandler returns a fallibleHandler whose handle always has an answer.
func jsonHandler[Body, Answer any](handle func(ctx context.Context, body Body) Answer) http.HandlerFunc {
	return fallibleHandler(func(ctx context.Context, body Body) (Answer, error) { return handle(ctx, body), nil })
}

// fallibleHandler returns a handler that decodes the body, calls handle and encodes its answer. It refuses a body that can't be
// decoded with status 400, by which the client knows that the call was not executed. An error of handle is status 500, which leaves that open.
func fallibleHandler[Body, Answer any](handle func(ctx context.Context, body Body) (Answer, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body Body
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		answer, err := handle(r.Context(), body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(answer) // fails only if the client has closed the connection
	}
}
