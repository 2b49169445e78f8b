// Command laburnumpoint is the command-line client for callers and operators. See docs/operators.md.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"laburnumpoint/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := cli.Main(ctx, os.Args, cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(code)
}
