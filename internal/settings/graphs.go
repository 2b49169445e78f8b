package settings

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/urfave/cli/v3"

	"laburnumpoint/internal/graphd"
)

// GraphsCommand is the first argument that makes the daemon serve graph jobs.
const GraphsCommand = "graphs"

// Names of the flags that only the daemon for graph jobs has.
const (
	flagNode          = "node"
	flagReadyListen   = "ready-listen"
	flagMetricsListen = "metrics-listen"
	flagStore         = "store"
	flagCores         = "cores"
	flagMaxLease      = "max-lease"
	flagConfigBound   = "config-bound"
	flagRetention     = "retention"
	flagStopGrace     = "stop-grace"
	flagBalancerDelay = "balancer-delay"
)

// GraphSettings are the checked settings of a daemon for graph jobs.
type GraphSettings struct {
	graphd.Settings
	// StoreAddr is where the store of rows is.
	StoreAddr string
}

func graphFlags() []cli.Flag {
	env := func(flag string) cli.ValueSourceChain { return cli.EnvVars(Option{Flag: flag}.Env()) }
	text := func(name, usage, value string) cli.Flag {
		return &cli.StringFlag{Name: name, Usage: usage, Value: value, Sources: env(name)}
	}
	span := func(name, usage string, value time.Duration) cli.Flag {
		return &cli.DurationFlag{Name: name, Usage: usage, Value: value, Sources: env(name)}
	}
	return []cli.Flag{
		text(flagNode, "`NAME` of the VM; no other daemon of the cell has it", ""),
		text(flagZone, "availability `ZONE` of the VM", ""),
		text(flagListen, "`ADDRESS` for callers, an IP number and a port; port 0 takes a free one, which is logged", "127.0.0.1:0"),
		text(flagReadyListen, "`ADDRESS` for the balancer's readiness checks", "127.0.0.1:0"),
		text(flagMetricsListen, "`ADDRESS` of the metrics", "127.0.0.1:0"),
		text(flagPeerListen, "`ADDRESS` for the other daemons; they must reach it", "127.0.0.1:0"),
		text(flagStore, "`ADDRESS` of the store of rows", ""),
		&cli.FloatFlag{Name: flagCores, Usage: "processor time that the VM has, in `CORES`; the strong own first", Value: 1, Sources: env(flagCores)},
		span(flagMaxLease, "`TIME` for which a worker grants a lease at most", 10*time.Second),
		span(flagConfigBound, "`TIME` in which a new configuration must be in force", 3*time.Second),
		span(flagRetention, "`TIME` for which a job that has ended is told of", time.Hour),
		span(flagStopGrace, "`TIME` from the request to stop to the kill", 20*time.Second),
		span(flagBalancerDelay, "`TIME` that the balancer needs to notice that a daemon isn't ready", 2*time.Second),
	}
}

// ParseGraphSettings reads the settings of a daemon for graph jobs from args, the first of which is the program's name and the
// second GraphsCommand, and the environment. Help is written to out.
// Errors: ErrHelp; one that lists every mistake.
func ParseGraphSettings(args []string, out io.Writer) (GraphSettings, error) {
	var s GraphSettings
	ran := false
	cmd := &cli.Command{
		Name:            "laburnumpointd " + GraphsCommand,
		Usage:           "schedule the graph jobs of a cell, as one of its entry VMs",
		Flags:           graphFlags(),
		HideHelpCommand: true,
		Writer:          out,
		ErrWriter:       io.Discard, // every mistake is in the returned error
		ExitErrHandler:  func(context.Context, *cli.Command, error) {},
		OnUsageError:    func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err },
		Action: func(_ context.Context, cmd *cli.Command) (err error) {
			ran = true
			s, err = readGraphs(cmd)
			return err
		},
	}
	if err := cmd.Run(context.Background(), args[1:]); err != nil {
		return GraphSettings{}, err
	}
	if !ran {
		return GraphSettings{}, ErrHelp
	}
	return s, nil
}

func readGraphs(cmd *cli.Command) (GraphSettings, error) {
	s := GraphSettings{StoreAddr: cmd.String(flagStore), Settings: graphd.Settings{
		Node:           cmd.String(flagNode),
		Zone:           cmd.String(flagZone),
		CallerAddr:     cmd.String(flagListen),
		ReadyAddr:      cmd.String(flagReadyListen),
		MetricsAddr:    cmd.String(flagMetricsListen),
		PeerAddr:       cmd.String(flagPeerListen),
		Cores:          cmd.Float(flagCores),
		MaxLease:       cmd.Duration(flagMaxLease),
		MaxConfigDelay: cmd.Duration(flagConfigBound),
		Retention:      cmd.Duration(flagRetention),
		StopGrace:      cmd.Duration(flagStopGrace),
		BalancerDelay:  cmd.Duration(flagBalancerDelay),
	}}
	var mistakes []error
	need := func(ok bool, flag, want string) {
		if !ok {
			mistakes = append(mistakes, fmt.Errorf("--%s: want %s", flag, want))
		}
	}
	need(s.Node != "", flagNode, "a name")
	need(s.Zone != "", flagZone, "a name")
	for flag, addr := range map[string]string{
		flagListen: s.CallerAddr, flagReadyListen: s.ReadyAddr, flagMetricsListen: s.MetricsAddr, flagPeerListen: s.PeerAddr, flagStore: s.StoreAddr,
	} {
		host, _, err := net.SplitHostPort(addr)
		need(err == nil && net.ParseIP(host) != nil, flag, "an IP number and a port")
	}
	need(s.Cores > 0, flagCores, "a positive number")
	need(s.MaxLease >= time.Second, flagMaxLease, "a second or more")
	need(s.MaxConfigDelay >= time.Second, flagConfigBound, "a second or more")
	need(s.Retention >= time.Minute, flagRetention, "a minute or more")
	need(s.StopGrace >= time.Second, flagStopGrace, "a second or more")
	need(s.BalancerDelay >= 0, flagBalancerDelay, "no negative time")
	if cmd.NArg() > 0 {
		mistakes = append(mistakes, fmt.Errorf("argument %q is not understood", cmd.Args().First()))
	}
	return s, errors.Join(mistakes...)
}
