package graphwork

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/graphproto"
	"laburnumpoint/internal/rowstore"
)

// Pool describes the equal workers of one pool.
type Pool struct {
	Name string
	// Workers is their number.
	Workers  int
	Capacity graph.Resources
	// Labels are the labels of every second worker, so that a task that requires one can't run on all of them.
	Labels []string
}

// Cluster is a row store and workers, each served over HTTP at its own port of one IP address.
type Cluster struct {
	Store   *rowstore.MemoryStore
	Workers *WorkerGroup
	// StoreAddr is the store's address.
	StoreAddr string

	ip       string
	ctx      context.Context
	mu       sync.Mutex
	workers  map[dispatch.WorkerID]*clusterWorker
	servers  []*http.Server
	serveErr chan error
}

// headerTimeout limits the time to read a request's header.
const headerTimeout = 3 * time.Second

// NewCluster serves a row store at addr and the pools' workers at free ports of the same IP address. It writes the
// workers' entries of the worker registry and the configuration of queues to the store.
func NewCluster(ctx context.Context, addr string, pools []Pool, queues graphproto.QueueConfig) (*Cluster, error) {
	c := &Cluster{
		Store: rowstore.NewMemoryStore(), Workers: NewWorkerGroup(), serveErr: make(chan error, 1),
		ctx: ctx, workers: make(map[dispatch.WorkerID]*clusterWorker),
	}
	if err := queues.Validate(); err != nil {
		return nil, err
	}
	var err error
	if c.StoreAddr, err = c.serve(addr, graphproto.StoreHandler(c.Store)); err != nil {
		return nil, err
	}
	c.ip, _, _ = net.SplitHostPort(c.StoreAddr) // the address of a TCP listener always has a port
	for _, pool := range pools {
		for i := range pool.Workers {
			if err := c.addWorker(pool, i); err != nil {
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
			default: // the first failure is enough for Wait
			}
		}
	}()
	return listener.Addr().String(), nil
}

func (c *Cluster) addWorker(pool Pool, i int) error {
	id := dispatch.WorkerID(fmt.Sprintf("%s-%d", pool.Name, i))
	worker := NewWorker(c.Workers, id)
	addr, err := c.serve(net.JoinHostPort(c.ip, "0"), worker)
	if err != nil {
		return err
	}
	w := dispatch.Worker{ID: id, Pool: pool.Name, Address: addr, Rack: fmt.Sprintf("r%d", i%2), Capacity: pool.Capacity}
	if i%2 == 0 {
		w.Labels = pool.Labels
	}
	worker.onRestart = func() { _ = c.register(id) } // the store is in memory and fails only once ctx has ended
	c.mu.Lock()
	c.workers[id] = &clusterWorker{worker, w}
	c.mu.Unlock()
	return c.register(id)
}

// clusterWorker is a worker with its entry in the worker registry.
type clusterWorker struct {
	*Worker
	entry dispatch.Worker
}

// register writes a worker's entry to the worker registry.
func (c *Cluster) register(id dispatch.WorkerID) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	process, _ := w.currentProcess()
	w.entry.ProcessStart = process.ProcessStart()
	row, err := graphproto.WorkerRow(w.entry)
	if err != nil {
		return err
	}
	return c.putRow(c.ctx, row)
}

// SetCapacity changes the capacity that a worker has in the worker registry.
func (c *Cluster) SetCapacity(id dispatch.WorkerID, capacity graph.Resources) error {
	c.mu.Lock()
	c.workers[id].entry.Capacity = capacity
	c.mu.Unlock()
	return c.register(id)
}

// Restart restarts a worker's process under its id.
func (c *Cluster) Restart(id dispatch.WorkerID) {
	c.mu.Lock()
	w := c.workers[id]
	c.mu.Unlock()
	w.Restart()
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

// Wait returns nil once ctx ends, or the error of the first server that fails.
func (c *Cluster) Wait(ctx context.Context) error {
	select {
	case err := <-c.serveErr:
		return err
	case <-ctx.Done():
		return nil
	}
}

// Close stops every server at once, without waiting for calls in flight.
func (c *Cluster) Close() error {
	var errs []error
	for _, server := range c.servers {
		errs = append(errs, server.Close())
	}
	return errors.Join(errs...)
}

// DuplicateRuns returns the runs that overlapped an earlier recorded run of the same task, or that started after the task
// was done.
func DuplicateRuns(runs []Run) []Run {
	var duplicates []Run
	for i, run := range runs {
		for _, earlier := range runs[:i] {
			if run.Key.Task != earlier.Key.Task {
				continue
			}
			overlaps := (earlier.Outcome == "" || run.StartedAt.Before(earlier.EndedAt)) && (run.Outcome == "" || earlier.StartedAt.Before(run.EndedAt))
			if overlaps || (earlier.Outcome == dispatch.RunDone.String() && run.StartedAt.After(earlier.EndedAt)) {
				duplicates = append(duplicates, run)
				break
			}
		}
	}
	return duplicates
}
