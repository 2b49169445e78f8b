// Package graphd is the daemon of an entry VM for graph jobs: callers' interface, the ledger's copy, ownership and the calls
// between daemons, put together over the backends that a platform offers.
package graphd

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/phuslu/log"

	"laburnumpoint/internal/entry"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/ledger"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/owner"
	"laburnumpoint/internal/peer"
	"laburnumpoint/internal/rowstore"
	"laburnumpoint/internal/wire"
)

// Bounds of the process.
const (
	// stopMargin is kept between the end of a planned stop and the kill.
	stopMargin = 500 * time.Millisecond
	// configMargin is kept below the time in which a configuration must be in force.
	configMargin  = 100 * time.Millisecond
	headerTimeout = 3 * time.Second
	callerIdle    = 15 * time.Second
)

// Settings are a daemon's own.
type Settings struct {
	Node string
	Zone string
	// CallerAddr, ReadyAddr and MetricsAddr are where callers, the balancer's readiness checks and the collector of metrics
	// arrive; PeerAddr is for other daemons.
	CallerAddr  string
	ReadyAddr   string
	MetricsAddr string
	PeerAddr    string
	// Cores is the processor time that the VM has.
	Cores float64
	// MaxLease bounds the lease that a worker grants.
	MaxLease time.Duration
	// MaxConfigDelay is the time in which a new configuration must be in force.
	MaxConfigDelay time.Duration
	// StopGrace is the time from the request to stop to the kill.
	StopGrace time.Duration
	// Retention is how long a job that has ended is told of.
	Retention time.Duration
	// BalancerDelay is how long the balancer may still send connections after the daemon says that it isn't ready.
	BalancerDelay time.Duration
}

// Backends are what a platform offers. Register, FollowConfig and Callers are made for the daemon's own view of the store
// and its service.
type Backends struct {
	Store         rowstore.Store
	Workers       owner.WorkerClient
	PolicyService owner.PolicyService
	NewRegistry   func(store rowstore.Store, clock monotime.Clock, logger *log.Logger) owner.WorkerRegistry
	// FollowConfig keeps the service's configuration current until ctx ends.
	FollowConfig func(ctx context.Context, store rowstore.Store, clock monotime.Clock, logger *log.Logger, service *entry.Service)
	// NewCallerHandler serves callers.
	NewCallerHandler func(*entry.Service) http.Handler
}

// Daemon is the running parts of the process.
type Daemon struct {
	Settings
	Service *entry.Service
	Owner   *owner.Daemon

	backends Backends
	log      *log.Logger
	set      *metrics.Set
	clock    monotime.Clock
	server   *peer.Server
	stopping atomic.Bool
}

// New returns a daemon that answers other daemons but does nothing else before Run.
func New(settings Settings, backends Backends, logger *log.Logger, set *metrics.Set) (*Daemon, error) {
	clock := monotime.Boot{}
	store := rowstore.NewMonitor(backends.Store, clock, set)
	peers := peer.NewClient(clock, set)
	server, err := peer.Bind(settings.PeerAddr, set)
	if err != nil {
		return nil, err
	}
	settings.PeerAddr = server.Addr()
	life := uuid.NewString()
	replica := ledger.NewReplica(store, clock, logger, ledger.DaemonInfo{Incarnation: life, Cores: settings.Cores, Weak: settings.Cores < owner.RecommendedOwnerCores})
	d := &Daemon{Settings: settings, backends: backends, log: logger, set: set, clock: clock, server: server}
	d.Service = entry.NewService(entry.Options{
		Replica: replica, Clock: clock, Log: logger, Peers: peers, Incarnation: life, ExplainIfOwner: d.explain,
		StoreDown: store.Down, MaxConfigAge: settings.MaxConfigDelay - configMargin, Metrics: set,
	})
	d.Owner = owner.New(owner.Options{
		Node:          settings.Node,
		Incarnation:   life,
		PeerAddr:      settings.PeerAddr,
		Zone:          settings.Zone,
		Replica:       replica,
		Workers:       backends.Workers,
		Registry:      backends.NewRegistry(store, clock, logger),
		PolicyService: backends.PolicyService,
		Peers:         peers,
		Clock:         clock,
		Log:           logger,
		Metrics:       set,
		MaxLease:      settings.MaxLease, Retention: settings.Retention,
		Queue:    d.Service.Queue,
		StoreUp:  store.Up,
		StoreAge: store.Age,
		Cores:    settings.Cores,
	})
	replica.OnJobChange(d.Owner.JobChanged)
	server.Serve(d)
	return d, nil
}

// explain tells why a job is where it is, as far as this daemon's owner knows.
func (d *Daemon) explain(ctx context.Context, id graph.JobID) ([]string, bool) {
	return d.Owner.Explain(ctx, id)
}

// Handle implements peer.Handler.
func (d *Daemon) Handle(ctx context.Context, req *wire.Request) *wire.Reply {
	switch body := req.GetBody().(type) {
	case *wire.Request_Hello:
		return d.Owner.HandleHello(body.Hello)
	case *wire.Request_Permit:
		return d.Owner.HandlePermit(ctx, body.Permit)
	case *wire.Request_Owner:
		return d.Owner.HandleOwner()
	case *wire.Request_Resign:
		return d.Owner.HandleResign(ctx, body.Resign)
	case *wire.Request_Intake:
		return d.Service.HandleIntake(ctx, body.Intake)
	}
	return &wire.Reply{Body: &wire.Reply_Refused{Refused: &wire.Reason{Code: "unknown_request"}}}
}

// Run serves until ctx ends, then stops: the balancer is told first, ownership is given up, and every request that was
// read gets its answer.
func (d *Daemon) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.Service.Replica.Run(background)
	go d.backends.FollowConfig(background, d.Service.Replica.Store(), d.clock, d.log, d.Service)
	owning, resign := context.WithCancel(background)
	defer resign()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		d.Owner.Run(owning)
	}()
	callers := &http.Server{
		Handler:           d.backends.NewCallerHandler(d.Service),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       callerIdle,
	}
	failed := make(chan error, 3)
	for _, s := range []struct {
		what, addr string
		server     *http.Server
	}{
		{"callers", d.CallerAddr, callers},
		{"readiness", d.ReadyAddr, &http.Server{Handler: http.HandlerFunc(d.ready), ReadHeaderTimeout: headerTimeout}},
		{"metrics", d.MetricsAddr, &http.Server{Handler: d.metricsHandler(), ReadHeaderTimeout: headerTimeout}},
	} {
		listener, err := net.Listen("tcp", s.addr)
		if err != nil {
			return err
		}
		d.log.Info().Str("what", s.what).Str("listen", listener.Addr().String()).Msg("serving")
		go func() { failed <- s.server.Serve(listener) }()
	}
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	resign()
	d.stop(callers, ended)
	return nil
}

func (d *Daemon) stop(callers *http.Server, resigned <-chan struct{}) {
	began := d.clock.Now()
	d.log.Info().Msg("stopping")
	d.stopping.Store(true)
	<-resigned
	left := d.StopGrace - stopMargin
	time.Sleep(min(d.BalancerDelay, left/2))
	ctx, cancel := context.WithTimeout(context.Background(), left-d.clock.Now().Sub(began))
	defer cancel()
	if err := callers.Shutdown(ctx); errors.Is(err, context.DeadlineExceeded) {
		d.log.Warn().Msg("requests cut off by the end of the grace period")
	}
	d.log.Info().Dur("took", d.clock.Now().Sub(began)).Msg("stopped")
}

// ready answers the balancer.
func (d *Daemon) ready(w http.ResponseWriter, _ *http.Request) {
	if d.stopping.Load() || !d.Service.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (d *Daemon) metricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		d.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
}
