package graphwork

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/graphproto"
	"laburnumpoint/internal/rowstore"
)

// Pool is workers of one pool.
type Pool struct {
	Name     string
	Workers  int
	Capacity graph.Resources
	// Labels are those of every second worker, so that a required label leaves some out.
	Labels []string
}

// Site is a store of rows and workers, each served at an address of its own on one IP number.
type Site struct {
	Store *rowstore.MemoryStore
	Hall  *Hall
	// Addr is the store's address.
	Addr string

	ip      string
	servers []*http.Server
	failed  chan error
}

// headerTimeout bounds the reading of a request's header.
const headerTimeout = 3 * time.Second

// NewSite serves a store at addr and the pools' workers beside it, registers them, and puts the queues in force.
func NewSite(ctx context.Context, addr string, pools []Pool, queues graphproto.QueueConfig) (*Site, error) {
	s := &Site{Store: rowstore.NewMemoryStore(), Hall: NewHall(), failed: make(chan error, 1)}
	if err := queues.Validate(); err != nil {
		return nil, err
	}
	var err error
	if s.Addr, err = s.serve(addr, graphproto.StoreHandler(s.Store)); err != nil {
		return nil, err
	}
	s.ip, _, _ = net.SplitHostPort(s.Addr) // an address that is listened on has a port
	for _, pool := range pools {
		for i := range pool.Workers {
			if err := s.addWorker(ctx, pool, i); err != nil {
				return nil, errors.Join(err, s.Close())
			}
		}
	}
	return s, errors.Join(s.putQueues(ctx, queues))
}

func (s *Site) serve(addr string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	s.servers = append(s.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			select {
			case s.failed <- err:
			default: // one failure ends the site
			}
		}
	}()
	return listener.Addr().String(), nil
}

func (s *Site) addWorker(ctx context.Context, pool Pool, i int) error {
	id := dispatch.WorkerID(fmt.Sprintf("%s-%d", pool.Name, i))
	addr, err := s.serve(net.JoinHostPort(s.ip, "0"), graphproto.WorkerHandler(NewWorker(s.Hall, id)))
	if err != nil {
		return err
	}
	w := dispatch.Worker{ID: id, Pool: pool.Name, Address: addr, Rack: fmt.Sprintf("r%d", i%2), Capacity: pool.Capacity}
	if i%2 == 0 {
		w.Labels = pool.Labels
	}
	row, err := graphproto.WorkerRow(w)
	if err != nil {
		return err
	}
	return s.put(ctx, row)
}

func (s *Site) putQueues(ctx context.Context, queues graphproto.QueueConfig) error {
	value, err := json.Marshal(queues)
	if err != nil {
		return err
	}
	return s.put(ctx, rowstore.Row{Key: graphproto.QueueConfigKey(), Value: value})
}

func (s *Site) put(ctx context.Context, row rowstore.Row) error {
	_, _, err := s.Store.Apply(ctx, rowstore.Tx{Put: []rowstore.Row{row}})
	return err
}

// Wait returns when ctx ends, or a server fails.
func (s *Site) Wait(ctx context.Context) error {
	select {
	case err := <-s.failed:
		return err
	case <-ctx.Done():
		return nil
	}
}

// Close ends everything at once.
func (s *Site) Close() error {
	var errs []error
	for _, server := range s.servers {
		errs = append(errs, server.Close())
	}
	return errors.Join(errs...)
}

// Twice returns the runs that overlapped another of their task, or began after their task was done.
func Twice(runs []Run) []Run {
	var out []Run
	for i, a := range runs {
		for _, b := range runs[:i] {
			if a.Key.Task != b.Key.Task {
				continue
			}
			overlaps := (b.End == "" || a.Began.Before(b.Ended)) && (a.End == "" || b.Began.Before(a.Ended))
			if overlaps || (b.End == dispatch.RunDone.String() && a.Began.After(b.Ended)) {
				out = append(out, a)
				break
			}
		}
	}
	return out
}
