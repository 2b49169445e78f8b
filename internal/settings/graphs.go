package settings

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/urfave/cli/v3"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/flowcontrol"
	"laburnumpoint/internal/graphd"
	"laburnumpoint/internal/inbound"
	"laburnumpoint/internal/rowstore"
)

// GraphsCommand is the first argument with which laburnumpointd runs the daemon for graph jobs.
const GraphsCommand = "graphs"

// Names of the flags that only the daemon for graph jobs has.
const (
	flagNode          = "node"
	flagReadyListen   = "ready-listen"
	flagMetricsListen = "metrics-listen"
	flagStore         = "store"
	flagCores         = "cores"
	flagMaxLease      = "max-lease"
	flagRunEndTime    = "run-end-time"
	flagConfigBound   = "config-bound"
	flagRetention     = "retention"
	flagStopGrace     = "stop-grace"
	flagBalancerDelay = "balancer-delay"
	flagMinOrders     = "min-orders"
	flagMaxOrders     = "max-orders"
	flagWorkerOrders  = "max-orders-per-worker"
	flagOrderRepeats  = "order-repeats"
	flagRepeatDelay   = "order-repeat-delay"
	flagOrderTimeout  = "order-timeout"
	flagRequireKeys   = "require-keys"
	flagMaxKeyUse     = "max-key-use"
	flagRateWindow    = "rate-window"
	flagRateOverage   = "rate-overage"
	flagRateSlack     = "rate-slack"
	flagRefuseLoad    = "refuse-overload"
	flagRemoteFactor  = "remote-factor"
	flagMaxCrashes    = "max-worker-crashes"
	flagRowBytes      = "store-row-bytes"
)

// GraphSettings are the validated settings of a daemon for graph jobs.
type GraphSettings struct {
	graphd.Settings
	// StoreAddr is the address of the store of rows.
	StoreAddr string
}

func graphFlags() []cli.Flag {
	env := func(flag string) cli.ValueSourceChain { return cli.EnvVars(Option{Flag: flag}.Env()) }
	stringFlag := func(name, usage, value string) cli.Flag {
		return &cli.StringFlag{Name: name, Usage: usage, Value: value, Sources: env(name)}
	}
	flow := flowcontrol.DefaultOptions()
	durationFlag := func(name, usage string, value time.Duration) cli.Flag {
		return &cli.DurationFlag{Name: name, Usage: usage, Value: value, Sources: env(name)}
	}
	return []cli.Flag{
		stringFlag(flagNode, "`NAME` of the VM, unique among the daemons of the cell", ""),
		stringFlag(flagZone, "availability `ZONE` of the VM", ""),
		stringFlag(flagListen, "`ADDRESS` for callers, an IP address and a port; port 0 takes a free port, which is logged", "127.0.0.1:0"),
		stringFlag(flagReadyListen, "`ADDRESS` for the balancer's readiness checks", "127.0.0.1:0"),
		stringFlag(flagMetricsListen, "`ADDRESS` of the metrics", "127.0.0.1:0"),
		stringFlag(flagPeerListen, "`ADDRESS` for the other daemons; it must be reachable from their VMs", "127.0.0.1:0"),
		stringFlag(flagStore, "`ADDRESS` of the store of rows", ""),
		&cli.FloatFlag{Name: flagCores, Usage: "processor time that the VM has, in `CORES`; daemons on VMs with more cores are preferred as owner of the cell", Value: 1, Sources: env(flagCores)},
		durationFlag(flagMaxLease, "longest `TIME` for which a worker grants a lease", 10*time.Second),
		durationFlag(flagRunEndTime, "longest `TIME` that a worker takes to end a run that is stopped or whose lease has ended", 0),
		durationFlag(flagConfigBound, "`TIME` within which a new configuration must be in force", 3*time.Second),
		durationFlag(flagRetention, "`TIME` for which callers can query a job after its end", time.Hour),
		durationFlag(flagStopGrace, "`TIME` from the request to stop until the process is killed", 20*time.Second),
		durationFlag(flagBalancerDelay, "`TIME` that the balancer takes to notice that a daemon isn't ready", 2*time.Second),
		&cli.IntFlag{Name: flagMinOrders, Usage: "`NUMBER` of starts and stops that may be under way however slow their answers are", Value: flow.MinUnderWay, Sources: env(flagMinOrders)},
		&cli.IntFlag{Name: flagMaxOrders, Usage: "greatest `NUMBER` of starts and stops under way", Value: flow.MaxUnderWay, Sources: env(flagMaxOrders)},
		&cli.IntFlag{Name: flagWorkerOrders, Usage: "greatest `NUMBER` of starts and stops under way to one worker; further ones wait in order", Value: flow.MaxPerServer, Sources: env(flagWorkerOrders)},
		&cli.FloatFlag{Name: flagOrderRepeats, Usage: "`NUMBER` of times that an order without an answer is sent again, in the mean of all orders", Value: flow.RepeatRatio, Sources: env(flagOrderRepeats)},
		durationFlag(flagRepeatDelay, "least `TIME` after which an order without an answer is sent again", flow.MinRepeatDelay),
		durationFlag(flagOrderTimeout, "least `TIME` after which an order without an answer is given up", flow.MinTimeout),
		&cli.BoolFlag{Name: flagRequireKeys, Usage: "require the key of an organisation from callers, except on public queues", Sources: env(flagRequireKeys)},
		durationFlag(flagMaxKeyUse, "`TIME` from a key's removal after which no daemon accepts it, even one without the store; 0 for no bound", 5*time.Second),
		durationFlag(flagRateWindow, "`TIME` over which an organisation's jobs are counted", 5*time.Second),
		&cli.FloatFlag{Name: flagRateOverage, Usage: "`SHARE` by which an organisation may exceed its rate of jobs in that time", Value: 0, Sources: env(flagRateOverage)},
		&cli.IntFlag{Name: flagRateSlack, Usage: "`NUMBER` of jobs by which an organisation may exceed its rate in that time besides", Value: 0, Sources: env(flagRateSlack)},
		&cli.BoolFlag{Name: flagRefuseLoad, Usage: "refuse jobs that can't be completed in time", Sources: env(flagRefuseLoad)},
		&cli.FloatFlag{Name: flagRemoteFactor, Usage: "`FACTOR` by which a task takes longer away from its data or its group", Value: 1, Sources: env(flagRemoteFactor)},
		&cli.IntFlag{Name: flagMaxCrashes, Usage: "`NUMBER` of workers that may crash under a task until it is given up", Value: dispatch.DefaultMaxCrashes, Sources: env(flagMaxCrashes)},
		&cli.IntFlag{Name: flagMemory, Usage: usageMemory + ", in `MIB`", Sources: env(flagMemory)},
		&cli.IntFlag{Name: flagMaxDescriptors, Usage: usageMaxDescriptors + ", a `NUMBER`", Sources: env(flagMaxDescriptors)},
		&cli.IntFlag{Name: flagMaxConnections, Usage: usageMaxConnections + ", a `NUMBER`", Sources: env(flagMaxConnections)},
		&cli.IntFlag{Name: flagInputMemory, Usage: usageInputMemory + ", in `MIB`", Sources: env(flagInputMemory)},
		&cli.IntFlag{Name: flagMaxHeaderBytes, Usage: usageMaxHeaderBytes + ", in `BYTES`", Value: inbound.DefaultMaxHeaderBytes, Sources: env(flagMaxHeaderBytes)},
		&cli.IntFlag{Name: flagRowBytes, Usage: "greatest size in `BYTES` of the value of a row in the store", Value: rowstore.MaxRowBytes, Sources: env(flagRowBytes)},
	}
}

// ParseGraphSettings reads the settings of a daemon for graph jobs from args, the first of which is the program's name and
// the second GraphsCommand, and from the environment. Help is written to out.
// Errors: ErrHelp; an error that lists every problem.
func ParseGraphSettings(args []string, out io.Writer) (GraphSettings, error) {
	var s GraphSettings
	actionRan := false
	cmd := &cli.Command{
		Name:            "laburnumpointd " + GraphsCommand,
		Usage:           "schedule the graph jobs of a cell, as one of its entry VMs",
		Flags:           graphFlags(),
		HideHelpCommand: true,
		Writer:          out,
		ErrWriter:       io.Discard, // the returned error lists every problem
		ExitErrHandler:  func(context.Context, *cli.Command, error) {},
		OnUsageError:    func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err },
		Action: func(_ context.Context, cmd *cli.Command) (err error) {
			actionRan = true
			s, err = readGraphSettings(cmd)
			return err
		},
	}
	if err := cmd.Run(context.Background(), args[1:]); err != nil {
		return GraphSettings{}, err
	}
	if !actionRan {
		return GraphSettings{}, ErrHelp
	}
	return s, nil
}

func readGraphSettings(cmd *cli.Command) (GraphSettings, error) {
	s := GraphSettings{StoreAddr: cmd.String(flagStore), Settings: graphd.Settings{
		Node:           cmd.String(flagNode),
		Zone:           cmd.String(flagZone),
		CallerAddr:     cmd.String(flagListen),
		ReadyAddr:      cmd.String(flagReadyListen),
		MetricsAddr:    cmd.String(flagMetricsListen),
		PeerAddr:       cmd.String(flagPeerListen),
		Cores:          cmd.Float(flagCores),
		MaxLease:       cmd.Duration(flagMaxLease),
		RunEndTime:     cmd.Duration(flagRunEndTime),
		MaxConfigDelay: cmd.Duration(flagConfigBound),
		Retention:      cmd.Duration(flagRetention),
		StopGrace:      cmd.Duration(flagStopGrace),
		BalancerDelay:  cmd.Duration(flagBalancerDelay),
		Orders: flowcontrol.Options{
			MinUnderWay:    cmd.Int(flagMinOrders),
			MaxUnderWay:    cmd.Int(flagMaxOrders),
			MaxPerServer:   cmd.Int(flagWorkerOrders),
			RepeatRatio:    cmd.Float(flagOrderRepeats),
			MinRepeatDelay: cmd.Duration(flagRepeatDelay),
			MinTimeout:     cmd.Duration(flagOrderTimeout),
		},
		RequireKeys: cmd.Bool(flagRequireKeys),
		MaxKeyUse:   cmd.Duration(flagMaxKeyUse),
		Rates: dispatch.RateOptions{
			Window: cmd.Duration(flagRateWindow), Overage: cmd.Float(flagRateOverage), Slack: cmd.Int(flagRateSlack),
		},
		RefuseOverload: cmd.Bool(flagRefuseLoad),
		RemoteFactor:   cmd.Float(flagRemoteFactor),
		MaxCrashes:     cmd.Int(flagMaxCrashes),
		MaxRowBytes:    cmd.Int(flagRowBytes),
		Input: inbound.Options{
			MemoryBytes: int64(cmd.Int(flagMemory)) << 20, Descriptors: cmd.Int(flagMaxDescriptors), MaxConns: cmd.Int(flagMaxConnections),
			BudgetBytes: int64(cmd.Int(flagInputMemory)) << 20, MaxHeaderBytes: cmd.Int(flagMaxHeaderBytes),
		},
	}}
	var problems []error
	require := func(ok bool, flag, want string) {
		if !ok {
			problems = append(problems, fmt.Errorf("--%s: want %s", flag, want))
		}
	}
	require(s.Node != "", flagNode, "a name")
	require(s.Zone != "", flagZone, "a name")
	for flag, addr := range map[string]string{
		flagListen: s.CallerAddr, flagReadyListen: s.ReadyAddr, flagMetricsListen: s.MetricsAddr, flagPeerListen: s.PeerAddr, flagStore: s.StoreAddr,
	} {
		host, _, err := net.SplitHostPort(addr)
		require(err == nil && net.ParseIP(host) != nil, flag, "an IP address and a port")
	}
	require(s.Cores > 0, flagCores, "a positive number")
	require(s.MaxLease >= time.Second, flagMaxLease, "a second or more")
	require(s.RunEndTime >= 0, flagRunEndTime, "0 or more")
	require(s.MaxConfigDelay >= time.Second, flagConfigBound, "a second or more")
	require(s.Retention >= time.Minute, flagRetention, "a minute or more")
	require(s.StopGrace >= time.Second, flagStopGrace, "a second or more")
	require(s.BalancerDelay >= 0, flagBalancerDelay, "0 or more")
	require(s.Orders.MinUnderWay > 0, flagMinOrders, "a positive number")
	require(s.Orders.MaxUnderWay >= s.Orders.MinUnderWay, flagMaxOrders, "at least --"+flagMinOrders)
	require(s.Orders.MaxPerServer > 0, flagWorkerOrders, "a positive number")
	require(s.Orders.RepeatRatio >= 0, flagOrderRepeats, "0 or more")
	require(s.Orders.MinRepeatDelay > 0, flagRepeatDelay, "a positive time")
	require(s.Orders.MinTimeout >= s.Orders.MinRepeatDelay, flagOrderTimeout, "at least --"+flagRepeatDelay)
	require(s.MaxKeyUse == 0 || s.MaxKeyUse > time.Second, flagMaxKeyUse, "0, or more than a second")
	require(s.Rates.Window >= time.Second, flagRateWindow, "a second or more")
	require(s.Rates.Overage >= 0, flagRateOverage, "0 or more")
	require(s.Rates.Slack >= 0, flagRateSlack, "0 or more")
	require(s.RemoteFactor >= 1, flagRemoteFactor, "1 or more")
	require(s.MaxRowBytes >= rowstore.MinRowBytes, flagRowBytes, fmt.Sprintf("%d or more", rowstore.MinRowBytes))
	require(s.MaxCrashes >= dispatch.MinMaxCrashes, flagMaxCrashes, fmt.Sprintf("%d or more", dispatch.MinMaxCrashes))
	if flag, want := inputProblem(s.Input); flag != "" {
		require(false, flag, want)
	}
	if cmd.NArg() > 0 {
		problems = append(problems, fmt.Errorf("unexpected argument %q", cmd.Args().First()))
	}
	return s, errors.Join(problems...)
}
