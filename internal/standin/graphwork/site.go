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

// Cluster is a store of rows and workers, each served at an address of its own on one IP number.
type Cluster struct {
	Store   *rowstore.Memory
	Workers *WorkerGroup
	// StoreAddr is the store's address.
	StoreAddr string

	ip       string
	servers  []*http.Server
	serveErr chan error
}

// headerTimeout bounds the reading of a request's header.
const headerTimeout = 3 * time.Second

// NewCluster serves a store at addr and the pools' workers beside it, registers them, and puts the queues in force.
func NewCluster(ctx context.Context, addr string, pools []Pool, queues graphproto.QueueConfig) (*Cluster, error) {
	c := &Cluster{Store: rowstore.NewMemory(), Workers: NewWorkerGroup(), serveErr: make(chan error, 1)}
	if err := queues.Validate(); err != nil {
		return nil, err
	}
	var err error
	if c.StoreAddr, err = c.serve(addr, graphproto.StoreHandler(c.Store)); err != nil {
		return nil, err
	}
	c.ip, _, _ = net.SplitHostPort(c.StoreAddr) // an address that is listened on has a port
	for _, pool := range pools {
		for i := range pool.Workers {
			if err := c.addWorker(ctx, pool, i); err != nil {
				return nil, errors.Join(err, c.Close())
			}
		}
	}
	return c, errors.Join(c.putQueueConfig(ctx, queues))
}

func (c *Cluster) serve(addr string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	c.servers = append(c.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			select {
			case c.serveErr <- err:
			default: // one failure ends the site
			}
		}
	}()
	return listener.Addr().String(), nil
}

func (c *Cluster) addWorker(ctx context.Context, pool Pool, i int) error {
	id := dispatch.WorkerID(fmt.Sprintf("%s-%d", pool.Name, i))
	addr, err := c.serve(net.JoinHostPort(c.ip, "0"), graphproto.WorkerHandler(NewWorker(c.Workers, id)))
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
	return c.putRow(ctx, row)
}

func (c *Cluster) putQueueConfig(ctx context.Context, queues graphproto.QueueConfig) error {
	value, err := json.Marshal(queues)
	if err != nil {
		return err
	}
	return c.putRow(ctx, rowstore.Row{Key: graphproto.QueueConfigKey(), Value: value})
}

func (c *Cluster) putRow(ctx context.Context, row rowstore.Row) error {
	_, _, err := c.Store.Apply(ctx, rowstore.Tx{Put: []rowstore.Row{row}})
	return err
}

// Wait returns when ctx ends, or a server fails.
func (c *Cluster) Wait(ctx context.Context) error {
	select {
	case err := <-c.serveErr:
		return err
	case <-ctx.Done():
		return nil
	}
}

// Close ends everything at once.
func (c *Cluster) Close() error {
	var errs []error
	for _, server := range c.servers {
		errs = append(errs, server.Close())
	}
	return errors.Join(errs...)
}

// DuplicateRuns returns the runs that overlapped another of their task, or began after their task was done.
func DuplicateRuns(runs []Run) []Run {
	var out []Run
	for i, a := range runs {
		for _, b := range runs[:i] {
			if a.Key.Task != b.Key.Task {
				continue
			}
			overlaps := (b.Outcome == "" || a.StartedAt.Before(b.EndedAt)) && (a.Outcome == "" || b.StartedAt.Before(a.EndedAt))
			if overlaps || (b.Outcome == dispatch.RunDone.String() && a.StartedAt.After(b.EndedAt)) {
				out = append(out, a)
				break
			}
		}
	}
	return out
}
