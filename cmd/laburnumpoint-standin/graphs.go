package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/phuslu/log"
	"github.com/urfave/cli/v3"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/graphproto"
	"laburnumpoint/internal/standin/graphwork"
)

// Names of the flags that only the command graphs has.
const (
	flagQueues = "queues"
	flagPool   = "pool"
)

// graphWorkerCapacity is the capacity of each simulated worker for graph jobs.
var graphWorkerCapacity = graph.Resources{MilliCPU: 16_000, MemoryMB: 32_000, Accelerators: 4}

// graphWorkerLabel is the label of every second worker.
const graphWorkerLabel = "fast"

// graphsCommand returns the command that simulates the store and the workers for graph jobs.
func graphsCommand(logger *log.Logger) *cli.Command {
	return &cli.Command{
		Name:  "graphs",
		Usage: "serve a store of rows and a pool of workers for graph jobs",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: flagQueues, Usage: "`FILE` with the configuration of queues, in JSON", Required: true, Sources: envSource(flagQueues)},
			&cli.StringFlag{Name: flagPool, Usage: "`NAME` of the worker pool", Value: "workers", Sources: envSource(flagPool)},
			&cli.IntFlag{Name: flagWorkers, Usage: "`NUMBER` of workers", Value: 8, Sources: envSource(flagWorkers)},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if err := checkGraphs(cmd); err != nil {
				return err
			}
			return runGraphs(ctx, cmd, logger)
		},
	}
}

func checkGraphs(cmd *cli.Command) error {
	var workersErr error
	if n := cmd.Int(flagWorkers); n < 1 {
		workersErr = fmt.Errorf("--%s: %d, want 1 or more", flagWorkers, n)
	}
	return errors.Join(checkNoArguments(cmd), checkAddr(flagListen, cmd.String(flagListen)), workersErr)
}

// errDuplicateRuns means that a task ran in two places at once, or again after it was done.
var errDuplicateRuns = errors.New("a task ran twice")

func runGraphs(ctx context.Context, cmd *cli.Command, logger *log.Logger) error {
	data, err := os.ReadFile(cmd.String(flagQueues))
	if err != nil {
		return err
	}
	var queues graphproto.QueueConfig
	if err := json.Unmarshal(data, &queues); err != nil {
		return fmt.Errorf("--%s: %w", flagQueues, err)
	}
	pool := graphwork.Pool{Name: cmd.String(flagPool), Workers: cmd.Int(flagWorkers), Capacity: graphWorkerCapacity, Labels: []string{graphWorkerLabel}}
	cluster, err := graphwork.NewCluster(ctx, cmd.String(flagListen), []graphwork.Pool{pool}, queues)
	if err != nil {
		return err
	}
	logger.Info().Str("addr", cluster.StoreAddr).Int("workers", pool.Workers).Msg("serving the store and the workers")
	err = errors.Join(cluster.Wait(ctx), cluster.Close())
	runs := cluster.Workers.Runs()
	duplicates := graphwork.DuplicateRuns(runs)
	logger.Info().Int("runs", len(runs)).Int("twice", len(duplicates)).Msg("stopped")
	if len(duplicates) > 0 {
		return errors.Join(err, errDuplicateRuns)
	}
	return err
}
