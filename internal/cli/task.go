package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"laburnumpoint/internal/api"
	"laburnumpoint/internal/cell"
)

// Names of the flags that describe a task.
const (
	flagTeam          = "team"
	flagClass         = "class"
	flagPool          = "pool"
	flagMilliCPU      = "milli-cpu"
	flagMemoryMiB     = "memory-mib"
	flagAccelerators  = "accelerators"
	flagSlots         = "slots"
	flagStoppable     = "stoppable"
	flagNonIdempotent = "non-idempotent"
	flagEstimatedRun  = "estimated-run"
	flagPayload       = "payload"
	flagPayloadFile   = "payload-file"
)

const (
	defaultMilliCPU  = 1000
	defaultMemoryMiB = 256
	// maxPayloadBytes bounds the size of a payload file that the tool reads; the cell has a limit of its own.
	maxPayloadBytes = 64 << 20
)

// taskFlags returns the flags that describe a task.
func taskFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagTeam, Usage: "`NAME` of the team that is charged", Required: true},
		&cli.StringFlag{Name: flagClass, Usage: "urgent, service, normal or batch"},
		&cli.StringFlag{Name: flagPool, Usage: "`NAME` of the pool of workers that may run the task; any pool if none is given"},
		&cli.Int64Flag{Name: flagMilliCPU, Usage: "processors in `THOUSANDTHS` of a core", Value: defaultMilliCPU},
		&cli.Int64Flag{Name: flagMemoryMiB, Usage: "memory in `MIB`", Value: defaultMemoryMiB},
		&cli.Int64Flag{Name: flagAccelerators, Usage: "`COUNT` of accelerators"},
		&cli.Int64Flag{Name: flagSlots, Usage: "`COUNT` of runner slots", Value: 1},
		&cli.BoolFlag{Name: flagStoppable, Usage: "the task may be stopped for more urgent work"},
		&cli.BoolFlag{Name: flagNonIdempotent, Usage: "the task must run at most once"},
		&cli.DurationFlag{Name: flagEstimatedRun, Usage: "estimated run `TIME`"},
		&cli.StringFlag{Name: flagPayload, Usage: "`TEXT` that is passed to the runner"},
		&cli.StringFlag{Name: flagPayloadFile, Usage: "`FILE` that is passed to the runner; - is the standard input"},
	}
}

// readTask returns the task that the flags describe.
func (a *app) readTask(cmd *cli.Command) (api.TaskSpec, error) {
	payload, err := a.readPayload(cmd)
	idempotent := !cmd.Bool(flagNonIdempotent)
	return api.TaskSpec{
		Team:  cmd.String(flagTeam),
		Class: cell.PriorityClass(cmd.String(flagClass)),
		Pool:  cmd.String(flagPool),
		Claim: cell.Resources{
			MilliCPU:     cmd.Int64(flagMilliCPU),
			MemoryMiB:    cmd.Int64(flagMemoryMiB),
			Accelerators: cmd.Int64(flagAccelerators),
			Slots:        cmd.Int64(flagSlots),
		},
		Stoppable:      cmd.Bool(flagStoppable),
		Idempotent:     &idempotent,
		EstimatedRunMS: cmd.Duration(flagEstimatedRun).Milliseconds(),
		PayloadBase64:  payload,
	}, err
}

// readPayload returns the payload that the flags give as text or as a file.
func (a *app) readPayload(cmd *cli.Command) ([]byte, error) {
	text, path := cmd.String(flagPayload), cmd.String(flagPayloadFile)
	switch {
	case text != "" && path != "":
		return nil, fmt.Errorf("--%s and --%s are both given", flagPayload, flagPayloadFile)
	case path == "":
		return []byte(text), nil
	default:
		return a.readFile(path, maxPayloadBytes)
	}
}

// readFile returns the content of the file at path, or of the standard input if path is "-". More than limit bytes are an
// error.
func (a *app) readFile(path string, limit int64) ([]byte, error) {
	in := a.streams.In
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		in = file
	}
	data, err := io.ReadAll(io.LimitReader(in, limit+1))
	if err == nil && int64(len(data)) > limit {
		err = fmt.Errorf("%s is larger than %d bytes", path, limit)
	}
	return data, err
}
