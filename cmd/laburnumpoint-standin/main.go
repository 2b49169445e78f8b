// Command laburnumpoint-standin simulates the platform and the runners on worker VMs for tests and demonstrations.
// See docs/standin.md.
package main

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/phuslu/log"
	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	logger := &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: os.Stderr}}
	if err := newCommand(logger).Run(ctx, os.Args); err != nil {
		for line := range strings.Lines(err.Error()) {
			logger.Error().Msg(strings.TrimSpace(line))
		}
		stop()
		os.Exit(1)
	}
}

func newCommand(logger *log.Logger) *cli.Command {
	return &cli.Command{
		Name:     "laburnumpoint-standin",
		Usage:    "simulate the platform and the runners for tests and demonstrations",
		Commands: []*cli.Command{platformCommand(logger), runnersCommand(logger), graphsCommand(logger)},
	}
}
