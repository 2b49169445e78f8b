package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/phuslu/log"
	"github.com/urfave/cli/v3"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/history"
	"laburnumpoint/internal/standin"
	"laburnumpoint/internal/standin/httpserver"
)

// defaultShape is the office whose workers are run by default.
const defaultShape = "galwad"

// historyFileMode is the permissions of a new history file.
const historyFileMode = 0o644

// runnersCommand returns the command that simulates the runners of an office's workers.
func runnersCommand(logger *log.Logger) *cli.Command {
	return &cli.Command{
		Name:  "runners",
		Usage: "serve the runners of an office's workers, each on its own port",
		Flags: []cli.Flag{
			listenFlag(),
			graceFlag(),
			&cli.StringFlag{Name: flagPlatform, Usage: "`ADDRESS` of the platform", Required: true, Sources: envSource(flagPlatform)},
			&cli.StringFlag{Name: flagShape, Usage: "`OFFICE` whose workers are run, one of " + shapeNames(), Value: defaultShape, Sources: envSource(flagShape)},
			&cli.IntFlag{Name: flagWorkers, Usage: "`NUMBER` of workers in all pools together; 0 runs all of the office", Sources: envSource(flagWorkers)},
			&cli.StringFlag{Name: flagHistory, Usage: "`FILE` to which every lease's start and end is appended, as JSON lines", Sources: envSource(flagHistory)},
			&cli.StringFlag{Name: flagIDPrefix, Usage: "`TEXT` that worker ids start with", Sources: envSource(flagIDPrefix)},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if err := checkRunners(cmd); err != nil {
				return err
			}
			return runRunners(ctx, cmd, logger)
		},
	}
}

func checkRunners(cmd *cli.Command) error {
	var shapeErr, workersErr error
	if _, ok := standin.Shapes()[cmd.String(flagShape)]; !ok {
		shapeErr = fmt.Errorf("--%s: %q is not one of %s", flagShape, cmd.String(flagShape), shapeNames())
	}
	if n := cmd.Int(flagWorkers); n < 0 {
		workersErr = fmt.Errorf("--%s: %d is negative", flagWorkers, n)
	}
	return errors.Join(
		checkNoArguments(cmd),
		checkAddr(flagListen, cmd.String(flagListen)),
		checkAddr(flagPlatform, cmd.String(flagPlatform)),
		checkNotNegative(flagGrace, cmd.Duration(flagGrace)),
		shapeErr,
		workersErr,
	)
}

func runRunners(ctx context.Context, cmd *cli.Command, logger *log.Logger) error {
	listener, err := net.Listen("tcp", cmd.String(flagListen))
	if err != nil {
		return err
	}
	recorder, closeHistory, err := openHistory(cmd.String(flagHistory))
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	defer closeHistory()
	host, err := httpserver.NewHost(standin.FleetOptions{Recorder: recorder}, listenIP(listener), selectWorkers(cmd))
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	logger.Info().Str("addr", listener.Addr().String()).Int("workers", len(host.Workers())).Msg("serving the runners")
	onError := func(err error) { logger.Warn().Err(err).Msg("registration of the workers failed") }
	incarnation := strconv.FormatInt(time.Now().UnixNano(), 36)
	err = httpserver.ServeHost(ctx, listener, host, cmd.String(flagPlatform), incarnation, cmd.Duration(flagGrace), onError)
	return errors.Join(err, recorder.Err())
}

// openHistory returns a recorder that appends to the file at path, or one in memory if path is empty.
func openHistory(path string) (recorder *history.Recorder, closeFile func(), err error) {
	if path == "" {
		return history.NewRecorder(), func() {}, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, historyFileMode)
	if err != nil {
		return nil, nil, fmt.Errorf("--%s: %w", flagHistory, err)
	}
	return history.NewRecorderTo(file), func() { _ = file.Close() }, nil // the recorder doesn't buffer entries
}

// selectWorkers returns the workers that the flags describe.
func selectWorkers(cmd *cli.Command) []cell.Worker {
	shape := standin.Shapes()[cmd.String(flagShape)]
	if n := cmd.Int(flagWorkers); n > 0 {
		shape = shape.Scaled(n)
	}
	return shape.Workers(cmd.String(flagIDPrefix))
}

// listenIP returns the IP address that the listener is bound to.
func listenIP(listener net.Listener) string {
	host, _, err := net.SplitHostPort(listener.Addr().String())
	if err != nil {
		panic(err) // the address of a TCP listener always has a port
	}
	return host
}

// shapeNames returns the names of the offices, sorted.
func shapeNames() string {
	return strings.Join(slices.Sorted(maps.Keys(standin.Shapes())), ", ")
}
