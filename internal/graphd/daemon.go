// Package graphd is the daemon of an entry VM for graph jobs. It connects the callers' interface, the copy of the ledger, the
// owner of the cell and the calls between daemons to the backends of a platform.
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

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/entry"
	"laburnumpoint/internal/flowcontrol"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/inbound"
	"laburnumpoint/internal/ledger"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/overload"
	"laburnumpoint/internal/owner"
	"laburnumpoint/internal/peer"
	"laburnumpoint/internal/rowstore"
	"laburnumpoint/internal/wire"
)

// Timeouts and margins.
const (
	// stopMargin is the time left between the end of a planned stop and the kill.
	stopMargin = 500 * time.Millisecond
	// configMargin is how much MaxConfigAge of package entry is below MaxConfigDelay.
	configMargin      = 100 * time.Millisecond
	headerTimeout     = 3 * time.Second
	callerIdleTimeout = 15 * time.Second
	// callerWriteTimeout bounds a request from its head to the end of its answer: a body, the longest time that a caller may wait, and as
	// long for a slow reader of the answer.
	callerWriteTimeout = 3 * inbound.DefaultBodyTimeout
)

// Settings are the settings of a daemon.
type Settings struct {
	// Node is the name of the daemon's VM.
	Node string
	// Zone is the availability zone of the VM.
	Zone string
	// CallerAddr, ReadyAddr, MetricsAddr and PeerAddr are the addresses on which the daemon serves callers, the balancer's
	// readiness checks, metrics and the other daemons.
	CallerAddr  string
	ReadyAddr   string
	MetricsAddr string
	PeerAddr    string
	// Cores is the processor time of the VM, in cores.
	Cores float64
	// MaxLease limits the lease that a worker grants.
	MaxLease time.Duration
	// RunEndTime is how long a worker may take to end a run that is stopped or whose lease has ended.
	RunEndTime time.Duration
	// MaxConfigDelay is the time within which a new configuration must be in force.
	MaxConfigDelay time.Duration
	// StopGrace is the time from the request to stop the daemon until its process is killed.
	StopGrace time.Duration
	// MaxRowBytes bounds the value of a row in the store; 0 for rowstore.MaxRowBytes.
	MaxRowBytes int
	// Retention is how long the state of an ended job can be queried.
	Retention time.Duration
	// BalancerDelay is how long the balancer may still send connections after the daemon stops being ready.
	BalancerDelay time.Duration
	// Orders bounds the starts and stops that an owner sends to workers.
	Orders flowcontrol.Options
	// RequireKeys means that callers must present the key of an organisation, except on public routes.
	RequireKeys bool
	// MaxKeyUse is the time from the acknowledgement of a configuration that removes a key within which every daemon must
	// have stopped to accept it, even one that the store does not answer; 0 if there is no such bound.
	MaxKeyUse time.Duration
	// Rates say how organisations' rates of jobs are measured.
	Rates dispatch.RateOptions
	// RefuseOverload means that jobs that can't be completed in time are refused.
	RefuseOverload bool
	// RemoteFactor is how many times as long a task takes away from its data or its group; 1 if places make no difference.
	RemoteFactor float64
	// MaxCrashes is after how many crashes of its workers a task is given up, whatever their likely cause; 0 for
	// dispatch.DefaultMaxCrashes.
	MaxCrashes int
	// Input bounds what the daemon holds of what others send.
	Input inbound.Options
}

// Backends are a platform's implementations of what the daemon depends on. The functions are called with the daemon's
// monitored view of Store and with its service.
type Backends struct {
	Store         rowstore.Store
	Workers       owner.WorkerClient
	PolicyService owner.PolicyService
	// NewRegistry returns the worker registry.
	NewRegistry func(store rowstore.Store, clock monotime.Clock, logger *log.Logger) owner.WorkerRegistry
	// FollowConfig keeps the service's configuration current until ctx ends.
	FollowConfig func(ctx context.Context, store rowstore.Store, clock monotime.Clock, logger *log.Logger, service *entry.Service)
	// DecodeConfig decodes the document of a configuration.
	DecodeConfig func(document []byte, logger *log.Logger) (*entry.Config, error)
	// NewCallerHandler returns the handler of callers' requests.
	NewCallerHandler func(*entry.Service, *inbound.Limits) http.Handler
}

// Daemon holds the components of the process.
type Daemon struct {
	Settings
	Service *entry.Service
	Owner   *owner.Daemon
	// Limits bounds the input of the process.
	Limits *inbound.Limits

	backends Backends
	log      *log.Logger
	set      *metrics.Set
	clock    monotime.Clock
	server   *peer.Server
	stopping atomic.Bool
}

// New returns a daemon. It answers other daemons at once and does everything else in Run.
func New(settings Settings, backends Backends, logger *log.Logger, set *metrics.Set) (*Daemon, error) {
	clock := monotime.BootClock{}
	store := rowstore.NewMonitoredStore(backends.Store, clock, set)
	peers := peer.NewClient(clock, set)
	server, err := peer.Bind(settings.PeerAddr, set)
	if err != nil {
		return nil, err
	}
	settings.PeerAddr = server.Addr()
	incarnation := uuid.NewString()
	replica := ledger.NewReplica(store, clock, logger, ledger.DaemonInfo{Incarnation: incarnation, Cores: settings.Cores, Weak: settings.Cores < owner.RecommendedOwnerCores})
	if settings.MaxRowBytes > 0 {
		replica.SetMaxRowBytes(settings.MaxRowBytes)
	}
	d := &Daemon{Settings: settings, backends: backends, log: logger, set: set, clock: clock, server: server, Limits: inbound.New(settings.Input, logger, set)}
	var backlog func() (*overload.Summary, bool)
	if settings.RefuseOverload {
		backlog = func() (*overload.Summary, bool) { return d.Owner.Backlog() }
	}
	d.Service = entry.NewService(entry.Options{
		Replica: replica, Clock: clock, Log: logger, Peers: peers, Incarnation: incarnation, ExplainIfOwner: d.explain, PreviewIfOwner: d.preview,
		StoreDown: store.Down, StoreUp: store.Up, StoreAge: store.SinceLastAnswer,
		SinceStoreFailure: store.SinceLastFailure, Backlog: backlog,
		OtherDaemons: func() []string { return d.Owner.OtherDaemons() },
		MaxConfigAge: settings.MaxConfigDelay - configMargin, Metrics: set,
		ConfigChanged: d.limitHeads,
		RequireKeys:   settings.RequireKeys, MaxKeyUse: settings.MaxKeyUse,
		DecodeConfig: func(document []byte) (*entry.Config, error) { return backends.DecodeConfig(document, logger) },
	})
	ownerOptions := owner.Options{
		Node:          settings.Node,
		Incarnation:   incarnation,
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
		MaxLease:      settings.MaxLease, RunEndTime: settings.RunEndTime, Retention: settings.Retention,
		Queue:         d.Service.Queue,
		Organisations: d.Service.Organisations,
		StoreUp:       store.Up,
		StoreAge:      store.SinceLastAnswer,
		Cores:         settings.Cores,
		Orders:        settings.Orders,

		Rates:          settings.Rates,
		RefuseOverload: settings.RefuseOverload,
		RemoteFactor:   settings.RemoteFactor,
		MaxCrashes:     settings.MaxCrashes,
	}
	if settings.RequireKeys {
		ownerOptions.ConfigState, ownerOptions.ObserveConfig = d.Service.ConfigState, d.Service.ObserveConfig
	}
	d.Owner = owner.New(ownerOptions)
	replica.OnJobChange(d.Owner.JobChanged)
	server.SetLimits(d.Limits)
	server.Serve(d)
	return d, nil
}

// limitHeads puts the configuration's limit of heads in force. It looks again afterwards, so that a goroutine that is late does not put an
// earlier one back.
func (d *Daemon) limitHeads() {
	for {
		config := d.Service.Config()
		d.Limits.SetMaxHeaderBytes(config.Limits.HeaderBytes)
		if d.Service.Config() == config {
			return
		}
	}
}

// explain returns the reasons for a job's state. It reports false if this daemon can't tell, since it is not the owner.
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
		if body.Intake.Command == owner.CommandBacklog {
			return d.Owner.HandleBacklog()
		}
		return d.Service.HandleIntake(ctx, body.Intake)
	}
	return &wire.Reply{Body: &wire.Reply_Refused{Refused: &wire.Reason{Code: "unknown_request"}}}
}

// Run serves until ctx ends. It then reports to the balancer that it is not ready, gives up ownership and answers the
// requests that it has read.
func (d *Daemon) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.Service.Replica.Run(background)
	go d.backends.FollowConfig(background, d.Service.Replica.Store(), d.clock, d.log, d.Service)
	ownerCtx, stopOwner := context.WithCancel(background)
	defer stopOwner()
	ownerEnded := make(chan struct{})
	go func() {
		defer close(ownerEnded)
		d.Owner.Run(ownerCtx)
	}()
	callerServer := &http.Server{
		Handler:           d.backends.NewCallerHandler(d.Service, d.Limits),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       callerIdleTimeout,
		WriteTimeout:      callerWriteTimeout,
	}
	serverErrors := make(chan error, 3)
	for _, s := range []struct {
		role   inbound.Role
		addr   string
		server *http.Server
	}{
		{inbound.Callers, d.CallerAddr, callerServer},
		{inbound.Readiness, d.ReadyAddr, &http.Server{Handler: http.HandlerFunc(d.handleReady), ReadHeaderTimeout: headerTimeout}},
		{inbound.Metrics, d.MetricsAddr, &http.Server{Handler: d.metricsHandler(), ReadHeaderTimeout: headerTimeout}},
	} {
		listener, err := net.Listen("tcp", s.addr)
		if err != nil {
			return err
		}
		d.log.Info().Str("what", s.role.String()).Str("listen", listener.Addr().String()).Msg("serving")
		d.Limits.Configure(s.server, s.role)
		go func() { serverErrors <- s.server.Serve(d.Limits.Listener(listener, s.role)) }()
	}
	select {
	case err := <-serverErrors:
		return err
	case <-ctx.Done():
	}
	stopOwner()
	d.stop(callerServer, ownerEnded)
	return nil
}

// stop reports the daemon as not ready, waits until the owner has ended and the balancer has had time to notice, and shuts
// callerServer down. The time for this is StopGrace less stopMargin.
func (d *Daemon) stop(callerServer *http.Server, ownerEnded <-chan struct{}) {
	start := d.clock.Now()
	d.log.Info().Msg("stopping")
	d.stopping.Store(true)
	<-ownerEnded
	budget := d.StopGrace - stopMargin
	time.Sleep(min(d.BalancerDelay, budget/2))
	ctx, cancel := context.WithTimeout(context.Background(), budget-d.clock.Now().Sub(start))
	defer cancel()
	if err := callerServer.Shutdown(ctx); errors.Is(err, context.DeadlineExceeded) {
		d.log.Warn().Msg("callers' requests aborted since the stop's grace period is over")
	}
	d.log.Info().Dur("took", d.clock.Now().Sub(start)).Msg("stopped")
}

// handleReady answers the balancer's readiness checks.
func (d *Daemon) handleReady(w http.ResponseWriter, _ *http.Request) {
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
