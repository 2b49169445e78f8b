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

// Times of a host's registration with the platform.
const (
	registerInterval = 2 * time.Second
	registerTimeout  = time.Second
)

// ServeHost serves the host's control interface on the listener and keeps its workers registered with the platform at
// platformAddr until ctx ends. Then it marks the workers as leaving and waits up to grace for their leases to end.
// It calls onError with each failure to register.
func ServeHost(ctx context.Context, listener net.Listener, h *Host, platformAddr, incarnation string, grace time.Duration, onError func(error)) error {
	serveCtx, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	reg := registrar{host: h, url: "http://" + platformAddr + httpplatform.PathHosts, incarnation: incarnation, addr: listener.Addr().String()}
	go reg.loop(serveCtx, onError)
	served := make(chan error, 1)
	go func() { served <- serve(serveCtx, listener, h.ControlHandler(), grace) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	drainCtx, cancel := context.WithTimeout(serveCtx, grace)
	defer cancel()
	err := h.drain(drainCtx)
	stopServing()
	return errors.Join(err, <-served)
}

// registrar registers a host's workers with the platform, at intervals and after each change.
type registrar struct {
	host        *Host
	url         string
	incarnation string
	addr        string
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
		case <-r.host.WorkersChanged():
		}
	}
}

func (r registrar) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	body, err := json.Marshal(httpplatform.HostRegistration{Incarnation: r.incarnation, Addr: r.addr, Workers: r.host.Workers()})
	if err != nil {
		return fmt.Errorf("httpserver: register workers with the platform: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("httpserver: register workers with the platform: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("httpserver: register workers with the platform: %w", err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return fmt.Errorf("httpserver: register workers with the platform: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("httpserver: register workers with the platform: answer with status %d", resp.StatusCode)
	}
	return nil
}
