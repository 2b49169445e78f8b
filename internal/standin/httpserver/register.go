package httpserver

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

	"laburnumpoint/internal/httpplatform"
)

// Times of a host's registration.
const (
	registerInterval = 2 * time.Second
	registerTimeout  = time.Second
)

// ServeHost serves the host's control interface on the listener and keeps its workers registered with the platform at
// platformAddr until ctx ends. Then the workers leave and have until grace to end their leases.
// Each failure to register is reported to onError.
func ServeHost(ctx context.Context, listener net.Listener, h *Host, platformAddr, run string, grace time.Duration, onError func(error)) error {
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	reg := registrar{host: h, url: "http://" + platformAddr + httpplatform.PathHosts, run: run, addr: listener.Addr().String()}
	go reg.loop(serving, onError)
	served := make(chan error, 1)
	go func() { served <- serve(serving, listener, h.Control(), grace) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	stopping, cancel := context.WithTimeout(serving, grace)
	defer cancel()
	err := h.drain(stopping)
	stopServing()
	return errors.Join(err, <-served)
}

// registrar tells the platform of a host's workers.
type registrar struct {
	host *Host
	url  string
	run  string
	addr string
}

func (r registrar) loop(ctx context.Context, onError func(error)) {
	ticker := time.NewTicker(registerInterval)
	defer ticker.Stop()
	for {
		if err := r.register(ctx); err != nil && ctx.Err() == nil {
			onError(err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.host.Changed():
		}
	}
}

func (r registrar) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	body, err := json.Marshal(httpplatform.HostRegistration{Incarnation: r.run, Addr: r.addr, Workers: r.host.Workers()})
	if err != nil {
		return fmt.Errorf("httpserver: register: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("httpserver: register: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("httpserver: register: %w", err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return fmt.Errorf("httpserver: register: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("httpserver: register: status %d", resp.StatusCode)
	}
	return nil
}
