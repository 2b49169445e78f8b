package main

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

// envPrefix is the prefix of every environment variable's name.
const envPrefix = "LABURNUMPOINT_STANDIN_"

// Names of the flags.
const (
	flagListen   = "listen"
	flagListLag  = "list-lag"
	flagGrace    = "grace"
	flagPlatform = "platform"
	flagShape    = "shape"
	flagWorkers  = "workers"
	flagIDPrefix = "id-prefix"
	flagHistory  = "history"
)

// defaultGrace is how long calls in flight may take after SIGTERM by default.
const defaultGrace = 10 * time.Second

func listenFlag() cli.Flag {
	return &cli.StringFlag{
		Name:    flagListen,
		Usage:   "`ADDRESS` to listen on, an IP address and a port; port 0 takes a free port",
		Value:   "127.0.0.1:0",
		Sources: envSource(flagListen),
	}
}

func graceFlag() cli.Flag {
	return &cli.DurationFlag{
		Name:    flagGrace,
		Usage:   "`TIME` that calls in flight may take after SIGTERM",
		Value:   defaultGrace,
		Sources: envSource(flagGrace),
	}
}

// envSource returns the environment variable of a flag.
func envSource(flag string) cli.ValueSourceChain {
	return cli.EnvVars(envPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_")))
}

// checkAddr returns an error unless value is an IP address and a port.
func checkAddr(name, value string) error {
	host, _, err := net.SplitHostPort(value)
	if err != nil {
		return fmt.Errorf("--%s: %w", name, err)
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("--%s: %q is not an IP address", name, host)
	}
	return nil
}

// checkNotNegative returns an error if value is negative.
func checkNotNegative(name string, value time.Duration) error {
	if value < 0 {
		return fmt.Errorf("--%s: %v is negative", name, value)
	}
	return nil
}

// checkNoArguments returns an error if there are arguments beside the flags.
func checkNoArguments(cmd *cli.Command) error {
	if cmd.Args().Present() {
		return errors.New("unexpected argument " + cmd.Args().First())
	}
	return nil
}
