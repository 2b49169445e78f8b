package main

import (
	"context"
	"errors"
	"net"

	"github.com/phuslu/log"
	"github.com/urfave/cli/v3"

	"laburnumpoint/internal/standin/httpserver"
)

// platformCommand returns the command that simulates the platform's services.
func platformCommand(logger *log.Logger) *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "serve the table, the object store and the VM list",
		Flags: []cli.Flag{
			listenFlag(),
			graceFlag(),
			&cli.DurationFlag{Name: flagListLag, Usage: "`TIME` by which the VM list lags behind", Sources: envSource(flagListLag)},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if err := checkPlatform(cmd); err != nil {
				return err
			}
			return runPlatform(ctx, cmd, logger)
		},
	}
}

func checkPlatform(cmd *cli.Command) error {
	return errors.Join(
		checkNoArguments(cmd),
		checkAddr(flagListen, cmd.String(flagListen)),
		checkNotNegative(flagListLag, cmd.Duration(flagListLag)),
		checkNotNegative(flagGrace, cmd.Duration(flagGrace)),
	)
}

func runPlatform(ctx context.Context, cmd *cli.Command, logger *log.Logger) error {
	listener, err := net.Listen("tcp", cmd.String(flagListen))
	if err != nil {
		return err
	}
	p := httpserver.NewPlatform(cmd.Duration(flagListLag))
	logger.Info().Str("addr", listener.Addr().String()).Msg("serving the platform")
	return httpserver.ServePlatform(ctx, listener, p, cmd.Duration(flagGrace))
}
