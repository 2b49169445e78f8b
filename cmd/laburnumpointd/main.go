// Command laburnumpointd is the scheduler's daemon; it runs on an entry VM.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/phuslu/log"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/edge"
	"laburnumpoint/internal/graphd"
	"laburnumpoint/internal/httpplatform"
	"laburnumpoint/internal/inbound"
	"laburnumpoint/internal/logs"
	"laburnumpoint/internal/node"
	"laburnumpoint/internal/settings"
	"laburnumpoint/platform"
)

// failureExitCode is the exit code of a daemon that could not serve, or whose planned stop ended before everything in
// flight was answered.
const failureExitCode = 1

func main() {
	if path := os.Getenv(platform.SettingsEnvVar); path != "" {
		runUntilSignal(func(ctx context.Context) error { return platform.Run(ctx, path) })
		return
	}
	if len(os.Args) > 1 && os.Args[1] == settings.GraphsCommand {
		runGraphs()
		return
	}
	s, err := settings.Parse(os.Args, os.Stdout)
	exitIfInvalid(err)
	runUntilSignal(func(ctx context.Context) error { return serve(ctx, s) })
}

// exitIfInvalid ends the process if help was written or the settings are invalid.
func exitIfInvalid(err error) {
	if errors.Is(err, settings.ErrHelp) {
		os.Exit(0)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(settings.UsageExitCode)
	}
}

// runUntilSignal calls run with a context that ends at SIGTERM or SIGINT, and ends the process if run fails.
func runUntilSignal(run func(context.Context) error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failureExitCode)
	}
}

// runGraphs runs the daemon for graph jobs over the project's native protocol.
func runGraphs() {
	s, err := settings.ParseGraphSettings(os.Args, os.Stdout)
	exitIfInvalid(err)
	runUntilSignal(func(ctx context.Context) error { return serveGraphs(ctx, s) })
}

func serveGraphs(ctx context.Context, s settings.GraphSettings) error {
	s.Input.SetMemoryLimit()
	set := metrics.NewSet()
	writer := logs.NewWriter(os.Stdout, set)
	defer writer.Start()()
	d, err := graphd.New(s.Settings, graphd.NativeBackends(s.StoreAddr), &log.Logger{Level: log.InfoLevel, Writer: writer}, set)
	if err != nil {
		return err
	}
	return d.Run(ctx)
}

// daemon holds the running parts of the process.
type daemon struct {
	node   *node.Node
	server *edge.Server
	log    *log.Logger
}

// serve runs the daemon until ctx ends and then stops it gracefully.
func serve(ctx context.Context, s settings.Settings) error {
	d, listener, err := start(s)
	if err != nil {
		return err
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- d.server.Serve(listener) }()
	d.log.Info().Str("listen", listener.Addr().String()).Msg("serving")
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
		return d.stop(s)
	}
}

func start(s settings.Settings) (*daemon, net.Listener, error) {
	logger := &log.Logger{Level: s.LogLevel, Writer: &log.IOWriter{Writer: os.Stderr}}
	set := metrics.NewSet()
	s.Input.SetMemoryLimit()
	limits := inbound.New(s.Input, logger, set)
	listener, err := net.Listen("tcp", s.Listen.String())
	if err != nil {
		return nil, nil, err
	}
	n, err := node.Start(nodeOptions(s, limits, logger, set))
	if err != nil {
		return nil, nil, err
	}
	server := edge.NewServer(n, n, edgeOptions(s, limits, logger, set), edge.ServerOptions{DrainDelay: s.DrainDelay})
	return &daemon{node: n, server: server, log: logger}, listener, nil
}

func nodeOptions(s settings.Settings, limits *inbound.Limits, logger *log.Logger, set *metrics.Set) node.Options {
	id := cell.MemberID(uuid.NewString())
	backend := httpplatform.NewPlatformClient(httpplatform.PlatformOptions{
		Addr: s.Platform.String(), Member: id,
		OnInvalidWorker: func(name string, err error) {
			logger.Warn().Str("worker", name).Err(err).Msg("invalid entry of the VM list skipped")
		},
	})
	return node.Options{
		ID:              id,
		PeerListen:      s.PeerListen.String(),
		Zone:            s.Zone,
		Table:           backend,
		VMs:             backend,
		Runner:          httpplatform.NewRunnerClient(httpplatform.RunnerOptions{Member: id}),
		BootstrapConfig: s.Bootstrap,
		LeaseTTL:        s.LeaseTTL,
		ClaimInterval:   s.ClaimInterval,
		Log:             logger,
		Metrics:         set,
		Limits:          limits,
	}
}

func edgeOptions(s settings.Settings, limits *inbound.Limits, logger *log.Logger, set *metrics.Set) edge.Options {
	return edge.Options{
		Log:            logger,
		Metrics:        set,
		Limits:         limits,
		MaxRequests:    s.MaxRequests,
		MaxBodyBytes:   s.MaxBodyBytes,
		DefaultTimeout: s.RequestTimeout,
		MaxTimeout:     s.MaxRequestTimeout,
	}
}

// stop reports the daemon unready, so that the balancer sends callers elsewhere, hands over the shards, and returns when
// everything in flight has been answered.
func (d *daemon) stop(s settings.Settings) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.StopTimeout)
	defer cancel()
	d.log.Info().Msg("stopping")
	d.node.SetUnready()
	shutdownErr := make(chan error, 1)
	go func() { shutdownErr <- d.server.Shutdown(ctx) }()
	d.node.Leave(ctx)
	err := <-shutdownErr
	d.node.Shutdown(ctx)
	d.log.Info().Msg("stopped")
	return err
}
